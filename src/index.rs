//! Sums and work lists over the listed nodes, updated by each change of a node instead of being computed from
//! all nodes. A data structure: it decides nothing, and knows of a node only its [`NodeFacts`].
//!
//! Setting the facts of one node takes time logarithmic in the number of nodes. Sums are in fixed point, so
//! that a sum does not depend on the order in which weights were added and removed.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{AddAssign, Sub, SubAssign};

use crate::interface::{NodeId, Time, ZoneId};

/// A sum of weights in fixed point.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WeightSum(i128);

/// Units of a [`WeightSum`] in a weight of 1.
const UNITS_PER_WEIGHT: f64 = (1u64 << 48) as f64;

/// Greatest weight that counts in full. Sums of a million such weights do not overflow.
const MAX_WEIGHT: f64 = (1u64 << 56) as f64;

/// Smallest [`NodeId`], for bounds of ranges.
const FIRST_NODE: NodeId = NodeId([0; 4], 0);

impl WeightSum {
    /// Returns a sum of one weight. Negative weights and NaN count as 0.
    pub fn from_weight(weight: f64) -> WeightSum {
        WeightSum((weight.clamp(0.0, MAX_WEIGHT) * UNITS_PER_WEIGHT).round() as i128)
    }

    /// Returns the sum as a weight.
    pub fn value(self) -> f64 {
        self.0 as f64 / UNITS_PER_WEIGHT
    }
}

impl AddAssign for WeightSum {
    fn add_assign(&mut self, other: WeightSum) {
        self.0 += other.0;
    }
}

impl SubAssign for WeightSum {
    fn sub_assign(&mut self, other: WeightSum) {
        self.0 -= other.0;
    }
}

impl Sub for WeightSum {
    type Output = WeightSum;
    fn sub(self, other: WeightSum) -> WeightSum {
        WeightSum(self.0 - other.0)
    }
}

/// A part of the table and the zone from which it is seen; or, for the tables that hold only nodes of a
/// proxy's own zone, a group of parts and that zone.
pub type PartZone = (u16, ZoneId);

/// The nodes of one zone and one kind of machine. They are judged alike where too little is reported of each.
pub type CohortId = (ZoneId, u8);

/// Whether a node may be sent to, and if not, since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Availability {
    /// Listed as ready.
    Ready {
        /// Whether its warm-up is over.
        warmed_up: bool,
    },
    /// Draining or gone.
    Unavailable {
        /// When it became so.
        since: Time,
        /// Whether other nodes are assumed to have taken over its work.
        replaced: bool,
    },
}

/// All that the index knows of one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeFacts {
    /// The part of the table that contains its line.
    pub part: u16,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// Number of its kind of machine.
    pub machine_kind: u8,
    /// The group of parts and the zone whose table may contain it for classes that use only nodes of their
    /// own zone.
    pub own_zone_table: Option<PartZone>,
    /// Its weight in the roster.
    pub listed_weight: f64,
    /// Whether it may be sent to.
    pub availability: Availability,
    /// Whether its load reports show exchanges that wait there.
    pub has_queue: bool,
    /// The weight of its line in the table, if it has one.
    pub line_weight: Option<f64>,
    /// Whether it is withdrawn at all joined proxies, whatever their tables contain.
    pub withdrawn: bool,
    /// Whether the table `own_zone_table` contains it.
    pub in_own_zone_table: bool,
    /// Whether it must be examined by itself each time nodes are judged: while its share is cut, it warms up,
    /// it has failed many tries in a row, or recent tries were reported of it.
    pub judged_individually: bool,
    /// When a successful try was last reported, if the node is judged by its silence.
    pub last_success: Option<Time>,
}

impl NodeFacts {
    /// Whether it is listed as ready.
    pub fn is_ready(&self) -> bool {
        matches!(self.availability, Availability::Ready { .. })
    }
}

