//! Reads the operator's files, and checks them for the `check` sub-command.

use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Result;
use oatpitch_operator::CheckedSettings;

use super::command::EXIT_INVALID_FILE;

/// Reads the operator's settings from the given files or, if there are none, from the file that NODE_OPERATOR names.
pub fn load_settings(files: &[PathBuf]) -> Result<CheckedSettings> {
    let default_files: Vec<PathBuf> =
        std::env::var_os("NODE_OPERATOR").map(PathBuf::from).into_iter().collect();
    Ok(oatpitch_operator::check_files(if files.is_empty() { &default_files } else { files })?)
}

/// Prints the resulting settings, or every error in the files.
pub fn check(files: &[PathBuf], json: bool) -> ExitCode {
    match oatpitch_operator::check_files(files) {
        Ok(checked) => {
            let lines = if json { format!("{}\n", checked.json) } else { settings_lines("", &checked.json) };
            // If standard output can't be written, the exit code still reports the result.
            let _ = std::io::stdout().write_all(lines.as_bytes());
            ExitCode::SUCCESS
        }
        Err(error) => {
            let mut stderr = std::io::stderr().lock();
            for diagnostic in &error.0 {
                let _ = writeln!(stderr, "{diagnostic}\n{}", diagnostic.rendered);
            }
            ExitCode::from(EXIT_INVALID_FILE)
        }
    }
}

/// Returns a line with the full path for each key.
fn settings_lines(path: &str, value: &serde_json::Value) -> String {
    match value.as_object() {
        Some(record) => {
            let path = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
            record.iter().map(|(key, value)| settings_lines(&path(key), value)).collect()
        }
        None => format!("{path}: {}\n", value.as_str().map_or_else(|| value.to_string(), String::from)),
    }
}
