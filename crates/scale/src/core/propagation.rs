//! Measures how long the withdrawal of a node takes, from the change of the list until the last proxy has received it.

use std::collections::{BTreeMap, BTreeSet};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::ids::{Micros, NodeIndex, ProxyIndex};

/// Decimal digits that histograms keep of each time.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest time that histograms record, in microseconds: an hour. Longer times are recorded as this.
const MAX_MICROS: u64 = 3_600_000_000;

/// A node that must not be used any more, and the proxies that still use it.
#[derive(Clone, Debug)]
struct Withdrawal {
    since: Micros,
    remaining: BTreeSet<ProxyIndex>,
}

/// Median, 99th percentile and maximum of a set of times, in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    pub count: u64,
    pub median_ms: f64,
    pub p99_ms: f64,
    pub longest_ms: f64,
}

impl LatencySummary {
    /// Summarizes a histogram of times in microseconds.
    pub fn from_histogram(histogram: &Histogram<u64>) -> LatencySummary {
        const MICROS_PER_MS: f64 = 1e3;
        let quantile_ms = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        if histogram.is_empty() {
            return LatencySummary::default();
        }
        LatencySummary {
            count: histogram.len(),
            median_ms: quantile_ms(0.5),
            p99_ms: quantile_ms(0.99),
            longest_ms: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

/// Returns an empty histogram for times in microseconds.
pub fn new_histogram() -> Histogram<u64> {
    // The constants are within the bounds of the histogram, so this can't fail.
    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_DIGITS).unwrap_or_else(|_| unreachable!("allowed bounds"))
}

/// Pending withdrawals, and the times of those that all proxies have received.
#[derive(Clone, Debug)]
pub struct Propagation {
    pending: BTreeMap<NodeIndex, Withdrawal>,
    /// Times from a change to the last proxy that received it.
    last_proxy: Histogram<u64>,
    /// Times from a change to each proxy that received it.
    each_proxy: Histogram<u64>,
    /// Withdrawals of nodes that no proxy used.
    unused: u64,
    /// Withdrawals whose node came back before all proxies had received them.
    cancelled: u64,
}

impl Default for Propagation {
    fn default() -> Propagation {
        Propagation {
            pending: BTreeMap::new(),
            last_proxy: new_histogram(),
            each_proxy: new_histogram(),
            unused: 0,
            cancelled: 0,
        }
    }
}

impl Propagation {
    /// Starts the withdrawal of a node that the proxies in `remaining` still use. A pending one is left as it is.
    pub fn withdraw(&mut self, now: Micros, node: NodeIndex, remaining: BTreeSet<ProxyIndex>) {
        if self.pending.contains_key(&node) {
            return;
        }
        if remaining.is_empty() {
            self.unused += 1;
            return;
        }
        self.pending.insert(node, Withdrawal { since: now, remaining });
    }

    /// Cancels the pending withdrawal of a node that may be used again.
    pub fn readmit(&mut self, node: NodeIndex) {
        self.cancelled += u64::from(self.pending.remove(&node).is_some());
    }

    /// Removes a proxy that has left from all pending withdrawals.
    pub fn proxy_left(&mut self, now: Micros, proxy: ProxyIndex) {
        let nodes: Vec<NodeIndex> = self.pending.keys().copied().collect();
        for node in nodes {
            let Some(withdrawal) = self.pending.get_mut(&node) else { continue };
            withdrawal.remaining.remove(&proxy);
            self.finish_if_complete(now, node);
        }
    }

    /// Records that a proxy received the withdrawal of a node at `received`.
    pub fn proxy_updated(&mut self, received: Micros, node: NodeIndex, proxy: ProxyIndex) {
        let Some(withdrawal) = self.pending.get_mut(&node) else { return };
        if withdrawal.remaining.remove(&proxy) {
            self.each_proxy.saturating_record((received - withdrawal.since).0);
            self.finish_if_complete(received, node);
        }
    }

    /// Finishes the withdrawal of a node if no remaining proxy uses it.
    fn finish_if_complete(&mut self, now: Micros, node: NodeIndex) {
        if let Some(withdrawal) = self.pending.get(&node).filter(|withdrawal| withdrawal.remaining.is_empty())
        {
            self.last_proxy.saturating_record((now - withdrawal.since).0);
            self.pending.remove(&node);
        }
    }

    /// Returns the nodes whose withdrawals are pending.
    pub fn pending(&self) -> impl Iterator<Item = NodeIndex> {
        self.pending.keys().copied()
    }

    /// Returns the number of withdrawals of nodes that no proxy used.
    pub fn unused(&self) -> u64 {
        self.unused
    }

    /// Returns the number of withdrawals whose node came back before all proxies had received them.
    pub fn cancelled(&self) -> u64 {
        self.cancelled
    }

    /// Summarizes the times from a change to the last proxy that received it.
    pub fn last_proxy(&self) -> LatencySummary {
        LatencySummary::from_histogram(&self.last_proxy)
    }

    /// Summarizes the times from a change to each proxy that received it.
    pub fn each_proxy(&self) -> LatencySummary {
        LatencySummary::from_histogram(&self.each_proxy)
    }
}
