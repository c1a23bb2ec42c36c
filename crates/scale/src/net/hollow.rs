//! Measures hollow conductors in this process. They run in turn, each through the same interval of simulated time.

use std::time::{Duration, Instant};

use anyhow::Result;
use hdrhistogram::Histogram;

use super::proc_fs;
use crate::core::fleet::{Change, Fleet, NodeState, NodeStatus};
use crate::core::hollow::{EPOCH_MS, HollowConductor, WorkCounts, change_update, full_update};
use crate::core::hollow_report::{HollowOutcome, HollowReport};
use crate::core::ids::{Micros, NodeIndex};
use crate::core::plan::Plan;
use crate::core::propagation::{LatencySummary, new_histogram};
use crate::core::settings::service_settings;

/// Memory of this process, in MiB, from which no further conductor is started: under half of a typical machine.
const MAX_MEMORY_MB: f64 = 11_000.0;
/// Memory is read once per this number of started conductors.
const MEMORY_CHECK_INTERVAL: u32 = 16;
/// Simulated time at which the list is sent.
const LIST_SENT_AT: Micros = Micros::from_millis(10);
/// Simulated time at which the proxies join.
const PROXIES_JOIN_AT: Micros = Micros::from_millis(20);
/// Simulated time at which the start has ended and the conductors are at rest.
const IDLE_FROM: Micros = Micros::from_millis(5_000);
/// Simulated time of the first change.
const CHANGES_START: Micros = Micros::from_millis(15_000);
/// Simulated time after the last change that is still measured.
const CHANGES_TAIL: Micros = Micros::from_millis(5_000);

/// A run of a number of hollow conductors.
struct HollowRun<'a> {
    plan: &'a Plan,
    fleet: Fleet,
    conductors: Vec<HollowConductor>,
    /// Times of single turns, in microseconds.
    turns: Histogram<u64>,
    /// When the time limit expires.
    deadline: Instant,
}

/// Measures this number of hollow conductors with the plan's fleet, each with the plan's proxies, within the plan's
/// time limit. `baseline_mb` is the memory of this process before the first of several runs, as memory that one run
/// frees is used again by the next.
pub fn measure(
    plan: &Plan,
    conductors: u32,
    baseline_mb: f64,
    progress: impl Fn(&str),
) -> Result<HollowReport> {
    let began = Instant::now();
    let mut run = HollowRun {
        plan,
        fleet: Fleet::new(plan, EPOCH_MS),
        conductors: Vec::new(),
        turns: new_histogram(),
        deadline: began + Duration::from_secs_f64(plan.time_limit_seconds),
    };
    let list_bytes = run.fleet.snapshot().document.len() as u64 * u64::from(conductors);
    let mut report = HollowReport {
        conductors,
        nodes: plan.nodes,
        zones: plan.zones,
        proxies: plan.proxies,
        outcome: HollowOutcome::OutOfTime,
        seconds: 0.0,
        start_cpu_seconds: 0.0,
        idle_cores: 0.0,
        change_cpu_ms: 0.0,
        turn: LatencySummary::default(),
        memory_mb: 0.0,
        joining_messages: 0,
        joining_lines: 0,
        change_messages: 0.0,
        change_lines: 0.0,
        list_bytes,
        change_bytes: 0.0,
    };
    run.measure(&mut report, baseline_mb, progress)?;
    report.turn = LatencySummary::from_histogram(&run.turns);
    report.seconds = began.elapsed().as_secs_f64();
    Ok(report)
}

/// Returns the memory of this process, in MiB.
pub fn own_memory_mb() -> f64 {
    proc_fs::memory(std::process::id()).unwrap_or_default().current_mb
}

/// Runs a closure, and returns its result with the CPU time that it took, in seconds.
fn measure_cpu<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = proc_fs::thread_cpu_time();
    let result = work();
    (result, (proc_fs::thread_cpu_time() - before).as_secs_f64())
}

