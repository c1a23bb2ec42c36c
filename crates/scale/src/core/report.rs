//! The figures of each point, as JSON and as a table.

use std::collections::BTreeMap;

use serde::Serialize;

use super::checker::{Rule, Violation};
use super::plan::Plan;
use super::propagation::Spread;

/// How far a point came within its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All was done.
    Served,
    /// No sign of life came.
    NeverAlive,
    /// Some proxy was never sent a whole table.
    NoTable,
    /// The time was over before all was measured.
    Stopped,
    /// The conductor ended by itself.
    Ended,
    /// It could not be started, or the run itself failed.
    Failed,
    /// The run was asked to end.
    Interrupted,
}

impl Outcome {
    fn words(self) -> &'static str {
        match self {
            Outcome::Served => "yes",
            Outcome::NeverAlive => "not served: never alive",
            Outcome::NoTable => "not served: proxies without a table",
            Outcome::Stopped => "not served: out of time",
            Outcome::Ended => "not served: it ended",
            Outcome::Failed => "not run",
            Outcome::Interrupted => "not run to its end",
        }
    }
}

/// What one conductor cost, and what was seen of it; of several conductors, their mean.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConductorFigures {
    /// From its start to its first sign of life.
    pub alive_seconds: Option<f64>,
    /// From the proxies' joining until the last of them was sent its whole table.
    pub tables_seconds: Option<f64>,
    /// Processor time from its start until it is quiet after joining, without the idle share of that quiet.
    pub start_cpu_seconds: f64,
    /// The same with the idle share of that quiet.
    pub start_cpu_with_rest_seconds: f64,
    pub idle_cores: Option<f64>,
    /// Processor time of the drains without the idle share, by drain.
    pub change_cpu_ms: Option<f64>,
    /// Share of a core over the time of the drains, idle included.
    pub change_cores: Option<f64>,
    /// Share of a core over the time of the changes by chance, idle included.
    pub churn_cores: Option<f64>,
    /// Processor time of the changes by chance without the idle share, by change.
    pub churn_cpu_ms: Option<f64>,
    pub restart_alive_seconds: Option<f64>,
    pub restart_tables_seconds: Option<f64>,
    pub restart_cpu_seconds: Option<f64>,
    pub peak_memory_mb: f64,
    pub memory_mb: f64,
}

impl ConductorFigures {
    /// Whether a core is full without a change: what a change costs can't be told then, as nothing is left for it.
    pub fn is_full_at_rest(&self) -> bool {
        const FULL: f64 = 0.9;
        self.idle_cores.is_some_and(|cores| cores >= FULL)
    }
}

/// What was counted from outside.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct OutsideFigures {
    pub list_bytes: u64,
    /// Drains while the proxies joined: to the last proxy, and those that some proxy had not got in time.
    pub joining_drains: Spread,
    pub joining_drains_not_reached: u64,
    pub joining_bytes_per_proxy: f64,
    pub joining_messages_per_proxy: f64,
    pub bytes_to_proxies: u64,
    pub messages_to_proxies: u64,
    pub lines_to_proxies: u64,
    pub bytes_from_proxies: u64,
    pub messages_from_proxies: u64,
    pub bytes_from_discovery: u64,
    pub documents_from_discovery: u64,
    pub changes: u64,
    /// From a change to the last proxy that has it, and to each proxy.
    pub last_proxy: Spread,
    pub each_proxy: Spread,
    /// Withdrawals that some proxy had not got by the end.
    pub changes_not_reached: u64,
    pub proxies_without_table: usize,
    pub proxies_without_line: usize,
    /// Streams that a conductor ended.
    pub streams_ended: u64,
    pub streams_unusable: u64,
    pub peak_channel_lines: f64,
    /// How often each rule was broken, and the first breaks.
    pub rules_broken: BTreeMap<Rule, u64>,
    pub violations: Vec<Violation>,
    /// Longest time by which the run itself was late: a figure of a late run is no figure of the conductor.
    pub own_lateness_ms: f64,
}

/// One point, measured once.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PointReport {
    pub program: String,
    pub plan: Plan,
    pub outcome: Outcome,
    pub seconds: f64,
    pub conductor: ConductorFigures,
    pub outside: OutsideFigures,
    /// The counters that each conductor logged at its end.
    pub counters: Vec<String>,
    /// Why it failed, or the conductor's last lines where it ended or did not serve.
    pub notes: Vec<String>,
}

impl PointReport {
    /// Nothing is measured yet.
    pub fn new(program: String, plan: Plan) -> PointReport {
        PointReport {
            program,
            plan,
            outcome: Outcome::Failed,
            seconds: 0.0,
            conductor: ConductorFigures::default(),
            outside: OutsideFigures::default(),
            counters: Vec::new(),
            notes: Vec::new(),
        }
    }
}

