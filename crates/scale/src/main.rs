//! `oatpitch-scale`: runs conductors before a whole fleet on loopback, and prints what they cost.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result};
use clap::{Args, Parser, Subcommand};
use oatpitch_scale::core::plan::Plan;
use oatpitch_scale::core::report::{PointReport, RunReport, markdown};
use oatpitch_scale::net::{point::measure, proc_fs::load};

#[derive(Parser)]
#[command(name = "oatpitch-scale", version, about = "Conductors before a whole fleet, on loopback, measured")]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The grid of the capacity page: fleets of several sizes and zones, drains one after another.
    Table(Table),
}

#[derive(Args)]
struct Table {
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [1_000, 5_000, 20_000, 66_000])]
    nodes: Vec<u32>,
    /// Zones that the fleet is spread over.
    #[arg(long, value_delimiter = ',', default_values_t = [3, 146])]
    zones: Vec<u32>,
    #[command(flatten)]
    usual: Usual,
}

/// What every command takes.
#[derive(Args, Clone)]
struct Usual {
    /// The conductor's program; the one beside this program where none is named.
    #[arg(long, value_name = "PATH")]
    conductor: Option<PathBuf>,
    /// Another version of it: both are measured at each point, and the ratio is printed.
    #[arg(long, value_name = "PATH")]
    against: Option<PathBuf>,
    /// Writes all figures to a file.
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    #[arg(long, default_value_t = 7)]
    proxies: u16,
    #[arg(long, default_value_t = 1)]
    conductors: u16,
    /// Nodes set to leaving one after another.
    #[arg(long, default_value_t = 20)]
    drains: u32,
    #[arg(long, default_value_t = 2.5)]
    drains_per_second: f64,
    /// The longest time of one point; what is not done by then is marked as not served.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// What the conductor is told of its memory, in MiB.
    #[arg(long, default_value_t = 256)]
    memory_mb: u32,
    /// Quiet time after joining, and how long the idle share is measured after that.
    #[arg(long, default_value_t = 3.0)]
    settle_seconds: f64,
    #[arg(long, default_value_t = 5.0)]
    idle_seconds: f64,
    /// Share of the proxies that neither read nor answer, and of those that read and answer no mark.
    #[arg(long, default_value_t = 0.0)]
    hang: f64,
    #[arg(long, default_value_t = 0.0)]
    mute: f64,
    /// Leaves out the restart at the end of each point.
    #[arg(long)]
    no_restart: bool,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Usual {
    fn plan(&self, nodes: u32, zones: u32) -> Plan {
        Plan {
            proxies: self.proxies,
            conductors: self.conductors,
            drains: self.drains,
            drains_per_second: self.drains_per_second,
            bound_seconds: self.seconds,
            memory_mb: self.memory_mb,
            settle_seconds: self.settle_seconds,
            idle_seconds: self.idle_seconds,
            hang_share: self.hang,
            mute_share: self.mute,
            restart: !self.no_restart,
            seed: self.seed,
            ..Plan::sized(nodes, zones)
        }
    }

    fn programs(&self) -> Result<Vec<PathBuf>> {
        let own = std::env::current_exe().context("the place of this program")?;
        let beside = own.with_file_name("oatpitch");
        Ok([self.conductor.clone().unwrap_or(beside)].into_iter().chain(self.against.clone()).collect())
    }
}

fn main() -> ExitCode {
    let done = match Line::parse().command {
        Command::Table(table) => run_table(&table),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(trouble) => {
            eprintln!("oatpitch-scale: {trouble:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_table(table: &Table) -> Result<()> {
    let plans: Vec<Plan> = table
        .nodes
        .iter()
        .flat_map(|nodes| table.zones.iter().map(|zones| table.usual.plan(*nodes, *zones)))
        .collect();
    let report = run(&plans, &table.usual.programs()?);
    print!("{}", markdown(&report.points));
    write_json(table.usual.json.as_deref(), &report)
}

/// Measures every program at every point, one after another.
fn run(plans: &[Plan], programs: &[PathBuf]) -> RunReport {
    let (load_at_start, count) = (load(), plans.len() * programs.len());
    let mut points: Vec<PointReport> = Vec::new();
    for plan in plans {
        for program in programs {
            let place = points.len() + 1;
            points.push(measure(program, plan, move |what| eprintln!("[{place}/{count}] {what}")));
        }
    }
    RunReport {
        command: std::env::args().collect(),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        load_at_start,
        load_at_end: load(),
        points,
    }
}

fn write_json(path: Option<&Path>, report: &RunReport) -> Result<()> {
    let Some(path) = path else { return Ok(()) };
    let mut file = File::create(path).with_context(|| path.display().to_string())?;
    serde_json::to_writer_pretty(&mut file, report)?;
    Ok(writeln!(file)?)
}
