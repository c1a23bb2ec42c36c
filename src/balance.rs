//! The decision module: every decision of a conductor, with its constants and its state.
//!
//! A host keeps one [`Balance`] for each conductor and calls one method for each input that it receives.
//! After the inputs of one time it calls [`Balance::run_rules`], which evaluates the rules in [`RULES`] in
//! order, again and again, until none of them fires. `docs/design.md` describes what each rule does, and
//! when.
//!
//! This file holds the state, the list of rules and the inputs. The rules stand in a file for each topic:
//! `roster`, `bindings` (withdrawals and bindings), `health`, `levels` and `flush`. The other files hold what
//! the rules share: `strain`, `weights`, `limits`, `table`, `channel`, `evidence`, `herding`, `facts` and
//! `snapshot`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{self, Display, Formatter};

use crate::channel_ledger::ChannelLedger;
use crate::index::{Availability, CohortId, FleetIndex, NodeFacts};
use crate::interface::*;
use crate::statistics::{DecayingSum, RandomGenerator, TryStats};

mod bindings;
mod channel;
mod empty_roster;
mod evidence;
mod facts;
mod flush;
mod health;
mod herding;
mod levels;
mod limits;
mod readmissions;
mod roster;
mod roster_requests;
mod snapshot;
mod strain;
mod table;
mod weights;

use bindings::PartLoads;
use channel::{Channel, Holders, OwnZoneMessages};
use empty_roster::EmptyRoster;
use evidence::{Evidence, Symptoms};
use flush::BoundProxy;
use herding::{LoadShift, Surroundings};
use roster_requests::RosterRequests;
use strain::{JoinedRates, Strain, StrainEvidence};
use table::OwnZoneTable;

// ---- Constants that several files use ----

/// Longest time for which a change of the table is buffered while nothing else delays it.
const FLUSH_PERIOD: Time = Time::from_ms(100);

/// Share of the lines that may wait in the channel, and of the messages allowed to a proxy, that flushes and
/// bindings may use; the rest is for withdrawals.
const ROUTINE_SHARE: f64 = 0.5;

/// Time after which other nodes are assumed to do the work of one that is gone.
const REPLACEMENT_TIME: Time = Time::from_ms(30_000);

/// Smallest assumed rate of a proxy, in exchanges a second.
const PROXY_RATE_MIN: f64 = 0.1;

/// Assumed rate of a proxy that states an invalid one, in exchanges a second.
const PROXY_RATE_DEFAULT: f64 = 1.0;

/// Steps in which a starting node reaches its whole weight (count).
const WARM_UP_STEPS: u32 = 10;

/// Time in which the sums of a node's tries decay to 1/e, in milliseconds: long enough for a few reports to
/// add up.
const NODE_DECAY_MS: u64 = 3_000;

/// Time in which the sums of the fleet's tries decay to 1/e, in milliseconds: a single report is enough.
const FLEET_DECAY_MS: u64 = 1_000;

/// Tries left in a decaying sum up to which they count as none, being too few to judge by (count).
const TRIES_NEGLIGIBLE: f64 = 1e-4;

/// Tries failed without a success in between for which a node is put on trial (count).
const FAILURE_STREAK: f64 = 8.0;

/// Mean time of the median node, as a share of the mean target time, above which the other nodes have no
/// capacity left for what a cut would move to them.
const SPARE_TIME_SHARE: f64 = 0.5;

/// Time before a node that was cut is raised, doubled by relapses; and time before a strain of the fleet
/// counts as over.
const HOLD_TIME: Time = Time::from_ms(4_000);

/// Share of failed tries above which the fleet is severely strained.
const SEVERE_FAILED_SHARE: f64 = 0.3;

/// Smallest share of a class that is admitted.
const LEVEL_SHARE_MIN: f64 = 0.1;

/// Smallest rate of a class that is admitted at a proxy, in exchanges a second: a proxy may have demand that
/// was not reported.
const LEVEL_RATE_MIN: f64 = 1.0;

/// Smallest divisor, where a sum or rate may be 0.
const DIVISOR_MIN: f64 = 1e-3;

