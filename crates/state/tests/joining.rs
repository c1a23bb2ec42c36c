//! A whole fleet joins one conductor with many nodes, and a drain is received meanwhile: the reducer with a model of the
//! channel that sends at a fixed rate, on a simulated clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch::interface::*;
use oatpitch_state::inbound::{MembershipEntry, MembershipUpdate, PeerMessage};
use oatpitch_state::message::Message;
use oatpitch_state::reducer::{Reducer, ReducerConfig};
use oatpitch_state::{ConnectionId, Effect, Input};

const STEP: Time = Time::from_ms(10);
const NODES: usize = 1_000;
const PROXIES: u64 = 1_000;
const DRAINED: usize = 20;

fn service_settings() -> ServiceSettings {
    let ms = Time::from_ms;
    let terms = |repeat| ExchangeTerms {
        target_time: ms(1_000),
        deadline: ms(4_000),
        gain: 1.0,
        idempotency: repeat,
        own_zone_only: false,
    };
    ServiceSettings {
        class_terms: vec![terms(Idempotency::Safe), terms(Idempotency::Unsafe)],
        zone_count: 2,
        roster_on_request: false,
        max_roster_age: ms(10_000),
        summary_period: ms(1_000),
        level_kind: LevelKind::Share,
        slice_count: 0,
        channel_lines_per_second: 200_000.0,
        message_overhead_lines: 6.0,
        max_queued_lines: 2_000_000.0,
        max_messages: 0,
        message_window: ms(10_000),
        mean_delivery_delay: ms(200),
        max_delivery_delay: ms(600),
        avoid_after_failures: 5,
        cross_zone_fee: 0.0,
        proxy_count: PROXIES as u32,
        min_node_connections: 100_000.0,
        max_time_without_line: ms(3_000),
        stop_sending_within: ms(3_000),
        cold_capacity_share: 0.3,
        warm_up_time: ms(12_000),
        cold_overload_factor: 3.0,
    }
}

/// A message that waits in the channel, with all its recipients.
struct Queued {
    lines: f64,
    to: Vec<ConnectionId>,
    message: Rc<Message>,
    since: Time,
}

struct Channel {
    reducer: Reducer,
    now: Time,
    queue: VecDeque<Queued>,
    waiting: f64,
    most: f64,
    /// Acknowledgements on their way; none if proxies do not acknowledge.
    answers: VecDeque<(Time, Input)>,
    mute: bool,
    entered: f64,
    watch: Option<u64>,
    /// Proxies that have received a full table.
    bound: BTreeSet<ConnectionId>,
    /// Drained nodes that each proxy no longer uses, by what has reached it.
    drained: BTreeMap<ConnectionId, BTreeSet<String>>,
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}

fn entry(k: usize, standing: NodeStatus) -> MembershipEntry {
    MembershipEntry {
        node: format!("s-{k}"),
        zone: (k % 2) as u16,
        machine_kind: "m".into(),
        status: standing,
        weight: 1.0,
        started: None,
    }
}

