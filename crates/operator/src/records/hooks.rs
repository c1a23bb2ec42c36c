//! Settings of the hooks, as `hooks.cue` describes them. The fields are renamed where the key of the file says
//! less.

use oatpitch::interface::Time;
use serde::Deserialize;

use super::Conflict;

/// The hooks, and the limits on all of them together.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HooksSettings {
    #[serde(rename = "each")]
    pub hooks: Vec<HookSettings>,
    /// Time from the start of one round to the start of the next. The hooks are called once a round.
    #[serde(rename = "period", deserialize_with = "super::time")]
    pub round_interval: Time,
    /// Time that all calls of a round may take together.
    #[serde(rename = "round", deserialize_with = "super::time")]
    pub round_time_limit: Time,
    /// Least share of its weight that a node may be given.
    #[serde(rename = "least")]
    pub min_share: f64,
    /// Greatest share of its weight that a node may be given.
    #[serde(rename = "most")]
    pub max_share: f64,
    /// Least share of the exchanges of a class to which hooks may limit it.
    #[serde(rename = "let_in")]
    pub min_admitted_share: f64,
    /// Most lines that the hooks may change in one round.
    #[serde(rename = "lines")]
    pub max_lines_per_round: usize,
    /// Time for which a node's share is kept before it may change again.
    #[serde(rename = "stand", deserialize_with = "super::time")]
    pub share_hold_time: Time,
    /// Failures within the failure window that suspend a hook.
    #[serde(rename = "failures")]
    pub failure_threshold: usize,
    /// Time over which failures are counted.
    #[serde(rename = "span", deserialize_with = "super::time")]
    pub failure_window: Time,
    /// Time for which a hook is suspended at first. It doubles with each further suspension.
    #[serde(rename = "wait", deserialize_with = "super::time")]
    pub initial_suspension: Time,
    /// Longest time for which a hook is suspended.
    #[serde(rename = "wait_most", deserialize_with = "super::time")]
    pub max_suspension: Time,
    /// Calls that a hook must pass on trial after a suspension.
    #[serde(rename = "good")]
    pub trial_calls: u32,
    /// Time without an answer after which the last advice of the hooks is dropped.
    #[serde(rename = "stale", deserialize_with = "super::time")]
    pub advice_timeout: Time,
    /// Minutes by which the operators' clock is ahead of UTC.
    #[serde(rename = "ahead")]
    pub clock_offset_minutes: i32,
}

/// One hook, and the limits on each of its calls.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HookSettings {
    /// Unique name, used in the log.
    pub name: String,
    /// Path of the script. It is relative to the folder of the operator's file unless it is absolute.
    pub script: String,
    /// Place among the hooks, in ascending order. The last hook counts where several differ on a node.
    pub order: u32,
    /// Most operations of the script engine in one call.
    #[serde(rename = "operations")]
    pub max_operations: u64,
    /// Most bytes of one value in a call; all that a call holds may take a multiple.
    #[serde(rename = "memory", deserialize_with = "super::size")]
    pub max_memory_bytes: usize,
    /// Longest time that one call may take.
    #[serde(rename = "wall", deserialize_with = "super::time")]
    pub time_limit: Time,
    /// Values of the settings that the script declares.
    #[serde(default)]
    pub settings: serde_json::Value,
}

impl HooksSettings {
    /// Returns all conflicts among these settings.
    pub fn conflicts(&self) -> Vec<Conflict> {
        let mut conflicts = Vec::new();
        for (index, hook) in self.hooks.iter().enumerate() {
            if self.hooks[..index].iter().any(|earlier| earlier.name == hook.name) {
                conflicts.push(Conflict {
                    key: format!("hooks.each[{index}].name"),
                    message: format!("two hooks are named {:?}", hook.name),
                    expected: "a unique name".to_string(),
                });
            }
        }
        if self.round_time_limit > self.round_interval {
            conflicts.push(Conflict {
                key: "hooks.round".to_string(),
                message: "is longer than the interval between rounds".to_string(),
                expected: "at most hooks.period".to_string(),
            });
        }
        if self.initial_suspension > self.max_suspension {
            conflicts.push(Conflict {
                key: "hooks.wait".to_string(),
                message: "exceeds hooks.wait_most".to_string(),
                expected: "at most hooks.wait_most".to_string(),
            });
        }
        conflicts
    }
}
