//! Checks the five rules from outside. The checker is fed, in chronological order, with what each conductor was sent by
//! discovery and what each proxy received, and records every violation. It is independent of how a conductor decides.

mod cold;
mod drains;
mod lines;
mod policies;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::Serialize;

use crate::core::channel::Channel;
use crate::core::fleet::{NodeState, NodeStatus};
use crate::core::ids::{ClassIndex, ConductorIndex, Micros, NodeIndex, ProxyIndex};
use crate::core::message::Message;
use crate::core::proxy_table::ProxyTable;
use crate::core::push::Part;
use crate::core::rule_limits::RuleLimits;

/// How often rules that can be broken by time alone are checked.
const SWEEP_INTERVAL: Micros = Micros::from_millis(50);
/// How often the loads of cold nodes are checked.
const COLD_SWEEP_INTERVAL: Micros = Micros::from_millis(250);
/// Violations of each rule that are kept in full; all are counted.
const MAX_KEPT_VIOLATIONS: usize = 20;

/// The rules. Reports print the `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Rule 1: a joined proxy is without a usable line for too long.
    WithoutLine,
    /// Rule 2: the retry policy of a class may run a request twice.
    RunTwice,
    /// Rule 3: a draining or gone node is still used after the time limit.
    Drain,
    /// Rule 4: a cold node is overloaded.
    ColdNode,
    /// Rule 5: too many lines wait in a channel.
    Queue,
    /// Rule 5: one proxy is sent more messages than the limit allows.
    Messages,
}

/// One violation of a rule. Reports print the `Debug` form.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub conductor: Option<ConductorIndex>,
    pub proxy: Option<ProxyIndex>,
    pub node: Option<NodeIndex>,
    pub class: Option<ClassIndex>,
}

/// Why a stream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The network failed or the conductor died: the proxy counts as left.
    Broken,
    /// The conductor closed the stream, or caused its loss by what it wrote or failed to read: time limits keep running.
    ByConductor,
}

/// What a conductor was last sent about a node.
#[derive(Clone, Copy, Debug)]
struct KnownNode {
    status: NodeStatus,
    /// When the conductor was sent it. For a draining node that is gone by now, when it was first reported as draining.
    at: Micros,
}

/// What the checker knows of one conductor.
#[derive(Clone, Debug)]
struct Conductor {
    /// When its time limits begin; `None` before its first answer.
    limits_apply_from: Option<Micros>,
    /// The list as it was sent to the conductor.
    nodes: BTreeMap<NodeIndex, KnownNode>,
    /// Nodes of the list that are draining or gone.
    draining: BTreeSet<NodeIndex>,
    /// Active nodes of the list, by the time at which they are warm.
    warm_times: BTreeSet<(Micros, NodeIndex)>,
    /// When the list last changed.
    list_changed_at: Micros,
    /// Since when the list has had a warm node; `None` if it has none.
    warm_since: Option<Micros>,
    channel: Channel,
}

impl Conductor {
    /// Returns a conductor that has not answered yet and was sent nothing.
    fn new(lines_per_second: f64) -> Conductor {
        Conductor {
            limits_apply_from: None,
            nodes: BTreeMap::new(),
            draining: BTreeSet::new(),
            warm_times: BTreeSet::new(),
            list_changed_at: Micros::default(),
            warm_since: None,
            channel: Channel::new(lines_per_second),
        }
    }
}

/// What the checker knows of one proxy.
#[derive(Clone, Debug)]
struct Proxy {
    table: ProxyTable,
    /// The conductor that the proxy has joined, if any.
    conductor: Option<ConductorIndex>,
    /// When the proxy joined it.
    joined_at: Micros,
    /// Requests per second, as the proxy reported them.
    rate: f64,
    /// When the proxy last applied a message.
    last_message: Option<Micros>,
    /// When messages arrived within the window of the message limit; empty where there is no such limit.
    messages: VecDeque<Micros>,
}

/// A time limit that has to be checked when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Deadline {
    /// No proxy of the conductor may use the draining node any more.
    Drain(ConductorIndex, NodeIndex),
    /// The proxy may not use any node that was draining when it joined.
    Joined(ProxyIndex),
}

