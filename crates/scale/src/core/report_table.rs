//! Formats the metrics of points as a markdown table.

use super::report::{Outcome, PointReport};

/// A column of the table.
#[derive(Debug)]
pub struct Metric {
    pub heading: &'static str,
    /// Returns the value of a point, or `None` if it was not measured.
    pub value: fn(&PointReport) -> Option<f64>,
    unit: Unit,
}

/// The unit of a metric, which determines how its values are formatted.
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
    fn format(self, value: f64) -> String {
        const KILOBYTE: f64 = 1e3;
        const MEGABYTE: f64 = 1e6;
        match self {
            Unit::Seconds => format!("{} s", format_significant(value)),
            Unit::Millis => format!("{} ms", format_significant(value)),
            Unit::Share => format_significant(value),
            Unit::Count => format!("{value:.0}"),
            Unit::Bytes if value < MEGABYTE => format!("{} KB", format_significant(value / KILOBYTE)),
            Unit::Bytes => format!("{} MB", format_significant(value / MEGABYTE)),
            Unit::Megabytes => format!("{value:.0} MB"),
        }
    }
}

/// Formats a number with two significant digits, and as a whole number from 10 on.
fn format_significant(number: f64) -> String {
    match number.abs() {
        0.0 => "0".into(),
        size if size >= 10.0 => format!("{number:.0}"),
        size if size >= 1.0 => format!("{number:.1}"),
        size if size >= 0.1 => format!("{number:.2}"),
        size if size >= 0.01 => format!("{number:.3}"),
        _ => format!("{number:.4}"),
    }
}

/// All metrics of conductors and proxies, in the order of their columns.
pub const METRICS: &[Metric] = &[
    Metric { heading: "list", value: |point| Some(point.outside.list_bytes as f64), unit: Unit::Bytes },
    Metric { heading: "alive after", value: |point| point.conductor.alive_seconds, unit: Unit::Seconds },
    Metric {
        heading: "all have a table after",
        value: |point| point.conductor.tables_seconds,
        unit: Unit::Seconds,
    },
    Metric {
        heading: "drain while joining to last proxy, longest",
        value: |point| (point.plan.drains_at_joining > 0).then_some(point.outside.joining_drains.longest_ms),
        unit: Unit::Millis,
    },
    Metric {
        heading: "of them not reached",
        value: |point| {
            (point.plan.drains_at_joining > 0).then_some(point.outside.joining_drains_not_reached as f64)
        },
        unit: Unit::Count,
    },
    Metric {
        heading: "CPU of start and joining",
        value: |point| Some(point.conductor.start_cpu_seconds),
        unit: Unit::Seconds,
    },
    Metric { heading: "idle, share of a core", value: |point| point.conductor.idle_cores, unit: Unit::Share },
    Metric {
        heading: "CPU a change",
        value: |point| point.conductor.change_cpu_ms.filter(|_| !point.conductor.is_full_at_rest()),
        unit: Unit::Millis,
    },
    Metric {
        heading: "share of a core while changes come",
        value: |point| point.conductor.change_cores,
        unit: Unit::Share,
    },
    Metric {
        heading: "CPU a change by chance",
        value: |point| point.conductor.churn_cpu_ms.filter(|_| !point.conductor.is_full_at_rest()),
        unit: Unit::Millis,
    },
    Metric {
        heading: "share of a core under changes by chance",
        value: |point| point.conductor.churn_cores,
        unit: Unit::Share,
    },
    Metric {
        heading: "change to last proxy, median",
        value: |point| if_changes_measured(point, point.outside.last_proxy.median_ms),
        unit: Unit::Millis,
    },
    Metric {
        heading: "99th",
        value: |point| if_changes_measured(point, point.outside.last_proxy.p99_ms),
        unit: Unit::Millis,
    },
    Metric {
        heading: "longest",
        value: |point| if_changes_measured(point, point.outside.last_proxy.longest_ms),
        unit: Unit::Millis,
    },
    Metric {
        heading: "not reached",
        value: |point| Some(point.outside.changes_not_reached as f64),
        unit: Unit::Count,
    },
    Metric {
        heading: "bytes a proxy at joining",
        value: |point| Some(point.outside.joining_bytes_per_proxy),
        unit: Unit::Bytes,
    },
    Metric {
        heading: "alive after a restart",
        value: |point| point.conductor.restart_alive_seconds,
        unit: Unit::Seconds,
    },
    Metric {
        heading: "tables after a restart",
        value: |point| point.conductor.restart_tables_seconds,
        unit: Unit::Seconds,
    },
    Metric { heading: "peak", value: |point| Some(point.conductor.peak_memory_mb), unit: Unit::Megabytes },
    Metric {
        heading: "proxies without a table",
        value: |point| Some(point.outside.proxies_without_table as f64),
        unit: Unit::Count,
    },
    Metric {
        heading: "proxies without a line",
        value: |point| Some(point.outside.proxies_without_line as f64),
        unit: Unit::Count,
    },
    Metric {
        heading: "streams ended by the conductor",
        value: |point| Some(point.outside.streams_ended as f64),
        unit: Unit::Count,
    },
    Metric {
        heading: "breaks of rules",
        value: |point| Some(point.outside.rules_broken.values().sum::<u64>() as f64),
        unit: Unit::Count,
    },
];

