//! The facts about a node that the index holds. Each fact follows from the current state of the decisions:
//! code that changes that state refreshes the node. It decides nothing.

use super::*;

/// Nodes up to which debug builds check the index against all of them (count).
#[cfg(debug_assertions)]
const AUDITED_NODES_MAX: usize = 130;

impl Node {
    /// Whether its tries, its warm-up or its health may change how it is judged without further reports.
    fn is_judged_individually(&self, now: Time) -> bool {
        let is_cut = self.health_share != 1.0;
        let fails = f64::from(self.failure_streak) >= FAILURE_STREAK;
        let was_reported = self.tries.count.value(now) > TRIES_NEGLIGIBLE;
        is_cut || fails || !self.is_warmed_up() || was_reported
    }

    /// Whether it may be used, and since when not.
    fn availability(&self, now: Time) -> Availability {
        match self.unavailable_since {
            Some(since) => Availability::Unavailable { since, replaced: now > since + REPLACEMENT_TIME },
            None => Availability::Ready { warmed_up: self.is_warmed_up() },
        }
    }
}

impl Balance {
    /// Returns the facts about a node, or nothing for one that is not known.
    fn facts(&self, id: NodeId) -> Option<NodeFacts> {
        let node = self.nodes.get(&id)?;
        Some(NodeFacts {
            part: node.part,
            zone: node.zone,
            machine_kind: node.machine_kind,
            own_zone_table: self.table.own_zone_table(node.part, node.zone),
            listed_weight: node.listed_weight,
            availability: node.availability(self.now),
            has_queue: node.load.is_some_and(|load| load > 1.0),
            line_weight: self.table.lines.get(&id).copied(),
            withdrawn: self.withdrawn.contains(&id),
            in_own_zone_table: self.table.own_zone_nodes.contains(&id),
            judged_individually: node.is_judged_individually(self.now),
            last_success: (self.table.parts == 1).then_some(node.last_success),
        })
    }

    /// Updates the index with a node's facts.
    pub(super) fn index_node(&mut self, id: NodeId) {
        let facts = self.facts(id);
        self.index.set(id, facts);
    }

    /// Updates the index with a node's facts, and has its weight computed again with the next changes.
    pub(super) fn refresh(&mut self, id: NodeId) {
        self.index_node(id);
        self.table.nodes_to_recheck.insert(id);
    }

    /// Updates the index with the unavailable nodes whose work others are assumed to do by now.
    pub(super) fn index_replaced(&mut self) {
        let replaced: Vec<NodeId> = self.index.not_replaced_before(self.now - REPLACEMENT_TIME).collect();
        for id in replaced {
            self.index_node(id);
        }
    }

    /// Drops all that is kept of a node.
    pub(super) fn drop_node(&mut self, id: NodeId) {
        self.nodes.remove(&id);
        self.withdrawn.remove(&id);
        self.refresh(id);
    }

    /// Checks in debug builds that the index and the buffered changes are what all nodes amount to; in small
    /// fleets only, as that goes through all nodes.
    #[cfg(debug_assertions)]
    pub(super) fn audit(&self) {
        if self.nodes.len() > AUDITED_NODES_MAX {
            return;
        }
        let mut expected = FleetIndex::default();
        for id in self.nodes.keys() {
            // Time alone may replace a node or fade its reports: the index learns of that later.
            let facts = self.facts(*id).map(|facts| self.index.keep_time_dependent_facts(*id, facts));
            expected.set(*id, facts);
        }
        assert_eq!(expected, self.index, "the index is what all nodes come to");
        if self.recheck_table {
            return;
        }
        for id in self.nodes.keys().filter(|id| !self.index.warming_up().contains(id)) {
            let buffered = self.table.buffer.get(id).copied();
            assert_eq!(self.pending_weight(*id), buffered, "{id} waits for a flush");
        }
    }
}
