//! The plan of one point of a scale test: the size of the fleet, the proxies, the changes and the time limits.

use serde::Serialize;

/// Rate of a channel that delays no message.
pub const UNLIMITED_LINES_PER_SECOND: f64 = 1e9;
/// Capacity of a channel that no test fills.
pub const UNLIMITED_WAITING_LINES: f64 = 1e10;

/// What is run at one point.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub nodes: u32,
    pub services: u32,
    pub regions: u32,
    pub zones: u32,
    /// Number of real conductors; the proxies are spread evenly over them.
    pub conductors: u16,
    pub proxies: u16,
    /// The most nodes in the table that each proxy samples from the list at its start, before the first push.
    #[serde(rename = "standing")]
    pub initial_table_nodes: u16,
    /// Share of the proxies that neither read nor acknowledge.
    pub hang_share: f64,
    /// Share of the proxies that read but never acknowledge.
    pub mute_share: f64,
    /// Number of nodes set to leaving all at once while the proxies join.
    pub drains_at_joining: u32,
    /// Number of nodes set to leaving one after another.
    pub drains: u32,
    pub drains_per_second: f64,
    /// Random changes (restarts, drains, failures and returns) per second after the drains; 0 for none.
    pub churn_per_second: f64,
    /// How long the random changes last.
    pub churn_seconds: f64,
    /// Whether each conductor is killed and restarted at the end, with the current list as its `known` one.
    pub restart: bool,
    pub seed: u64,
    /// The memory limit in each conductor's configuration, in MiB.
    pub memory_mb: u32,
    /// Lines per second that a conductor's channel sends, for its settings.
    pub channel_lines_per_second: f64,
    /// The most lines that may wait in a conductor's channel, for its settings.
    #[serde(rename = "channel_lines_most")]
    pub max_channel_lines: f64,
    /// Quiet time after joining, before the idle CPU share is measured.
    pub settle_seconds: f64,
    /// How long the idle CPU share is measured.
    pub idle_seconds: f64,
    /// Time limit of the whole point. A point that is not complete by then counts as not served.
    #[serde(rename = "bound_seconds")]
    pub time_limit_seconds: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            nodes: 1_000,
            services: 33,
            regions: 1,
            zones: 3,
            conductors: 1,
            proxies: 7,
            initial_table_nodes: 6,
            hang_share: 0.0,
            mute_share: 0.0,
            drains_at_joining: 0,
            drains: 20,
            drains_per_second: 2.5,
            churn_per_second: 0.0,
            churn_seconds: 0.0,
            restart: true,
            seed: 1,
            memory_mb: 256,
            channel_lines_per_second: UNLIMITED_LINES_PER_SECOND,
            max_channel_lines: UNLIMITED_WAITING_LINES,
            settle_seconds: 3.0,
            idle_seconds: 5.0,
            time_limit_seconds: 60.0,
        }
    }
}

impl Plan {
    /// Returns a plan for this many nodes and zones, with regions and services in the proportions of a large fleet.
    pub fn with_size(nodes: u32, zones: u32) -> Plan {
        const ZONES_PER_REGION: u32 = 3;
        const NODES_PER_SERVICE: u32 = 30;
        let regions = zones.div_ceil(ZONES_PER_REGION).max(1);
        let services = (nodes / NODES_PER_SERVICE).max(1);
        Plan { nodes, zones, regions, services, ..Plan::default() }
    }
}
