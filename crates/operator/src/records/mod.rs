//! The settings of each subsystem, with their schemas beside them. A further subsystem needs an entry in
//! [`SCHEMAS`] and a field of [`OperatorSettings`].

pub mod channel;
pub mod hooks;

use oatpitch::interface::Time;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

use crate::core::parse::parse_quantity;
use crate::core::value::Scalar;

/// The schemas, with the file names under which problems in them are reported.
pub const SCHEMAS: [(&str, &str); 2] =
    [("channel.cue", include_str!("channel.cue")), ("hooks.cue", include_str!("hooks.cue"))];

/// All settings of operators. A subsystem without settings is off.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    pub channel: Option<channel::ChannelSettings>,
    pub relay: Option<channel::RelaySettings>,
    pub follow: channel::FollowSettings,
    pub hooks: Option<hooks::HooksSettings>,
}

/// A key whose value is valid by itself, but not together with the values of other keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Conflict {
    /// Full path of the key.
    pub key: String,
    /// What is wrong, in words.
    pub message: String,
    /// What would be accepted, in words.
    pub expected: String,
}

impl OperatorSettings {
    /// Returns all keys whose values conflict with those of other keys.
    pub fn conflicts(&self) -> Vec<Conflict> {
        let channel = self.channel.iter().filter_map(|settings| settings.conflict("channel"));
        let relay = self.relay.iter().filter_map(|settings| settings.publish.conflict("relay.publish"));
        let hooks = self.hooks.iter().flat_map(hooks::HooksSettings::conflicts);
        channel.chain(relay).chain(hooks).collect()
    }

    /// Returns the keys that differ in `other` and can be changed only by a restart.
    pub fn restart_required_keys(&self, other: &OperatorSettings) -> Vec<String> {
        channel::restart_required_keys(self.channel.as_ref(), other.channel.as_ref())
    }
}

/// Deserializes a time as it is written in a source.
fn time<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Time, D::Error> {
    match parse_quantity(&String::deserialize(deserializer)?) {
        Some(Scalar::Time(tenths)) => Ok(Time(tenths)),
        _ => Err(D::Error::custom("not a time")),
    }
}

/// Deserializes a size as it is written in a source, in bytes.
fn size<'de, D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
    match parse_quantity(&String::deserialize(deserializer)?) {
        Some(Scalar::Size(bytes)) => usize::try_from(bytes).map_err(D::Error::custom),
        _ => Err(D::Error::custom("not a size")),
    }
}
