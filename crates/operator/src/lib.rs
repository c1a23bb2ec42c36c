//! Reads and checks the operator's files: typed settings in a language similar to CUE.
//!
//! The program's schemas and the operator's sources are unified to one value. Conflicts, unknown keys and missing
//! values are reported for all sources at once, each with its file, line, column and the full path of the key.

pub mod core;
mod diagnostics;
pub mod records;

use std::path::{Path, PathBuf};

use codespan_reporting::files::SimpleFiles;

use crate::core::parse::{Entry, parse};
use crate::core::resolve::resolve;
use crate::core::unify::Evaluator;
use crate::core::value::{Located, Problem, Record, Span, Value};
use crate::diagnostics::{diagnostic, unreadable_file};
pub use diagnostics::{Diagnostic, Diagnostics};
pub use records::OperatorSettings;
use records::{Conflict, SCHEMAS};

/// Size in bytes of the largest file that is read. Operators' files have a few hundred lines.
const MAX_FILE_BYTES: u64 = 4 << 20;

/// A source and the file name under which problems in it are reported.
pub struct SourceText {
    pub name: String,
    pub source: String,
}

/// Settings without any problem.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckedSettings {
    pub settings: OperatorSettings,
    /// The same settings by their keys, with times and sizes as they are written in a file.
    pub json: serde_json::Value,
}

/// Returns the settings that hold without any file: the defaults, with all optional subsystems off.
pub fn default_settings() -> Result<CheckedSettings, Diagnostics> {
    check_sources(&[])
}

/// Reads and checks files. A file that can't be read is reported as one diagnostic.
pub fn check_files(paths: &[PathBuf]) -> Result<CheckedSettings, Diagnostics> {
    let mut sources = Vec::new();
    let mut unreadable = Vec::new();
    for path in paths {
        match read_file(path) {
            Ok(source) => sources.push(SourceText { name: path.display().to_string(), source }),
            Err(message) => unreadable.push(unreadable_file(path, message)),
        }
    }
    match check_sources(&sources) {
        Ok(checked) if unreadable.is_empty() => Ok(checked),
        Ok(_) => Err(Diagnostics(unreadable)),
        Err(Diagnostics(problems)) => Err(Diagnostics(unreadable.into_iter().chain(problems).collect())),
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    let length = std::fs::metadata(path).map_err(|error| error.to_string())?.len();
    if length > MAX_FILE_BYTES {
        return Err(format!("{length} bytes, more than the limit of {MAX_FILE_BYTES}"));
    }
    std::fs::read_to_string(path).map_err(|error| error.to_string())
}

/// Checks the operator's sources against the program's schemas.
pub fn check_sources(sources: &[SourceText]) -> Result<CheckedSettings, Diagnostics> {
    let mut files = SimpleFiles::new();
    let mut problems = Vec::new();
    let entries = parse_all(sources, &mut files, &mut problems);
    // Place of problems that belong to no source in particular: the first source of the operator, if there is one.
    let start = Span { source: SCHEMAS.len().min(entries.len() - 1), start: 0, end: 0 };
    let unified = unify_all(&entries, start, &mut problems);
    // Missing values are reported only if all else is right: they may be set in a part that could not be read.
    let resolved = if problems.is_empty() { resolve(&unified, "", &mut problems) } else { None };
    match resolved.filter(|_| problems.is_empty()).map(deserialize) {
        Some(Ok(checked)) => {
            let conflicts = checked.settings.conflicts();
            if conflicts.is_empty() {
                return Ok(checked);
            }
            problems.extend(conflicts.into_iter().map(|conflict| locate(conflict, &unified, start)));
        }
        // The schemas describe the types, so this is a mistake in one of them.
        Some(Err(error)) => problems.push(Problem {
            span: start,
            key: String::new(),
            message: error.to_string(),
            expected: None,
        }),
        None => {}
    }
    problems.sort_by(|one, two| (one.span, &one.key, &one.message).cmp(&(two.span, &two.key, &two.message)));
    problems.dedup();
    Err(Diagnostics(problems.into_iter().map(|problem| diagnostic(&files, problem)).collect()))
}

/// Parses the schemas and then the operator's sources. Returns the entries of each.
fn parse_all(
    sources: &[SourceText],
    files: &mut SimpleFiles<String, String>,
    problems: &mut Vec<Problem>,
) -> Vec<Vec<Entry>> {
    let schemas = SCHEMAS.iter().map(|(name, source)| (*name, *source));
    let sources = sources.iter().map(|text| (text.name.as_str(), text.source.as_str()));
    let mut entries = Vec::new();
    for (name, source) in schemas.chain(sources) {
        let index = files.add(name.to_string(), source.to_string());
        let (parsed, unreadable) = parse(index, source);
        entries.push(parsed);
        problems.extend(unreadable);
    }
    entries
}

/// Unifies the entries of all sources to one record. Only the schemas decide which keys there are.
fn unify_all(entries: &[Vec<Entry>], start: Span, problems: &mut Vec<Problem>) -> Located {
    let (schemas, sources) = entries.split_at(SCHEMAS.len());
    let mut evaluator = Evaluator::new(entries.iter().flatten(), SCHEMAS.len());
    evaluator.evaluate_definitions();
    let schema = Record { closed: true, ..evaluator.record(schemas.iter().flatten(), "") };
    let mut unified = Located { value: Value::Record(schema), span: start };
    for source in sources {
        let record = evaluator.record(source, "");
        let source = Located { value: Value::Record(record), span: start };
        unified = evaluator.unify(&unified, &source, "").unwrap_or(unified);
    }
    problems.append(&mut evaluator.problems);
    unified
}

fn deserialize(json: serde_json::Value) -> serde_json::Result<CheckedSettings> {
    let settings = serde_json::from_value(json.clone())?;
    Ok(CheckedSettings { settings, json })
}

/// Turns a conflict into a problem at the place where its key was last set, or else at `start`.
fn locate(conflict: Conflict, unified: &Located, start: Span) -> Problem {
    let Conflict { key, message, expected } = conflict;
    let span = last_set_at(unified, &key).unwrap_or(start);
    Problem { span, key, message, expected: Some(expected) }
}

/// Returns where the value of a key was last set.
fn last_set_at(unified: &Located, key: &str) -> Option<Span> {
    let mut names = key.split(['.', '[', ']']).filter(|name| !name.is_empty());
    let found = names.try_fold(unified, |located, name| match &located.value {
        Value::Record(record) => record.fields.get(name).map(|field| &field.located),
        Value::List(items) => items.get(name.parse::<usize>().ok()?),
        _ => None,
    });
    found.map(|located| located.span)
}
