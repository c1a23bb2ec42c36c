//! Observes the proxies and conductors of a test: which proxies have a table, the traffic, the propagation of changes
//! and the rules.

use std::collections::BTreeSet;

use super::checker::{Checker, StreamEnd};
use super::fleet::{Change, NodeState};
use super::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use super::message::Message;
use super::propagation::Propagation;
use super::proxy_table::ProxyTable;
use super::rule_limits::RuleLimits;

/// Counters of the traffic between discovery, conductors and proxies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub bytes_to_proxies: u64,
    pub messages_to_proxies: u64,
    pub lines_to_proxies: u64,
    pub bytes_from_proxies: u64,
    pub messages_from_proxies: u64,
    pub bytes_from_discovery: u64,
    pub documents_from_discovery: u64,
}

/// The state of one proxy.
#[derive(Clone, Copy, Debug, Default)]
struct Proxy {
    joined: bool,
    /// Whether the proxy was sent a full table since it joined.
    has_table: bool,
    /// Whether the proxy hangs on purpose. Its tables and the changes that it receives are not measured.
    hangs: bool,
}

/// Collects what is seen from outside during a test.
#[derive(Clone, Debug)]
pub struct Observer {
    /// Indexed by proxy.
    proxies: Vec<Proxy>,
    pub checker: Checker,
    pub propagation: Propagation,
    pub traffic: Traffic,
    /// Streams that a conductor ended or lost, by itself or by its own end.
    pub streams_ended: u64,
    /// Streams that a proxy closed because of a line that can't be decoded.
    pub streams_unusable: u64,
}

impl Observer {
    /// Returns an observer of proxies that have not joined yet.
    pub fn new(limits: RuleLimits, conductors: u16, proxies: u16) -> Observer {
        Observer {
            proxies: vec![Proxy::default(); usize::from(proxies)],
            checker: Checker::new(limits, conductors, proxies),
            propagation: Propagation::default(),
            traffic: Traffic::default(),
            streams_ended: 0,
            streams_unusable: 0,
        }
    }

    /// Handles the joining of a proxy at a conductor. `rate` is the number of requests per second that it reports.
    pub fn proxy_joined(&mut self, now: Micros, proxy: ProxyIndex, conductor: ConductorIndex, rate: f64) {
        if let Some(state) = self.proxies.get_mut(usize::from(proxy.0)) {
            *state = Proxy { joined: true, has_table: false, hangs: false };
        }
        self.checker.proxy_joined(now, proxy, conductor, rate);
    }

    /// Handles the joining of a proxy that neither reads nor acknowledges. The rules are not checked for it.
    pub fn hanging_proxy_joined(&mut self, proxy: ProxyIndex) {
        if let Some(state) = self.proxies.get_mut(usize::from(proxy.0)) {
            *state = Proxy { joined: true, has_table: false, hangs: true };
        }
    }

    /// Handles the end of a proxy's stream. The proxy keeps its tables until it joins again.
    pub fn proxy_left(&mut self, now: Micros, proxy: ProxyIndex, end: StreamEnd) {
        self.streams_ended += u64::from(end == StreamEnd::ByConductor);
        if let Some(state) = self.proxies.get_mut(usize::from(proxy.0)) {
            state.joined = false;
            state.has_table = false;
        }
        self.propagation.proxy_left(now, proxy);
        self.checker.proxy_left(now, proxy, end);
    }

    /// Handles the last byte of a message. Returns when the message will have left the channel.
    pub fn message_received(&mut self, proxy: ProxyIndex, message: &Message) -> Micros {
        self.traffic.messages_to_proxies += 1;
        self.traffic.lines_to_proxies += message.lines_counted() as u64;
        if let Some(state) = self.proxies.get_mut(usize::from(proxy.0)) {
            state.has_table |= message.is_full();
        }
        self.checker.message_received(message.received, proxy, message)
    }

    /// Handles a message that a proxy applies. Its changes count as propagated when the message was received.
    pub fn message_applied(&mut self, now: Micros, proxy: ProxyIndex, message: &Message) {
        self.checker.message_applied(now, proxy, message);
        let Some(table) = self.checker.table(proxy) else { return };
        let updated: Vec<NodeIndex> = self.propagation.pending().filter(|node| !table.uses(*node)).collect();
        updated.iter().for_each(|node| self.propagation.proxy_updated(message.received, *node, proxy));
    }

    /// Handles a change of the list at discovery.
    pub fn list_changed(&mut self, now: Micros, change: Change) {
        match change.status.state {
            NodeState::Active => self.propagation.readmit(change.node),
            NodeState::Leaving | NodeState::Left => {
                let users = self.proxies_using(change.node);
                self.propagation.withdraw(now, change.node, users);
            }
        }
    }

    /// Returns the joined proxies that use a node. Those that are still waiting for their table may be sent the node,
    /// and are included; hanging ones are not.
    fn proxies_using(&self, node: NodeIndex) -> BTreeSet<ProxyIndex> {
        let is_measured = |(_, state): &(ProxyIndex, &Proxy)| state.joined && !state.hangs;
        let uses_node = |proxy: ProxyIndex| self.table(proxy).is_some_and(|table| table.uses(node));
        self.indexed_proxies()
            .filter(is_measured)
            .filter(|(proxy, state)| !state.has_table || uses_node(*proxy))
            .map(|(proxy, _)| proxy)
            .collect()
    }

    fn indexed_proxies(&self) -> impl Iterator<Item = (ProxyIndex, &Proxy)> {
        self.proxies.iter().enumerate().map(|(proxy, state)| (ProxyIndex(proxy as u16), state))
    }

    fn table(&self, proxy: ProxyIndex) -> Option<&ProxyTable> {
        self.checker.table(proxy)
    }

    /// Returns the number of proxies that are not joined.
    pub fn not_joined(&self) -> usize {
        self.proxies.iter().filter(|proxy| !proxy.joined).count()
    }

    /// Returns the number of proxies that have not been sent a full table on their stream, hanging ones excluded.
    pub fn without_table(&self) -> usize {
        self.proxies.iter().filter(|state| !state.hangs && !state.has_table).count()
    }

    /// Returns the number of proxies without a usable line for some class, hanging ones excluded.
    pub fn without_lines(&self) -> usize {
        let lacks_lines = |proxy: ProxyIndex| self.table(proxy).is_none_or(|table| !table.has_lines());
        self.indexed_proxies().filter(|(proxy, state)| !state.hangs && lacks_lines(*proxy)).count()
    }
}
