//! The command line of `oatpitch-scale`.

use std::path::PathBuf;

use anyhow::{Context, Result, bail};
use clap::{Args, Parser, Subcommand, ValueEnum, value_parser};
use oatpitch_scale::core::plan::{Plan, UNLIMITED_LINES_PER_SECOND, UNLIMITED_WAITING_LINES};
use oatpitch_scale::core::slopes::Axis;

/// The most nodes: their addresses are 10.0.0.0/8.
const MAX_NODES: i64 = 1 << 24;
/// The most zones.
const MAX_ZONES: i64 = 1 << 16;
/// The most real conductors; more are of no use on one machine.
const MAX_CONDUCTORS: i64 = 200;
/// The most hollow conductors.
const MAX_HOLLOW_CONDUCTORS: i64 = 1_000_000;

/// Parses a finite number above 0.
fn parse_positive(text: &str) -> Result<f64, String> {
    parse_number(text, |number| number > 0.0).ok_or_else(|| "not a number above 0".into())
}

/// Parses a share, 0 to 1.
fn parse_share(text: &str) -> Result<f64, String> {
    parse_number(text, |number| (0.0..=1.0).contains(&number)).ok_or_else(|| "not a share from 0 to 1".into())
}

/// Parses a duration in seconds, or a rate: 0 or more, and no more than the seconds of a day.
fn parse_up_to_a_day(text: &str) -> Result<f64, String> {
    const DAY: f64 = 86_400.0;
    parse_number(text, |number| (0.0..=DAY).contains(&number))
        .ok_or_else(|| "not a number from 0 to 86400".into())
}

/// Parses a finite number that `accepts` returns true for.
fn parse_number(text: &str, accepts: impl Fn(f64) -> bool) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite() && accepts(*number))
}

/// The command line.
#[derive(Parser)]
#[command(name = "oatpitch-scale", version, about = "Measures conductors with a whole fleet on loopback")]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

/// The sub-commands.
#[derive(Subcommand)]
pub enum Command {
    /// Measures one fleet: start, joining, rest, drains, random changes and a restart. Checks the rules.
    Run(RunArgs),
    /// Measures the grid of the capacity page: fleets of several sizes and zones, with drains one after another.
    Table(TableArgs),
    /// Measures how each metric grows with nodes, zones, proxies, changes and conductors, as an exponent.
    Slopes(SlopesArgs),
    /// Measures thousands of conductors in this process: the real reducer and decisions, without sockets.
    Hollow(HollowArgs),
}

/// Arguments of `run`.
#[derive(Args)]
pub struct RunArgs {
    #[arg(long, default_value_t = 1_000, value_parser = value_parser!(u32).range(1..=MAX_NODES))]
    nodes: u32,
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u32).range(1..=MAX_ZONES))]
    zones: u32,
    /// Random restarts, drains, failures and returns per second, generated from the seed.
    #[arg(long, default_value_t = 2.0, value_parser = parse_up_to_a_day)]
    churn: f64,
    #[arg(long, default_value_t = 20.0, value_parser = parse_up_to_a_day)]
    churn_seconds: f64,
    #[command(flatten)]
    pub common: CommonArgs,
}

/// Arguments of `table`.
#[derive(Args)]
pub struct TableArgs {
    /// Numbers of nodes to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 5_000, 20_000, 66_000],
        value_parser = value_parser!(u32).range(1..=MAX_NODES))]
    nodes: Vec<u32>,
    /// Numbers of zones to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 146],
        value_parser = value_parser!(u32).range(1..=MAX_ZONES))]
    zones: Vec<u32>,
    #[command(flatten)]
    pub common: CommonArgs,
}

