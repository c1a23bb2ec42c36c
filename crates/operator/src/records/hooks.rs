//! The hooks' records, as `hooks.cue` describes them.

use oatpitch::interface::Time;
use serde::Deserialize;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hooks {
    pub each: Vec<Hook>,
    #[serde(deserialize_with = "super::time")]
    pub period: Time,
    #[serde(deserialize_with = "super::time")]
    pub round: Time,
    pub least: f64,
    pub most: f64,
    pub let_in: f64,
    pub lines: usize,
    #[serde(deserialize_with = "super::time")]
    pub stand: Time,
    pub failures: usize,
    #[serde(deserialize_with = "super::time")]
    pub span: Time,
    #[serde(deserialize_with = "super::time")]
    pub wait: Time,
    #[serde(deserialize_with = "super::time")]
    pub wait_most: Time,
    pub good: u32,
    #[serde(deserialize_with = "super::time")]
    pub stale: Time,
    /// Minutes.
    pub ahead: i32,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hook {
    pub name: String,
    pub script: String,
    pub order: u32,
    pub operations: u64,
    #[serde(deserialize_with = "super::size")]
    pub memory: usize,
    #[serde(deserialize_with = "super::time")]
    pub wall: Time,
    #[serde(default)]
    pub settings: serde_json::Value,
}

/// Keys whose values don't go together, each with what is wrong and what is expected.
pub fn odds(record: &Hooks) -> Vec<(String, String, String)> {
    let mut odds = Vec::new();
    for (k, hook) in record.each.iter().enumerate() {
        if record.each[..k].iter().any(|other| other.name == hook.name) {
            let what = format!("two hooks are named {:?}", hook.name);
            odds.push((format!("hooks.each[{k}].name"), what, "a name of its own".into()));
        }
    }
    if record.round > record.period {
        let what = "is longer than the time from one round to the next".into();
        odds.push(("hooks.round".into(), what, "at most hooks.period".into()));
    }
    if record.wait > record.wait_most {
        odds.push(("hooks.wait".into(), "is over hooks.wait_most".into(), "at most that".into()));
    }
    odds
}
