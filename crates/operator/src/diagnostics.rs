//! Problems as they are shown: with file, line and column, on one line or with the part of the file concerned.

use std::fmt::{self, Display, Formatter};
use std::path::Path;

use codespan_reporting::diagnostic::{Diagnostic as CodespanDiagnostic, Label};
use codespan_reporting::files::{Files, SimpleFiles};
use codespan_reporting::term;

use crate::core::value::Problem;

/// All problems of the sources, in the order of files and lines.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostics(pub Vec<Diagnostic>);

/// A problem, with its place as file, line and column.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column, counted from 1.
    pub column: usize,
    /// Full path of the key, or empty if no key is concerned.
    pub key: String,
    /// What is wrong, in words.
    pub message: String,
    /// What would be accepted, in words.
    pub expected: Option<String>,
    /// The problem over several lines, with the part of the file that it concerns.
    pub rendered: String,
}

/// Writes the diagnostic on one line.
impl Display for Diagnostic {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Diagnostic { file, line, column, key, message, expected, .. } = self;
        write!(formatter, "{file}:{line}:{column}: ")?;
        if !key.is_empty() {
            write!(formatter, "{key}: ")?;
        }
        write!(formatter, "{message}")?;
        match expected {
            Some(expected) => write!(formatter, "; expected {expected}"),
            None => Ok(()),
        }
    }
}

/// Writes all diagnostics on one line, for the log.
impl Display for Diagnostics {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Diagnostic::to_string).collect();
        formatter.write_str(&lines.join("; "))
    }
}

impl std::error::Error for Diagnostics {}

/// Returns the diagnostic of a file that can't be read.
pub fn unreadable_file(path: &Path, message: String) -> Diagnostic {
    Diagnostic {
        file: path.display().to_string(),
        line: 1,
        column: 1,
        key: String::new(),
        rendered: format!("error: {}: {message}\n", path.display()),
        message,
        expected: None,
    }
}

/// Returns the diagnostic of a problem, with its place in `files` as line and column.
pub fn diagnostic(files: &SimpleFiles<String, String>, problem: Problem) -> Diagnostic {
    let rendered = render(files, &problem);
    let Problem { span, key, message, expected } = problem;
    let (line, column) = files
        .location(span.source, span.start)
        .map_or((1, 1), |location| (location.line_number, location.column_number));
    let file = files.name(span.source).unwrap_or_default();
    Diagnostic { file, line, column, key, message, expected, rendered }
}

/// Writes a problem with the part of the file that it concerns.
fn render(files: &SimpleFiles<String, String>, problem: &Problem) -> String {
    let Problem { span, key, message, expected } = problem;
    let title = if key.is_empty() { message.clone() } else { format!("{key}: {message}") };
    let note = expected.as_ref().map_or(String::new(), |expected| format!("expected {expected}"));
    let label = Label::primary(span.source, span.start..span.end).with_message(note);
    let diagnostic = CodespanDiagnostic::error().with_message(title).with_labels(vec![label]);
    let mut rendered = Vec::new();
    // Writing to memory can't fail, and the span lies in a file that was read. If it fails nevertheless, the
    // diagnostic has no such text.
    let _ = term::emit(&mut rendered, &term::Config::default(), files, &diagnostic);
    String::from_utf8_lossy(&rendered).into_owned()
}
