//! Decodes the settings of a service into a [`HostSettings`]. They come as path=value pairs, one a line, or as
//! nested JSON, which is flattened into the same pairs first. Every error message names the key.

mod json;
mod pairs;
mod service;

#[cfg(test)]
mod tests;

use anyhow::Result;
use oatpitch::interface::{LoadReport, ServiceSettings, Time};
use serde_json::Value;

use crate::pairs::Pairs;

/// The settings that a host is started with.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// The settings that the decision module reads.
    pub settings: ServiceSettings,
    /// The columns of a load report, in the order of its values. Empty if nodes don't report their load.
    pub columns: Vec<LoadColumn>,
    /// The shortest time between two turns.
    pub tick: Time,
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The names of the classes, in the order of their ids. A class without a name has an empty one.
    pub classes: Vec<String>,
}

/// The meaning of one value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadColumn {
    /// The share of the node's cores that is in use.
    CpuShare,
    /// The number of exchanges that wait at the node.
    Queued,
    /// A value that the decision module doesn't read.
    Ignored,
}

impl LoadColumn {
    fn from_name(name: &str) -> LoadColumn {
        match name {
            "cpu" | "util" => LoadColumn::CpuShare,
            "waiting" | "queue" => LoadColumn::Queued,
            _ => LoadColumn::Ignored,
        }
    }

    /// Assembles a load report from its values. Returns `None` if the share of cores in use is missing,
    /// negative or not finite; a queue length that is so counts as 0.
    pub fn load_report(columns: &[LoadColumn], values: &[f64]) -> Option<LoadReport> {
        let value_of = |wanted: LoadColumn| {
            let (_, value) = columns.iter().zip(values).find(|(column, _)| **column == wanted)?;
            Some(*value).filter(|value| value.is_finite() && *value >= 0.0)
        };
        let cpu_share = value_of(LoadColumn::CpuShare)?;
        let queued = value_of(LoadColumn::Queued).unwrap_or_default();
        Some(LoadReport { cpu_share, queued })
    }
}

/// Decodes the simulator's form: path=value pairs, one a line.
pub fn from_pairs(text: &[u8]) -> Result<HostSettings> {
    service::decode(&Pairs::parse(text)?)
}

/// Decodes the `settings` object of a conductor's configuration. Unlike in path=value pairs, names of zones and
/// classes may contain spaces and commas, and every class needs a name.
pub fn from_json(settings: &Value) -> Result<HostSettings> {
    let mut decoded = service::decode(&json::flatten(settings)?)?;
    decoded.zones = json::zone_names(settings)?;
    decoded.classes = json::class_names(settings)?;
    Ok(decoded)
}
