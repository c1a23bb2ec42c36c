//! What a host and the decision module say to each other: ids, times, the mandate that is read once at
//! start, and [`Orders`], through which the module answers. No decision is taken here.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::ops::{Add, Sub};

/// A node of the service, as the roster names it. Nothing can be read from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeId(pub [u8; 4], pub u16);

impl Display for NodeId {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        let NodeId([a, b, c, d], port) = self;
        write!(to, "{a}.{b}.{c}.{d}:{port}")
    }
}

/// A proxy, which picks nodes by the tables it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u32);

/// A table: of a conductor's own numbering, or a slice where keys fall into slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

/// A class of exchanges, by its place in the mandate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// A zone, by its place in the mandate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// Another conductor of the same tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// A clock time or a span, in whole tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    pub const fn from_ms(ms: u64) -> Time {
        Time(ms.saturating_mul(10))
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 10_000.0
    }

    /// A span of so many seconds; none for what is negative or no number.
    pub fn from_seconds(seconds: f64) -> Time {
        Time((seconds * 10_000.0) as u64)
    }
}

impl Add for Time {
    type Output = Time;
    fn add(self, span: Time) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Time;
    fn sub(self, earlier: Time) -> Time {
        Time(self.0.saturating_sub(earlier.0))
    }
}

/// A set of classes; none named means all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Classes(pub BTreeSet<ClassId>);

impl Classes {
    pub fn of(class: ClassId) -> Classes {
        Classes(BTreeSet::from([class]))
    }
}

/// Whether an exchange may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Safe,
    /// It carries a key: nodes within `reach` of each other drop a repeat for `window`.
    Keyed {
        reach: Reach,
        window: Time,
    },
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    All,
    Zone,
    Cell,
}

/// The terms of one class of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeTerms {
    pub target: Time,
    pub cut_off: Time,
    pub gain: f64,
    pub repeat: Repeat,
    /// It goes only to nodes of its proxy's zone.
    pub home: bool,
}

/// What proxies do with a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    Share,
    /// Exchanges a second of a class, at each proxy.
    Rate,
    Ignored,
}

/// What a conductor is charged with, read once at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Mandate {
    pub exchanges: Vec<ExchangeTerms>,
    pub zones: u16,
    /// The roster speaks only when asked.
    pub roster_asked: bool,
    /// Without a subscription a conductor counts as told of what was listed this long ago.
    pub ask_within: Time,
    /// How often sums are gathered.
    pub sums_period: Time,
    pub levels: LevelKind,
    /// Slices that keys fall into; 0 for none.
    pub slices: u32,
    /// Lines a second that the channel sends when all is well.
    pub channel_pace: f64,
    /// Lines that each message costs on top of its own.
    pub message_head: f64,
    /// Lines that may wait in the channel.
    pub backlog: f64,
    /// Messages to one proxy within `messages_span`; 0 for no such limit.
    pub messages_most: u32,
    pub messages_span: Time,
    /// Mean and longest way of a message from the channel to a proxy.
    pub way: Time,
    pub way_longest: Time,
    /// Own tries failed in a row for which a proxy keeps away from a node for a while; 0 for no such habit.
    pub strikes: u32,
    /// What a try in another zone than its proxy's costs, in parts of an exchange's gain.
    pub crossing_fee: f64,
    /// All proxies, whichever conductor they are joined to, and the connections that the least nodes accept.
    pub proxies: u32,
    pub conns_least: f64,
    /// How long a joined proxy may lack a line.
    pub bare: Time,
    /// How long proxies may go on sending to a node told as draining or gone.
    pub grace: Time,
    /// A starting node does at least this share of its usual work, and all of it after `warm_up`.
    pub cold_share: f64,
    pub warm_up: Time,
    /// Sent more than this many times what it can do, a cold node falls over.
    pub fall_multiple: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Ready,
    Draining,
    Gone,
}

/// One entry of the roster.
#[derive(Clone, Copy, Debug)]
pub struct Listing {
    pub node: NodeId,
    pub zone: ZoneId,
    /// Its kind of machine.
    pub kind: u8,
    pub standing: Standing,
    pub weight: f64,
    /// When it last started; nothing for long ago.
    pub started: Option<Time>,
}

/// What the joined proxies of a zone met at a node.
#[derive(Clone, Debug)]
pub struct Met {
    pub node: NodeId,
    pub zone: ZoneId,
    pub span: Time,
    pub tries: u32,
    pub lost: u32,
    /// Mean time of the good ones; none if there were none.
    pub mean: Time,
    /// The node's last load report, if there is one: it tells of all its exchanges, whoever ordered them.
    pub load: Option<Load>,
}

