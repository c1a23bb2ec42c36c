//! What the module shows of itself, and how advice reaches it. Nothing is decided here: what advice is worth is
//! weighed where weights, levels, tries and parts are chosen.

use super::*;

/// Times its weight that advice may give a node at most: what is beyond that is a slip.
const ADVISED_MOST: f64 = 4.0;

impl Table {
    /// The weight of a node's line as it was pushed, 0 for none.
    pub(super) fn stands(&self, id: &NodeId) -> f64 {
        self.lines.get(id).copied().unwrap_or(0.0)
    }
}

impl Balance {
    /// Whether the tables and withdrawals ordered so far say all that the roster has told.
    pub fn settled(&self) -> bool {
        self.table.buffer.is_empty() && self.index.to_eject().is_empty() && !self.stirred
    }

    /// Nodes that rules have looked at so far (count), to tell that work follows what changes.
    pub fn visits(&self) -> u64 {
        self.table.visits
    }

    /// The state of its decisions, as it stands now.
    pub fn look(&self) -> Look {
        let node = |(id, node): (&NodeId, &Node)| {
            let [tries, lost, time] = node.met.sums(self.now);
            NodeLook {
                node: *id,
                zone: node.zone,
                kind: node.kind,
                part: node.part,
                open: node.barred.is_none(),
                listed: node.listed,
                warm: node.step == RAMP_STEPS,
                done: f64::from(node.step) / f64::from(RAMP_STEPS),
                ease: node.ease,
                trial: node.ease <= TRICKLE,
                stands: self.table.stands(id),
                tries,
                lost,
                mean: time / (tries - lost).max(1e-3),
            }
        };
        let proxy = |(id, proxy): (&ProxyId, &Proxy)| ProxyLook {
            proxy: *id,
            zone: proxy.zone,
            rate: proxy.rate,
            part: proxy.bound.then_some(proxy.part),
        };
        Look {
            now: self.now,
            nodes: self.snapshot.iter().map(node).collect(),
            proxies: self.proxies.iter().map(proxy).collect(),
            parts: self.table.parts,
            strain: self.fleet.strain as u8,
            demand: (0..self.mandate.exchanges.len()).map(|class| self.demand(class).sum()).collect(),
            levels: self.wanted_levels(),
        }
    }

    /// Takes advice, which stands until other advice comes.
    pub fn advise(&mut self, now: Time, mut advice: Advice) {
        self.turn(now);
        // What is no share must not reach a table, whoever gave it.
        advice.weights.retain(|_, share| share.is_finite() && *share >= 0.0);
        advice.weights.values_mut().for_each(|share| *share = share.min(ADVISED_MOST));
        // Nor is a class let in less than the module ever would.
        let least = if self.mandate.levels == LevelKind::Rate { RATE_LEAST } else { LEVEL_LEAST };
        advice.levels.iter_mut().for_each(|(_, amount)| *amount = amount.max(least));
        self.stirred |= advice != self.advice;
        let former = std::mem::replace(&mut self.advice, advice);
        let advised = former.weights.into_keys().chain(self.advice.weights.keys().copied());
        self.table.changed.extend(advised);
    }
}
