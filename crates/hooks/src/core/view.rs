//! What hooks see of a conductor: read-only, with names in place of numbers, and the same for all hooks of a round.

use std::collections::BTreeMap;

use oatpitch::interface::{
    ADMIT_ALL, BalanceSnapshot, Idempotency, LevelKind, NodeId, NodeSnapshot, ProxySnapshot, RetryPolicy,
    ServiceSettings, Time,
};
use serde::{Deserialize, Serialize};

/// [`Time`] counts tenths of a millisecond.
const TICKS_PER_MS: u64 = 10;
const TICKS_PER_MINUTE: u64 = 60_000 * TICKS_PER_MS;
const MINUTES_PER_DAY: i64 = 1_440;

/// The view of one round. Its JSON keys are the names that scripts use.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct View {
    /// Milliseconds since 1970.
    pub now_ms: u64,
    /// Minutes since midnight by the operators' clock.
    #[serde(rename = "minute")]
    pub minute_of_day: u32,
    /// 0 while the fleet keeps up with its work, 1 while it is tense, 2 while it falls short.
    pub strain: u8,
    /// Number of parts that the table is divided into.
    #[serde(rename = "parts")]
    pub part_count: u16,
    /// How proxies interpret a level: `share`, `rate` (per second at each proxy), or `ignored`.
    #[serde(rename = "levels")]
    pub level_kind: String,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The classes of exchanges.
    pub classes: Vec<ClassView>,
    /// The listed nodes.
    pub nodes: Vec<NodeView>,
    /// The joined proxies.
    pub proxies: Vec<ProxyView>,
}

/// A class of exchanges.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassView {
    /// Its name.
    pub name: String,
    /// Whether repeating an exchange has an effect.
    #[serde(rename = "effect")]
    pub has_effect: bool,
    /// Reported exchanges per second.
    #[serde(rename = "asked")]
    pub demand: f64,
    /// The further tries that the module allows: 0 none, 1 only of tries that never ran, 2 one, 3 two.
    #[serde(rename = "tries")]
    pub retry_policy: u8,
    /// How much the module admits; 1e9 for everything.
    #[serde(rename = "amount")]
    pub admitted_amount: f64,
}

/// A listed node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeView {
    /// Its name.
    pub name: String,
    /// Name of the zone that it runs in.
    pub zone: String,
    /// Number of its kind of machine.
    #[serde(rename = "kind")]
    pub machine_kind: u8,
    /// The part of the table that contains its line.
    pub part: u16,
    /// Whether it is neither draining nor gone.
    #[serde(rename = "open")]
    pub ready: bool,
    /// Whether its warm-up is over.
    #[serde(rename = "warm")]
    pub warmed_up: bool,
    /// How much of its warm-up is done, from 0 to 1.
    #[serde(rename = "done")]
    pub warm_up_progress: f64,
    /// Share of its weight that its health allows.
    #[serde(rename = "ease")]
    pub health_share: f64,
    /// Whether it has only a very small share, until it proves that it works again.
    #[serde(rename = "trial")]
    pub on_trial: bool,
    /// Its weight in the roster.
    #[serde(rename = "listed")]
    pub listed_weight: f64,
    /// Weight of its line in the table, 0 if it has none.
    #[serde(rename = "stands")]
    pub line_weight: f64,
    /// Recent tries there.
    pub tries: f64,
    /// Recent failed tries.
    #[serde(rename = "lost")]
    pub failed: f64,
    /// Mean time of the recent successful tries, in milliseconds.
    pub mean_ms: f64,
}

/// A joined proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProxyView {
    /// Its number.
    pub proxy: u32,
    /// Name of the zone that it runs in.
    pub zone: String,
    /// Its usual rate, as it stated when it joined.
    #[serde(rename = "rate")]
    pub exchanges_per_second: f64,
    /// The part that it is bound to, or `None` before it is bound.
    pub part: Option<u16>,
    /// The tags that it stated when it joined, where its protocol carries tags.
    #[serde(default)]
    pub tags: BTreeMap<String, String>,
}

/// The tags of proxies, by number of the proxy.
pub type ProxyTags = BTreeMap<u32, BTreeMap<String, String>>;

/// Returns the number by which scripts know a retry policy.
pub fn retry_policy_code(policy: RetryPolicy) -> u8 {
    match policy {
        RetryPolicy::Never => 0,
        RetryPolicy::IfNeverRan => 1,
        RetryPolicy::Once => 2,
        RetryPolicy::Twice => 3,
    }
}

/// What a view needs beyond a snapshot: names of zones and classes by number, and the operators' clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewContext {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Minutes that the operators' clock is ahead of UTC.
    pub clock_offset_minutes: i32,
}