/// What a node says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Share of its cores in use.
    pub busy: f64,
    /// Exchanges that wait there for a place.
    pub waiting: f64,
}

/// Exchanges of a class that came to a proxy, or for a slice.
#[derive(Clone, Debug)]
pub struct Asked {
    /// None where they are counted by slice.
    pub proxy: Option<ProxyId>,
    pub class: ClassId,
    pub exchanges: u32,
    /// Let in, but not answered.
    pub lost: u32,
    pub span: Time,
}

/// When proxies try another node of the table, from never on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FurtherTries {
    None,
    IfNeverRan,
    One,
    Two,
}

/// A level without effect: all are let in, whether levels are shares or rates.
pub const ALL_IN: f64 = 1e9;

/// What the module shows of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Look {
    pub now: Time,
    pub nodes: Vec<NodeLook>,
    pub proxies: Vec<ProxyLook>,
    /// Parts that the one table is cut into.
    pub parts: u16,
    /// 0 where the fleet keeps up, 1 where it is tense, 2 where it falls short.
    pub strain: u8,
    /// Exchanges of each class a second, as heard.
    pub demand: Vec<f64>,
    /// When proxies try again, and how much is let in, by class.
    pub levels: Vec<(FurtherTries, f64)>,
}

/// A node as the module sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeLook {
    pub node: NodeId,
    pub zone: ZoneId,
    pub kind: u8,
    pub part: u16,
    /// Neither draining nor gone.
    pub open: bool,
    pub listed: f64,
    /// Its ramp is over, and how much of it is done, 0 to 1.
    pub warm: bool,
    pub done: f64,
    /// Share of its weight that its health leaves it, and whether it is on trial.
    pub ease: f64,
    pub trial: bool,
    /// The weight of its line, 0 for none.
    pub stands: f64,
    /// Tries met there lately, those lost, and the mean time of the good ones in seconds; all fade.
    pub tries: f64,
    pub lost: f64,
    pub mean: f64,
}

/// A joined proxy as the module sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxyLook {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub rate: f64,
    /// None before it is bound.
    pub part: Option<u16>,
}

/// What others than the module would have of its tables. It stays within the module's own bounds: no line is
/// opened, closed or let back by it, a cold node gets no more, and no class gets more tries or is let in more.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// The share of its weight that a node is to stand at; 1 where it is missing.
    pub weights: BTreeMap<NodeId, f64>,
    /// The most further tries, and the most that is let in, by class; no bound where they are missing.
    pub levels: Vec<(FurtherTries, f64)>,
    /// The parts that proxies are to be bound to, where they are open.
    pub parts: BTreeMap<ProxyId, u16>,
}

/// The module's answers. All that is ordered in one turn reaches each proxy concerned as one message.
pub trait Orders {
    /// Sets one line of a table; a weight of 0 removes it.
    fn line(&mut self, table: TableId, node: NodeId, weight: f64);
    /// Removes every line and level of a table.
    fn clear(&mut self, table: TableId);
    /// Sends a proxy a whole table for some classes, and its changes from then on.
    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: Classes);
    /// Nodes (count) that the host may have to let back with a whole table that names them, a line for each.
    fn let_back(&self) -> usize {
        0
    }
    /// Shuts a node out at all joined proxies, whatever their tables say, or lets it back in.
    fn withdraw(&mut self, node: NodeId, out: bool);
    /// Ends a node's withdrawal and drops what is kept of it; no table names it any more. Listed again, it is a
    /// new one.
    fn forget(&mut self, node: NodeId);
    /// Sets how much of some classes is let in, and when proxies try again; no table means everywhere.
    fn level(&mut self, table: Option<TableId>, classes: Classes, tries: FurtherTries, amount: f64);
    /// Has the messages of this turn acknowledged; with `everyone`, proxies it would not reach get one too.
    fn mark(&mut self, mark: u16, everyone: bool);
    /// Asks to be called at a time.
    fn wake(&mut self, at: Time, ring: u64);
    /// Opens or closes the roster's standing subscription.
    fn watch(&mut self, on: bool);
    /// Asks the roster for the whole list, once.
    fn fetch(&mut self);
    /// Asks a node for a sign of life.
    fn probe(&mut self, node: NodeId);
    /// Sends a short message to one peer, or to all.
    fn tell(&mut self, peer: Option<PeerId>, message: &[u8]);
    /// Writes a line to the conductor's log, about one node or none.
    fn note(&mut self, node: Option<NodeId>, text: &str);
    /// Reports a failure of the module itself.
    fn fault(&mut self, text: &str);
}
