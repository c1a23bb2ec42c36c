//! The measurements of each point, as they are written to JSON. Fields are written out under their own names.

use std::collections::BTreeMap;

use serde::Serialize;

use super::checker::{Rule, Violation};
use super::plan::Plan;
use super::propagation::LatencySummary;

/// How far a point came within its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// All stages were completed.
    Served,
    /// Some conductor never answered a probe.
    NeverAlive,
    /// Some proxy was never sent a full table.
    NoTable,
    /// The time limit expired before all stages were completed.
    Stopped,
    /// A conductor exited by itself.
    Ended,
    /// A conductor could not be started, or the test itself failed.
    Failed,
    /// The test was interrupted by a signal.
    Interrupted,
}

impl Outcome {
    /// Returns the text for the column "served" of reports.
    pub fn label(self) -> &'static str {
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

/// What one conductor cost. CPU is the mean over all conductors; times and memory are their maximum.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConductorMetrics {
    /// From the start of a conductor to its first answer to a probe.
    pub alive_seconds: Option<f64>,
    /// From the joining of the proxies until the last of them was sent its full table.
    pub tables_seconds: Option<f64>,
    /// CPU time from the start to the end of the quiet time after joining, without the idle share of the quiet time.
    pub start_cpu_seconds: f64,
    /// The same CPU time, with the idle share of the quiet time.
    pub start_cpu_with_rest_seconds: f64,
    /// CPU time per second without changes.
    pub idle_cores: Option<f64>,
    /// CPU time per drain, without the idle share.
    pub change_cpu_ms: Option<f64>,
    /// CPU time per second during the drains, idle share included.
    pub change_cores: Option<f64>,
    /// CPU time per second during the random changes, idle share included.
    pub churn_cores: Option<f64>,
    /// CPU time per random change, without the idle share.
    pub churn_cpu_ms: Option<f64>,
    /// From the restart of a conductor to its first answer to a probe.
    pub restart_alive_seconds: Option<f64>,
    /// From the kill until the last proxy was sent its full table.
    pub restart_tables_seconds: Option<f64>,
    /// CPU time from the restart until the last proxy was sent its full table.
    pub restart_cpu_seconds: Option<f64>,
    /// Peak resident memory, in MiB.
    pub peak_memory_mb: f64,
    /// Resident memory when it was last read, in MiB.
    pub memory_mb: f64,
}

impl ConductorMetrics {
    /// Whether a core is fully used without any change. The cost of a change can't be measured then, as no CPU time is
    /// left for it.
    pub fn is_full_at_rest(&self) -> bool {
        const FULL_CORE: f64 = 0.9;
        self.idle_cores.is_some_and(|cores| cores >= FULL_CORE)
    }
}

/// What was measured outside the conductors.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ExternalMetrics {
    /// Length of the list document.
    pub list_bytes: u64,
    /// Drains while the proxies joined: times to the last proxy.
    pub joining_drains: LatencySummary,
    /// Drains while the proxies joined that some proxy had not received in time.
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
    /// Changes of the list.
    pub changes: u64,
    /// Times from a withdrawal to the last proxy that received it.
    pub last_proxy: LatencySummary,
    /// Times from a withdrawal to each proxy.
    pub each_proxy: LatencySummary,
    /// Withdrawals that some proxy had not received by the end.
    pub changes_not_reached: u64,
    pub proxies_without_table: usize,
    pub proxies_without_line: usize,
    /// Streams that a conductor ended.
    pub streams_ended: u64,
    /// Streams that a proxy closed because of a line that can't be decoded.
    pub streams_unusable: u64,
    /// The most lines that waited in any channel.
    pub peak_channel_lines: f64,
    /// How often each rule was broken.
    pub rules_broken: BTreeMap<Rule, u64>,
    /// The first violations of each rule.
    pub violations: Vec<Violation>,
    /// The longest delay of the test process itself. Where it is large, the other times don't describe the conductor.
    pub own_lateness_ms: f64,
}

/// The measurements of one program at one point.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PointReport {
    pub program: String,
    pub plan: Plan,
    pub outcome: Outcome,
    pub seconds: f64,
    pub conductor: ConductorMetrics,
    pub outside: ExternalMetrics,
    /// The counters that each conductor logged when it stopped.
    pub counters: Vec<String>,
    /// Why the point failed, and the last log lines of the conductors if it was not served.
    pub notes: Vec<String>,
}

impl PointReport {
    /// Returns a report without any measurement.
    pub fn new(program: String, plan: Plan) -> PointReport {
        PointReport {
            program,
            plan,
            outcome: Outcome::Failed,
            seconds: 0.0,
            conductor: ConductorMetrics::default(),
            outside: ExternalMetrics::default(),
            counters: Vec::new(),
            notes: Vec::new(),
        }
    }
}

/// The report of a whole invocation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RunReport<T> {
    /// The command line.
    pub command: Vec<String>,
    /// Number of CPU cores of the machine.
    pub cores: usize,
    /// Load average over one minute at the start.
    pub load_at_start: Option<f64>,
    /// Load average over one minute at the end.
    pub load_at_end: Option<f64>,
    pub results: Vec<T>,
}