// ---- State ----

/// A node: its entry in the roster, its warm-up, and what proxies reported about it.
#[derive(Default)]
struct Node {
    zone: ZoneId,
    /// Kind of machine.
    machine_kind: u8,
    /// Part of the table in which it stands.
    part: u16,
    /// Weight in the roster.
    listed_weight: f64,
    /// When it was first listed as draining or gone, if it is: proxies must stop sending to it within the
    /// time allowed.
    unavailable_since: Option<Time>,
    started: Option<Time>,
    /// Steps of the warm-up taken, up to [`WARM_UP_STEPS`].
    warm_up_step: u32,
    /// When the last step was taken.
    warm_up_stepped_at: Time,
    /// Share of its cores in use by its load reports, smoothed; above 1 where exchanges wait.
    load: Option<f64>,
    /// Share of its weight up to which load reports showed headroom during its warm-up.
    headroom: f64,
    /// When [`Node::headroom`] was last set.
    headroom_at: Time,
    /// Tries that ended there lately.
    tries: TryStats<NODE_DECAY_MS>,
    /// Tries failed since the last success.
    failure_streak: u32,
    /// When a success was last reported.
    last_success: Time,
    /// [`Fleet::reported_tries`] when its last success was within one interval of reports.
    fleet_tries_before_silence: u64,
    /// Share of its weight that its health leaves it; 0 until the node is first listed as ready.
    health_share: f64,
    /// Reports that arrive before this time describe the node as it was before its last change.
    ignore_reports_until: Time,
    /// It is not raised before this time; each relapse after a raise doubles the wait.
    hold_until: Time,
    /// Cuts that followed a raise.
    relapses: u32,
    /// Share of its weight that it had before the last cut.
    share_before_cut: f64,
    /// Whether the last change of its share was a raise.
    was_raised: bool,
}

/// A joined proxy.
struct Proxy {
    zone: ZoneId,
    /// Exchanges a second that it usually has.
    rate: f64,
    /// Part of the table that it is bound to.
    part: u16,
    joined_at: Time,
    /// Whether it holds only its standing tables, none of a conductor.
    only_standing_tables: bool,
    /// Whether another conductor may have excluded nodes there, whose exclusion it keeps.
    may_exclude_nodes: bool,
    bound: bool,
    /// Whether it holds a table of this conductor, which is updated even while it waits to be bound to
    /// another.
    has_table: bool,
    /// Exchanges that came to it lately, by class.
    demand: Vec<DecayingSum<NODE_DECAY_MS>>,
    /// When messages were written to it; kept only where messages are limited.
    messages: VecDeque<Time>,
}

impl Proxy {
    /// Returns its entry in the queue of proxies that wait to be bound.
    fn queue_entry(&self, proxy: ProxyId) -> Unbound {
        Unbound { has_other_table: !self.only_standing_tables, joined_at: self.joined_at, proxy }
    }
}

/// A proxy that waits to be bound. Entries are ordered by urgency.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Unbound {
    /// Whether it holds more than its standing tables; these proxies come last.
    has_other_table: bool,
    joined_at: Time,
    proxy: ProxyId,
}