/// The whole run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport<T> {
    pub command: Vec<String>,
    /// Load of the machine and its cores when the run began and when it ended.
    pub cores: usize,
    pub load_at_start: Option<f64>,
    pub load_at_end: Option<f64>,
    pub results: Vec<T>,
}

/// A figure of a point, where there is one, under its heading.
#[derive(Debug)]
pub struct Figure {
    pub heading: &'static str,
    pub of: fn(&PointReport) -> Option<f64>,
    unit: Unit,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Unit {
    Seconds,
    Millis,
    Share,
    Count,
    Bytes,
    Megabytes,
}

impl Unit {
    fn show(self, figure: f64) -> String {
        match self {
            Unit::Seconds => format!("{} s", significant(figure)),
            Unit::Millis => format!("{} ms", significant(figure)),
            Unit::Share => significant(figure),
            Unit::Count => format!("{figure:.0}"),
            Unit::Bytes if figure < 1e6 => format!("{} KB", significant(figure / 1e3)),
            Unit::Bytes => format!("{} MB", significant(figure / 1e6)),
            Unit::Megabytes => format!("{figure:.0} MB"),
        }
    }
}

/// Two digits that count, and whole numbers from 10 on.
fn significant(figure: f64) -> String {
    match figure.abs() {
        0.0 => "0".into(),
        size if size >= 10.0 => format!("{figure:.0}"),
        size if size >= 1.0 => format!("{figure:.1}"),
        size if size >= 0.1 => format!("{figure:.2}"),
        size if size >= 0.01 => format!("{figure:.3}"),
        _ => format!("{figure:.4}"),
    }
}

/// All figures of conductors and proxies, in the order of their columns.
pub const FIGURES: &[Figure] = &[
    Figure { heading: "list", of: |point| Some(point.outside.list_bytes as f64), unit: Unit::Bytes },
    Figure { heading: "alive after", of: |point| point.conductor.alive_seconds, unit: Unit::Seconds },
    Figure {
        heading: "all have a table after",
        of: |point| point.conductor.tables_seconds,
        unit: Unit::Seconds,
    },
    Figure {
        heading: "drain while joining to last proxy, longest",
        of: |point| (point.plan.drains_at_joining > 0).then_some(point.outside.joining_drains.longest_ms),
        unit: Unit::Millis,
    },
    Figure {
        heading: "of them not reached",
        of: |point| {
            (point.plan.drains_at_joining > 0).then_some(point.outside.joining_drains_not_reached as f64)
        },
        unit: Unit::Count,
    },
    Figure {
        heading: "CPU of start and joining",
        of: |point| Some(point.conductor.start_cpu_seconds),
        unit: Unit::Seconds,
    },
    Figure { heading: "idle, share of a core", of: |point| point.conductor.idle_cores, unit: Unit::Share },
    Figure {
        heading: "CPU a change",
        of: |point| point.conductor.change_cpu_ms.filter(|_| !point.conductor.is_full_at_rest()),
        unit: Unit::Millis,
    },
    Figure {
        heading: "share of a core while changes come",
        of: |point| point.conductor.change_cores,
        unit: Unit::Share,
    },
    Figure {
        heading: "CPU a change by chance",
        of: |point| point.conductor.churn_cpu_ms.filter(|_| !point.conductor.is_full_at_rest()),
        unit: Unit::Millis,
    },
    Figure {
        heading: "share of a core under changes by chance",
        of: |point| point.conductor.churn_cores,
        unit: Unit::Share,
    },
    Figure {
        heading: "change to last proxy, median",
        of: |point| spread(point, point.outside.last_proxy.median_ms),
        unit: Unit::Millis,
    },
    Figure {
        heading: "99th",
        of: |point| spread(point, point.outside.last_proxy.p99_ms),
        unit: Unit::Millis,
    },
    Figure {
        heading: "longest",
        of: |point| spread(point, point.outside.last_proxy.longest_ms),
        unit: Unit::Millis,
    },
    Figure {
        heading: "not reached",
        of: |point| Some(point.outside.changes_not_reached as f64),
        unit: Unit::Count,
    },
    Figure {
        heading: "bytes a proxy at joining",
        of: |point| Some(point.outside.joining_bytes_per_proxy),
        unit: Unit::Bytes,
    },
    Figure {
        heading: "alive after a restart",
        of: |point| point.conductor.restart_alive_seconds,
        unit: Unit::Seconds,
    },
    Figure {
        heading: "tables after a restart",
        of: |point| point.conductor.restart_tables_seconds,
        unit: Unit::Seconds,
    },
    Figure { heading: "peak", of: |point| Some(point.conductor.peak_memory_mb), unit: Unit::Megabytes },
    Figure {
        heading: "proxies without a table",
        of: |point| Some(point.outside.proxies_without_table as f64),
        unit: Unit::Count,
    },
    Figure {
        heading: "proxies without a line",
        of: |point| Some(point.outside.proxies_without_line as f64),
        unit: Unit::Count,
    },
    Figure {
        heading: "streams ended by the conductor",
        of: |point| Some(point.outside.streams_ended as f64),
        unit: Unit::Count,
    },
    Figure {
        heading: "breaks of rules",
        of: |point| Some(point.outside.rules_broken.values().sum::<u64>() as f64),
        unit: Unit::Count,
    },
];

/// How late the run itself was: the last column, and no figure of a conductor.
const LATENESS: Figure =
    Figure { heading: "run late by", of: |point| Some(point.outside.own_lateness_ms), unit: Unit::Millis };

/// Nothing where no change was measured.
fn spread(point: &PointReport, figure: f64) -> Option<f64> {
    (point.outside.last_proxy.count > 0).then_some(figure)
}

/// A row of a markdown table.
pub fn row(cells: impl IntoIterator<Item = String>) -> String {
    let cells: Vec<String> = cells.into_iter().collect();
    format!("| {} |\n", cells.join(" | "))
}

/// A row for each point; where two programs were measured at the same point, a row with the ratio follows. Figures
/// without a figure are left out. Below stand the breaks of rules.
pub fn markdown(points: &[PointReport]) -> String {
    let any = |figure: &&Figure| points.iter().any(|point| (figure.of)(point).is_some());
    let columns: Vec<&Figure> = FIGURES.iter().chain([&LATENESS]).filter(any).collect();
    let fixed =
        ["program", "nodes", "zones", "proxies", "conductors", "changes/s", "served"].map(String::from);
    let headings: Vec<String> =
        fixed.into_iter().chain(columns.iter().map(|figure| figure.heading.into())).collect();
    let mut table = row(headings.iter().cloned());
    table += &row(headings.iter().map(|_| "---".into()));
    for (place, point) in points.iter().enumerate() {
        table += &point_row(point, &columns);
        let before = place.checked_sub(1).and_then(|place| points.get(place));
        if let Some(before) = before.filter(|before| is_other_program(before, point)) {
            table += &ratio_row(before, point, &columns);
        }
    }
    table + &breaks(points)
}

/// A line for each rule that was broken at a point, with its first break.
fn breaks(points: &[PointReport]) -> String {
    let mut lines = String::new();
    for point in points {
        let plan = &point.plan;
        for (rule, count) in &point.outside.rules_broken {
            let first = point.outside.violations.iter().find(|violation| violation.rule == *rule);
            let first = first.map(|first| format!("{first:?}")).unwrap_or_default();
            lines += &format!(
                "\n- {}, {} nodes, {} zones, {} proxies: {rule:?} broken {count} times; the first: {first}\n",
                point.program, plan.nodes, plan.zones, plan.proxies
            );
        }
    }
    lines
}

fn is_other_program(before: &PointReport, point: &PointReport) -> bool {
    before.plan == point.plan && before.program != point.program
}

fn point_row(point: &PointReport, columns: &[&Figure]) -> String {
    let plan = &point.plan;
    let counts = [plan.nodes, plan.zones, plan.proxies.into(), plan.conductors.into()];
    let fixed = [point.program.clone()].into_iter().chain(counts.iter().map(u32::to_string));
    let cell = |figure: &Figure| match (figure.of)(point) {
        Some(value) => figure.unit.show(value),
        None => String::new(),
    };
    let served = match point.outcome {
        Outcome::Served if point.conductor.is_full_at_rest() => "yes, with a core full at rest",
        outcome => outcome.words(),
    };
    row(fixed.chain([served.into()]).chain(columns.iter().map(|figure| cell(figure))))
}

/// The first program's figure over the second's.
fn ratio_row(first: &PointReport, second: &PointReport, columns: &[&Figure]) -> String {
    let cell = |figure: &Figure| match ((figure.of)(first), (figure.of)(second)) {
        (Some(first), Some(second)) if first > 0.0 && second > 0.0 => {
            format!("x {}", significant(first / second))
        }
        _ => String::new(),
    };
    let fixed = std::iter::once("first over second".to_string()).chain((0..6).map(|_| String::new()));
    row(fixed.chain(columns.iter().map(|figure| cell(figure))))
}
