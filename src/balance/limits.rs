//! Limits that follow from the settings of a service: how the table is split, how long things may take, and
//! which tries may be repeated.

use super::*;

/// Share of a small node's connection limit that the proxies of one part may use, as nodes slow down well
/// before the limit. With more proxies than that, the table is split into parts.
const PART_CONNECTIONS_SHARE: f64 = 0.25;

/// Smallest number of nodes in a part of the table (count).
const PART_NODES_MIN: usize = 8;

/// Shortest time over which a starting node's weight is raised; a longer warm-up time of the service
/// stretches it.
const WARM_UP_TIME_MIN: Time = Time::from_ms(10_000);

/// Delay of reports beyond the delivery of a message and the interval of reports.
const REPORT_DELAY: Time = Time::from_ms(1_000);

/// How the table is split.
pub(super) struct TableSplit {
    pub(super) parts: u16,
    pub(super) zone_views: u16,
    pub(super) own_zone_groups: u16,
}

impl ServiceSettings {
    /// Returns how the table of a number of nodes is split: into how many parts, for how many zones each part
    /// has a view, and in how many groups the parts have tables for own-zone classes. A group has at least as
    /// many nodes of each zone as a part has at least in all.
    pub(super) fn table_split(&self, nodes: usize) -> TableSplit {
        // Each view of a part has a number of its own, which has 16 bits.
        let numbers = usize::from(u16::MAX / self.zone_count / 2);
        let parts_max = (nodes / PART_NODES_MIN).min(numbers);
        let connections = (self.min_node_connections * PART_CONNECTIONS_SHARE).max(1.0);
        let parts = (f64::from(self.proxy_count) / connections).ceil().min(parts_max as f64) as u16;
        let parts = parts.max(1);
        let has_own_zone_classes =
            self.zone_count > 1 && self.class_terms.iter().any(|terms| terms.own_zone_only);
        let groups = (nodes / PART_NODES_MIN / usize::from(self.zone_count)).clamp(1, parts.into()) as u16;
        TableSplit {
            parts,
            zone_views: if parts > 1 || has_own_zone_classes { self.zone_count } else { 1 },
            own_zone_groups: if has_own_zone_classes { groups } else { 0 },
        }
    }

    /// Returns a share of the time within which an order must take effect, less the longest delivery of a
    /// message.
    pub(super) fn time_allowed(&self, share: f64) -> Time {
        let allowed = self.stop_sending_within.min(self.max_time_without_line) - self.max_delivery_delay;
        Time::from_seconds(allowed.seconds() * share)
    }

    /// Returns the time over which a starting node's weight is raised.
    fn warm_up_span(&self) -> Time {
        self.warm_up_time.max(WARM_UP_TIME_MIN)
    }

    /// Returns the time between two steps of a warm-up.
    pub(super) fn warm_up_interval(&self) -> Time {
        Time(self.warm_up_span().0 / u64::from(WARM_UP_STEPS))
    }

    /// Returns the steps of its warm-up that a node's age allows.
    pub(super) fn warm_up_steps(&self, started: Option<Time>, now: Time) -> u32 {
        let Some(started) = started else { return WARM_UP_STEPS };
        let steps = (now - started).0.saturating_mul(WARM_UP_STEPS.into()) / self.warm_up_span().0;
        steps.min(WARM_UP_STEPS.into()) as u32
    }

    /// Returns the time until an order shows in the reports.
    pub(super) fn feedback_delay(&self) -> Time {
        self.mean_delivery_delay + self.summary_period + REPORT_DELAY
    }

    /// Returns the interval of messages to a proxy that use a share of those allowed.
    pub(super) fn message_interval(&self, share: f64) -> Time {
        if self.max_messages == 0 {
            return Time::default();
        }
        let messages = (f64::from(self.max_messages) * share).max(1.0);
        Time::from_seconds(self.message_window.seconds() / messages)
    }

    /// Returns the retry policy of a class. No repeated try may have a second effect.
    pub(super) fn retry_policy(&self, terms: &ExchangeTerms, strain: Strain) -> RetryPolicy {
        match strain {
            Strain::Low if self.may_repeat(terms) => RetryPolicy::Once,
            Strain::Low | Strain::Moderate => RetryPolicy::IfNeverRan,
            Strain::Severe => RetryPolicy::Never,
        }
    }

    /// Whether an exchange that may have run can be repeated without a second effect.
    fn may_repeat(&self, terms: &ExchangeTerms) -> bool {
        match terms.idempotency {
            Idempotency::Safe => true,
            Idempotency::Keyed { scope, window } => {
                let everywhere =
                    scope == DedupScope::All || scope == DedupScope::Zone && self.zone_count == 1;
                // Every try falls within the deadline, so a window of that length covers them all.
                everywhere && window >= terms.deadline
            }
            Idempotency::Unsafe => false,
        }
    }
}