impl HollowRun<'_> {
    fn measure(
        &mut self,
        report: &mut HollowReport,
        baseline_mb: f64,
        progress: impl Fn(&str),
    ) -> Result<()> {
        const MS_PER_SECOND: f64 = 1e3;
        let conductors = report.conductors;
        let nodes = report.nodes;
        let report_stage =
            |stage: &str| progress(&format!("{conductors} hollow conductors, {nodes} nodes: {stage}"));

        report_stage("starting");
        let (outcome, start_cpu) = measure_cpu(|| self.start_conductors(conductors));
        report.outcome = outcome?;
        report.start_cpu_seconds = start_cpu;
        report.memory_mb = own_memory_mb() - baseline_mb;
        let joining = self.total_work();
        report.joining_messages = joining.messages;
        report.joining_lines = joining.lines;
        if report.outcome != HollowOutcome::Done {
            return Ok(());
        }

        report_stage("at rest");
        let (completed, idle_cpu) = measure_cpu(|| self.run_until(CHANGES_START));
        if !completed {
            report.outcome = HollowOutcome::OutOfTime;
            return Ok(());
        }
        report.idle_cores = idle_cpu / (CHANGES_START - IDLE_FROM).seconds();

        report_stage("changes");
        let before = self.total_work();
        let (completed, cpu) = measure_cpu(|| self.run_drains());
        if !completed {
            report.outcome = HollowOutcome::OutOfTime;
            return Ok(());
        }
        let after = self.total_work();
        let duration = self.changes_end() - CHANGES_START;
        let drains = f64::from(self.plan.drains.max(1));
        let cpu_without_idle = (cpu - report.idle_cores * duration.seconds()).max(0.0);
        report.change_cpu_ms = cpu_without_idle * MS_PER_SECOND / drains;
        report.change_messages = (after.messages - before.messages) as f64 / drains;
        report.change_lines = (after.lines - before.lines) as f64 / drains;
        let line_bytes: usize = self.fleet.changes_after(1).iter().map(|change| change.line.len()).sum();
        report.change_bytes = line_bytes as f64 / drains * f64::from(conductors);
        Ok(())
    }

    /// Starts the conductors, each with the list and its proxies, and runs them until they are at rest.
    fn start_conductors(&mut self, count: u32) -> Result<HollowOutcome> {
        let settings = service_settings(self.plan)?;
        let list = full_update(&self.fleet);
        for number in 0..count {
            if Instant::now() >= self.deadline {
                return Ok(HollowOutcome::OutOfTime);
            }
            if number % MEMORY_CHECK_INTERVAL == 0 && own_memory_mb() > MAX_MEMORY_MB {
                return Ok(HollowOutcome::OutOfMemory);
            }
            let seed = self.plan.seed.wrapping_add(number.into());
            let mut conductor = HollowConductor::start(Micros::default(), settings.clone(), seed);
            conductor.receive_update(LIST_SENT_AT, list.clone());
            conductor.join_proxies(PROXIES_JOIN_AT, self.plan, self.plan.proxies);
            let completed = conductor.run_until(IDLE_FROM, |turn| {
                turn();
                Instant::now() < self.deadline
            });
            self.conductors.push(conductor);
            if !completed {
                return Ok(HollowOutcome::OutOfTime);
            }
        }
        Ok(HollowOutcome::Done)
    }

    /// Returns the sum of the work of all conductors so far.
    fn total_work(&self) -> WorkCounts {
        self.conductors.iter().fold(WorkCounts::default(), |sum, conductor| WorkCounts {
            turns: sum.turns + conductor.work.turns,
            messages: sum.messages + conductor.work.messages,
            lines: sum.lines + conductor.work.lines,
            acks_received: sum.acks_received + conductor.work.acks_received,
        })
    }

    /// Runs all conductors until a simulated time. Returns whether all reached it before the time limit.
    fn run_until(&mut self, until: Micros) -> bool {
        let turns = &mut self.turns;
        let deadline = self.deadline;
        self.conductors.iter_mut().all(|conductor| {
            conductor.run_until(until, |turn| {
                record_turn(turns, turn);
                Instant::now() < deadline
            })
        })
    }

    /// Returns the simulated time at which the measurement of the changes ends.
    fn changes_end(&self) -> Micros {
        let duration = f64::from(self.plan.drains) / self.plan.drains_per_second;
        CHANGES_START + Micros::from_seconds(duration) + CHANGES_TAIL
    }

    /// Sets nodes to leaving one after another, and sends each change to all conductors. Returns whether all changes
    /// were completed before the time limit.
    fn run_drains(&mut self) -> bool {
        for drain in 0..self.plan.drains {
            let node = NodeIndex(
                (u64::from(drain) * u64::from(self.plan.nodes) / u64::from(self.plan.drains)) as u32,
            );
            let change = Change { node, status: NodeStatus { state: NodeState::Leaving, started: None } };
            self.fleet.apply(change);
            let at = CHANGES_START + Micros::from_seconds(f64::from(drain) / self.plan.drains_per_second);
            if !self.run_until(at) {
                return false;
            }
            let update = change_update(&self.fleet, change);
            for conductor in &mut self.conductors {
                if Instant::now() >= self.deadline {
                    return false;
                }
                let mut update = Some(update.clone());
                record_turn(&mut self.turns, &mut || {
                    if let Some(update) = update.take() {
                        conductor.receive_update(at, update);
                    }
                });
            }
        }
        self.run_until(self.changes_end())
    }
}

/// Runs a turn, and records how long it took.
fn record_turn(turns: &mut Histogram<u64>, turn: &mut dyn FnMut()) {
    let began = Instant::now();
    turn();
    turns.saturating_record(began.elapsed().as_micros() as u64);
}
