//! Flattens nested JSON settings into the path=value pairs that the simulator writes.

use anyhow::{Result, anyhow, bail};
use serde_json::Value;

use crate::pairs::Pairs;

/// Flattens the whole settings object.
pub(crate) fn flatten(settings: &Value) -> Result<Pairs> {
    if !settings.is_object() {
        bail!("settings: not a JSON object");
    }
    let mut pairs = Pairs::default();
    flatten_value("", settings, &mut pairs)?;
    Ok(pairs)
}

/// Returns the names of the zones as they are written.
pub(crate) fn zone_names(settings: &Value) -> Result<Vec<String>> {
    let zones = settings["azs"].as_array().into_iter().flatten();
    let names: Option<Vec<String>> = zones.map(to_name).collect();
    names.ok_or_else(|| anyhow!("settings: azs is not a list of names"))
}

/// Returns the names of the classes as they are written.
pub(crate) fn class_names(settings: &Value) -> Result<Vec<String>> {
    let classes = settings["classes"].as_array().into_iter().flatten();
    let names: Option<Vec<String>> = classes.map(|class| to_name(&class["name"])).collect();
    names.ok_or_else(|| anyhow!("settings: classes has an entry without a name"))
}

fn to_name(value: &Value) -> Option<String> {
    value.as_str().map(String::from)
}

/// Adds the pairs of a value: one for each scalar below an object, one for a list of scalars, and `count` and
/// numbered paths for a list of objects. A null counts as a missing key.
fn flatten_value(path: &str, value: &Value, pairs: &mut Pairs) -> Result<()> {
    match value {
        Value::Object(fields) => {
            for (key, field) in fields {
                flatten_value(&join(path, key), field, pairs)?;
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.insert(join(path, "count"), items.len().to_string());
            for (index, item) in items.iter().enumerate() {
                flatten_value(&join(path, &index.to_string()), item, pairs)?;
            }
        }
        Value::Array(items) => {
            let texts: Option<Vec<String>> = items.iter().map(scalar_text).collect();
            let Some(texts) = texts else {
                bail!("settings: {path} is neither a list of objects nor a list of scalars");
            };
            pairs.insert(path.into(), texts.join(","));
        }
        Value::Null => {}
        scalar => {
            pairs.insert(path.into(), scalar_text(scalar).unwrap_or_default());
        }
    }
    Ok(())
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_string() } else { format!("{path}.{key}") }
}

/// Returns a scalar as the simulator writes it, or `None` for any other value.
fn scalar_text(value: &Value) -> Option<String> {
    match value {
        Value::Bool(flag) => Some(flag.to_string()),
        // Written without a trailing ".0", so that a whole number given as 400000.0 parses as an integer.
        Value::Number(number) => match number.as_f64() {
            Some(float) if number.is_f64() => Some(float.to_string()),
            _ => Some(number.to_string()),
        },
        Value::String(text) => Some(text.replace([' ', ','], "_")),
        _ => None,
    }
}
