//! The types that a host and the decision module exchange: ids, times, reports, the settings that are read
//! once at start, and [`Orders`], through which the module answers. No decision is taken here.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::ops::{Add, Sub};

/// A node of the service: its address and port, as the roster lists it. The module treats it as an opaque id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct NodeId(pub [u8; 4], pub u16);

impl Display for NodeId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let NodeId([a, b, c, d], port) = self;
        write!(formatter, "{a}.{b}.{c}.{d}:{port}")
    }
}

/// A proxy, which picks nodes by the tables that it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u32);

/// A table. Each conductor numbers its own; where keys fall into slices, the number is that of the slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

/// A class of exchanges: its index in [`ServiceSettings::class_terms`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u16);

/// A zone: its index in the list of zones of the settings.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// Another conductor of the same tier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// A point in time or a duration, in tenths of a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub u64);

impl Time {
    /// Converts from milliseconds. Saturates.
    pub const fn from_ms(ms: u64) -> Time {
        Time(ms.saturating_mul(10))
    }

    /// Returns the duration in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 10_000.0
    }

    /// Converts from seconds. A negative number or NaN gives a duration of zero.
    pub fn from_seconds(seconds: f64) -> Time {
        Time((seconds * 10_000.0) as u64)
    }
}

/// Saturates at the greatest time.
impl Add for Time {
    type Output = Time;
    fn add(self, duration: Time) -> Time {
        Time(self.0.saturating_add(duration.0))
    }
}

/// Saturates at zero.
impl Sub for Time {
    type Output = Time;
    fn sub(self, earlier: Time) -> Time {
        Time(self.0.saturating_sub(earlier.0))
    }
}

/// A set of classes. The empty set stands for all classes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassSet(pub BTreeSet<ClassId>);

impl ClassSet {
    /// Returns the set that contains one class only.
    pub fn only(class: ClassId) -> ClassSet {
        ClassSet(BTreeSet::from([class]))
    }
}

/// Whether an exchange may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated execution has no further effect.
    Safe,
    /// Exchanges carry a deduplication key.
    Keyed {
        /// Nodes that recognize each other's keys.
        scope: DedupScope,
        /// How long a node remembers a key.
        window: Time,
    },
    /// A repeated execution has a second effect.
    Unsafe,
}

/// The nodes among which a repeated key is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All nodes of the service.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}

/// The terms of one class of exchanges.
#[derive(Clone, Debug, PartialEq)]
pub struct ExchangeTerms {
    /// Time within which an answer is promised.
    pub target_time: Time,
    /// Time after which an exchange is given up.
    pub deadline: Time,
    /// Value of an answered exchange, relative to other classes.
    pub gain: f64,
    /// Whether an exchange may be tried again.
    pub idempotency: Idempotency,
    /// Whether an exchange may go only to nodes in its proxy's zone.
    pub own_zone_only: bool,
}

/// How proxies interpret an admission level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelKind {
    /// The share of a class's exchanges that is admitted.
    Share,
    /// Exchanges of a class that each proxy admits per second.
    Rate,
    /// Proxies ignore levels.
    Ignored,
}

/// What a conductor knows of its service and its environment, read once at start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The terms of each class, indexed by [`ClassId`].
    pub class_terms: Vec<ExchangeTerms>,
    /// Number of zones.
    pub zone_count: u16,
    /// Whether the roster sends its list and its changes only on request.
    pub roster_on_request: bool,
    /// Without a roster subscription, a conductor is held to know every change that is older than this.
    pub max_roster_age: Time,
    /// Interval at which collectors report summaries of tries.
    pub summary_period: Time,
    /// How proxies interpret admission levels.
    pub level_kind: LevelKind,
    /// Number of slices that keys fall into; 0 where keys have none.
    pub slice_count: u32,
    /// Lines per second that the channel sends while it is healthy.
    pub channel_lines_per_second: f64,
    /// What each message costs beyond its own lines, in lines.
    pub message_overhead_lines: f64,
    /// Number of lines that may wait in the channel.
    pub max_queued_lines: f64,
    /// Number of messages that may be sent to one proxy within `message_window`; 0 for no limit.
    pub max_messages: u32,
    /// The window of `max_messages`.
    pub message_window: Time,
    /// Mean delay of a message between the channel and a proxy.
    pub mean_delivery_delay: Time,
    /// Longest delay of a message between the channel and a proxy.
    pub max_delivery_delay: Time,
    /// Number of consecutive failed tries of its own after which a proxy avoids a node for a while; 0 if
    /// proxies never do.
    pub avoid_after_failures: u32,
    /// Cost of a try in another zone than the proxy's, as a part of an exchange's gain.
    pub cross_zone_fee: f64,
    /// Number of proxies, whichever conductor they have joined.
    pub proxy_count: u32,
    /// Connections that the smallest nodes accept.
    pub min_node_connections: f64,
    /// How long a joined proxy may have no line in its table.
    pub max_time_without_line: Time,
    /// How long proxies may keep sending to a node after the roster has reported it as draining or gone.
    pub stop_sending_within: Time,
    /// Share of its usual work that a node can do right after its start.
    pub cold_capacity_share: f64,
    /// Time after its start from which a node can do all of its usual work.
    pub warm_up_time: Time,
    /// A cold node collapses when it is sent more than this many times the work that it can do.
    pub cold_overload_factor: f64,
}

