//! Hollow conductors: the real reducer and decision module, without sockets and processes, on a simulated clock.

use std::collections::{BTreeMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use oatpitch::interface::{self, ProxyId, ServiceSettings, Time, ZoneId};
use oatpitch_state::inbound::{MembershipEntry, MembershipUpdate, PeerMessage};
use oatpitch_state::message::{Message as OutboundMessage, Part as OutboundPart};
use oatpitch_state::reducer::{Reducer, ReducerConfig};
use oatpitch_state::{ConnectionId, Effect, Input};

use super::fleet::{Change, Fleet, NodeState, NodeStatus, node_name, parse_node_name};
use super::ids::{ClassIndex, Micros, NodeIndex, ProxyIndex};
use super::message::Message;
use super::plan::Plan;
use super::push::Part;
use super::settings::{CLASSES, PUSH_DELAY};

/// Unix time at the start of the simulated clock. It is the same in every run, so that runs can be repeated.
pub const EPOCH_MS: u64 = 1_700_000_000_000;
/// Capacity for connections: more than the proxies of any hollow conductor.
const MAX_CONNECTIONS: usize = 1 << 17;
/// The request rate that every proxy reports.
const REQUESTS_PER_SECOND: f64 = 20.0;
/// Stands in for the addresses of discovery and of the proxies, which are never connected to.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// The most turns within one call of [`HollowConductor::run_until`]. A conductor with more wakes itself endlessly.
const MAX_TURNS: usize = 100_000;
/// The interface counts time in tenths of a millisecond.
const MICROS_PER_TICK: u64 = 100;

/// Counters of a conductor's work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkCounts {
    pub turns: u64,
    /// Messages, counted once for each proxy that they are sent to.
    pub messages: u64,
    /// Lines of these messages, without the heads.
    pub lines: u64,
    pub acks_received: u64,
}

/// A message that was sent to some proxies.
#[derive(Clone, Debug)]
pub struct SentMessage {
    pub at: Micros,
    pub proxies: Vec<ProxyIndex>,
    pub message: Message,
}

/// An acknowledgement that is on its way from a proxy.
#[derive(Clone, Copy, Debug)]
struct PendingAck {
    due: Micros,
    proxy: ProxyIndex,
    mark: u64,
}

/// A conductor within this process.
pub struct HollowConductor {
    reducer: Reducer,
    /// When the conductor's timer fires.
    wake: Option<Micros>,
    /// In the order of their due times, as all take equally long.
    pending_acks: VecDeque<PendingAck>,
    /// The number of the open watch.
    watch: Option<u64>,
    /// Inputs for the next turn.
    inputs: Vec<Input>,
    /// Lines that the head of a message costs.
    message_head: f64,
    pub work: WorkCounts,
    /// Messages sent since they were last taken; `None` if they are not recorded.
    recorded: Option<Vec<SentMessage>>,
}

/// Converts from the simulated clock to the interface's time.
fn time(at: Micros) -> Time {
    Time::from_ms(EPOCH_MS) + Time(at.0 / MICROS_PER_TICK)
}

/// Converts from the interface's time, without rounding: a timer never fires too early.
fn micros(at: Time) -> Micros {
    Micros((at - Time::from_ms(EPOCH_MS)).0 * MICROS_PER_TICK)
}

/// Returns a node's entry as a conductor parses it.
fn entry(node: NodeIndex, zone: u32, status: NodeStatus) -> MembershipEntry {
    let standing = match status.state {
        NodeState::Active => interface::NodeStatus::Ready,
        NodeState::Leaving => interface::NodeStatus::Draining,
        NodeState::Left => interface::NodeStatus::Gone,
    };
    let started = status.started.map(time);
    MembershipEntry {
        node: node_name(node),
        zone: zone as u16,
        machine_kind: "m".into(),
        status: standing,
        weight: 1.0,
        started,
    }
}

/// Returns the whole list as a conductor parses it. It is built once, and cloned for each conductor.
pub fn full_update(fleet: &Fleet) -> MembershipUpdate {
    let nodes = (0..fleet.len() as u32).map(NodeIndex);
    let entries = nodes.filter_map(|node| Some(entry(node, fleet.zone(node)?, fleet.status(node)?)));
    MembershipUpdate {
        version: fleet.version(),
        full: true,
        entries: entries.collect(),
        unreadable_entries: 0,
    }
}

/// Returns one change as a conductor parses it.
pub fn change_update(fleet: &Fleet, change: Change) -> MembershipUpdate {
    let zone = fleet.zone(change.node).unwrap_or_default();
    let entries = vec![entry(change.node, zone, change.status)];
    MembershipUpdate { version: fleet.version(), full: false, entries, unreadable_entries: 0 }
}

impl HollowConductor {
    /// Starts a conductor without a known list, as if it had lost all its state.
    pub fn start(now: Micros, settings: ServiceSettings, seed: u64) -> HollowConductor {
        let message_head = settings.message_overhead_lines;
        let start = ReducerConfig {
            settings,
            class_count: CLASSES.len() as u16,
            seed,
            known_list: MembershipUpdate::default(),
            discovery_address: UNUSED_ADDRESS,
            max_connections: MAX_CONNECTIONS,
        };
        let (reducer, effects) = Reducer::start(time(now), start);
        let mut conductor = HollowConductor {
            reducer,
            wake: None,
            pending_acks: VecDeque::new(),
            watch: None,
            inputs: Vec::new(),
            message_head,
            work: WorkCounts::default(),
            recorded: None,
        };
        conductor.apply_effects(now, effects);
        conductor
    }

    /// Starts recording the messages that are sent.
    pub fn record_messages(&mut self) {
        self.recorded = Some(Vec::new());
    }

