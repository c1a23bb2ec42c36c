//! What all proxies of a run hold and were sent, as seen from their side.

use std::collections::BTreeSet;
use std::rc::Rc;

use super::channel::Channel;
use super::fleet::{Change, NodeState};
use super::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use super::order::Part;
use super::propagation::Propagation;
use super::proxy_table::ProxyTable;

/// A complete message to one proxy.
#[derive(Clone, Debug)]
pub struct Message {
    pub parts: Vec<Rc<Part>>,
    /// When its last byte came.
    pub received: Micros,
}

impl Message {
    /// Lines that it counts in the channel, without its head.
    pub fn lines_counted(&self) -> usize {
        self.parts.iter().map(|part| part.lines_counted()).sum()
    }

    /// The mark that is to be answered.
    pub fn mark(&self) -> Option<u64> {
        self.parts.iter().filter_map(|part| part.mark).next_back()
    }

    fn is_full(&self) -> bool {
        self.parts.iter().any(|part| part.full)
    }
}

/// What was counted of a stream or of all, each way.
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

/// One proxy as it stands.
#[derive(Clone, Debug)]
struct Proxy {
    table: ProxyTable,
    conductor: Option<ConductorIndex>,
    /// When it joined, and when it was first sent a whole table after that.
    joined: Option<Micros>,
    bound: Option<Micros>,
    /// Neither its times nor its lines are waited for: it is one of those that hang.
    hangs: bool,
}

/// What a run knows of the proxies and the channels before them.
#[derive(Clone, Debug)]
pub struct Observer {
    proxies: Vec<Proxy>,
    channels: Vec<Channel>,
    /// Lines that each message costs beside its own.
    message_head: f64,
    pub propagation: Propagation,
    pub traffic: Traffic,
    /// Streams that a conductor ended, by itself or by its end.
    pub streams_ended: u64,
    /// Streams reset for what could not be used.
    pub streams_unusable: u64,
}

impl Observer {
    pub fn new(proxies: u16, classes: usize, channels: Vec<Channel>, message_head: f64) -> Observer {
        let proxy = Proxy {
            table: ProxyTable::new(classes),
            conductor: None,
            joined: None,
            bound: None,
            hangs: false,
        };
        Observer {
            proxies: vec![proxy; usize::from(proxies)],
            channels,
            message_head,
            propagation: Propagation::default(),
            traffic: Traffic::default(),
            streams_ended: 0,
            streams_unusable: 0,
        }
    }

    fn proxy(&mut self, proxy: ProxyIndex) -> Option<&mut Proxy> {
        self.proxies.get_mut(usize::from(proxy.0))
    }

    pub fn joined(&mut self, now: Micros, proxy: ProxyIndex, conductor: ConductorIndex, hangs: bool) {
        if let Some(proxy) = self.proxy(proxy) {
            (proxy.conductor, proxy.joined, proxy.bound) = (Some(conductor), Some(now), None);
            proxy.hangs = hangs;
        }
    }

    /// A proxy's stream has ended, by the run's doing or the conductor's: it goes by what it holds until it joins
    /// again.
    pub fn left(&mut self, now: Micros, proxy: ProxyIndex, by_run: bool) {
        self.streams_ended += u64::from(!by_run);
        if let Some(known) = self.proxy(proxy) {
            (known.conductor, known.joined, known.bound) = (None, None, None);
        }
        self.propagation.leave(now, proxy);
    }

    /// A message's last byte has come: it enters the channel. Tells when it will have left that.
    pub fn entered(&mut self, proxy: ProxyIndex, message: &Message) -> Micros {
        let lines = message.lines_counted() as f64 + self.message_head;
        self.traffic.messages_to_proxies += 1;
        self.traffic.lines_to_proxies += message.lines_counted() as u64;
        let Some(known) = self.proxies.get_mut(usize::from(proxy.0)) else { return message.received };
        if message.is_full() && known.bound.is_none() {
            known.bound = Some(message.received);
        }
        let channel = known.conductor.and_then(|conductor| self.channels.get_mut(usize::from(conductor.0)));
        channel.map_or(message.received, |channel| channel.enter(message.received, lines))
    }

    /// A proxy applies a message, which reached it when that was received.
    pub fn applied(&mut self, proxy: ProxyIndex, message: &Message) {
        let Some(known) = self.proxies.get_mut(usize::from(proxy.0)) else { return };
        message.parts.iter().for_each(|part| known.table.apply(part));
        let unused: Vec<NodeIndex> =
            self.propagation.open().filter(|node| !known.table.uses(*node)).collect();
        unused.iter().for_each(|node| self.propagation.reached(message.received, *node, proxy));
    }

    /// Discovery has changed an entry of its list.
    pub fn changed(&mut self, now: Micros, change: Change) {
        match change.listed.state {
            NodeState::Active => self.propagation.readmit(change.node),
            NodeState::Leaving | NodeState::Left => {
                let users = self.users(change.node);
                self.propagation.withdraw(now, change.node, users);
            }
        }
    }

    /// Joined proxies that are waited for and use a node.
    fn users(&self, node: NodeIndex) -> BTreeSet<ProxyIndex> {
        let uses = |(_, proxy): &(usize, &Proxy)| {
            !proxy.hangs && proxy.conductor.is_some() && proxy.table.uses(node)
        };
        let number = |(number, _): (usize, &Proxy)| ProxyIndex(number as u16);
        self.proxies.iter().enumerate().filter(uses).map(number).collect()
    }

    /// Proxies that have no whole table of their stream yet, of those that are waited for.
    pub fn unbound(&self) -> usize {
        self.proxies.iter().filter(|proxy| !proxy.hangs && proxy.bound.is_none()).count()
    }

    /// Proxies without a line to pick for some class, of those that are waited for.
    pub fn without_lines(&self) -> usize {
        self.proxies.iter().filter(|proxy| !proxy.hangs && !proxy.table.has_lines()).count()
    }

    /// When the last proxy was sent its whole table, once all have theirs.
    pub fn all_bound(&self) -> Option<Micros> {
        let waited = self.proxies.iter().filter(|proxy| !proxy.hangs);
        waited.map(|proxy| proxy.bound).collect::<Option<Vec<Micros>>>()?.into_iter().max()
    }

    /// The most lines that waited in any channel.
    pub fn peak_lines(&self) -> f64 {
        self.channels.iter().map(Channel::peak_lines).fold(0.0, f64::max)
    }
}
