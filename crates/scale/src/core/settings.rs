//! The settings of all conductors at a point: those of the stand-ins, with the zones and the channel of the point.

use anyhow::Result;
use oatpitch::interface::ServiceSettings;
use serde_json::{Value, json};

use super::fleet::zone_names;
use super::ids::Micros;
use super::plan::Plan;

/// Names of the classes, in the order of the settings.
pub const CLASSES: [&str; 2] = ["quote", "advance"];
/// How long a message takes from leaving the channel until its proxy applies it.
pub const PUSH_DELAY: Micros = Micros::from_millis(200);

/// Returns the settings of a conductor as JSON.
pub fn settings(plan: &Plan) -> Value {
    let mut settings = oatpitch_standins::conductor::settings(plan.proxies.into());
    settings["azs"] = json!(zone_names(plan));
    let specifics = &mut settings["specifics"];
    specifics["egress_per_s"] = json!(plan.channel_lines_per_second);
    specifics["pending_max"] = json!(plan.max_channel_lines);
    specifics["push_delay_us"] = json!(PUSH_DELAY.0);
    settings
}

/// Returns the same settings as a conductor parses them.
pub fn service_settings(plan: &Plan) -> Result<ServiceSettings> {
    Ok(oatpitch_settings::from_json(&settings(plan))?.settings)
}