    /// Returns the messages that were recorded since the last call.
    pub fn take_recorded(&mut self) -> Vec<SentMessage> {
        self.recorded.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Handles an update on the conductor's watch, if one is open.
    pub fn receive_update(&mut self, now: Micros, update: MembershipUpdate) {
        if let Some(watch) = self.watch {
            self.turn(now, vec![Input::MembershipUpdate(watch, update)]);
        }
    }

    /// Joins this many proxies at once, assigned to the plan's zones in turn.
    pub fn join_proxies(&mut self, now: Micros, plan: &Plan, proxies: u16) {
        let join_inputs = |proxy: u16| {
            let conn = ConnectionId(proxy.into());
            let joined = PeerMessage::ProxyJoined {
                proxy: ProxyId(proxy.into()),
                zone: ZoneId((u32::from(proxy) % plan.zones.max(1)) as u16),
                exchanges_per_second: REQUESTS_PER_SECOND,
                only_standing_tables: true,
                clears_ejections: false,
                tags: BTreeMap::new(),
            };
            [Input::ConnectionOpened(conn, UNUSED_ADDRESS), Input::MessageReceived(conn, joined)]
        };
        self.turn(now, (0..proxies).flat_map(join_inputs).collect());
    }

    /// Returns when the timer fires or the next acknowledgement arrives, whichever is first.
    fn next_due(&self) -> Option<Micros> {
        self.wake.into_iter().chain(self.pending_acks.front().map(|ack| ack.due)).min()
    }

    /// Advances the clock, and runs the turns that fall due, each at its time. `run_turn` is called with each turn; it
    /// runs the turn, and returns whether to continue. Returns whether the clock has reached `until`.
    pub fn run_until(&mut self, until: Micros, mut run_turn: impl FnMut(&mut dyn FnMut()) -> bool) -> bool {
        for _ in 0..MAX_TURNS {
            let Some(due) = self.next_due().filter(|due| *due <= until) else { return true };
            if !run_turn(&mut || self.step(due)) {
                return false;
            }
        }
        false
    }

    /// Runs one turn, with the timer and the acknowledgements that are due.
    fn step(&mut self, due: Micros) {
        let mut inputs = Vec::new();
        if self.wake.is_some_and(|wake| wake <= due) {
            inputs.push(Input::TimerFired);
        }
        while let Some(ack) = self.pending_acks.front().copied().filter(|ack| ack.due <= due) {
            self.pending_acks.pop_front();
            self.work.acks_received += 1;
            let took = Time(PUSH_DELAY.0 / MICROS_PER_TICK);
            let acknowledged = PeerMessage::Acknowledged {
                proxy: ProxyId(ack.proxy.0.into()),
                mark: ack.mark,
                elapsed: took,
            };
            inputs.push(Input::MessageReceived(ConnectionId(ack.proxy.0.into()), acknowledged));
        }
        self.turn(due, inputs);
    }

    fn turn(&mut self, now: Micros, inputs: Vec<Input>) {
        self.work.turns += 1;
        self.wake = None;
        let queued = std::mem::take(&mut self.inputs);
        let effects = self.reducer.turn(time(now), queued.into_iter().chain(inputs));
        self.apply_effects(now, effects);
    }

    fn apply_effects(&mut self, now: Micros, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendMessage(conns, message) => self.send(now, &conns, &message),
                Effect::OpenWatch { request_id, .. } => {
                    self.watch = Some(request_id);
                    self.inputs.push(Input::WatchOpened(request_id));
                }
                Effect::WakeAt(at) => self.wake = Some(micros(at)),
                _ => {}
            }
        }
    }

    /// Sends a message. It leaves the channel at once, and every proxy acknowledges it after the push delay.
    fn send(&mut self, now: Micros, conns: &[ConnectionId], message: &Rc<OutboundMessage>) {
        let cost = message.cost();
        self.work.messages += conns.len() as u64;
        self.work.lines += (conns.len() * cost) as u64;
        self.inputs.push(Input::LinesEntered(conns.len() as f64 * (cost as f64 + self.message_head)));
        let proxies = conns.iter().map(|conn| ProxyIndex(conn.0 as u16));
        let mark = message.parts.iter().filter_map(|part| part.mark).next_back();
        if let Some(mark) = mark {
            let ack = |proxy| PendingAck { due: now + PUSH_DELAY, proxy, mark: mark.into() };
            self.pending_acks.extend(proxies.clone().map(ack));
        }
        if let Some(recorded) = &mut self.recorded {
            let parts = message.parts.iter().map(|part| Rc::new(to_proxy_part(part))).collect();
            let message = Message { parts, received: now };
            recorded.push(SentMessage { at: now, proxies: proxies.collect(), message });
        }
    }
}

/// Returns a part as a proxy decodes it.
fn to_proxy_part(part: &OutboundPart) -> Part {
    use oatpitch::interface::RetryPolicy;
    let nodes = |names: &[oatpitch_state::message::Name]| {
        names.iter().filter_map(|name| parse_node_name(name)).collect()
    };
    let classes: Vec<ClassIndex> = part.classes.iter().map(|class| ClassIndex(class.0 as u8)).collect();
    Part {
        classes: (!classes.is_empty()).then_some(classes),
        full: part.full,
        lines: part
            .lines
            .iter()
            .filter_map(|(name, weight)| Some((parse_node_name(name)?, *weight)))
            .collect(),
        policy: part.level.map(|(tries, _)| match tries {
            RetryPolicy::Never => 0,
            RetryPolicy::IfNeverRan => 1,
            RetryPolicy::Once => 2,
            RetryPolicy::Twice => 3,
        }),
        eject: nodes(&part.eject),
        restore: nodes(&part.restore),
        mark: part.mark.map(u64::from),
        continued: false,
    }
}
