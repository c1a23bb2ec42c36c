//! The settings of a script: what it declares, and the operators' values checked against that.

use std::collections::BTreeMap;

use rhai::{Dynamic, Map};
use serde_json::Value;

use super::error::ScriptError;

/// The types that a setting may have.
const TYPE_NAMES: [&str; 4] = ["number", "int", "string", "bool"];

/// A setting that a script declares.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredSetting {
    /// `number`, `int`, `string` or `bool`.
    pub type_name: String,
    /// The value where operators set none; without it the setting is required.
    pub default: Option<Value>,
}

/// Reads the result of a script's `settings()`.
pub fn declared(result: &Dynamic) -> Result<BTreeMap<String, DeclaredSetting>, ScriptError> {
    let map = result.read_lock::<Map>().ok_or_else(wrong_form)?;
    let mut declared = BTreeMap::new();
    for (name, declaration) in map.iter() {
        declared.insert(name.to_string(), declared_setting(name, declaration)?);
    }
    Ok(declared)
}

fn wrong_form() -> ScriptError {
    ScriptError::new("settings() must return a map of names to types or to #{type, default}")
}

fn declared_setting(name: &str, declaration: &Dynamic) -> Result<DeclaredSetting, ScriptError> {
    let (type_name, default) = match declaration.read_lock::<Map>() {
        Some(record) => {
            let type_name = record.get("type").cloned().unwrap_or_default();
            (type_name, record.get("default").cloned())
        }
        None => (declaration.clone(), None),
    };
    let type_name = type_name.into_string().map_err(|_| wrong_form())?;
    if !TYPE_NAMES.contains(&type_name.as_str()) {
        return Err(ScriptError::new(format!(
            "settings(): {name} is of type {type_name:?}; expected number, int, string or bool"
        )));
    }
    let default = default.map(|value| default_value(&value)).transpose()?;
    Ok(DeclaredSetting { type_name, default })
}

fn default_value(value: &Dynamic) -> Result<Value, ScriptError> {
    if let Ok(flag) = value.as_bool() {
        return Ok(Value::from(flag));
    }
    if let Ok(integer) = value.as_int() {
        return Ok(Value::from(integer));
    }
    if let Ok(number) = value.as_float() {
        return Ok(Value::from(number));
    }
    let text = value.clone().into_string();
    text.map(Value::from)
        .map_err(|_| ScriptError::new("settings(): a default must be a number, a string or a bool"))
}

/// Returns the values that the script is given: the operators' where they set one, the defaults elsewhere. Each
/// must be of the declared type.
pub fn checked(declared: &BTreeMap<String, DeclaredSetting>, settings: &Value) -> Result<Map, ScriptError> {
    let empty = serde_json::Map::new();
    let set = match settings {
        Value::Null => &empty,
        Value::Object(set) => set,
        _ => return Err(ScriptError::new("settings: expected a record")),
    };
    if let Some(unknown) = set.keys().find(|key| !declared.contains_key(*key)) {
        let known: Vec<&str> = declared.keys().map(String::as_str).collect();
        return Err(ScriptError::new(format!(
            "settings.{unknown}: not declared by the script, which declares [{}]",
            known.join(", ")
        )));
    }
    let mut values = Map::new();
    for (name, setting) in declared {
        let value = set.get(name).or(setting.default.as_ref()).ok_or_else(|| {
            ScriptError::new(format!("settings.{name}: is not set; expected {}", setting.type_name))
        })?;
        let typed = typed_value(&setting.type_name, value).ok_or_else(|| {
            ScriptError::new(format!("settings.{name}: {value} is not of type {}", setting.type_name))
        })?;
        values.insert(name.as_str().into(), typed);
    }
    Ok(values)
}

/// Returns the value as a script has it, or `None` if it is of another type.
fn typed_value(type_name: &str, value: &Value) -> Option<Dynamic> {
    match (type_name, value) {
        ("bool", Value::Bool(flag)) => Some(Dynamic::from(*flag)),
        ("string", Value::String(text)) => Some(Dynamic::from(text.clone())),
        ("int", value) => value.as_i64().map(Dynamic::from),
        ("number", value) => value.as_f64().map(Dynamic::from),
        _ => None,
    }
}
