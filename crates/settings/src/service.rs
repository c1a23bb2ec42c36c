//! Decodes path=value pairs into [`HostSettings`].

use anyhow::{Context, Result, anyhow, bail};
use oatpitch::interface::{DedupScope, ExchangeTerms, Idempotency, LevelKind, ServiceSettings, Time};

use crate::pairs::Pairs;
use crate::{HostSettings, LoadColumn};

/// The largest number of classes with a level by rate each: a message has at most 64 parts, and tables take
/// some.
const MAX_RATE_CLASSES: usize = 48;

/// The values of `semantics`: whether an exchange of the class may be repeated.
#[derive(Clone, Copy)]
enum Semantics {
    Safe,
    Keyed,
    Unsafe,
}

/// Decodes all settings.
pub(crate) fn decode(pairs: &Pairs) -> Result<HostSettings> {
    let zones: Vec<String> = pairs.list("azs")?.map(String::from).collect();
    let zone_count = u16::try_from(zones.len()).context("settings: azs has too many zones")?;
    if zone_count == 0 {
        bail!("settings: azs names no zone");
    }
    let roster_on_request = pairs.choice("discovery", &[("push", false), ("ask", true)])?;
    let columns = load_columns(pairs)?;
    let settings = service_settings(pairs, zone_count, roster_on_request)?;
    let class_count = settings.class_terms.len();
    if settings.level_kind == LevelKind::Rate && class_count > MAX_RATE_CLASSES {
        bail!(
            "settings: classes.count: {class_count}, but a message has room for {MAX_RATE_CLASSES} levels by rate"
        );
    }
    let classes = (0..class_count).map(|index| class_name(pairs, index)).collect();
    let tick = pairs.time("tick_us")?;
    Ok(HostSettings { settings, columns, tick, zones, classes })
}

fn load_columns(pairs: &Pairs) -> Result<Vec<LoadColumn>> {
    let reported = pairs.choice("report.how", &[("piggyback", true), ("pull", true), ("silent", false)])?;
    if !reported {
        return Ok(Vec::new());
    }
    Ok(pairs.list("report.columns")?.map(LoadColumn::from_name).collect())
}

fn class_name(pairs: &Pairs, index: usize) -> String {
    pairs.get(&format!("classes.{index}.name")).unwrap_or_default().to_string()
}

fn service_settings(pairs: &Pairs, zone_count: u16, roster_on_request: bool) -> Result<ServiceSettings> {
    Ok(ServiceSettings {
        class_terms: class_terms(pairs)?,
        zone_count,
        roster_on_request,
        max_roster_age: if roster_on_request {
            pairs.time("guarantees.ask_within_us")?
        } else {
            Time::default()
        },
        summary_period: pairs.time("specifics.cycle_us")?,
        level_kind: pairs.choice(
            "specifics.admit",
            &[("share", LevelKind::Share), ("rate", LevelKind::Rate), ("silent", LevelKind::Ignored)],
        )?,
        slice_count: pairs.value("specifics.slices")?,
        channel_lines_per_second: pairs.positive("specifics.egress_per_s")?,
        message_overhead_lines: pairs.non_negative("specifics.head")?,
        max_queued_lines: pairs.positive("specifics.pending_max")?,
        max_messages: pairs.value("specifics.reloads_max")?,
        message_window: pairs.time("specifics.update_window_us")?,
        mean_delivery_delay: pairs.time("specifics.push_delay_us")?,
        max_delivery_delay: pairs.time("specifics.push_delay_max_us")?,
        avoid_after_failures: pairs.value("specifics.strikes")?,
        cross_zone_fee: cross_zone_fee(pairs)?,
        proxy_count: proxy_count(pairs)?,
        min_node_connections: pairs.non_negative("specifics.min_conn_cap")?,
        max_time_without_line: pairs.time("specifics.blackhole_us")?,
        stop_sending_within: pairs.time("guarantees.stop_sending_within_us")?,
        cold_capacity_share: pairs.non_negative("guarantees.cold_from")?,
        warm_up_time: pairs.time("guarantees.warm_up_us")?,
        cold_overload_factor: pairs.non_negative("guarantees.fall_multiple")?,
    })
}

/// Returns the fee for traffic between zones. The key may be missing where none is charged.
fn cross_zone_fee(pairs: &Pairs) -> Result<f64> {
    let key = "fees.cross_zone";
    if !pairs.contains(key) {
        return Ok(0.0);
    }
    pairs.non_negative(key)
}

/// Returns the number of proxies. They are numbered from 0 in 32 bits.
fn proxy_count(pairs: &Pairs) -> Result<u32> {
    let key = "specifics.data_plane_size";
    let count: u64 = pairs.value(key)?;
    u32::try_from(count)
        .map_err(|_| anyhow!("settings: {key} is out of range: {count}, at most {}", u32::MAX))
}

fn class_terms(pairs: &Pairs) -> Result<Vec<ExchangeTerms>> {
    let class_count: u16 = pairs.value("classes.count")?;
    let own_zone_only = own_zone_flags(pairs, class_count)?;
    (0..class_count)
        .map(|index| {
            let own_zone_only = own_zone_only.get(usize::from(index)).copied().unwrap_or(false);
            exchange_terms(pairs, index, own_zone_only)
        })
        .collect()
}

/// Returns for each class whether its exchanges stay in the proxy's own zone. The key may be missing or its
/// list empty where no class is kept so.
fn own_zone_flags(pairs: &Pairs, class_count: u16) -> Result<Vec<bool>> {
    let key = "specifics.home_only";
    if !pairs.contains(key) {
        return Ok(Vec::new());
    }
    let texts: Vec<&str> = pairs.list(key)?.collect();
    let flags: Vec<bool> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    let malformed = flags.len() != texts.len();
    if malformed || !flags.is_empty() && flags.len() != usize::from(class_count) {
        bail!("settings: {key} is not a list of true or false for each class: {}", texts.join(","));
    }
    Ok(flags)
}

fn exchange_terms(pairs: &Pairs, index: u16, own_zone_only: bool) -> Result<ExchangeTerms> {
    let key = |name: &str| format!("classes.{index}.{name}");
    let idempotency = idempotency(pairs, key)?;
    Ok(ExchangeTerms {
        target_time: pairs.time(&key("promise_us"))?,
        deadline: pairs.time(&key("deadline_us"))?,
        gain: pairs.non_negative(&key("worth"))?,
        idempotency,
        own_zone_only,
    })
}

fn idempotency(pairs: &Pairs, key: impl Fn(&str) -> String) -> Result<Idempotency> {
    let semantics = pairs.choice(
        &key("semantics"),
        &[("safe", Semantics::Safe), ("keyed", Semantics::Keyed), ("unsafe", Semantics::Unsafe)],
    )?;
    Ok(match semantics {
        Semantics::Safe => Idempotency::Safe,
        Semantics::Unsafe => Idempotency::Unsafe,
        Semantics::Keyed => Idempotency::Keyed {
            scope: pairs.choice(
                &key("dedup_scope"),
                &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)],
            )?,
            window: pairs.time(&key("window_us"))?,
        },
    })
}