/// Weights of a part as seen from one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneWeights {
    /// Listed weight of ready nodes whose warm-up is over.
    pub warm: f64,
    /// Listed weight of ready nodes that still warm up.
    pub cold: f64,
    /// Listed weight of unavailable nodes that are not replaced yet.
    pub unavailable: f64,
    /// Weight of the lines that proxies may use, of nodes that are not replaced.
    pub usable: f64,
    /// Listed weight of the warm nodes at which exchanges wait.
    pub queueing: f64,
}

impl ZoneWeights {
    /// Returns the weight that is listed in normal times. Cold nodes are taken to replace unavailable ones:
    /// adding both would make a release look like the loss of a part of the fleet.
    pub fn normal(&self) -> f64 {
        self.warm + self.cold.max(self.unavailable)
    }
}

/// Whether an item is added to the aggregates or removed from them.
#[derive(Clone, Copy)]
enum Change {
    Add,
    Remove,
}

impl Change {
    fn apply_count(self, total: &mut usize, count: usize) {
        *total = match self {
            Change::Add => *total + count,
            Change::Remove => total.saturating_sub(count),
        };
    }

    fn apply_weight(self, total: &mut WeightSum, weight: WeightSum) {
        match self {
            Change::Add => *total += weight,
            Change::Remove => *total -= weight,
        }
    }

    fn apply_member<T: Ord>(self, set: &mut BTreeSet<T>, item: T) {
        match self {
            Change::Add => _ = set.insert(item),
            Change::Remove => _ = set.remove(&item),
        }
    }
}

/// Changes the value of a key, where a missing key stands for the default value; drops the key once its value
/// is the default.
fn update_entry<K: Ord, V: Default + PartialEq>(
    map: &mut BTreeMap<K, V>,
    key: K,
    update: impl FnOnce(&mut V),
) {
    match map.entry(key) {
        Entry::Vacant(entry) => {
            let mut value = V::default();
            update(&mut value);
            if value != V::default() {
                entry.insert(value);
            }
        }
        Entry::Occupied(mut entry) => {
            update(entry.get_mut());
            if *entry.get() == V::default() {
                entry.remove();
            }
        }
    }
}

/// The sums behind [`ZoneWeights`], of the nodes of one part and zone, or of one part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WeightSums {
    warm: WeightSum,
    cold: WeightSum,
    unavailable: WeightSum,
    usable: WeightSum,
    queueing: WeightSum,
}

impl WeightSums {
    fn apply(&mut self, facts: &NodeFacts, change: Change) {
        let listed = WeightSum::from_weight(facts.listed_weight);
        let is_replaced = matches!(facts.availability, Availability::Unavailable { replaced: true, .. });
        match facts.availability {
            Availability::Ready { warmed_up: true } => change.apply_weight(&mut self.warm, listed),
            Availability::Ready { warmed_up: false } => change.apply_weight(&mut self.cold, listed),
            Availability::Unavailable { replaced: false, .. } => {
                change.apply_weight(&mut self.unavailable, listed);
            }
            Availability::Unavailable { replaced: true, .. } => {}
        }
        if facts.has_queue && facts.availability == (Availability::Ready { warmed_up: true }) {
            change.apply_weight(&mut self.queueing, listed);
        }
        if let Some(line_weight) = facts.line_weight.filter(|_| !facts.withdrawn && !is_replaced) {
            change.apply_weight(&mut self.usable, WeightSum::from_weight(line_weight));
        }
    }

    /// Returns the weights as seen from a zone, given the sums of all zones; `far_share` is the share that
    /// nodes of other zones count with.
    fn seen_from_zone(&self, all_zones: &WeightSums, far_share: f64) -> ZoneWeights {
        let seen = |own: WeightSum, all: WeightSum| own.value() + far_share * (all - own).value();
        ZoneWeights {
            warm: seen(self.warm, all_zones.warm),
            cold: seen(self.cold, all_zones.cold),
            unavailable: seen(self.unavailable, all_zones.unavailable),
            usable: seen(self.usable, all_zones.usable),
            queueing: seen(self.queueing, all_zones.queueing),
        }
    }
}