/// The delay of the test process itself: the last column, and no metric of a conductor.
const LATENESS: Metric =
    Metric { heading: "run late by", value: |point| Some(point.outside.own_lateness_ms), unit: Unit::Millis };

/// Returns `value` if the propagation of any change was measured at the point.
fn if_changes_measured(point: &PointReport, value: f64) -> Option<f64> {
    (point.outside.last_proxy.count > 0).then_some(value)
}

/// Returns a row of a markdown table.
pub fn row(cells: impl IntoIterator<Item = String>) -> String {
    let cells: Vec<String> = cells.into_iter().collect();
    format!("| {} |\n", cells.join(" | "))
}

/// Returns a table with a row for each point. Where two programs were measured at the same point, a row with the ratio
/// follows. Columns without any value are left out. Notes on points that were not served and the violations of rules
/// follow the table.
pub fn markdown(points: &[PointReport]) -> String {
    let has_values = |metric: &&Metric| points.iter().any(|point| (metric.value)(point).is_some());
    let columns: Vec<&Metric> = METRICS.iter().chain([&LATENESS]).filter(has_values).collect();
    let fixed =
        ["program", "nodes", "zones", "proxies", "conductors", "changes/s", "served"].map(String::from);
    let headings: Vec<String> =
        fixed.into_iter().chain(columns.iter().map(|metric| metric.heading.into())).collect();
    let mut table = row(headings.iter().cloned());
    table += &row(headings.iter().map(|_| "---".into()));
    for (index, point) in points.iter().enumerate() {
        table += &point_row(point, &columns);
        let previous = index.checked_sub(1).and_then(|previous| points.get(previous));
        if let Some(previous) = previous.filter(|previous| is_other_program(previous, point)) {
            table += &ratio_row(previous, point, &columns);
        }
    }
    table + &outcome_notes(points) + &violations(points)
}

/// Returns the notes of points that were not served.
fn outcome_notes(points: &[PointReport]) -> String {
    let mut lines = String::new();
    for point in points.iter().filter(|point| point.outcome != Outcome::Served) {
        let plan = &point.plan;
        for note in &point.notes {
            lines += &format!("\n- {}, {} nodes, {} zones: {note}\n", point.program, plan.nodes, plan.zones);
        }
    }
    lines
}

/// Returns a line for each rule that was broken at a point, with its first violation.
fn violations(points: &[PointReport]) -> String {
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

/// Whether two points differ in the program only.
fn is_other_program(previous: &PointReport, point: &PointReport) -> bool {
    previous.plan == point.plan && previous.program != point.program
}

fn point_row(point: &PointReport, columns: &[&Metric]) -> String {
    let plan = &point.plan;
    let counts = [plan.nodes, plan.zones, plan.proxies.into(), plan.conductors.into()];
    let fixed = [point.program.clone()].into_iter().chain(counts.iter().map(u32::to_string));
    let cell = |metric: &Metric| match (metric.value)(point) {
        Some(value) => metric.unit.format(value),
        None => String::new(),
    };
    let served = match point.outcome {
        Outcome::Served if point.conductor.is_full_at_rest() => "yes, with a core full at rest",
        outcome => outcome.label(),
    };
    row(fixed.chain([served.into()]).chain(columns.iter().map(|metric| cell(metric))))
}

/// Returns a row with the first program's values divided by the second's.
fn ratio_row(first: &PointReport, second: &PointReport, columns: &[&Metric]) -> String {
    /// Columns between the program and the metrics.
    const BLANK_CELLS: usize = 6;
    let cell = |metric: &Metric| match ((metric.value)(first), (metric.value)(second)) {
        (Some(first), Some(second)) if first > 0.0 && second > 0.0 => {
            format!("x {}", format_significant(first / second))
        }
        _ => String::new(),
    };
    let fixed =
        std::iter::once("first over second".to_string()).chain((0..BLANK_CELLS).map(|_| String::new()));
    row(fixed.chain(columns.iter().map(|metric| cell(metric))))
}
