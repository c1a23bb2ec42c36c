//! Service settings for tests and benches: two classes, one safe to repeat and one not.

use oatpitch::interface::{ExchangeTerms, Idempotency, LevelKind, ServiceSettings, Time};

/// Returns settings for `proxies` proxies, each of whose nodes accepts at least `conns_least` connections. The
/// channel sends a few thousand lines a second, as that of a small tier does.
pub fn service_settings(proxies: u32, conns_least: f64) -> ServiceSettings {
    let terms = |target, repeat| ExchangeTerms {
        target_time: Time::from_ms(target),
        deadline: Time::from_ms(4_000),
        gain: 1.0,
        idempotency: repeat,
        own_zone_only: false,
    };
    ServiceSettings {
        class_terms: vec![terms(1_000, Idempotency::Safe), terms(400, Idempotency::Unsafe)],
        zone_count: 2,
        roster_on_request: false,
        max_roster_age: Time::from_ms(10_000),
        summary_period: Time::from_ms(1_000),
        level_kind: LevelKind::Share,
        slice_count: 0,
        channel_lines_per_second: 5_000.0,
        message_overhead_lines: 6.0,
        max_queued_lines: 7_000.0,
        max_messages: 0,
        message_window: Time::default(),
        mean_delivery_delay: Time::from_ms(200),
        max_delivery_delay: Time::from_ms(600),
        avoid_after_failures: 5,
        cross_zone_fee: 0.08,
        proxy_count: proxies,
        min_node_connections: conns_least,
        max_time_without_line: Time::from_ms(3_000),
        stop_sending_within: Time::from_ms(3_000),
        cold_capacity_share: 0.3,
        warm_up_time: Time::from_ms(12_000),
        cold_overload_factor: 3.0,
    }
}