/// Sums of one part of the table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PartSums {
    weights: WeightSums,
    /// Listed weight of ready nodes.
    listed: WeightSum,
    /// Number of lines that proxies may use.
    usable_lines: usize,
    /// Weight of these lines.
    usable_weight: WeightSum,
    /// Lines and withdrawals that a whole table of this part contains.
    table_lines: usize,
}

impl PartSums {
    fn apply(&mut self, facts: &NodeFacts, change: Change) {
        self.weights.apply(facts, change);
        if facts.is_ready() {
            change.apply_weight(&mut self.listed, WeightSum::from_weight(facts.listed_weight));
        }
        let Some(line_weight) = facts.line_weight else { return };
        change.apply_count(&mut self.table_lines, 1 + usize::from(facts.withdrawn));
        if !facts.withdrawn {
            change.apply_count(&mut self.usable_lines, 1);
            change.apply_weight(&mut self.usable_weight, WeightSum::from_weight(line_weight));
        }
    }
}

/// Sums of one table for classes that use only nodes of their own zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OwnZoneSums {
    nodes: usize,
    /// Number of lines that proxies may use.
    usable_lines: usize,
    /// Lines and withdrawals that the whole table contains.
    table_lines: usize,
}

impl OwnZoneSums {
    fn apply(&mut self, facts: &NodeFacts, change: Change) {
        change.apply_count(&mut self.nodes, 1);
        change.apply_count(&mut self.usable_lines, usize::from(!facts.withdrawn));
        change.apply_count(&mut self.table_lines, 1 + usize::from(facts.withdrawn));
    }
}

/// The ready nodes of one cohort.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Cohort {
    members: BTreeSet<NodeId>,
    /// Listed weight of the members, by part.
    listed: BTreeMap<u16, WeightSum>,
}

impl Cohort {
    fn apply(&mut self, node: NodeId, facts: &NodeFacts, change: Change) {
        change.apply_member(&mut self.members, node);
        let weight = WeightSum::from_weight(facts.listed_weight);
        update_entry(&mut self.listed, facts.part, |sum| change.apply_weight(sum, weight));
    }
}

/// The aggregates over all nodes, and the lists of nodes that rules which depend on time must visit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetIndex {
    facts: BTreeMap<NodeId, NodeFacts>,
    by_part_and_zone: BTreeMap<PartZone, WeightSums>,
    by_part: BTreeMap<u16, PartSums>,
    own_zone_tables: BTreeMap<PartZone, OwnZoneSums>,
    cohorts: BTreeMap<CohortId, Cohort>,
    /// Listed weight of ready nodes by zone and part.
    listed_by_zone: BTreeMap<ZoneId, BTreeMap<u16, WeightSum>>,
    ready_count: usize,
    /// Number of lines that proxies may use.
    usable_lines: usize,
    /// Weight of all lines.
    total_line_weight: WeightSum,
    /// Number of lines by weight.
    line_weights: BTreeMap<WeightSum, usize>,
    warming_up: BTreeSet<NodeId>,
    judged_individually: BTreeSet<NodeId>,
    /// Unavailable nodes that are not withdrawn yet.
    to_withdraw: BTreeSet<NodeId>,
    /// Unavailable nodes by the time when they became so.
    unavailable: BTreeSet<(Time, NodeId)>,
    /// Those of the unavailable nodes that are not replaced yet.
    not_replaced: BTreeSet<(Time, NodeId)>,
    /// Ready nodes by the time when a successful try was last reported.
    last_successes: BTreeSet<(Time, NodeId)>,
}

impl FleetIndex {
    /// Sets the facts of a node, or drops the node. Returns whether that changes what is known of it.
    pub fn set(&mut self, node: NodeId, facts: Option<NodeFacts>) -> bool {
        let former = match facts {
            Some(facts) => self.facts.insert(node, facts),
            None => self.facts.remove(&node),
        };
        if former == facts {
            return false;
        }
        if let Some(former) = former {
            self.apply(node, &former, Change::Remove);
        }
        if let Some(facts) = facts {
            self.apply(node, &facts, Change::Add);
        }
        true
    }

