//! The snapshot channel's records, as `channel.cue` describes them.

use std::net::SocketAddr;

use oatpitch::interface::Time;
use serde::Deserialize;

use crate::core::value::Scalar;

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Channel {
    pub listen: SocketAddr,
    pub lineage: String,
    pub subscribers: usize,
    pub waiting_lines: usize,
    pub history: usize,
    #[serde(deserialize_with = "super::size")]
    pub history_bytes: usize,
    /// Lines a second.
    pub catch_up_lines: u64,
    #[serde(deserialize_with = "super::time")]
    pub beat: Time,
    #[serde(deserialize_with = "super::time")]
    pub silent: Time,
    #[serde(deserialize_with = "super::time")]
    pub linger: Time,
}

#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relay {
    pub origins: Vec<SocketAddr>,
    pub publish: Channel,
    pub proxy: u32,
    pub zone: String,
    /// Exchanges a second of all that follow it.
    pub rate: f64,
    pub hold: Hold,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hold {
    #[serde(deserialize_with = "super::time")]
    pub effects: Time,
    #[serde(deserialize_with = "super::time")]
    pub unordered: Time,
    #[serde(deserialize_with = "super::time")]
    pub retry: Time,
    #[serde(deserialize_with = "super::time")]
    pub retry_most: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    pub hold: Hold,
}

/// Keys whose values don't go together, each with what is wrong and what is expected.
pub fn odds(record: &Channel, key: &str) -> Option<(String, String, String)> {
    let most = Time(record.silent.0 / BEATS_LEAST);
    let what = format!("is too seldom, as a stream is given up after {}", Scalar::Time(record.silent.0));
    let expected = format!("at most {}, {BEATS_LEAST} in that time", Scalar::Time(most.0));
    (record.beat > most).then(|| (format!("{key}.beat"), what, expected))
}

/// Signs of life in the time after which one is given up: one that comes late must not end it.
const BEATS_LEAST: u64 = 2;

/// Keys that only a new start takes over: what is bound, and what sizes what is there.
pub fn fixed(one: Option<&Channel>, two: Option<&Channel>) -> Vec<String> {
    match (one, two) {
        (Some(one), Some(two)) => {
            let keys = [
                ("channel.listen", one.listen == two.listen),
                ("channel.lineage", one.lineage == two.lineage),
                ("channel.subscribers", one.subscribers == two.subscribers),
            ];
            keys.into_iter().filter(|(_, same)| !same).map(|(key, _)| key.to_string()).collect()
        }
        (None, None) => Vec::new(),
        _ => vec!["channel".to_string()],
    }
}
