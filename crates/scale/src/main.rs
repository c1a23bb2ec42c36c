//! `oatpitch-scale`: runs conductors with a whole fleet on loopback, and prints what they cost.

mod cli;

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, Result, bail};
use clap::Parser;
use cli::{Cli, Command, CommonArgs, HollowArgs, SlopesArgs};
use oatpitch_scale::core::hollow_report;
use oatpitch_scale::core::plan::Plan;
use oatpitch_scale::core::report::{Outcome, PointReport, RunReport};
use oatpitch_scale::core::report_table::markdown;
use oatpitch_scale::core::slopes::AxisReport;
use oatpitch_scale::net::proc_fs::load_average;
use oatpitch_scale::net::{hollow, point};
use serde::Serialize;

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Run(run) => measure_points(&run.plans(), &run.common),
        Command::Table(table) => measure_points(&table.plans(), &table.common),
        Command::Slopes(command) => measure_slopes(&command),
        Command::Hollow(command) => measure_hollow(&command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oatpitch-scale: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Measures the points of `run` and `table`.
fn measure_points(plans: &[Plan], common: &CommonArgs) -> Result<()> {
    let load_at_start = load_average();
    let points = measure(plans, &common.programs()?);
    print!("{}", markdown(&points));
    let complete = check_complete(&points);
    write_report(common.json.as_deref(), load_at_start, points)?;
    complete
}

/// Measures the points along each axis.
fn measure_slopes(command: &SlopesArgs) -> Result<()> {
    let load_at_start = load_average();
    let programs = command.common.programs()?;
    let mut reports = Vec::new();
    for (axis, plans) in command.plans() {
        eprintln!("along {}", axis.name());
        let report = AxisReport::new(axis, measure(&plans, &programs));
        println!("## {}\n\n{}\n{}", axis.name(), markdown(&report.points), report.markdown());
        let interrupted = is_interrupted(&report.points);
        reports.push(report);
        if interrupted {
            break;
        }
    }
    let complete = reports.iter().try_for_each(|report| check_complete(&report.points));
    write_report(command.common.json.as_deref(), load_at_start, reports)?;
    complete
}

/// Measures each number of hollow conductors.
fn measure_hollow(command: &HollowArgs) -> Result<()> {
    let load_at_start = load_average();
    let plan = command.plan();
    let baseline_mb = hollow::own_memory_mb();
    let mut reports = Vec::new();
    for conductors in &command.conductors {
        reports.push(hollow::measure(&plan, *conductors, baseline_mb, |progress| eprintln!("{progress}"))?);
    }
    print!("{}", hollow_report::markdown(&reports, command.extrapolate_to));
    write_report(command.json.as_deref(), load_at_start, reports)
}

/// Measures every program at every point, one after another. Stops early after an interrupt.
fn measure(plans: &[Plan], programs: &[PathBuf]) -> Vec<PointReport> {
    let count = plans.len() * programs.len();
    let mut points: Vec<PointReport> = Vec::new();
    for plan in plans {
        for program in programs {
            if is_interrupted(&points) {
                return points;
            }
            let number = points.len() + 1;
            points.push(point::measure(program, plan, move |progress| {
                eprintln!("[{number}/{count}] {progress}")
            }));
        }
    }
    points
}

fn is_interrupted(points: &[PointReport]) -> bool {
    points.last().is_some_and(|point| point.outcome == Outcome::Interrupted)
}

/// Returns an error if a point failed or was interrupted. A point that was not served is a valid result.
fn check_complete(points: &[PointReport]) -> Result<()> {
    let is_incomplete =
        |point: &&PointReport| matches!(point.outcome, Outcome::Failed | Outcome::Interrupted);
    match points.iter().filter(is_incomplete).count() {
        0 => Ok(()),
        count => bail!("{count} of {} points failed or were interrupted", points.len()),
    }
}

/// Prints the load of the machine, and writes the JSON report to `path` if there is one.
fn write_report<T: Serialize>(
    path: Option<&Path>,
    load_at_start: Option<f64>,
    results: Vec<T>,
) -> Result<()> {
    let report = RunReport {
        command: std::env::args().collect(),
        cores: std::thread::available_parallelism().map_or(0, usize::from),
        load_at_start,
        load_at_end: load_average(),
        results,
    };
    let format_load = |load: Option<f64>| load.map_or("unknown".to_string(), |load| load.to_string());
    let start = format_load(report.load_at_start);
    let end = format_load(report.load_at_end);
    println!("\nLoad over a minute: {start} at the start, {end} at the end, on {} cores.", report.cores);
    let Some(path) = path else { return Ok(()) };
    let mut file = File::create(path).with_context(|| path.display().to_string())?;
    serde_json::to_writer_pretty(&mut file, &report)?;
    Ok(writeln!(file)?)
}