    fn apply(&mut self, node: NodeId, facts: &NodeFacts, change: Change) {
        let part_and_zone = (facts.part, facts.zone);
        update_entry(&mut self.by_part_and_zone, part_and_zone, |sums| sums.apply(facts, change));
        update_entry(&mut self.by_part, facts.part, |sums| sums.apply(facts, change));
        if let Some(table) = facts.own_zone_table.filter(|_| facts.in_own_zone_table) {
            update_entry(&mut self.own_zone_tables, table, |sums| sums.apply(facts, change));
        }
        if let Some(weight) = facts.line_weight.map(WeightSum::from_weight) {
            change.apply_weight(&mut self.total_line_weight, weight);
            change.apply_count(&mut self.usable_lines, usize::from(!facts.withdrawn));
            update_entry(&mut self.line_weights, weight, |lines| change.apply_count(lines, 1));
        }
        match facts.availability {
            Availability::Ready { warmed_up } => self.apply_ready(node, facts, warmed_up, change),
            Availability::Unavailable { since, replaced } => {
                self.apply_unavailable(node, since, replaced, facts.withdrawn, change);
            }
        }
    }

    fn apply_ready(&mut self, node: NodeId, facts: &NodeFacts, warmed_up: bool, change: Change) {
        change.apply_count(&mut self.ready_count, 1);
        let cohort = (facts.zone, facts.machine_kind);
        update_entry(&mut self.cohorts, cohort, |cohort| cohort.apply(node, facts, change));
        update_entry(&mut self.listed_by_zone, facts.zone, |parts| {
            let weight = WeightSum::from_weight(facts.listed_weight);
            update_entry(parts, facts.part, |sum| change.apply_weight(sum, weight));
        });
        if !warmed_up {
            change.apply_member(&mut self.warming_up, node);
        }
        if facts.judged_individually {
            change.apply_member(&mut self.judged_individually, node);
        }
        if let Some(last_success) = facts.last_success {
            change.apply_member(&mut self.last_successes, (last_success, node));
        }
    }

    fn apply_unavailable(
        &mut self,
        node: NodeId,
        since: Time,
        replaced: bool,
        withdrawn: bool,
        change: Change,
    ) {
        change.apply_member(&mut self.unavailable, (since, node));
        if !replaced {
            change.apply_member(&mut self.not_replaced, (since, node));
        }
        if !withdrawn {
            change.apply_member(&mut self.to_withdraw, node);
        }
    }

    /// Returns facts of a node in which those that change by the passing of time alone are taken from the
    /// facts that were last set.
    pub fn keep_time_dependent_facts(&self, node: NodeId, facts: NodeFacts) -> NodeFacts {
        let Some(known) = self.facts.get(&node) else { return facts };
        let availability = match (facts.availability, known.availability) {
            (Availability::Unavailable { since, .. }, Availability::Unavailable { replaced, .. }) => {
                Availability::Unavailable { since, replaced }
            }
            (availability, _) => availability,
        };
        NodeFacts { availability, judged_individually: known.judged_individually, ..facts }
    }

    /// Returns the number of ready nodes.
    pub fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Whether there is no line that proxies may use.
    pub fn has_no_usable_line(&self) -> bool {
        self.usable_lines == 0
    }

    /// Returns the weight of all lines, including those of withdrawn nodes.
    pub fn total_line_weight(&self) -> f64 {
        self.total_line_weight.value()
    }

    /// Returns the greatest weight of a line, 0 if there is none.
    pub fn max_line_weight(&self) -> f64 {
        self.line_weights.last_key_value().map_or(0.0, |(weight, _)| weight.value())
    }