/// A class of a proxy without a usable line.
#[derive(Clone, Copy, Debug)]
struct MissingLine {
    since: Micros,
    /// Whether it was recorded as a violation.
    recorded: bool,
}

/// A cold node with more load than it withstands.
#[derive(Clone, Copy, Debug)]
struct Overload {
    since: Micros,
    /// Whether it was recorded as a violation.
    recorded: bool,
}

/// The state of all checks.
#[derive(Clone, Debug)]
pub struct Checker {
    limits: RuleLimits,
    /// Indexed by conductor.
    conductors: Vec<Conductor>,
    /// Indexed by proxy.
    proxies: Vec<Proxy>,
    /// Time limits that have not expired yet.
    deadlines: BTreeSet<(Micros, Deadline)>,
    missing_lines: BTreeMap<(ProxyIndex, ClassIndex), MissingLine>,
    /// Nodes that are still warming up, with the time of their start.
    cold: BTreeMap<NodeIndex, Micros>,
    /// Those of the cold nodes that are overloaded.
    overloads: BTreeMap<NodeIndex, Overload>,
    /// When the rules that can be broken by time alone were last checked.
    last_sweep: Micros,
    /// When the loads of cold nodes were last checked.
    last_cold_sweep: Micros,
    /// Number of violations of each rule.
    violation_counts: BTreeMap<Rule, u64>,
    /// The first violations of each rule.
    violations: Vec<Violation>,
}

impl Checker {
    /// Returns a checker for conductors that have not answered yet and proxies that have not joined yet.
    pub fn new(limits: RuleLimits, conductors: u16, proxies: u16) -> Checker {
        let conductor = Conductor::new(limits.lines_per_second);
        let proxy = Proxy {
            table: ProxyTable::new(limits.max_policy.len()),
            conductor: None,
            joined_at: Micros::default(),
            rate: 0.0,
            last_message: None,
            messages: VecDeque::new(),
        };
        Checker {
            limits,
            conductors: vec![conductor; usize::from(conductors)],
            proxies: vec![proxy; usize::from(proxies)],
            deadlines: BTreeSet::new(),
            missing_lines: BTreeMap::new(),
            cold: BTreeMap::new(),
            overloads: BTreeMap::new(),
            last_sweep: Micros::default(),
            last_cold_sweep: Micros::default(),
            violation_counts: BTreeMap::new(),
            violations: Vec::new(),
        }
    }

    /// Returns how often each rule was broken. Rules without a violation have no entry.
    pub fn violation_counts(&self) -> &BTreeMap<Rule, u64> {
        &self.violation_counts
    }

    /// Returns the first violations of each rule.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Returns the tables of a proxy.
    pub fn table(&self, proxy: ProxyIndex) -> Option<&ProxyTable> {
        self.proxies.get(usize::from(proxy.0)).map(|proxy| &proxy.table)
    }

    /// Returns the most lines that were waiting in any channel at any time.
    pub fn peak_lines(&self) -> f64 {
        self.conductors.iter().map(|conductor| conductor.channel.peak_lines()).fold(0.0, f64::max)
    }

    fn conductor(&self, conductor: ConductorIndex) -> Option<&Conductor> {
        self.conductors.get(usize::from(conductor.0))
    }

    fn conductor_mut(&mut self, conductor: ConductorIndex) -> Option<&mut Conductor> {
        self.conductors.get_mut(usize::from(conductor.0))
    }

    fn proxy(&self, proxy: ProxyIndex) -> Option<&Proxy> {
        self.proxies.get(usize::from(proxy.0))
    }

    fn proxy_mut(&mut self, proxy: ProxyIndex) -> Option<&mut Proxy> {
        self.proxies.get_mut(usize::from(proxy.0))
    }

    fn record(&mut self, violation: Violation) {
        let count = self.violation_counts.entry(violation.rule).or_default();
        *count += 1;
        if *count <= MAX_KEPT_VIOLATIONS as u64 {
            self.violations.push(violation);
        }
    }
}

