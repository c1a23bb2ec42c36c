//! Rule 4: the proxies together must not overload a cold node.

use std::collections::BTreeMap;

use super::{Checker, Overload, Proxy, Rule, Violation};
use crate::core::ids::{Micros, NodeIndex};

/// The share of a cold node's load that must come from proxies that could know of its start for the rule to apply.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;

/// The load that the proxies put on a cold node, in requests per second.
#[derive(Clone, Copy, Debug, Default)]
struct ColdLoad {
    /// From all proxies.
    total: f64,
    /// From the proxies that could know of the node's start.
    informed: f64,
    /// The average load of a warm line at the same proxies, which is taken for the capacity of a warm node.
    warm_average: f64,
}

impl Checker {
    /// Checks the loads of all nodes that are still warming up.
    pub(super) fn check_cold(&mut self, now: Micros) {
        let warm_up = self.limits.warm_up;
        self.cold.retain(|_, started| *started + warm_up > now);
        let cold = self.cold.clone();
        self.overloads.retain(|node, _| cold.contains_key(node));
        let loads = self.cold_loads(now, &cold);
        for (node, load) in loads {
            let Some(started) = cold.get(&node) else { continue };
            let progress = (now - *started).0 as f64 / warm_up.0.max(1) as f64;
            // The settings don't say how the capacity grows in between; linear growth is assumed.
            let capacity_share = self.limits.cold_from + (1.0 - self.limits.cold_from) * progress.min(1.0);
            let max_load = self.limits.fall_multiple * capacity_share * load.warm_average;
            if load.total <= max_load || load.informed < MIN_INFORMED_SHARE * load.total {
                self.overloads.remove(&node);
                continue;
            }
            self.track_overload(now, node);
        }
    }

    /// Notes that a node is overloaded, and records a violation once that has lasted for too long.
    fn track_overload(&mut self, now: Micros, node: NodeIndex) {
        let overload = self.overloads.entry(node).or_insert(Overload { since: now, recorded: false });
        if !overload.recorded && now >= overload.since + self.limits.overload_duration {
            overload.recorded = true;
            // All proxies together overload the node, so the violation names no conductor and no proxy.
            let violation = Violation {
                rule: Rule::ColdNode,
                at: now,
                conductor: None,
                proxy: None,
                node: Some(node),
                class: None,
            };
            self.record(violation);
        }
    }

    fn cold_loads(&self, now: Micros, cold: &BTreeMap<NodeIndex, Micros>) -> BTreeMap<NodeIndex, ColdLoad> {
        let mut loads: BTreeMap<NodeIndex, ColdLoad> = BTreeMap::new();
        for proxy in self.proxies.iter().filter(|proxy| proxy.rate > 0.0) {
            for class in proxy.table.classes() {
                let class_rate = proxy.rate / self.limits.max_policy.len() as f64;
                let cold_shares: Vec<(NodeIndex, f64)> = cold
                    .keys()
                    .map(|node| (*node, proxy.table.share(class, *node)))
                    .filter(|(_, share)| *share > 0.0)
                    .collect();
                let cold_share: f64 = cold_shares.iter().map(|(_, share)| share).sum();
                let usable_lines = proxy.table.usable_lines(class);
                let warm_lines = usable_lines.saturating_sub(cold_shares.len());
                // Without a warm line the average over all lines is taken.
                let warm_average = if warm_lines > 0 {
                    (1.0 - cold_share) / warm_lines as f64
                } else {
                    1.0 / usable_lines.max(1) as f64
                };
                for (node, share) in cold_shares {
                    let load = loads.entry(node).or_default();
                    load.total += class_rate * share;
                    load.warm_average += class_rate * warm_average;
                    if self.could_know_of_start(now, proxy, node) {
                        load.informed += class_rate * share;
                    }
                }
            }
        }
        loads
    }

    /// Whether the conductor of a proxy was sent the node's start before the proxy's last message, or longer ago than
    /// the time limit for drains.
    fn could_know_of_start(&self, now: Micros, proxy: &Proxy, node: NodeIndex) -> bool {
        let known = proxy.conductor.and_then(|conductor| self.conductor(conductor)?.nodes.get(&node));
        known.is_some_and(|known| {
            let in_last_message = proxy.last_message.is_some_and(|last_message| last_message > known.at);
            in_last_message || known.at + self.limits.stop_sending_within + self.limits.slack <= now
        })
    }
}
