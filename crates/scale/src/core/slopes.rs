//! How the metrics grow along one axis, for each program that was measured.

use serde::{Serialize, Serializer};

use super::plan::Plan;
use super::report::{Outcome, PointReport};
use super::report_table::{METRICS, Metric, row};
use super::slope::Slope;

/// The parameter that is varied while all others are fixed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Axis {
    Nodes,
    Zones,
    Proxies,
    Changes,
    Conductors,
}

impl Axis {
    /// All axes, in the order in which they are measured.
    pub const ALL: [Axis; 5] = [Axis::Nodes, Axis::Zones, Axis::Proxies, Axis::Changes, Axis::Conductors];

    /// Returns the name of the axis in reports.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Nodes => "nodes",
            Axis::Zones => "zones",
            Axis::Proxies => "proxies",
            Axis::Changes => "changes a second",
            Axis::Conductors => "conductors",
        }
    }

    /// Returns the value of a plan on this axis.
    pub fn size(self, plan: &Plan) -> f64 {
        match self {
            Axis::Nodes => plan.nodes.into(),
            Axis::Zones => plan.zones.into(),
            Axis::Proxies => plan.proxies.into(),
            Axis::Changes => plan.churn_per_second,
            Axis::Conductors => plan.conductors.into(),
        }
    }

    /// Returns the values that are measured by default.
    pub fn default_sizes(self) -> &'static [f64] {
        match self {
            Axis::Nodes => &[100.0, 1_000.0, 5_000.0, 20_000.0, 66_000.0],
            Axis::Zones => &[1.0, 3.0, 12.0, 52.0, 146.0],
            Axis::Proxies => &[7.0, 50.0, 250.0, 1_000.0, 2_400.0],
            Axis::Changes => &[0.1, 1.0, 10.0, 100.0],
            Axis::Conductors => &[1.0, 2.0, 5.0, 10.0, 20.0],
        }
    }

    /// Returns a plan with another value on this axis.
    pub fn plan_at(self, base: &Plan, size: f64) -> Plan {
        /// The fewest random changes at a point, however low their rate is.
        const MIN_CHANGES: f64 = 2.0;
        let sized = |nodes, zones| {
            let shape = Plan::with_size(nodes, zones);
            Plan { nodes, zones, regions: shape.regions, services: shape.services, ..base.clone() }
        };
        match self {
            Axis::Nodes => sized(size as u32, base.zones),
            Axis::Zones => sized(base.nodes, size as u32),
            Axis::Proxies => Plan { proxies: size as u16, ..base.clone() },
            Axis::Changes => {
                let churn_seconds = (MIN_CHANGES / size).max(base.churn_seconds);
                Plan { drains: 0, restart: false, churn_per_second: size, churn_seconds, ..base.clone() }
            }
            // Each conductor has as many proxies as a single one.
            Axis::Conductors => {
                let proxies = base.proxies.saturating_mul(size as u16);
                Plan { conductors: size as u16, proxies, ..base.clone() }
            }
        }
    }
}

/// How one metric of one program grows.
#[derive(Clone, Debug, Serialize)]
pub struct MetricSlope {
    pub program: String,
    #[serde(serialize_with = "serialize_heading", rename = "figure")]
    pub metric: &'static Metric,
    pub slope: Slope,
}

/// Serializes a metric as its heading.
fn serialize_heading<S: Serializer>(metric: &&'static Metric, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(metric.heading)
}

/// The points along one axis, and the slopes through those that were served.
#[derive(Clone, Debug, Serialize)]
pub struct AxisReport {
    pub axis: Axis,
    pub points: Vec<PointReport>,
    pub slopes: Vec<MetricSlope>,
}

impl AxisReport {
    /// Computes the slopes of all metrics through the points that were served.
    pub fn new(axis: Axis, points: Vec<PointReport>) -> AxisReport {
        let mut slopes = Vec::new();
        for program in programs(&points) {
            for metric in METRICS {
                let served: Vec<(f64, f64)> = points
                    .iter()
                    .filter(|point| point.program == program && point.outcome == Outcome::Served)
                    .filter_map(|point| Some((axis.size(&point.plan), (metric.value)(point)?)))
                    .collect();
                let slope = Slope::through(&served);
                slopes.extend(slope.map(|slope| MetricSlope { program: program.clone(), metric, slope }));
            }
        }
        AxisReport { axis, points, slopes }
    }

    /// Returns a markdown table with a row for each metric: its exponent and the points that it is based on.
    pub fn markdown(&self) -> String {
        let headings =
            ["program", "figure", "grows as", "between the last two", "fit", "points", "measured from", "to"];
        let headings = headings.map(String::from);
        let mut table = row(headings.clone()) + &row(headings.map(|_| "---".to_string()));
        for MetricSlope { program, metric, slope } in &self.slopes {
            table += &row([
                program.clone(),
                metric.heading.to_string(),
                format!("{} ^ {:.2}", self.axis.name(), slope.exponent),
                format!("^ {:.2}", slope.last_exponent),
                format!("{:.2}", slope.r_squared),
                slope.points.to_string(),
                format_size(slope.smallest),
                format_size(slope.largest),
            ]);
        }
        table
    }
}

/// Formats a size without the rounding errors of its logarithm.
fn format_size(size: f64) -> String {
    /// Sizes are rounded to six decimal places.
    const DECIMALS_FACTOR: f64 = 1e6;
    ((size * DECIMALS_FACTOR).round() / DECIMALS_FACTOR).to_string()
}

/// Returns the programs of the points, in the order of their first point.
fn programs(points: &[PointReport]) -> Vec<String> {
    let mut programs: Vec<String> = Vec::new();
    for point in points {
        if !programs.contains(&point.program) {
            programs.push(point.program.clone());
        }
    }
    programs
}