impl Checker {
    /// Handles the first answer of a conductor after its start: its time limits begin.
    pub fn conductor_answered(&mut self, now: Micros, conductor: ConductorIndex) {
        self.advance(now);
        let limits_apply_from = now + self.limits.start_delay;
        let Some(state) = self.conductor_mut(conductor) else { return };
        state.limits_apply_from = Some(limits_apply_from);
        let draining = state.draining.clone();
        let due = limits_apply_from + self.limits.stop_sending_within + self.limits.slack;
        self.deadlines.extend(draining.into_iter().map(|node| (due, Deadline::Drain(conductor, node))));
    }

    /// Handles the death of a conductor: its successor has been sent nothing.
    pub fn conductor_died(&mut self, now: Micros, conductor: ConductorIndex) {
        self.advance(now);
        let fresh = Conductor::new(self.limits.lines_per_second);
        if let Some(state) = self.conductor_mut(conductor) {
            *state = fresh;
        }
    }

    /// Handles a change of one node that was sent to a conductor.
    pub fn node_changed(
        &mut self,
        now: Micros,
        conductor: ConductorIndex,
        node: NodeIndex,
        status: NodeStatus,
    ) {
        self.advance(now);
        self.update_node(now, conductor, node, status);
        self.update_warm_since(now, conductor);
    }

    /// Handles the whole list that was sent to a conductor.
    pub fn list_received(&mut self, now: Micros, conductor: ConductorIndex, list: &[NodeStatus]) {
        self.advance(now);
        for (node, status) in list.iter().enumerate() {
            self.update_node(now, conductor, NodeIndex(node as u32), *status);
        }
        self.update_warm_since(now, conductor);
    }

    /// Treats a list as sent to a conductor, except for the nodes that it was sent already.
    pub fn list_assumed_received(&mut self, now: Micros, conductor: ConductorIndex, list: &[NodeStatus]) {
        self.advance(now);
        for (node, status) in list.iter().enumerate() {
            let node = NodeIndex(node as u32);
            if self.conductor(conductor).is_some_and(|state| !state.nodes.contains_key(&node)) {
                self.update_node(now, conductor, node, *status);
            }
        }
        self.update_warm_since(now, conductor);
    }

    fn update_node(&mut self, now: Micros, conductor: ConductorIndex, node: NodeIndex, status: NodeStatus) {
        let warm_up = self.limits.warm_up;
        let limit = self.limits.stop_sending_within + self.limits.slack;
        let Some(state) = self.conductor_mut(conductor) else { return };
        let previous = state.nodes.get(&node).copied();
        if previous.is_some_and(|previous| previous.status == status) {
            return;
        }
        state.list_changed_at = now;
        if let Some(previous) = previous {
            state.warm_times.remove(&(warm_at(previous.status, warm_up), node));
        }
        // The time limit of a draining node runs from the first report of the drain, even if it is gone by now.
        let was_draining = status.state != NodeState::Active && state.draining.contains(&node);
        let at = previous.filter(|_| was_draining).map_or(now, |previous| previous.at);
        state.nodes.insert(node, KnownNode { status, at });
        if status.state == NodeState::Active {
            state.draining.remove(&node);
            state.warm_times.insert((warm_at(status, warm_up), node));
            if let Some(started) = status.started.filter(|started| *started + warm_up > now) {
                self.cold.insert(node, started);
            }
        } else if state.draining.insert(node) {
            let due = state.limits_apply_from.map(|start| start.max(now) + limit);
            self.deadlines.extend(due.map(|due| (due, Deadline::Drain(conductor, node))));
            self.cold.remove(&node);
            self.overloads.remove(&node);
        }
    }

    /// Handles the start of a proxy, with a table of nodes that it sampled from the list.
    pub fn proxy_started(&mut self, now: Micros, proxy: ProxyIndex, nodes: &[NodeIndex]) {
        self.advance(now);
        let lines = nodes.iter().map(|node| (*node, 1.0)).collect();
        let initial_table = Part { full: true, lines, ..Part::default() };
        if let Some(state) = self.proxy_mut(proxy) {
            state.table.apply(&initial_table);
        }
    }

