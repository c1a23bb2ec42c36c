//! Errors of scripts, with their position in the source.

use std::fmt::{self, Display, Formatter};

use rhai::{EvalAltResult, Position};

use super::budget::ExceededLimit;

/// Why a script cannot be loaded, or why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptError {
    /// Line in the source, from 1 on; 0 where the error has no position.
    pub line: usize,
    /// Column in that line, from 1 on; 0 where there is none.
    pub column: usize,
    /// The cause.
    pub message: String,
}

impl ScriptError {
    /// Returns an error without a position.
    pub(super) fn new(message: impl Into<String>) -> ScriptError {
        ScriptError { line: 0, column: 0, message: message.into() }
    }

    /// Returns an error at a position.
    pub(super) fn at(position: Position, message: impl Into<String>) -> ScriptError {
        ScriptError {
            line: position.line().unwrap_or(0),
            column: position.position().unwrap_or(0),
            message: message.into(),
        }
    }

    /// Returns the error of a failed evaluation, in terms of what operators can change.
    pub(super) fn from_evaluation(error: &EvalAltResult) -> ScriptError {
        let message = match error {
            EvalAltResult::ErrorTooManyOperations(_) => "exceeded its limit of operations".to_string(),
            EvalAltResult::ErrorTerminated(limit, _) => match limit.clone().try_cast::<ExceededLimit>() {
                Some(ExceededLimit::Memory) => "exceeded its memory limit".to_string(),
                Some(ExceededLimit::Stack) => "values are nested too deeply".to_string(),
                Some(ExceededLimit::Time) | None => "exceeded its time limit".to_string(),
            },
            EvalAltResult::ErrorStackOverflow(_) => "function calls are nested too deeply".to_string(),
            EvalAltResult::ErrorDataTooLarge(what, _) => format!("{what} exceeds its size limit"),
            EvalAltResult::ErrorInFunctionCall(_, _, inner, _) => return ScriptError::from_evaluation(inner),
            other => {
                // The position is reported apart from the text.
                let text = other.to_string();
                text.split(" (line ").next().unwrap_or_default().to_string()
            }
        };
        ScriptError::at(error.position(), message)
    }

    /// Returns `:LINE:COLUMN`, to follow the file's name, or nothing where the error has no position.
    pub fn position_suffix(&self) -> String {
        if self.line > 0 { format!(":{}:{}", self.line, self.column) } else { String::new() }
    }
}

impl Display for ScriptError {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}, column {}: ", self.line, self.column)?;
        }
        formatter.write_str(&self.message)
    }
}
