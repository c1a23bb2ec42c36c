//! How long a withdrawal takes from the change of the list to the last proxy that has it.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::ids::{Micros, NodeIndex, ProxyIndex};

/// Three digits are kept of each time, from a microsecond to an hour; what is longer counts as that.
const DIGITS: u8 = 3;
const LONGEST_MICROS: u64 = 3_600_000_000;

/// A node that is not to be used any more, and the proxies that still do.
#[derive(Clone, Debug)]
struct Withdrawal {
    since: Micros,
    users: BTreeSet<ProxyIndex>,
}

/// Median, 99th part and longest of a set of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    pub count: u64,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

impl Spread {
    pub fn of(times: &Histogram<u64>) -> Spread {
        const MICROS_PER_MS: f64 = 1e3;
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        if times.is_empty() {
            return Spread::default();
        }
        let longest_ms = times.max() as f64 / MICROS_PER_MS;
        Spread { count: times.len(), median_ms: at(0.5), p99_ms: at(0.99), longest_ms }
    }
}

/// Times in microseconds.
pub fn times() -> Histogram<u64> {
    // These bounds are allowed: it can't fail.
    Histogram::new_with_max(LONGEST_MICROS, DIGITS).unwrap_or_else(|_| unreachable!("allowed bounds"))
}

/// Withdrawals on their way, and the times of those that all proxies have.
#[derive(Clone, Debug)]
pub struct Propagation {
    open: BTreeMap<NodeIndex, Withdrawal>,
    last_proxy: Histogram<u64>,
    each_proxy: Histogram<u64>,
    /// Withdrawals of nodes that no proxy used.
    unused: u64,
    /// Withdrawals that ended by the node's return before all proxies had them.
    overtaken: u64,
}

impl Default for Propagation {
    fn default() -> Propagation {
        Propagation {
            open: BTreeMap::new(),
            last_proxy: times(),
            each_proxy: times(),
            unused: 0,
            overtaken: 0,
        }
    }
}

impl Propagation {
    /// A node is not to be used any more; these proxies still do.
    pub fn withdraw(&mut self, now: Micros, node: NodeIndex, users: BTreeSet<ProxyIndex>) {
        if self.open.contains_key(&node) {
            return;
        }
        if users.is_empty() {
            self.unused += 1;
            return;
        }
        self.open.insert(node, Withdrawal { since: now, users });
    }

    /// A node may be used again.
    pub fn readmit(&mut self, node: NodeIndex) {
        self.overtaken += u64::from(self.open.remove(&node).is_some());
    }

    /// A proxy that has gone is not waited for.
    pub fn leave(&mut self, now: Micros, proxy: ProxyIndex) {
        let nodes: Vec<NodeIndex> = self.open.keys().copied().collect();
        for node in nodes {
            let Some(withdrawal) = self.open.get_mut(&node) else { continue };
            withdrawal.users.remove(&proxy);
            self.close(now, node);
        }
    }

    /// A proxy was told at a time to use a node no more.
    pub fn reached(&mut self, told: Micros, node: NodeIndex, proxy: ProxyIndex) {
        let Some(withdrawal) = self.open.get_mut(&node) else { return };
        if withdrawal.users.remove(&proxy) {
            self.each_proxy.saturating_record((told - withdrawal.since).0);
            self.close(told, node);
        }
    }

    fn close(&mut self, now: Micros, node: NodeIndex) {
        if let Some(withdrawal) = self.open.get(&node).filter(|withdrawal| withdrawal.users.is_empty()) {
            self.last_proxy.saturating_record((now - withdrawal.since).0);
            self.open.remove(&node);
        }
    }

    /// The nodes whose withdrawals are on their way.
    pub fn open(&self) -> impl Iterator<Item = NodeIndex> {
        self.open.keys().copied()
    }

    pub fn unused(&self) -> u64 {
        self.unused
    }

    pub fn overtaken(&self) -> u64 {
        self.overtaken
    }

    /// Times from each change to the last proxy that has it.
    pub fn last_proxy(&self) -> Spread {
        Spread::of(&self.last_proxy)
    }

    /// Times from each change to each proxy.
    pub fn each_proxy(&self) -> Spread {
        Spread::of(&self.each_proxy)
    }
}
