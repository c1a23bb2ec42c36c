//! Reports on hollow conductors, with an extrapolation to a number of conductors that was not run.

use serde::Serialize;

use super::propagation::LatencySummary;
use super::report_table::row;
use super::slope::Slope;

/// How far a run of hollow conductors came. Reports print the `Debug` form.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HollowOutcome {
    Done,
    /// The time limit of the plan expired.
    OutOfTime,
    /// The process reached its memory limit.
    OutOfMemory,
}

/// The measurements of a number of hollow conductors, each of which has the whole list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct HollowReport {
    pub conductors: u32,
    pub nodes: u32,
    pub zones: u32,
    /// Number of proxies of each conductor.
    pub proxies: u16,
    pub outcome: HollowOutcome,
    pub seconds: f64,
    /// CPU time of all conductors from their start until 5 s of simulated time, with all proxies joined.
    pub start_cpu_seconds: f64,
    /// CPU time per second of simulated time without changes, of all conductors.
    pub idle_cores: f64,
    /// CPU time of one change at all conductors.
    pub change_cpu_ms: f64,
    /// Times of single turns.
    pub turn: LatencySummary,
    /// Memory of all conductors, in MiB.
    pub memory_mb: f64,
    /// Messages to all proxies of all conductors from the start until they are at rest.
    pub joining_messages: u64,
    /// Lines of these messages.
    pub joining_lines: u64,
    /// Messages to all proxies of all conductors per change.
    pub change_messages: f64,
    /// Lines of these messages.
    pub change_lines: f64,
    /// Bytes from discovery to all conductors at the start.
    pub list_bytes: u64,
    /// Bytes from discovery to all conductors per change.
    pub change_bytes: f64,
}

/// A metric that grows with the number of conductors: its heading, and its value in a report.
type HollowMetric = (&'static str, fn(&HollowReport) -> f64);

const BYTES_PER_KB: f64 = 1e3;
const BYTES_PER_MB: f64 = 1e6;
/// Columns of turn times, which are not extrapolated.
const TURN_COLUMNS: usize = 3;

const METRICS: &[HollowMetric] = &[
    ("CPU of start and joining, s", |report| report.start_cpu_seconds),
    ("idle, cores", |report| report.idle_cores),
    ("CPU a change, ms", |report| report.change_cpu_ms),
    ("memory, MB", |report| report.memory_mb),
    ("messages at joining", |report| report.joining_messages as f64),
    ("messages a change", |report| report.change_messages),
    ("lines a change", |report| report.change_lines),
    ("bytes from discovery at the start, MB", |report| report.list_bytes as f64 / BYTES_PER_MB),
    ("bytes from discovery a change, KB", |report| report.change_bytes / BYTES_PER_KB),
];

/// Returns a table with a row for each number of conductors, followed by the exponents of their growth and by the
/// values at `extrapolate_to` conductors.
pub fn markdown(reports: &[HollowReport], extrapolate_to: u32) -> String {
    let names = METRICS.iter().map(|(name, _)| name.to_string());
    let turn_headings = ["turn, median", "99th", "longest"].map(String::from);
    let headings: Vec<String> =
        ["conductors", "outcome"].map(String::from).into_iter().chain(names).chain(turn_headings).collect();
    let mut table = row(headings.iter().cloned()) + &row(headings.iter().map(|_| "---".to_string()));
    for report in reports {
        table += &report_row(report);
    }
    let slopes: Vec<Option<Slope>> = METRICS.iter().map(|(_, value)| slope(reports, *value)).collect();
    table += &exponent_row(&slopes);
    table + &extrapolation_row(&slopes, extrapolate_to)
}

fn report_row(report: &HollowReport) -> String {
    let fixed = [report.conductors.to_string(), format!("{:?}", report.outcome)];
    let values = METRICS.iter().map(|(_, value)| format_short(value(report)));
    let turn = &report.turn;
    let turn_times = [turn.median_ms, turn.p99_ms, turn.longest_ms];
    let turn_cells = turn_times.map(|milliseconds| format!("{} ms", format_short(milliseconds)));
    row(fixed.into_iter().chain(values).chain(turn_cells))
}

/// Returns the slope of a metric through the reports of complete runs.
fn slope(reports: &[HollowReport], value: fn(&HollowReport) -> f64) -> Option<Slope> {
    let complete = reports.iter().filter(|report| report.outcome == HollowOutcome::Done);
    let points: Vec<(f64, f64)> =
        complete.map(|report| (f64::from(report.conductors), value(report))).collect();
    Slope::through(&points)
}

fn exponent_row(slopes: &[Option<Slope>]) -> String {
    let exponents =
        slopes.iter().map(|slope| slope.map_or(String::new(), |slope| format!("^ {:.2}", slope.exponent)));
    let fixed = ["grows as".to_string(), String::new()];
    row(fixed.into_iter().chain(exponents).chain(blank_turn_cells()))
}

fn extrapolation_row(slopes: &[Option<Slope>], conductors: u32) -> String {
    let values = slopes
        .iter()
        .map(|slope| slope.map_or(String::new(), |slope| format_short(slope.at(conductors.into()))));
    let fixed = [format!("{conductors}, by the slopes"), "not run".into()];
    row(fixed.into_iter().chain(values).chain(blank_turn_cells()))
}

fn blank_turn_cells() -> impl Iterator<Item = String> {
    std::iter::repeat_n(String::new(), TURN_COLUMNS)
}

/// Formats a number as a whole number from 100 on, and with a few decimal places below.
fn format_short(number: f64) -> String {
    match number.abs() {
        size if size >= 100.0 || size == 0.0 => format!("{number:.0}"),
        size if size >= 1.0 => format!("{number:.1}"),
        _ => format!("{number:.4}"),
    }
}