impl View {
    /// Returns the view on which a script is called once before it takes part: nodes in every state, classes of
    /// both kinds, proxies bound and unbound.
    pub fn sample() -> View {
        let zone_names = ["a", "b"];
        let node = |index: usize| NodeView {
            name: format!("s-{index}"),
            zone: zone_names[index % 2].into(),
            machine_kind: (index % 3) as u8,
            part: (index % 2) as u16,
            ready: index != 5,
            warmed_up: index != 4,
            warm_up_progress: if index == 4 { 0.3 } else { 1.0 },
            health_share: if index == 3 { 0.5 } else { 1.0 },
            on_trial: false,
            listed_weight: 1.0,
            line_weight: if index == 5 { 0.0 } else { 1.0 },
            tries: 100.0,
            failed: if index == 3 { 12.0 } else { 1.0 },
            mean_ms: 40.0 + index as f64,
        };
        let class = |name: &str, has_effect, retry_policy| ClassView {
            name: name.into(),
            has_effect,
            demand: 100.0,
            retry_policy,
            admitted_amount: ADMIT_ALL,
        };
        let proxy = |number: u32| ProxyView {
            proxy: number,
            zone: zone_names[number as usize % 2].into(),
            exchanges_per_second: 10.0 + f64::from(number),
            part: (number > 1).then_some((number % 2) as u16),
            tags: BTreeMap::from([("tier".into(), ["gold", "plain"][number as usize % 2].into())]),
        };
        View {
            now_ms: 1_700_000_000_000,
            minute_of_day: 23 * 60 + 30,
            strain: 1,
            part_count: 2,
            level_kind: "share".into(),
            zones: zone_names.map(String::from).to_vec(),
            classes: vec![class("quote", false, 2), class("advance", true, 1)],
            nodes: (0..8).map(node).collect(),
            proxies: (0..6).map(proxy).collect(),
        }
    }

    /// Puts the module's snapshot in the terms of scripts. Nodes whose name is not known are left out.
    pub fn from_snapshot(
        snapshot: &BalanceSnapshot,
        settings: &ServiceSettings,
        context: &ViewContext,
        node_names: &BTreeMap<NodeId, String>,
        tags: &ProxyTags,
    ) -> View {
        let node = |node: &NodeSnapshot| Some(node_view(node, node_names.get(&node.node)?, context));
        let proxy = |proxy: &ProxySnapshot| proxy_view(proxy, tags, context);
        let class = |class: usize| class_view(class, snapshot, settings, context);
        View {
            now_ms: snapshot.now.0 / TICKS_PER_MS,
            minute_of_day: minute_of_day(snapshot.now, context.clock_offset_minutes),
            strain: snapshot.strain,
            part_count: snapshot.part_count,
            level_kind: match settings.level_kind {
                LevelKind::Share => "share".into(),
                LevelKind::Rate => "rate".into(),
                LevelKind::Ignored => "ignored".into(),
            },
            zones: context.zones.clone(),
            classes: (0..settings.class_terms.len()).map(class).collect(),
            nodes: snapshot.nodes.iter().filter_map(node).collect(),
            proxies: snapshot.proxies.iter().map(proxy).collect(),
        }
    }
}

impl ViewContext {
    fn zone_name(&self, zone: u16) -> String {
        self.zones.get(usize::from(zone)).cloned().unwrap_or_default()
    }
}

fn node_view(node: &NodeSnapshot, name: &str, context: &ViewContext) -> NodeView {
    NodeView {
        name: name.into(),
        zone: context.zone_name(node.zone.0),
        machine_kind: node.machine_kind,
        part: node.part,
        ready: node.ready,
        warmed_up: node.warmed_up,
        warm_up_progress: node.warm_up_progress,
        health_share: node.health_share,
        on_trial: node.on_trial,
        listed_weight: node.listed_weight,
        line_weight: node.line_weight,
        tries: node.tries,
        failed: node.failed,
        mean_ms: node.mean_time * 1e3,
    }
}

fn proxy_view(proxy: &ProxySnapshot, tags: &ProxyTags, context: &ViewContext) -> ProxyView {
    ProxyView {
        proxy: proxy.proxy.0,
        zone: context.zone_name(proxy.zone.0),
        exchanges_per_second: proxy.exchanges_per_second,
        part: proxy.part,
        tags: tags.get(&proxy.proxy.0).cloned().unwrap_or_default(),
    }
}

fn class_view(
    class: usize,
    snapshot: &BalanceSnapshot,
    settings: &ServiceSettings,
    context: &ViewContext,
) -> ClassView {
    let level = snapshot.levels.get(class).copied();
    ClassView {
        name: context.classes.get(class).cloned().unwrap_or_default(),
        has_effect: settings.class_terms[class].idempotency != Idempotency::Safe,
        demand: snapshot.demand.get(class).copied().unwrap_or_default(),
        retry_policy: level.map_or(0, |(policy, _)| retry_policy_code(policy)),
        admitted_amount: level.map_or(0.0, |(_, amount)| amount),
    }
}

fn minute_of_day(now: Time, clock_offset_minutes: i32) -> u32 {
    let utc_minutes = i64::try_from(now.0 / TICKS_PER_MINUTE).unwrap_or_default();
    let minutes = utc_minutes + i64::from(clock_offset_minutes);
    u32::try_from(minutes.rem_euclid(MINUTES_PER_DAY)).unwrap_or_default()
}