/// Arguments of `slopes`.
#[derive(Args)]
pub struct SlopesArgs {
    /// Parameters to vary; all if none is given.
    #[arg(long, value_delimiter = ',')]
    axis: Vec<AxisName>,
    /// Values to measure if a single axis is given.
    #[arg(long, value_delimiter = ',', value_parser = parse_positive)]
    sizes: Vec<f64>,
    /// Number of nodes while another parameter is varied.
    #[arg(long, default_value_t = 1_000, value_parser = value_parser!(u32).range(1..=MAX_NODES))]
    nodes: u32,
    /// Number of zones while another parameter is varied.
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u32).range(1..=MAX_ZONES))]
    zones: u32,
    /// The shortest duration of random changes on the axis of changes.
    #[arg(long, default_value_t = 10.0, value_parser = parse_up_to_a_day)]
    churn_seconds: f64,
    #[command(flatten)]
    pub common: CommonArgs,
}

/// Arguments of `hollow`.
#[derive(Args)]
pub struct HollowArgs {
    #[arg(long, default_value_t = 1_000, value_parser = value_parser!(u32).range(1..=MAX_NODES))]
    nodes: u32,
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u32).range(1..=MAX_ZONES))]
    zones: u32,
    /// Numbers of conductors to measure.
    #[arg(long, value_delimiter = ',', default_values_t = [10, 50, 200, 1_000],
        value_parser = value_parser!(u32).range(1..=MAX_HOLLOW_CONDUCTORS))]
    pub conductors: Vec<u32>,
    /// Number of conductors to extrapolate to.
    #[arg(long = "beyond", value_name = "BEYOND", default_value_t = 20_000)]
    pub extrapolate_to: u32,
    /// Number of proxies of each conductor.
    #[arg(long, default_value_t = 2)]
    proxies: u16,
    #[arg(long, default_value_t = 20)]
    drains: u32,
    /// Time limit for each number of conductors.
    #[arg(long, default_value_t = 180.0, value_parser = parse_positive)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Writes all measurements to a JSON file.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
}

/// The values of `--axis`.
#[derive(Clone, Copy, ValueEnum)]
enum AxisName {
    Nodes,
    Zones,
    Proxies,
    Changes,
    Conductors,
}

impl From<AxisName> for Axis {
    fn from(name: AxisName) -> Axis {
        match name {
            AxisName::Nodes => Axis::Nodes,
            AxisName::Zones => Axis::Zones,
            AxisName::Proxies => Axis::Proxies,
            AxisName::Changes => Axis::Changes,
            AxisName::Conductors => Axis::Conductors,
        }
    }
}