    /// Returns the weights of a part as seen from a zone; `far_share` is the share that nodes of other zones
    /// count with.
    pub fn weights_seen_from(&self, place: PartZone, far_share: f64) -> ZoneWeights {
        let own_zone = self.by_part_and_zone.get(&place).copied().unwrap_or_default();
        let all_zones = self.by_part.get(&place.0).map_or(WeightSums::default(), |part| part.weights);
        own_zone.seen_from_zone(&all_zones, far_share)
    }

    /// Returns the parts with lines that proxies may use, and the weight of these lines.
    pub fn usable_parts(&self) -> impl Iterator<Item = (u16, f64)> {
        let usable = self.by_part.iter().filter(|(_, sums)| sums.usable_lines > 0);
        usable.map(|(part, sums)| (*part, sums.usable_weight.value()))
    }

    /// Returns the tables for classes that use only nodes of their own zone, as far as proxies may use a line
    /// there.
    pub fn usable_own_zone_tables(&self) -> impl Iterator<Item = PartZone> {
        let usable = self.own_zone_tables.iter().filter(|(_, sums)| sums.usable_lines > 0);
        usable.map(|(table, _)| *table)
    }

    /// Returns how many lines and withdrawals the longest whole table contains: among the tables of parts,
    /// and among those for classes that use only nodes of their own zone.
    pub fn max_table_lines(&self) -> (usize, usize) {
        let of_parts = self.by_part.values().map(|sums| sums.table_lines).max();
        let of_own_zones = self.own_zone_tables.values().map(|sums| sums.table_lines).max();
        (of_parts.unwrap_or(0), of_own_zones.unwrap_or(0))
    }

    /// Returns a function from a part to the listed weight of its ready nodes: of a cohort, of the cohort's
    /// zone, and in all.
    pub fn listed_weight_by_part(&self, cohort: CohortId) -> impl Fn(u16) -> [WeightSum; 3] {
        let of_cohort = self.cohorts.get(&cohort).map(|cohort| &cohort.listed);
        let of_zone = self.listed_by_zone.get(&cohort.0);
        move |part| {
            let in_part = |parts: &BTreeMap<u16, WeightSum>| parts.get(&part).copied();
            let in_all = self.by_part.get(&part).map(|sums| sums.listed);
            [of_cohort.and_then(in_part), of_zone.and_then(in_part), in_all].map(Option::unwrap_or_default)
        }
    }

    /// Returns the ready nodes of a cohort.
    pub fn cohort_members(&self, cohort: CohortId) -> &BTreeSet<NodeId> {
        static NO_MEMBERS: BTreeSet<NodeId> = BTreeSet::new();
        self.cohorts.get(&cohort).map_or(&NO_MEMBERS, |cohort| &cohort.members)
    }

    /// Returns the ready nodes whose warm-up is not over.
    pub fn warming_up(&self) -> &BTreeSet<NodeId> {
        &self.warming_up
    }

    /// Returns the ready nodes that must be examined by themselves each time nodes are judged.
    pub fn judged_individually(&self) -> &BTreeSet<NodeId> {
        &self.judged_individually
    }

    /// Returns the ready nodes with the time when a successful try was last reported, the longest silent node
    /// first.
    pub fn by_last_success(&self) -> impl Iterator<Item = (Time, NodeId)> {
        self.last_successes.iter().copied()
    }

    /// Returns the unavailable nodes that are not withdrawn yet.
    pub fn to_withdraw(&self) -> &BTreeSet<NodeId> {
        &self.to_withdraw
    }

    /// Returns the nodes that became unavailable before a time, in the order in which they did.
    pub fn unavailable_before(&self, time: Time) -> impl Iterator<Item = NodeId> {
        self.unavailable.range(..(time, FIRST_NODE)).map(|(_, node)| *node)
    }

    /// Returns those of the nodes that became unavailable before a time that are not replaced yet, in the
    /// same order.
    pub fn not_replaced_before(&self, time: Time) -> impl Iterator<Item = NodeId> {
        self.not_replaced.range(..(time, FIRST_NODE)).map(|(_, node)| *node)
    }
}