impl Channel {
    fn begin(mute: bool) -> Channel {
        let now = Time::from_ms(1_000_000);
        let start = ReducerConfig {
            settings: service_settings(),
            class_count: 2,
            seed: 7,
            known_list: MembershipUpdate::default(),
            discovery_address: address(),
            max_connections: 3_000,
        };
        let (reducer, effects) = Reducer::start(now, start);
        let mut channel = Channel {
            reducer,
            now,
            queue: VecDeque::new(),
            waiting: 0.0,
            most: 0.0,
            answers: VecDeque::new(),
            mute,
            entered: 0.0,
            watch: None,
            bound: BTreeSet::new(),
            drained: BTreeMap::new(),
        };
        channel.carry_out(effects);
        channel
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::SendMessage(to, message) => {
                    let lines =
                        to.len() as f64 * (message.cost() as f64 + service_settings().message_overhead_lines);
                    self.waiting += lines;
                    self.entered += lines;
                    self.queue.push_back(Queued { lines, to, message, since: self.now });
                }
                Effect::OpenWatch { request_id, .. } => self.watch = Some(request_id),
                _ => {}
            }
        }
        self.most = self.most.max(self.waiting);
    }

    fn arrive(&mut self, queued: &Queued) {
        for conn in &queued.to {
            for part in &queued.message.parts {
                if part.full {
                    self.bound.insert(*conn);
                    let named: BTreeSet<String> = (0..DRAINED).map(|k| format!("s-{k}")).collect();
                    let listed: BTreeSet<String> = part
                        .lines
                        .iter()
                        .filter(|line| line.1 > 0.0)
                        .map(|line| line.0.to_string())
                        .collect();
                    self.drained.insert(*conn, named.difference(&listed).cloned().collect());
                }
                let out = part.eject.iter().map(|name| name.to_string());
                let gone = part.lines.iter().filter(|line| line.1 == 0.0).map(|line| line.0.to_string());
                self.drained.entry(*conn).or_default().extend(out.chain(gone));
                if let Some(mark) = part.mark.filter(|_| !self.mute) {
                    let took = self.now - queued.since + service_settings().mean_delivery_delay;
                    let proxy = ProxyId(conn.0 as _);
                    let said = PeerMessage::Acknowledged { proxy, mark: mark.into(), elapsed: took };
                    self.answers.push_back((
                        self.now + service_settings().mean_delivery_delay,
                        Input::MessageReceived(*conn, said),
                    ));
                }
            }
        }
    }

    fn step(&mut self, mut inputs: Vec<Input>) {
        self.now = self.now + STEP;
        let mut sends = service_settings().channel_lines_per_second * STEP.seconds();
        while sends > 0.0 {
            let Some(front) = self.queue.front_mut() else { break };
            let sent = front.lines.min(sends);
            front.lines -= sent;
            (sends, self.waiting) = (sends - sent, self.waiting - sent);
            if front.lines <= 0.0 {
                let whole = self.queue.pop_front();
                whole.iter().for_each(|queued| self.arrive(queued));
            }
        }
        while let Some((_, answer)) = self.answers.pop_front_if(|(due, _)| *due <= self.now) {
            inputs.push(answer);
        }
        inputs.push(Input::LinesEntered(std::mem::take(&mut self.entered)));
        inputs.push(Input::TimerFired);
        let effects = self.reducer.turn(self.now, inputs);
        self.carry_out(effects);
    }

    fn list(&self, entries: Vec<MembershipEntry>, version: u64, whole: bool) -> Input {
        let number = self.watch.expect("a watch is open");
        Input::MembershipUpdate(
            number,
            MembershipUpdate { version, full: whole, entries, unreadable_entries: 0 },
        )
    }
}

/// Returns how many seconds after the drain a proxy with a table of this conductor could last use a drained node, and the
/// most lines that waited in the channel.
fn play(mute: bool, drained_after: u64) -> (f64, f64) {
    let mut channel = Channel::begin(mute);
    let whole = channel.list((0..NODES).map(|k| entry(k, NodeStatus::Ready)).collect(), 1, true);
    channel.step(vec![whole]);
    let joined = |k: u64| {
        let (proxy, zone) = (ProxyId(k as _), ZoneId((k % 2) as u16));
        let (rate, tags) = (20.0, BTreeMap::new());
        let message = PeerMessage::ProxyJoined {
            proxy,
            zone,
            exchanges_per_second: rate,
            only_standing_tables: false,
            clears_ejections: false,
            tags,
        };
        [
            Input::ConnectionOpened(ConnectionId(k), address()),
            Input::MessageReceived(ConnectionId(k), message),
        ]
    };
    channel.step((0..PROXIES).flat_map(joined).collect());
    (0..drained_after).for_each(|_| channel.step(Vec::new()));
    let drain = channel.list((0..DRAINED).map(|k| entry(k, NodeStatus::Draining)).collect(), 2, false);
    let (told, mut last) = (channel.now, channel.now);
    channel.step(vec![drain]);
    while channel.now < told + Time::from_ms(15_000) {
        channel.step(Vec::new());
        let used = channel.bound.iter().any(|conn| channel.drained[conn].len() < DRAINED);
        last = if used { channel.now } else { last };
    }
    ((last - told).seconds() + service_settings().mean_delivery_delay.seconds(), channel.most)
}

/// Guards against a mass join whose tables fill the channel for longer than a drain may take, and against tables that
/// are estimated without the nodes that they restore.
#[test]
fn a_drain_during_a_mass_join_takes_effect_in_time() {
    let grace = service_settings().stop_sending_within.seconds();
    let sends = service_settings().channel_lines_per_second
        * (service_settings().stop_sending_within - service_settings().max_delivery_delay).seconds();
    // Ejections are added: a line for each node, and the overhead and a mark for each proxy.
    let ejections = PROXIES as f64 * (DRAINED as f64 + service_settings().message_overhead_lines + 1.0);
    for mute in [false, true] {
        for drained_after in [0, 50, 200] {
            let (kept_after, most) = play(mute, drained_after);
            println!(
                "mute {mute}, told after {drained_after} steps: {kept_after:.2} s, {most:.0} lines waited"
            );
            assert!(kept_after <= grace, "{kept_after:.2} s, told after {drained_after} steps, mute {mute}");
            assert!(most <= sends + ejections, "{most:.0} lines waited, {sends:.0} leave within the grace");
        }
    }
}