/// The status of a node in the roster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeStatus {
    /// Proxies may send to it.
    Ready,
    /// It finishes its work and takes no more.
    Draining,
    /// It has left the service.
    Gone,
}

/// One entry of the roster.
#[derive(Clone, Copy, Debug)]
pub struct RosterEntry {
    /// The node.
    pub node: NodeId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Number of its kind of machine.
    pub machine_kind: u8,
    /// Whether it may be sent to.
    pub status: NodeStatus,
    /// Weight that its operators give it; the module replaces an unusable one by 1.
    pub weight: f64,
    /// When it last started, or `None` if that is long ago.
    pub started: Option<Time>,
}

/// Summary of the tries that the joined proxies of one zone made at one node.
#[derive(Clone, Debug)]
pub struct TrySummary {
    /// The node that was tried.
    pub node: NodeId,
    /// The zone of the proxies.
    pub zone: ZoneId,
    /// The period that the summary covers.
    pub period: Time,
    /// Tries that ended within the period.
    pub tries: u32,
    /// Those of them that brought no good answer.
    pub failed: u32,
    /// Mean time of the successful tries; zero if there were none.
    pub mean_time: Time,
    /// The node's last load report, if there is one. It covers all its exchanges, whichever conductor's
    /// proxies sent them.
    pub load: Option<LoadReport>,
}

/// What a node reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its cores in use.
    pub cpu_share: f64,
    /// Exchanges that wait at the node until they can be executed.
    pub queued: f64,
}

/// Exchanges of one class that arrived at a proxy, or for a slice.
#[derive(Clone, Debug)]
pub struct DemandReport {
    /// The proxy, or `None` where exchanges are counted by slice.
    pub proxy: Option<ProxyId>,
    /// The class of the exchanges.
    pub class: ClassId,
    /// Exchanges that arrived within the period.
    pub exchanges: u32,
    /// Exchanges that were admitted and not answered.
    pub unanswered: u32,
    /// The period that the report covers.
    pub period: Time,
}

/// When proxies try another node of the table after a failed try, in increasing order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryPolicy {
    /// No further try.
    Never,
    /// Only where the exchange was certainly not executed.
    IfNeverRan,
    /// One further try.
    Once,
    /// Two further tries.
    Twice,
}

/// A level without effect: every exchange is admitted, whether levels are shares or rates.
pub const ADMIT_ALL: f64 = 1e9;

/// The state of the module's decisions at one time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalanceSnapshot {
    /// When it was taken.
    pub now: Time,
    /// The listed nodes.
    pub nodes: Vec<NodeSnapshot>,
    /// The joined proxies.
    pub proxies: Vec<ProxySnapshot>,
    /// Number of parts that the shared table is divided into.
    pub part_count: u16,
    /// 0 while the fleet keeps up with its work, 1 while it is tense, 2 while it falls short.
    pub strain: u8,
    /// Reported exchanges per second, by class.
    pub demand: Vec<f64>,
    /// When proxies retry and how much they admit, by class.
    pub levels: Vec<(RetryPolicy, f64)>,
}

