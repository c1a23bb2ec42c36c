//! Applies the entries of the roster to nodes.

use std::ops::RangeInclusive;

use super::*;

/// Time after which a node that is gone is forgotten.
const GONE_NODE_RETENTION: Time = Time::from_ms(600_000);

/// Listed weights that are used as they are. Streams carry weights as 32-bit numbers, and lines stand at shares of them.
const USABLE_WEIGHTS: RangeInclusive<f64> = 1e-9..=1e9;

impl Balance {
    /// Splits the table into parts for a number of nodes. This happens once, with the first nodes of the
    /// roster, whether they come as a whole roster or as changed entries.
    pub(super) fn split_table(&mut self, nodes: usize) {
        if !self.nodes.is_empty() || self.proxies.values().any(|proxy| proxy.has_table) {
            return;
        }
        let split = self.settings.table_split(nodes);
        self.table.parts = split.parts;
        self.table.zone_views = split.zone_views;
        self.table.own_zone_groups = split.own_zone_groups;
        if split.zone_views != 1 {
            self.table.written_zones.clear();
        }
    }

    /// Marks the known nodes without an entry in the whole roster as unavailable.
    pub(super) fn mark_missing_unavailable(&mut self, entries: &[RosterEntry]) {
        let listed: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let missing: Vec<NodeId> = self.nodes.keys().filter(|id| !listed.contains(id)).copied().collect();
        for id in missing {
            if let Some(node) = self.nodes.get_mut(&id) {
                node.mark_unavailable(self.now);
            }
            self.refresh(id);
        }
    }

    /// Applies an entry of the roster to its node.
    pub(super) fn apply_roster_entry(&mut self, entry: &RosterEntry) {
        let part = self.part_for(entry);
        let node = self.nodes.entry(entry.node).or_insert_with(|| Node { part, ..Node::default() });
        if entry.status == NodeStatus::Ready {
            node.unavailable_since = None;
        } else {
            node.mark_unavailable(self.now);
        }
        if entry.status == NodeStatus::Gone {
            self.refresh(entry.node);
            return;
        }
        if node.zone != entry.zone {
            let own_zone_table = self.table.own_zone_table(node.part, node.zone);
            self.table.relocated.extend(own_zone_table.map(|own_zone_table| (entry.node, own_zone_table)));
        }
        node.zone = entry.zone;
        node.machine_kind = entry.machine_kind;
        // An invalid weight of the roster must not reach a table: proxies can't read it and reset their streams.
        node.listed_weight = if USABLE_WEIGHTS.contains(&entry.weight) { entry.weight } else { 1.0 };
        if node.is_new() || entry.started > node.started {
            node.restart(entry.started, self.now, &self.settings);
            node.fleet_tries_before_silence = self.fleet.reported_tries;
        }
        self.refresh(entry.node);
    }

    /// Returns the part of a node, or chooses one for a new node: the part with the least listed weight of
    /// its zone and kind, then of its zone, then in all. When new nodes were assigned in turn, a release left
    /// some parts with a tenth of their weight, which their proxies overloaded.
    fn part_for(&mut self, entry: &RosterEntry) -> u16 {
        let parts = self.table.parts;
        let first = (self.random.next_f64() * f64::from(parts)) as u16;
        if let Some(node) = self.nodes.get(&entry.node) {
            return node.part;
        }
        let listed = self.index.listed_weight_by_part((entry.zone, entry.machine_kind));
        let candidates = (0..parts).map(|part| (part + first) % parts);
        candidates.min_by_key(|part| listed(*part)).unwrap_or_default()
    }

    /// Completes an update of the roster, whole or of single entries.
    pub(super) fn finish_roster_update(&mut self, orders: &mut dyn Orders) {
        self.forget_gone(orders);
        self.recheck_table = true;
        self.write_relocated(orders);
    }

    /// Forgets nodes that have been gone for long, so that the memory for them does not grow without bound.
    fn forget_gone(&mut self, orders: &mut dyn Orders) {
        let gone = self.index.unavailable_before(self.now - GONE_NODE_RETENTION);
        let unused = gone.filter(|id| !self.table.lines.contains_key(id) && self.withdrawn.contains(id));
        let unused: BTreeSet<NodeId> = unused.collect();
        for id in unused {
            self.drop_node(id);
            orders.forget_node(id);
        }
    }
}

impl Node {
    /// Whether it was never listed as ready or draining before.
    fn is_new(&self) -> bool {
        self.health_share == 0.0
    }

    /// Marks it as unavailable, from now on if it wasn't before.
    fn mark_unavailable(&mut self, now: Time) {
        self.unavailable_since = self.unavailable_since.or(Some(now));
    }

    /// Resets what is known of a node that started again. Its warm-up is its trial: earlier tries say nothing
    /// about it.
    fn restart(&mut self, started: Option<Time>, now: Time, settings: &ServiceSettings) {
        // Load reports of the previous run may still arrive; of a new node there are none.
        self.headroom_at = if self.is_new() { Time::default() } else { now };
        self.started = started;
        self.health_share = 1.0;
        self.warm_up_step = settings.warm_up_steps(started, now);
        self.warm_up_stepped_at = now;
        self.tries = TryStats::default();
        self.failure_streak = 0;
        self.relapses = 0;
        self.was_raised = false;
        self.load = None;
        self.headroom = 0.0;
        let delay = if self.is_warmed_up() { Time::default() } else { settings.feedback_delay() };
        self.ignore_reports_until = now + delay;
        self.hold_until = now;
        self.last_success = now + settings.feedback_delay() + FLUSH_PERIOD;
    }

    /// Whether its warm-up is over.
    pub(super) fn is_warmed_up(&self) -> bool {
        self.warm_up_step == WARM_UP_STEPS
    }

    /// Adds reported tries, of which `failed` failed, and the load report that came with them. `fleet_tries` counts those
    /// reported of all nodes, these included.
    pub(super) fn record_tries(&mut self, now: Time, summary: &TrySummary, failed: u32, fleet_tries: u64) {
        // A delayed report describes the time before the last change: it must not count against a restarted
        // node.
        let current = now >= self.ignore_reports_until;
        if failed < summary.tries {
            self.failure_streak = 0;
            self.last_success = now;
            self.fleet_tries_before_silence = fleet_tries;
        } else if current || self.is_warmed_up() {
            self.failure_streak = self.failure_streak.saturating_add(failed);
        }
        if current {
            self.tries.add(now, summary, failed);
        }
        if let Some(report) = summary.load {
            let load = report.cpu_share + report.queued;
            self.load = Some((load + self.load.unwrap_or(load)) / 2.0);
        }
    }
}
