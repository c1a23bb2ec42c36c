//! Measures one program at one point, in stages: start, joining, rest, drains, random changes and a restart.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use oatpitch_standins::conductor::free_port;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinSet, LocalSet};
use tokio::time::Instant;

use super::conductor::{Conductor, configuration, wait_until_alive};
use super::discovery;
use super::lateness::Lateness;
use super::proxy;
use super::state::PointState;
use crate::core::churn::Churn;
use crate::core::fleet::{Change, NodeState, NodeStatus};
use crate::core::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use crate::core::plan::Plan;
use crate::core::proxy::{Behaviour, Proxy};
use crate::core::report::{ExternalMetrics, Outcome, PointReport};
use crate::core::rule_limits::RuleLimits;
use crate::core::settings::service_settings;

/// Share of the time limit that joining may take, so that a point that isn't served is still measured at rest.
const MAX_JOINING_SHARE: f64 = 0.6;
/// How long the last changes may take to reach all proxies.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the last change whose CPU time still counts as that of the changes.
const CHANGES_TAIL: Duration = Duration::from_secs(2);
/// How long the proxies may take to connect before nodes are drained all the same.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// By when the protocol requires a conductor to have the list after its start.
const LIST_DELIVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const MS_PER_SECOND: f64 = 1e3;

/// Measures one program at one point. Always returns a report, within the time limit of the point; errors are noted in
/// it.
pub fn measure(program: &Path, plan: &Plan, progress: impl Fn(&str) + 'static) -> PointReport {
    let report = Rc::new(RefCell::new(PointReport::new(program.display().to_string(), plan.clone())));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            report.borrow_mut().notes.push(error.to_string());
            return report.borrow().clone();
        }
    };
    let began = Instant::now();
    let local = LocalSet::new();
    let stages = async {
        let time_limit = Duration::from_secs_f64(plan.time_limit_seconds);
        let mut point = match PointRun::open(program, plan, report.clone(), Box::new(progress)).await {
            Ok(point) => point,
            Err(error) => return report.borrow_mut().notes.push(format!("{error:#}")),
        };
        tokio::select! {
            result = tokio::time::timeout(time_limit, point.run_stages()) => if let Ok(Err(error)) = result {
                report.borrow_mut().notes.push(format!("{error:#}"));
            },
            () = wait_for_interrupt() => point.set_outcome(Outcome::Interrupted),
        }
        point.finish();
    };
    local.block_on(&runtime, stages);
    report.borrow_mut().seconds = began.elapsed().as_secs_f64();
    report.borrow().clone()
}

/// Returns one of the drains of a point. Their nodes are spread over the whole list.
fn drain_change(plan: &Plan, drain: u32) -> Change {
    let count = u64::from((plan.drains_at_joining + plan.drains).max(1));
    let node = NodeIndex((u64::from(drain) * u64::from(plan.nodes) / count) as u32);
    Change { node, status: NodeStatus { state: NodeState::Leaving, started: None } }
}

/// Treats the list as sent to all conductors once the protocol's time limit has passed, whether it arrived or not.
async fn assume_list_sent(state: Rc<PointState>) {
    tokio::time::sleep(LIST_DELIVERY_TIMEOUT).await;
    (0..state.plan.conductors).for_each(|conductor| state.list_assumed_sent(ConductorIndex(conductor)));
}

/// Waits for SIGTERM or SIGINT. The conductors can then be stopped before the process exits.
async fn wait_for_interrupt() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// A point that is being measured.
struct PointRun<'a> {
    program: &'a Path,
    state: Rc<PointState>,
    /// The running conductors, in the order of their numbers.
    conductors: Vec<Conductor>,
    /// The address that each conductor listens on.
    listen_addresses: Vec<SocketAddr>,
    /// The address of discovery for each conductor.
    discovery_addresses: Vec<SocketAddr>,
    /// Tasks of discovery, the proxies and the timers.
    tasks: JoinSet<()>,
    lateness: Lateness,
    report: Rc<RefCell<PointReport>>,
    /// Called with a text at the start of each stage.
    progress: Box<dyn Fn(&str)>,
}

