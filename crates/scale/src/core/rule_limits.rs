//! The limits of the five rules, taken from the settings of a scale test.

use oatpitch::interface::{Idempotency, ServiceSettings, Time};

use super::ids::Micros;

/// Added to the time limits for proxies without a line, for drains and for cold nodes, as messages travel on sockets.
const TIME_LIMIT_SLACK: Micros = Micros::from_millis(300);
/// Time limits start no sooner than this after a conductor's first answer.
const RULES_START_DELAY: Micros = Micros::from_millis(1_000);
/// How long a cold node withstands an overload before it fails. Not read from the settings, which may omit it.
const OVERLOAD_DURATION: Micros = Micros::from_millis(1_500);
/// Retry policy on the wire: a request is retried only after proof that the last try never ran.
const POLICY_IF_NEVER_RAN: u8 = 1;
/// Retry policy on the wire: a request is retried up to twice, whatever became of the last try.
const POLICY_TWO_RETRIES: u8 = 3;

/// What the rules allow.
#[derive(Clone, Debug, PartialEq)]
pub struct RuleLimits {
    /// For each class, the highest retry policy that can't run a request twice.
    pub max_policy: Vec<u8>,
    /// How long a joined proxy may be without a line.
    pub without_line: Micros,
    /// How long proxies may use a node after it was reported as draining or gone.
    pub stop_sending_within: Micros,
    /// Added to the time limits, as messages travel on sockets.
    pub slack: Micros,
    /// Time limits start no sooner than this after a conductor's first answer.
    pub start_delay: Micros,
    /// Share of its full capacity that a node has at its start.
    pub cold_from: f64,
    /// How long after its start a node reaches its full capacity.
    pub warm_up: Micros,
    /// The multiple of its present capacity at which a node fails.
    pub fall_multiple: f64,
    /// How long a node withstands such a load before it fails.
    pub overload_duration: Micros,
    /// Lines that a channel sends per second.
    pub lines_per_second: f64,
    /// The most lines that may wait in a channel.
    pub max_waiting_lines: f64,
    /// Lines that each message costs in a channel beside its own.
    pub message_head: f64,
    /// The most messages to one proxy within `message_window`; 0 for no limit.
    pub max_messages: u32,
    /// The length of the sliding window of `max_messages`.
    pub message_window: Micros,
}

impl RuleLimits {
    /// Returns the limits that the settings of a service set.
    pub fn from_settings(settings: &ServiceSettings) -> RuleLimits {
        let max_policy = settings.class_terms.iter().map(|exchange| match exchange.idempotency {
            Idempotency::Safe => POLICY_TWO_RETRIES,
            Idempotency::Keyed { window, .. } if window >= exchange.deadline => POLICY_TWO_RETRIES,
            Idempotency::Keyed { .. } | Idempotency::Unsafe => POLICY_IF_NEVER_RAN,
        });
        RuleLimits {
            max_policy: max_policy.collect(),
            without_line: micros(settings.max_time_without_line),
            stop_sending_within: micros(settings.stop_sending_within),
            slack: TIME_LIMIT_SLACK,
            start_delay: RULES_START_DELAY,
            cold_from: settings.cold_capacity_share,
            warm_up: micros(settings.warm_up_time),
            fall_multiple: settings.cold_overload_factor,
            overload_duration: OVERLOAD_DURATION,
            lines_per_second: settings.channel_lines_per_second,
            max_waiting_lines: settings.max_queued_lines,
            message_head: settings.message_overhead_lines,
            max_messages: settings.max_messages,
            message_window: micros(settings.message_window),
        }
    }
}

/// Converts from the interface's unit, a tenth of a millisecond.
fn micros(time: Time) -> Micros {
    const MICROS_PER_TICK: u64 = 100;
    Micros(time.0 * MICROS_PER_TICK)
}
