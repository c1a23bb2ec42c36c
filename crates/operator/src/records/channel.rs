//! Settings of the snapshot channel, as `channel.cue` describes them. The fields are renamed where the key of the
//! file says less.

use std::net::SocketAddr;

use oatpitch::interface::Time;
use serde::Deserialize;

use super::Conflict;
use crate::core::value::Scalar;

/// Heartbeats that fit into the silence timeout at least, so that a late one does not end the stream.
const MIN_HEARTBEATS_PER_TIMEOUT: u64 = 2;

/// Publishes tables as snapshots and changes.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChannelSettings {
    /// Address on which subscribers are accepted.
    pub listen: SocketAddr,
    /// Name of the node list that the tables are derived from. Versions are compared only within one lineage.
    pub lineage: String,
    /// Most subscribers at once, those included that have not identified themselves.
    #[serde(rename = "subscribers")]
    pub max_subscribers: usize,
    /// Most lines that wait for one subscriber. If there are more, all of them are discarded.
    #[serde(rename = "waiting_lines")]
    pub max_waiting_lines: usize,
    /// Most revisions kept for each feed, from which a subscriber can resume.
    #[serde(rename = "history")]
    pub max_revisions: usize,
    /// Most bytes kept for each feed, from which a subscriber can resume.
    #[serde(rename = "history_bytes", deserialize_with = "super::size")]
    pub max_history_bytes: usize,
    /// Lines of snapshots sent per second to subscribers that fell behind or came back, over all of them.
    #[serde(rename = "catch_up_lines")]
    pub catch_up_lines_per_second: u64,
    /// Interval between the heartbeats that each end sends.
    #[serde(rename = "beat", deserialize_with = "super::time")]
    pub heartbeat_interval: Time,
    /// Time without a heartbeat after which a stream is closed.
    #[serde(rename = "silent", deserialize_with = "super::time")]
    pub silence_timeout: Time,
    /// Time for which a subscriber keeps its place after its stream has broken.
    #[serde(deserialize_with = "super::time")]
    pub linger: Time,
}

/// Follows one conductor or relay, and publishes its tables to many subscribers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RelaySettings {
    /// Addresses of the channels that may be followed.
    pub origins: Vec<SocketAddr>,
    pub publish: ChannelSettings,
    /// Number of the proxy as which the relay follows.
    pub proxy: u32,
    /// Zone of the relay.
    pub zone: String,
    /// Exchanges per second of all that follow the relay.
    pub rate: f64,
    pub hold: HoldSettings,
}

/// What a subscriber does while its table is not current.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HoldSettings {
    /// Time for which exchanges that are not safe to repeat are held back before they are refused at once.
    #[serde(rename = "effects", deserialize_with = "super::time")]
    pub effects_timeout: Time,
    /// Time for which the present table is kept if the order of two conductors' tables is unknown.
    #[serde(rename = "unordered", deserialize_with = "super::time")]
    pub unordered_timeout: Time,
    /// Delay before the first retry to connect.
    #[serde(rename = "retry", deserialize_with = "super::time")]
    pub min_retry_delay: Time,
    /// Longest delay between retries to connect.
    #[serde(rename = "retry_most", deserialize_with = "super::time")]
    pub max_retry_delay: Time,
}

/// Settings of `oatpitch follow`.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FollowSettings {
    pub hold: HoldSettings,
}

impl ChannelSettings {
    /// Returns the conflict among these settings, if there is one. `key` is the path of the settings.
    pub fn conflict(&self, key: &str) -> Option<Conflict> {
        let max_interval = Time(self.silence_timeout.0 / MIN_HEARTBEATS_PER_TIMEOUT);
        if self.heartbeat_interval <= max_interval {
            return None;
        }
        let timeout = Scalar::Time(self.silence_timeout.0);
        let limit = Scalar::Time(max_interval.0);
        Some(Conflict {
            key: format!("{key}.beat"),
            message: format!("is too long: a stream is closed after {timeout} without a heartbeat"),
            expected: format!(
                "at most {limit}, so that {MIN_HEARTBEATS_PER_TIMEOUT} heartbeats fit in that time"
            ),
        })
    }
}

/// Returns the keys that differ and can be changed only by a restart: those of bound addresses, and of sizes that
/// are fixed at the start.
pub fn restart_required_keys(one: Option<&ChannelSettings>, two: Option<&ChannelSettings>) -> Vec<String> {
    match (one, two) {
        (Some(one), Some(two)) => {
            let keys = [
                ("channel.listen", one.listen == two.listen),
                ("channel.lineage", one.lineage == two.lineage),
                ("channel.subscribers", one.max_subscribers == two.max_subscribers),
            ];
            keys.into_iter().filter(|(_, same)| !same).map(|(key, _)| key.to_string()).collect()
        }
        (None, None) => Vec::new(),
        _ => vec!["channel".to_string()],
    }
}