/// Arguments of all sub-commands with real conductors.
#[derive(Args)]
pub struct CommonArgs {
    /// Path of the conductor's program; `oatpitch` in the directory of this program by default.
    #[arg(long, value_name = "PATH")]
    conductor: Option<PathBuf>,
    /// Path of another version: both are measured at each point, and their ratio is printed.
    #[arg(long, value_name = "PATH")]
    against: Option<PathBuf>,
    /// Writes all measurements to a JSON file.
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    #[arg(long, default_value_t = 7, value_parser = value_parser!(u16).range(1..))]
    proxies: u16,
    #[arg(long, default_value_t = 1, value_parser = value_parser!(u16).range(1..=MAX_CONDUCTORS))]
    conductors: u16,
    /// Number of nodes set to leaving all at once while the proxies join.
    #[arg(long, default_value_t = 0)]
    drains_at_joining: u32,
    /// Number of nodes set to leaving one after another.
    #[arg(long, default_value_t = 20)]
    drains: u32,
    #[arg(long, default_value_t = 2.5, value_parser = parse_positive)]
    drains_per_second: f64,
    /// Lines per second that a conductor's channel sends; in effect unlimited by default.
    #[arg(long, default_value_t = UNLIMITED_LINES_PER_SECOND, value_parser = parse_positive)]
    channel_lines: f64,
    /// Lines that may wait in a conductor's channel; in effect unlimited by default.
    #[arg(long, default_value_t = UNLIMITED_WAITING_LINES, value_parser = parse_positive)]
    channel_backlog: f64,
    /// Time limit of one point; a point that is not complete by then is marked as not served.
    #[arg(long, default_value_t = 60.0, value_parser = parse_positive)]
    seconds: f64,
    /// Memory limit in each conductor's configuration, in MiB.
    #[arg(long, default_value_t = 256)]
    memory_mb: u32,
    /// Quiet time after joining, before the idle CPU share is measured.
    #[arg(long, default_value_t = 3.0, value_parser = parse_up_to_a_day)]
    settle_seconds: f64,
    /// How long the idle CPU share is measured.
    #[arg(long, default_value_t = 5.0, value_parser = parse_up_to_a_day)]
    idle_seconds: f64,
    /// The most nodes in the table that each proxy samples from the list at its start.
    #[arg(long = "standing", value_name = "STANDING", default_value_t = 6)]
    initial_table_nodes: u16,
    /// Share of the proxies that neither read nor acknowledge.
    #[arg(long, default_value_t = 0.0, value_parser = parse_share)]
    hang: f64,
    /// Share of the proxies that read but never acknowledge.
    #[arg(long, default_value_t = 0.0, value_parser = parse_share)]
    mute: f64,
    /// Skips the restart at the end of each point.
    #[arg(long)]
    no_restart: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl CommonArgs {
    /// Returns a plan with these arguments.
    fn plan(&self, nodes: u32, zones: u32) -> Plan {
        Plan {
            proxies: self.proxies,
            conductors: self.conductors,
            drains_at_joining: self.drains_at_joining,
            channel_lines_per_second: self.channel_lines,
            max_channel_lines: self.channel_backlog,
            drains: self.drains,
            drains_per_second: self.drains_per_second,
            time_limit_seconds: self.seconds,
            memory_mb: self.memory_mb,
            settle_seconds: self.settle_seconds,
            idle_seconds: self.idle_seconds,
            initial_table_nodes: self.initial_table_nodes,
            hang_share: self.hang,
            mute_share: self.mute,
            restart: !self.no_restart,
            seed: self.seed,
            ..Plan::with_size(nodes, zones)
        }
    }

    /// Returns the programs to measure: one or two.
    pub fn programs(&self) -> Result<Vec<PathBuf>> {
        let own_path = std::env::current_exe().context("can't determine the path of this program")?;
        let first = self.conductor.clone().unwrap_or_else(|| own_path.with_file_name("oatpitch"));
        let programs: Vec<PathBuf> = [first].into_iter().chain(self.against.clone()).collect();
        match programs.iter().find(|program| !program.is_file()) {
            Some(missing) => {
                bail!("no conductor program at {}; set its path with --conductor", missing.display())
            }
            None => Ok(programs),
        }
    }
}

impl RunArgs {
    /// Returns the plan of the only point.
    pub fn plans(&self) -> Vec<Plan> {
        let plan = self.common.plan(self.nodes, self.zones);
        vec![Plan { churn_per_second: self.churn, churn_seconds: self.churn_seconds, ..plan }]
    }
}

impl TableArgs {
    /// Returns a plan for each number of nodes with each number of zones.
    pub fn plans(&self) -> Vec<Plan> {
        let mut plans = Vec::new();
        for nodes in &self.nodes {
            for zones in &self.zones {
                plans.push(self.common.plan(*nodes, *zones));
            }
        }
        plans
    }
}

impl SlopesArgs {
    /// Returns the plans along each axis.
    pub fn plans(&self) -> Vec<(Axis, Vec<Plan>)> {
        let common = self.common.plan(self.nodes, self.zones);
        let base = Plan { churn_seconds: self.churn_seconds, ..common };
        let named: Vec<Axis> = self.axis.iter().map(|name| Axis::from(*name)).collect();
        let axes = if named.is_empty() { Axis::ALL.to_vec() } else { named };
        let has_own_sizes = axes.len() == 1 && !self.sizes.is_empty();
        let sizes = |axis: Axis| if has_own_sizes { &self.sizes } else { axis.default_sizes() };
        let plans = |axis: Axis| sizes(axis).iter().map(|size| axis.plan_at(&base, *size)).collect();
        axes.iter().map(|axis| (*axis, plans(*axis))).collect()
    }
}

impl HollowArgs {
    /// Returns the plan of each conductor.
    pub fn plan(&self) -> Plan {
        Plan {
            proxies: self.proxies,
            drains: self.drains,
            time_limit_seconds: self.seconds,
            seed: self.seed,
            ..Plan::with_size(self.nodes, self.zones)
        }
    }
}