/// The shared table as it was pushed, and the changes that wait for a flush.
#[derive(Default)]
struct Table {
    /// Parts that it is split into.
    parts: u16,
    /// Zones for which each part has a view of its own; 1 where all zones share one.
    zone_views: u16,
    /// Groups of parts that share a zone's table for own-zone classes (classes that go only to nodes of their
    /// proxy's zone); 0 without own-zone classes.
    own_zone_groups: u16,
    /// Zones with proxies here, whose views have been written.
    written_zones: BTreeSet<ZoneId>,
    /// Weights of the lines as pushed.
    lines: BTreeMap<NodeId, f64>,
    /// Retry policies and levels by class, as pushed to each part.
    levels: BTreeMap<u16, Vec<(RetryPolicy, f64)>>,
    /// Nodes that stand in the tables for own-zone classes.
    own_zone_nodes: BTreeSet<NodeId>,
    /// Nodes that are now listed in another zone, with the own-zone table that they stood in.
    relocated: Vec<(NodeId, OwnZoneTable)>,
    /// Changed weights that wait for a flush.
    buffer: BTreeMap<NodeId, f64>,
    /// Nodes in [`Table::buffer`] whose change is not small.
    large_changes: BTreeSet<NodeId>,
    /// Nodes whose weight must be computed again.
    nodes_to_recheck: BTreeSet<NodeId>,
    /// Nodes that rules have visited so far (count).
    visited_nodes: u64,
    /// Since when changes of lines or levels have waited for a flush.
    pending_since: Option<Time>,
    /// Whether all pending changes are small.
    only_small_changes: bool,
    /// When small changes may be flushed.
    small_changes_due: Time,
    flushed_at: Option<Time>,
    /// Whether late changes did not fit into the channel but would if nothing else were ordered before them.
    flush_blocked: bool,
    /// Until then proxies that wait to be bound go before further changes.
    binds_first_until: Time,
    /// Whether the pending changes go before proxies that wait to be bound, and without delay.
    flush_at_once: bool,
}

/// The fleet as a whole.
#[derive(Default)]
struct Fleet {
    /// Tries that ended lately.
    tries: TryStats<FLEET_DECAY_MS>,
    /// Tries reported since the start (count).
    reported_tries: u64,
    /// When tries were last reported; the start before any were.
    tries_reported_at: Time,
    /// When tries were first reported after a time without any.
    tries_resumed_at: Time,
    /// When a success was last reported.
    last_success: Time,
    /// When the health of nodes was last checked.
    checked_at: Time,
    strain: Strain,
    /// Last check at which the measured strain was at least [`Fleet::strain`].
    strain_last_confirmed_at: Time,
    /// When a proxy last joined while nothing that was reported told the strain.
    strain_unknown_at: Time,
    /// Whether the strain was assumed to be severe, for lack of reports, and that was not logged yet.
    assumed_strain_unlogged: bool,
    /// What was reported that shows the strain.
    strain_evidence: StrainEvidence,
    /// Rates of the joined proxies, as they were at the last check, and of those that joined since.
    joined_rates: JoinedRates,
    /// Whether proxies are quick to avoid failing nodes, and so shift their load to the remaining nodes.
    proxies_shift_load: bool,
    /// When the share of failed tries was last so high that proxies shift their load.
    mass_failure_at: Time,
    /// Rates of the proxies that shift their load, as they were at the last check.
    load_shift: LoadShift,
    /// Estimated throughput of the fleet while it is overloaded, in units of target time per second.
    capacity: Option<f64>,
    /// Level of each class that follows from the capacity.
    levels: Vec<f64>,
    /// When levels are computed next.
    levels_due: Time,
}

impl Fleet {
    /// Returns a fleet of which nothing is known yet. It starts pessimistic, so that no try is repeated, but
    /// admits all exchanges: limits of a previous run of the conductor are not kept.
    fn new(now: Time, classes: usize) -> Fleet {
        Fleet {
            strain: Strain::Severe,
            strain_last_confirmed_at: now,
            tries_reported_at: now,
            proxies_shift_load: true,
            levels: vec![ADMIT_ALL; classes],
            ..Fleet::default()
        }
    }

    /// Adds reported tries, of which `failed` failed. Reports come at the interval `period`.
    fn record_tries(&mut self, now: Time, summary: &TrySummary, failed: u32, period: Time) {
        self.tries.add(now, summary, failed);
        self.reported_tries = self.reported_tries.saturating_add(summary.tries.into());
        if summary.tries == 0 {
            return;
        }
        if now > self.tries_reported_at + period + HOLD_TIME {
            self.tries_resumed_at = now;
        }
        self.tries_reported_at = now;
    }
}