/// The state of one listed node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeSnapshot {
    /// The node.
    pub node: NodeId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Number of its kind of machine.
    pub machine_kind: u8,
    /// The part of the shared table that contains its line.
    pub part: u16,
    /// Whether it is neither draining nor gone.
    pub ready: bool,
    /// Its weight in the roster.
    pub listed_weight: f64,
    /// Whether its warm-up is over.
    pub warmed_up: bool,
    /// How much of its warm-up is done, from 0 to 1.
    pub warm_up_progress: f64,
    /// Share of its weight that its health allows.
    pub health_share: f64,
    /// Whether it has only a very small share, until it proves that it works again.
    pub on_trial: bool,
    /// Weight of its line in the table, 0 if it has none.
    pub line_weight: f64,
    /// Recent tries there. Older ones count less and less, here and in the two fields below.
    pub tries: f64,
    /// Recent failed tries.
    pub failed: f64,
    /// Mean time of the recent successful tries, in seconds.
    pub mean_time: f64,
}

/// The state of one joined proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProxySnapshot {
    /// The proxy.
    pub proxy: ProxyId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Its usual rate, as it stated when it joined.
    pub exchanges_per_second: f64,
    /// The part that it is bound to, or `None` before it is bound.
    pub part: Option<u16>,
}

/// Adjustments to the tables that come from outside the module. The module keeps its own bounds: advice adds
/// no line, removes none and readmits no node, gives a cold node no more weight, and raises neither the tries
/// nor the level of a class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// The share of its weight that a node is to get; 1 where it is missing.
    pub weight_shares: BTreeMap<NodeId, f64>,
    /// Upper bounds of retries and admission, by class; no bound where they are missing.
    pub max_levels: Vec<(RetryPolicy, f64)>,
    /// The parts that proxies are to be bound to, as long as these have usable lines.
    pub parts: BTreeMap<ProxyId, u16>,
}

/// Receives the orders of the decision module. All orders of one turn reach each proxy concerned as one
/// message.
pub trait Orders {
    /// Sets one line of a table. A weight of 0 removes it.
    fn set_line(&mut self, table: TableId, node: NodeId, weight: f64);
    /// Removes every line and level of a table.
    fn clear_table(&mut self, table: TableId);
    /// Sends a proxy a whole table for some classes, and from then on the changes of that table.
    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet);
    /// Returns the number of nodes that the host may have to readmit along with a whole table that contains
    /// them. Each costs one line.
    fn possible_readmissions(&self) -> usize {
        0
    }
    /// Returns the number of nodes of each table that the host readmits along with it at a proxy where another
    /// conductor may have excluded any of them. Each costs one line.
    fn readmissions_with_table(&self) -> usize {
        0
    }
    /// Returns the number of nodes in a bound proxy's tables that another conductor may have excluded there.
    fn readmission_lines(&self, _proxy: ProxyId) -> usize {
        0
    }
    /// Readmits all of these nodes at a bound proxy. Each costs one line.
    fn readmit_all(&mut self, _proxy: ProxyId) {}
    /// Excludes a node at all joined proxies, whatever their tables contain, or readmits it.
    fn set_withdrawn(&mut self, node: NodeId, withdrawn: bool);
    /// Ends a node's withdrawal and drops what is stored about it. No table contains it any more. If it is
    /// listed again, it is a new node.
    fn forget_node(&mut self, node: NodeId);
    /// Sets how much of some classes is admitted and when proxies retry; no table means all tables.
    fn set_level(&mut self, table: Option<TableId>, classes: ClassSet, retries: RetryPolicy, amount: f64);
    /// Has the messages of this turn acknowledged. With `everyone`, proxies that would get no message get
    /// one, too.
    fn request_acknowledgement(&mut self, mark: u16, everyone: bool);
    /// Asks to be called at a time.
    fn wake_at(&mut self, at: Time, timer: u64);
    /// Opens or closes the subscription to the roster.
    fn watch_roster(&mut self, subscribe: bool);
    /// Requests the whole list from the roster, once.
    fn fetch_roster(&mut self);
    /// Asks a node for a sign of life.
    fn probe_node(&mut self, node: NodeId);
    /// Sends a short message to one peer, or to all.
    fn send_to_peer(&mut self, peer: Option<PeerId>, message: &[u8]);
    /// Writes a line about a node, or about none, to the conductor's log.
    fn log_note(&mut self, node: Option<NodeId>, text: &str);
    /// Reports a failure of the module itself.
    fn report_fault(&mut self, text: &str);
}
