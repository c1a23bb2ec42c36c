//! Resolves a unified value to one value per key: the value set, or its default. An open value is a problem.

use serde_json::{Map, Value as Json};

use super::unify::key_path;
use super::value::*;

/// Returns the resolved value, or adds what is left open to `problems`. Times and sizes are given as they are
/// written in a source.
pub fn resolve(located: &Located, key: &str, problems: &mut Vec<Problem>) -> Option<Json> {
    match &located.value {
        Value::Scalar(scalar) => Some(scalar_to_json(scalar)),
        Value::Constraint(..) => {
            problems.push(open_value(located, key, "is not set"));
            None
        }
        Value::ListOf(_) => Some(Json::Array(Vec::new())),
        Value::List(items) => resolve_list(items, key, problems),
        Value::Record(record) => resolve_record(record, key, problems),
        Value::Alternatives(alternatives) => {
            let mut defaults = alternatives.iter().filter(|alternative| alternative.is_default);
            match (defaults.next(), defaults.next()) {
                (Some(only), None) => resolve(&only.located, key, problems),
                _ => {
                    problems.push(open_value(located, key, "is ambiguous"));
                    None
                }
            }
        }
    }
}

fn scalar_to_json(scalar: &Scalar) -> Json {
    match scalar {
        Scalar::Bool(value) => Json::from(*value),
        Scalar::Integer(integer) => Json::from(*integer),
        Scalar::Number(number) => Json::from(*number),
        Scalar::Text(text) => Json::from(text.as_str()),
        Scalar::Time(_) | Scalar::Size(_) => Json::from(scalar.to_string()),
    }
}

fn open_value(located: &Located, key: &str, message: &str) -> Problem {
    let expected = Some(located.value.to_string());
    Problem { span: located.span, key: key.to_string(), message: message.to_string(), expected }
}

/// Resolves all items, so that the problems of each are reported.
fn resolve_list(items: &[Located], key: &str, problems: &mut Vec<Problem>) -> Option<Json> {
    let items: Vec<Option<Json>> = items
        .iter()
        .enumerate()
        .map(|(index, item)| resolve(item, &format!("{key}[{index}]"), problems))
        .collect();
    Some(Json::Array(items.into_iter().collect::<Option<_>>()?))
}

/// Resolves all fields but the optional ones, which no source sets, so that the problems of each are reported.
fn resolve_record(record: &Record, key: &str, problems: &mut Vec<Problem>) -> Option<Json> {
    let mut resolved = Map::new();
    let mut complete = true;
    for (name, field) in record.fields.iter().filter(|(_, field)| !field.optional) {
        match resolve(&field.located, &key_path(key, name), problems) {
            Some(value) => _ = resolved.insert(name.clone(), value),
            None => complete = false,
        }
    }
    complete.then_some(Json::Object(resolved))
}