/// The decisions of one conductor.
pub struct Balance {
    settings: ServiceSettings,
    now: Time,
    random: RandomGenerator,
    /// Listed nodes, and those listed as draining or gone until they come back or are forgotten.
    nodes: BTreeMap<NodeId, Node>,
    table: Table,
    /// Aggregates over all nodes, updated with each change.
    index: FleetIndex,
    /// Nodes withdrawn at all joined proxies, which don't send to them whatever their tables contain.
    withdrawn: BTreeSet<NodeId>,
    /// Whether lines or levels must be compared with what was pushed, as they may differ. Rules that do this
    /// only run while it is set.
    recheck_table: bool,
    proxies: BTreeMap<ProxyId, Proxy>,
    /// Proxies that wait to be bound, which means to be assigned a part and sent its table. Those with only
    /// standing tables, the tables that a proxy has before any conductor serves it, come first; then the
    /// order is that of joining.
    unbound: BTreeSet<Unbound>,
    /// Bound proxies at which nodes that another conductor may have excluded wait to be readmitted.
    awaiting_readmission: BTreeSet<ProxyId>,
    empty_roster: EmptyRoster,
    channel: Channel,
    fleet: Fleet,
    advice: Advice,
    roster_requests: RosterRequests,
    /// When the host was asked to wake the conductor.
    wake_at: Time,
}

/// A condition and its effect; returns whether it fired.
type Rule = fn(&mut Balance, &mut dyn Orders) -> bool;

/// The rules, in the order in which they are evaluated.
const RULES: [Rule; 12] = [
    Balance::request_roster,
    Balance::withdraw_unavailable,
    Balance::check_health,
    Balance::set_levels,
    Balance::unbind_from_empty_parts,
    Balance::gather_changes,
    Balance::flush,
    Balance::bind_to_empty_table,
    Balance::bind_waiting,
    Balance::readmit_nodes,
    Balance::request_acknowledgement,
    Balance::schedule_wake,
];

// ---- Inputs ----

impl Balance {
    /// Starts the decisions of a conductor for a service.
    pub fn start(now: Time, settings: ServiceSettings, seed: u64, orders: &mut dyn Orders) -> Balance {
        let mut balance = Balance {
            now,
            random: RandomGenerator::new(seed),
            nodes: BTreeMap::new(),
            table: Table::undivided(),
            index: FleetIndex::default(),
            withdrawn: BTreeSet::new(),
            recheck_table: true,
            proxies: BTreeMap::new(),
            unbound: BTreeSet::new(),
            awaiting_readmission: BTreeSet::new(),
            empty_roster: EmptyRoster::default(),
            channel: Channel::new(&settings, seed),
            fleet: Fleet::new(now, settings.class_terms.len()),
            advice: Advice::default(),
            roster_requests: RosterRequests::new(settings.roster_on_request, now),
            wake_at: now,
            settings,
        };
        balance.run_rules(now, orders);
        balance
    }

    /// Applies the entries of the whole roster. A `cached` roster is that of a previous run and may be
    /// outdated.
    pub fn roster_replaced(
        &mut self,
        now: Time,
        entries: &[RosterEntry],
        cached: bool,
        orders: &mut dyn Orders,
    ) {
        self.begin_turn(now);
        self.empty_roster.is_roster_held = true;
        self.split_table(entries.len());
        self.mark_missing_unavailable(entries);
        for entry in entries {
            self.apply_roster_entry(entry);
        }
        if !cached {
            self.roster_requests.answered();
        }
        self.finish_roster_update(orders);
    }

    /// Applies the changed entries of the roster.
    pub fn roster_changed(&mut self, now: Time, entries: &[RosterEntry], orders: &mut dyn Orders) {
        self.begin_turn(now);
        // Has an effect only for the first nodes ever listed: their number settles how the table is split.
        self.split_table(entries.len());
        for entry in entries {
            self.apply_roster_entry(entry);
        }
        self.roster_requests.answered();
        self.finish_roster_update(orders);
    }

    /// Handles a roster request that failed, or whose subscription has ended. It is repeated after a random delay that
    /// doubles with each failure, whatever is received from elsewhere meanwhile.
    pub fn roster_failed(&mut self, now: Time) {
        self.begin_turn(now);
        if !self.settings.roster_on_request {
            return;
        }
        let delay_max = Time::from_seconds(self.settings.max_roster_age.seconds() / 4.0);
        let jitter = 0.5 + self.random.next_f64();
        self.roster_requests.failed(now, delay_max, jitter);
    }

