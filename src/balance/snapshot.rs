//! What the module shows of its state, and how advice reaches it. It decides nothing: advice is applied where
//! weights, levels, retry policies and parts are chosen.

use super::*;

/// Greatest factor on its weight that advice may give a node; what is beyond it is a mistake.
const ADVISED_SHARE_MAX: f64 = 4.0;

impl Balance {
    /// Whether the tables and withdrawals ordered so far express all that the roster has listed.
    pub fn is_settled(&self) -> bool {
        self.table.buffer.is_empty() && self.index.to_withdraw().is_empty() && !self.recheck_table
    }

    /// Returns how many nodes rules have visited so far. It shows that work is proportional to changes.
    pub fn visited_nodes(&self) -> u64 {
        self.table.visited_nodes
    }

    /// Returns the current state of the decisions.
    pub fn snapshot(&self) -> BalanceSnapshot {
        BalanceSnapshot {
            now: self.now,
            nodes: self.nodes.iter().map(|(id, node)| self.node_snapshot(*id, node)).collect(),
            proxies: self.proxies.iter().map(|(id, proxy)| proxy_snapshot(*id, proxy)).collect(),
            part_count: self.table.parts,
            strain: self.fleet.strain as u8,
            demand: (0..self.settings.class_terms.len()).map(|class| self.demand(class).sum()).collect(),
            levels: self.target_levels(),
        }
    }

    fn node_snapshot(&self, id: NodeId, node: &Node) -> NodeSnapshot {
        let [tries, failed, time] = node.tries.totals(self.now);
        NodeSnapshot {
            node: id,
            zone: node.zone,
            machine_kind: node.machine_kind,
            part: node.part,
            ready: node.unavailable_since.is_none(),
            listed_weight: node.listed_weight,
            warmed_up: node.is_warmed_up(),
            warm_up_progress: node.warm_up_progress(),
            health_share: node.health_share,
            on_trial: node.is_on_trial(),
            line_weight: self.table.pushed_weight(&id),
            tries,
            failed,
            mean_time: time / (tries - failed).max(DIVISOR_MIN),
        }
    }

    /// Sets the advice, which applies until other advice is set.
    pub fn set_advice(&mut self, now: Time, mut advice: Advice) {
        self.begin_turn(now);
        // An invalid share must not reach a table, whoever gave it.
        advice.weight_shares.retain(|_, share| share.is_finite() && *share >= 0.0);
        for share in advice.weight_shares.values_mut() {
            *share = share.min(ADVISED_SHARE_MAX);
        }
        // Nor may it admit less of a class than the module itself ever would.
        let level_min =
            if self.settings.level_kind == LevelKind::Rate { LEVEL_RATE_MIN } else { LEVEL_SHARE_MIN };
        for (_, level) in &mut advice.max_levels {
            *level = level.max(level_min);
        }
        self.recheck_table |= advice != self.advice;
        let former = std::mem::replace(&mut self.advice, advice);
        self.table.nodes_to_recheck.extend(former.weight_shares.into_keys());
        self.table.nodes_to_recheck.extend(self.advice.weight_shares.keys().copied());
    }
}

fn proxy_snapshot(id: ProxyId, proxy: &Proxy) -> ProxySnapshot {
    ProxySnapshot {
        proxy: id,
        zone: proxy.zone,
        exchanges_per_second: proxy.rate,
        part: proxy.bound.then_some(proxy.part),
    }
}