    /// Handles the joining of a proxy at a conductor. `rate` is the number of requests per second that it reports.
    pub fn proxy_joined(&mut self, now: Micros, proxy: ProxyIndex, conductor: ConductorIndex, rate: f64) {
        self.advance(now);
        let limit = self.limits.stop_sending_within + self.limits.slack;
        let Some(state) = self.proxy_mut(proxy) else { return };
        state.conductor = Some(conductor);
        state.joined_at = now;
        state.rate = rate;
        state.messages.clear();
        self.deadlines.insert((now + limit, Deadline::Joined(proxy)));
        self.track_missing_lines(now, proxy);
    }

    /// Handles the end of a proxy's stream.
    pub fn proxy_left(&mut self, now: Micros, proxy: ProxyIndex, end: StreamEnd) {
        self.advance(now);
        if end == StreamEnd::ByConductor {
            return;
        }
        self.missing_lines.retain(|(without_line, _), _| *without_line != proxy);
        if let Some(state) = self.proxy_mut(proxy) {
            state.conductor = None;
        }
    }

    /// Handles the last byte of a message: the message is enqueued. Returns when it will have left the channel.
    pub fn message_received(&mut self, now: Micros, proxy: ProxyIndex, message: &Message) -> Micros {
        self.advance(now);
        let lines = message.lines_counted() as f64 + self.limits.message_head;
        let Some(conductor) = self.proxy(proxy).and_then(|proxy| proxy.conductor) else { return now };
        self.count_message(now, conductor, proxy);
        let max_waiting_lines = self.limits.max_waiting_lines;
        let Some(state) = self.conductor_mut(conductor) else { return now };
        let leaves_at = state.channel.enqueue(now, lines);
        if state.channel.waiting_lines(now) > max_waiting_lines {
            self.record(Violation { proxy: Some(proxy), ..conductor_violation(Rule::Queue, now, conductor) });
        }
        leaves_at
    }

    fn count_message(&mut self, now: Micros, conductor: ConductorIndex, proxy: ProxyIndex) {
        let max_messages = self.limits.max_messages as usize;
        let window = self.limits.message_window;
        let Some(state) = self.proxy_mut(proxy).filter(|_| max_messages > 0) else { return };
        state.messages.push_back(now);
        while state.messages.front().is_some_and(|at| *at + window <= now) {
            state.messages.pop_front();
        }
        if state.messages.len() > max_messages {
            self.record(Violation {
                proxy: Some(proxy),
                ..conductor_violation(Rule::Messages, now, conductor)
            });
        }
    }

    /// Handles a message that a proxy applies.
    pub fn message_applied(&mut self, now: Micros, proxy: ProxyIndex, message: &Message) {
        self.advance(now);
        self.check_missing_lines(now, proxy);
        let Some(state) = self.proxy_mut(proxy) else { return };
        message.parts.iter().for_each(|part| state.table.apply(part));
        state.last_message = Some(now);
        self.track_missing_lines(now, proxy);
        self.check_retry_policies(now, proxy, message);
        self.check_reuse(now, proxy, message);
    }

    /// Advances the clock, and checks the time limits that have expired by `now`.
    pub fn advance(&mut self, now: Micros) {
        while let Some((due, deadline)) = self.deadlines.first().copied().filter(|(due, _)| *due < now) {
            self.deadlines.remove(&(due, deadline));
            self.check_deadline(due, deadline);
        }
        if now >= self.last_sweep + SWEEP_INTERVAL {
            self.last_sweep = now;
            for conductor in 0..self.conductors.len() {
                self.update_warm_since(now, ConductorIndex(conductor as u16));
            }
            let without_line: Vec<ProxyIndex> = self.missing_lines.keys().map(|(proxy, _)| *proxy).collect();
            without_line.into_iter().for_each(|proxy| self.check_missing_lines(now, proxy));
        }
        if now >= self.last_cold_sweep + COLD_SWEEP_INTERVAL {
            self.last_cold_sweep = now;
            self.check_cold(now);
        }
    }
}

/// Returns when a node is warm: time 0 if it started before the test.
fn warm_at(status: NodeStatus, warm_up: Micros) -> Micros {
    status.started.map_or(Micros::default(), |started| started + warm_up)
}

/// Returns a violation by one conductor, without further details.
fn conductor_violation(rule: Rule, at: Micros, conductor: ConductorIndex) -> Violation {
    Violation { rule, at, conductor: Some(conductor), proxy: None, node: None, class: None }
}