    /// Adds a proxy that joined. With `only_standing_tables` it holds no table of any conductor.
    pub fn proxy_joined(
        &mut self,
        now: Time,
        proxy: ProxyId,
        zone: ZoneId,
        rate: f64,
        only_standing_tables: bool,
    ) {
        self.begin_turn(now);
        self.remove_proxy(proxy);
        let joined = Proxy {
            zone,
            rate: if rate.is_finite() { rate.max(PROXY_RATE_MIN) } else { PROXY_RATE_DEFAULT },
            part: 0,
            joined_at: now,
            only_standing_tables,
            may_exclude_nodes: !only_standing_tables,
            bound: false,
            has_table: false,
            demand: vec![DecayingSum::default(); self.settings.class_terms.len()],
            messages: VecDeque::new(),
        };
        let rate = joined.rate;
        self.unbound.insert(joined.queue_entry(proxy));
        self.empty_roster.proxies_without_order.insert(proxy);
        self.proxies.insert(proxy, joined);
        self.count_newcomer(rate);
    }

    /// Removes a proxy that left.
    pub fn proxy_left(&mut self, now: Time, proxy: ProxyId) {
        self.begin_turn(now);
        self.remove_proxy(proxy);
    }

    /// Records the tries of a zone's proxies at a node. If a summary claims more failures than tries, all its
    /// tries count as failed.
    pub fn record_tries(&mut self, now: Time, summary: &TrySummary) {
        self.begin_turn(now);
        let failed = summary.failed.min(summary.tries);
        self.fleet.record_tries(now, summary, failed, self.settings.summary_period);
        self.fleet.strain_evidence.record_tries(summary.tries);
        if failed < summary.tries {
            self.fleet.last_success = now;
        }
        if let Some(node) = self.nodes.get_mut(&summary.node) {
            node.record_tries(now, summary, failed, self.fleet.reported_tries);
            self.index_node(summary.node);
        }
    }

    /// Records the exchanges of a class that came to a proxy.
    pub fn record_demand(&mut self, now: Time, report: &DemandReport) {
        self.begin_turn(now);
        let Some(proxy) = report.proxy.and_then(|proxy| self.proxies.get_mut(&proxy)) else { return };
        if let Some(demand) = proxy.demand.get_mut(usize::from(report.class.0)) {
            demand.add(now, report.exchanges.into());
        }
        let period = self.settings.summary_period;
        self.fleet.strain_evidence.record_exchanges(now, report.exchanges, period);
    }

    /// Evaluates the rules. The host calls it after all inputs of this time.
    pub fn run_rules(&mut self, now: Time, orders: &mut dyn Orders) {
        self.begin_turn(now);
        self.channel.possible_readmissions = orders.possible_readmissions();
        self.channel.readmissions_with_table = orders.readmissions_with_table();
        // Services with slices are not balanced: their tables stay as the store has them.
        if self.settings.slice_count == 0 {
            // After a rule has fired, the evaluation restarts at the first one, until none fires.
            loop {
                let has_fired = RULES.iter().any(|rule| rule(self, orders));
                if !has_fired {
                    break;
                }
            }
        }
        self.channel.ledger.close_turn(now);
        #[cfg(debug_assertions)]
        self.audit();
    }

    /// Begins a new turn if time has passed: what is ordered in one turn goes to each proxy as one message.
    fn begin_turn(&mut self, now: Time) {
        if now > self.now {
            self.channel.begin_turn();
            self.channel.ledger.advance(self.now, now);
        }
        self.now = now;
    }

    fn remove_proxy(&mut self, proxy: ProxyId) {
        if let Some(removed) = self.proxies.remove(&proxy) {
            self.unbound.remove(&removed.queue_entry(proxy));
            self.awaiting_readmission.remove(&proxy);
            self.empty_roster.proxies_without_order.remove(&proxy);
            self.count_leaver(removed.joined_at, removed.rate);
        }
    }
}