impl<'a> PointRun<'a> {
    /// Starts discovery. No conductor is started yet.
    async fn open(
        program: &'a Path,
        plan: &Plan,
        report: Rc<RefCell<PointReport>>,
        progress: Box<dyn Fn(&str)>,
    ) -> Result<PointRun<'a>> {
        let state = Rc::new(PointState::new(plan, RuleLimits::from_settings(&service_settings(plan)?)));
        let mut tasks = JoinSet::new();
        let lateness = Lateness::default();
        tasks.spawn_local(lateness.clone().watch());
        let mut discovery_addresses = Vec::new();
        for conductor in 0..plan.conductors {
            let listener = TcpListener::bind("127.0.0.1:0").await.context("discovery")?;
            discovery_addresses.push(listener.local_addr()?);
            tasks.spawn_local(discovery::serve(state.clone(), ConductorIndex(conductor), listener));
        }
        let listen_addresses = (0..plan.conductors).map(|_| free_port()).collect();
        let conductors = Vec::new();
        Ok(PointRun {
            program,
            state,
            conductors,
            listen_addresses,
            discovery_addresses,
            tasks,
            lateness,
            report,
            progress,
        })
    }

    /// Runs all stages. At every time the outcome in the report is the one that holds if no further stage is completed.
    async fn run_stages(&mut self) -> Result<()> {
        self.start_conductors(false)?;
        self.set_outcome(Outcome::NeverAlive);
        self.tasks.spawn_local(assume_list_sent(self.state.clone()));
        let alive = self.wait_until_alive().await?;
        self.report.borrow_mut().conductor.alive_seconds = Some(alive);
        self.set_outcome(Outcome::NoTable);
        let have_tables = self.join_proxies().await?;
        let idle = self.measure_idle().await;
        if !have_tables {
            return Ok(());
        }
        self.set_outcome(Outcome::Stopped);
        if self.state.plan.drains > 0 {
            self.run_drains(idle).await;
        }
        if self.state.plan.churn_per_second > 0.0 {
            self.run_churn().await;
        }
        if self.state.plan.restart {
            self.restart_conductors().await?;
        }
        self.set_outcome(Outcome::Served);
        Ok(())
    }

    /// Sets the outcome that holds if no further stage is completed.
    fn set_outcome(&self, outcome: Outcome) {
        self.report.borrow_mut().outcome = outcome;
    }

    fn report_progress(&self, stage: &str) {
        let plan = &self.state.plan;
        (self.progress)(&format!(
            "{} nodes, {} zones, {} proxies: {stage}",
            plan.nodes, plan.zones, plan.proxies
        ));
    }

    /// Starts all conductors. `with_known_list` gives them the current list in their configurations.
    fn start_conductors(&mut self, with_known_list: bool) -> Result<()> {
        let known = with_known_list.then(|| self.state.fleet.borrow_mut().current().clone());
        for (number, (listen, discovery)) in
            self.listen_addresses.iter().zip(&self.discovery_addresses).enumerate()
        {
            let config = configuration(&self.state, &format!("n{number}"), *listen, *discovery);
            if let Some(known) = &known {
                // The conductor uses the known list until it is sent another.
                self.state.list_sent(ConductorIndex(number as u16), &known.statuses);
            }
            let known = known.as_ref().map(|known| known.document.clone());
            self.conductors.push(Conductor::start(self.program, &config, known)?);
        }
        Ok(())
    }

    /// Waits until all conductors have answered a probe, and returns the longest time from a start to the answer, in
    /// seconds.
    async fn wait_until_alive(&mut self) -> Result<f64> {
        let mut longest = 0.0_f64;
        for (number, (conductor, listen)) in
            self.conductors.iter_mut().zip(&self.listen_addresses).enumerate()
        {
            longest = longest.max(wait_until_alive(conductor, *listen).await?.as_secs_f64());
            self.state.conductor_answered(ConductorIndex(number as u16));
        }
        Ok(longest)
    }

    /// Joins all proxies at once. Returns whether all have been sent a table within the time limit of joining.
    async fn join_proxies(&mut self) -> Result<bool> {
        self.report_progress("joining");
        let began = Instant::now();
        let plan = self.state.plan.clone();
        let hanging = (f64::from(plan.proxies) * plan.hang_share).round() as u16;
        let mute = (f64::from(plan.proxies) * plan.mute_share).round() as u16;
        for index in 0..plan.proxies {
            let conductor = ConductorIndex(index % plan.conductors.max(1));
            let behaviour = match index {
                index if index < hanging => Behaviour::Hangs,
                index if index < hanging + mute => Behaviour::Mute,
                _ => Behaviour::Answers,
            };
            let address = self.listen_addresses[usize::from(conductor.0)];
            let proxy = Proxy { index: ProxyIndex(index), conductor, address, behaviour };
            self.tasks.spawn_local(proxy::run(self.state.clone(), proxy));
        }
        if plan.drains_at_joining > 0 {
            while self.state.observer.borrow().not_joined() > 0 && began.elapsed() < CONNECT_TIMEOUT {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            (0..plan.drains_at_joining).for_each(|drain| self.state.change_list(drain_change(&plan, drain)));
        }
        let time_limit = Duration::from_secs_f64(plan.time_limit_seconds * MAX_JOINING_SHARE);
        let have_tables = self.wait_for_tables(began + time_limit).await?;
        if have_tables {
            self.report.borrow_mut().conductor.tables_seconds = Some(began.elapsed().as_secs_f64());
        }
        if plan.drains_at_joining > 0 {
            self.wait_for_propagation().await;
            let propagation = std::mem::take(&mut self.state.observer.borrow_mut().propagation);
            let outside = &mut self.report.borrow_mut().outside;
            outside.joining_drains = propagation.last_proxy();
            outside.joining_drains_not_reached = propagation.pending().count() as u64;
        }
        Ok(have_tables)
    }

    /// Waits until all proxies have been sent a full table. Returns whether they were before the deadline.
    async fn wait_for_tables(&mut self, deadline: Instant) -> Result<bool> {
        // Lets the tasks of the proxies run first, as a table counts only after its proxy has joined.
        tokio::task::yield_now().await;
        while self.state.observer.borrow().without_table() > 0 {
            if self.conductors.iter_mut().any(Conductor::has_ended) {
                self.set_outcome(Outcome::Ended);
                bail!("a conductor ended by itself");
            }
            if Instant::now() >= deadline {
                return Ok(false);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(true)
    }

    /// Measures the CPU time per second without changes, and returns the mean over all conductors.
    async fn measure_idle(&mut self) -> f64 {
        self.report_progress("at rest");
        let plan = self.state.plan.clone();
        let settle = Duration::from_secs_f64(plan.settle_seconds);
        tokio::time::sleep(settle).await;
        // The load of the test process at joining says nothing about its delay later on.
        self.lateness.reset();
        let joined_cpu = self.mean_cpu_seconds();
        let began = Instant::now();
        self.record_joining_traffic();
        tokio::time::sleep(Duration::from_secs_f64(plan.idle_seconds)).await;
        let idle = (self.mean_cpu_seconds() - joined_cpu) / began.elapsed().as_secs_f64();
        let mut report = self.report.borrow_mut();
        report.conductor.idle_cores = Some(idle);
        report.conductor.start_cpu_with_rest_seconds = joined_cpu;
        report.conductor.start_cpu_seconds = (joined_cpu - idle * settle.as_secs_f64()).max(0.0);
        idle
    }

    fn record_joining_traffic(&self) {
        let traffic = self.state.observer.borrow().traffic;
        let proxies = f64::from(self.state.plan.proxies.max(1));
        let outside = &mut self.report.borrow_mut().outside;
        outside.joining_bytes_per_proxy = traffic.bytes_to_proxies as f64 / proxies;
        outside.joining_messages_per_proxy = traffic.messages_to_proxies as f64 / proxies;
    }

    /// Sets nodes to leaving one after another. `idle` is the CPU time per second without changes.
    async fn run_drains(&mut self, idle: f64) {
        self.report_progress("draining");
        let plan = self.state.plan.clone();
        let cpu_before = self.mean_cpu_seconds();
        let began = Instant::now();
        for drain in 0..plan.drains {
            let due = began + Duration::from_secs_f64(f64::from(drain) / plan.drains_per_second);
            tokio::time::sleep_until(due).await;
            self.state.change_list(drain_change(&plan, plan.drains_at_joining + drain));
        }
        self.wait_for_propagation().await;
        tokio::time::sleep(CHANGES_TAIL).await;
        let cpu = self.mean_cpu_seconds() - cpu_before;
        let seconds = began.elapsed().as_secs_f64();
        let cpu_ms_per_drain = (cpu - idle * seconds).max(0.0) * MS_PER_SECOND / f64::from(plan.drains);
        let mut report = self.report.borrow_mut();
        report.conductor.change_cores = Some(cpu / seconds);
        report.conductor.change_cpu_ms = Some(cpu_ms_per_drain);
    }

    /// Makes random changes to the list.
    async fn run_churn(&mut self) {
        let plan = self.state.plan.clone();
        self.report_progress(&format!("{} changes a second", plan.churn_per_second));
        let cpu_before = self.mean_cpu_seconds();
        let began = Instant::now();
        let until = self.state.now() + Micros::from_seconds(plan.churn_seconds);
        let mut churn = Churn::new(plan.seed, plan.churn_per_second, self.state.now());
        let mut changes = 0_u32;
        while churn.next_due() < until {
            tokio::time::sleep_until(self.state.instant(churn.next_due())).await;
            let change = churn.next_change(self.state.now(), &self.state.fleet.borrow());
            if let Some(change) = change {
                changes += 1;
                self.state.change_list(change);
            }
        }
        let cpu = self.mean_cpu_seconds() - cpu_before;
        let seconds = began.elapsed().as_secs_f64();
        self.record_churn(cpu, seconds, changes);
        self.wait_for_propagation().await;
    }

    /// Records the CPU time of the random changes. `cpu` is the mean over all conductors, in seconds.
    fn record_churn(&self, cpu: f64, seconds: f64, changes: u32) {
        let mut report = self.report.borrow_mut();
        let idle = report.conductor.idle_cores.unwrap_or_default();
        let cpu_ms_per_change = (cpu - idle * seconds).max(0.0) * MS_PER_SECOND / f64::from(changes.max(1));
        report.conductor.churn_cores = Some(cpu / seconds);
        report.conductor.churn_cpu_ms = Some(cpu_ms_per_change);
    }

    /// Waits until all changes have reached all proxies, or until the timeout.
    async fn wait_for_propagation(&self) {
        let deadline = Instant::now() + PROPAGATION_TIMEOUT;
        let is_pending = || self.state.observer.borrow().propagation.pending().next().is_some();
        while is_pending() && Instant::now() < deadline {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Kills all conductors, and restarts them with the current list in their configurations.
    async fn restart_conductors(&mut self) -> Result<()> {
        self.report_progress("starting again");
        self.record_memory();
        self.record_lateness();
        self.state.killing_conductors.set(true);
        self.conductors.clear();
        (0..self.state.plan.conductors)
            .for_each(|conductor| self.state.conductor_died(ConductorIndex(conductor)));
        let killed = Instant::now();
        self.start_conductors(true)?;
        let alive = self.wait_until_alive().await?;
        self.report.borrow_mut().conductor.restart_alive_seconds = Some(alive);
        let have_tables = self
            .wait_for_tables(killed + Duration::from_secs_f64(self.state.plan.time_limit_seconds))
            .await?;
        self.state.killing_conductors.set(false);
        if have_tables {
            let mut report = self.report.borrow_mut();
            report.conductor.restart_tables_seconds = Some(killed.elapsed().as_secs_f64());
            report.conductor.restart_cpu_seconds = Some(self.mean_cpu_seconds());
        }
        Ok(())
    }

    /// Returns the CPU time since the start of the conductors, as the mean over all of them.
    fn mean_cpu_seconds(&self) -> f64 {
        let total: f64 = self.conductors.iter().map(Conductor::cpu_seconds).sum();
        total / self.conductors.len().max(1) as f64
    }

    /// Records the delay of the test process, unless it was recorded before: delays while the proxies join again after
    /// the restart don't count either.
    fn record_lateness(&self) {
        let lateness_ms = self.lateness.longest().as_secs_f64() * MS_PER_SECOND;
        let mut report = self.report.borrow_mut();
        if report.outside.own_lateness_ms == 0.0 {
            report.outside.own_lateness_ms = lateness_ms;
        }
    }

    /// Records the largest memory of any conductor.
    fn record_memory(&self) {
        let mut report = self.report.borrow_mut();
        for memory in self.conductors.iter().map(Conductor::memory) {
            report.conductor.peak_memory_mb = report.conductor.peak_memory_mb.max(memory.peak_mb);
            report.conductor.memory_mb = report.conductor.memory_mb.max(memory.current_mb);
        }
    }

    /// Stops the conductors and completes the report.
    fn finish(mut self) {
        self.record_memory();
        self.record_lateness();
        let mut report = self.report.borrow_mut();
        let ended = self.conductors.iter_mut().any(Conductor::has_ended);
        if ended && report.outcome != Outcome::Interrupted {
            report.outcome = Outcome::Ended;
        }
        if report.outcome != Outcome::Served {
            let lines = self.conductors.iter().flat_map(Conductor::last_log_lines);
            report.notes.extend(lines);
        }
        report.counters = self.conductors.iter_mut().filter_map(Conductor::stop).collect();
        record_external_metrics(&self.state, &mut report.outside);
    }
}

/// Records what was measured outside the conductors by the end of a point.
fn record_external_metrics(state: &PointState, outside: &mut ExternalMetrics) {
    let observer = state.observer.borrow();
    let traffic = observer.traffic;
    let fleet = state.fleet.borrow();
    outside.list_bytes = fleet.snapshot().document.len() as u64;
    outside.bytes_to_proxies = traffic.bytes_to_proxies;
    outside.messages_to_proxies = traffic.messages_to_proxies;
    outside.lines_to_proxies = traffic.lines_to_proxies;
    outside.bytes_from_proxies = traffic.bytes_from_proxies;
    outside.messages_from_proxies = traffic.messages_from_proxies;
    outside.bytes_from_discovery = traffic.bytes_from_discovery;
    outside.documents_from_discovery = traffic.documents_from_discovery;
    outside.changes = fleet.version() - 1;
    outside.last_proxy = observer.propagation.last_proxy();
    outside.each_proxy = observer.propagation.each_proxy();
    outside.changes_not_reached = observer.propagation.pending().count() as u64;
    outside.proxies_without_table = observer.without_table();
    outside.proxies_without_line = observer.without_lines();
    outside.streams_ended = observer.streams_ended;
    outside.streams_unusable = observer.streams_unusable;
    outside.peak_channel_lines = observer.checker.peak_lines();
    outside.rules_broken = observer.checker.violation_counts().clone();
    outside.violations = observer.checker.violations().to_vec();
}
