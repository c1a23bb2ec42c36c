//! One point of a grid, measured: start, joining, quiet, drains, changes by chance, a restart.

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

use super::conductor::{Conductor, configuration, until_alive};
use super::discovery;
use super::lateness::Lateness;
use super::proxy::{self, Behaviour, Proxy};
use super::world::World;
use crate::core::churn::Churn;
use crate::core::fleet::{Change, Listed, NodeState};
use crate::core::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use crate::core::plan::Plan;
use crate::core::report::{Outcome, PointReport};
use crate::core::settings::mandate;
use crate::core::terms::Terms;

/// Share of the time that the joining may take, so that what does not serve is still measured at rest.
const JOINING_SHARE: f64 = 0.6;
/// How long the last changes may take to reach all proxies, and the quiet after that still counts as theirs.
const LAST_CHANGES: Duration = Duration::from_secs(5);
const CHANGES_TAIL: Duration = Duration::from_secs(2);
/// How long all proxies may take to dial before nodes are drained all the same.
const ALL_DIALLED: Duration = Duration::from_secs(2);
/// As the protocol has it.
const TOLD_LATEST: Duration = Duration::from_secs(6);
const PAUSE: Duration = Duration::from_millis(5);
const MS_PER_SECOND: f64 = 1e3;

/// Measures one program at one point; whatever happens, a report comes within the point's time.
pub fn measure(program: &Path, plan: &Plan, progress: impl Fn(&str) + 'static) -> PointReport {
    let report = Rc::new(RefCell::new(PointReport::new(program.display().to_string(), plan.clone())));
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(trouble) => {
            report.borrow_mut().notes.push(trouble.to_string());
            return report.borrow().clone();
        }
    };
    let began = Instant::now();
    let local = LocalSet::new();
    let stages = async {
        let bound = Duration::from_secs_f64(plan.bound_seconds);
        let mut point = match Point::open(program, plan, report.clone(), Box::new(progress)).await {
            Ok(point) => point,
            Err(trouble) => return report.borrow_mut().notes.push(format!("{trouble:#}")),
        };
        tokio::select! {
            done = tokio::time::timeout(bound, point.stages()) => if let Ok(Err(trouble)) = done {
                report.borrow_mut().notes.push(format!("{trouble:#}"));
            },
            () = interrupted() => point.reached(Outcome::Interrupted),
        }
        point.close();
    };
    local.block_on(&runtime, stages);
    report.borrow_mut().seconds = began.elapsed().as_secs_f64();
    report.borrow().clone()
}

/// One of a point's drains; they are spread over the whole list.
fn leaving(plan: &Plan, drain: u32) -> Change {
    let count = u64::from((plan.drains_at_joining + plan.drains).max(1));
    let node = NodeIndex((u64::from(drain) * u64::from(plan.nodes) / count) as u32);
    Change { node, listed: Listed { state: NodeState::Leaving, started: None } }
}

/// Whatever discovery has to tell counts as told by then, whether it arrived or not.
async fn told_at_the_latest(world: Rc<World>) {
    tokio::time::sleep(TOLD_LATEST).await;
    (0..world.plan.conductors).for_each(|conductor| world.told_rest(ConductorIndex(conductor)));
}

/// Waits for a signal to end, so that no conductor is left behind.
async fn interrupted() {
    let Ok(mut terminate) = signal(SignalKind::terminate()) else { return std::future::pending().await };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

struct Point<'a> {
    program: &'a Path,
    world: Rc<World>,
    conductors: Vec<Conductor>,
    listens: Vec<SocketAddr>,
    discoveries: Vec<SocketAddr>,
    tasks: JoinSet<()>,
    lateness: Lateness,
    report: Rc<RefCell<PointReport>>,
    progress: Box<dyn Fn(&str)>,
}

impl<'a> Point<'a> {
    /// Discovery stands, the conductors are started.
    async fn open(
        program: &'a Path,
        plan: &Plan,
        report: Rc<RefCell<PointReport>>,
        progress: Box<dyn Fn(&str)>,
    ) -> Result<Point<'a>> {
        let world = Rc::new(World::new(plan, Terms::of(&mandate(plan)?)));
        let (mut tasks, lateness) = (JoinSet::new(), Lateness::default());
        tasks.spawn_local(lateness.clone().watch());
        let mut discoveries = Vec::new();
        for conductor in 0..plan.conductors {
            let listener = TcpListener::bind("127.0.0.1:0").await.context("discovery")?;
            discoveries.push(listener.local_addr()?);
            tasks.spawn_local(discovery::serve(world.clone(), ConductorIndex(conductor), listener));
        }
        let listens = (0..plan.conductors).map(|_| free_port()).collect();
        let conductors = Vec::new();
        Ok(Point { program, world, conductors, listens, discoveries, tasks, lateness, report, progress })
    }

    async fn stages(&mut self) -> Result<()> {
        self.start(false)?;
        self.reached(Outcome::NeverAlive);
        self.tasks.spawn_local(told_at_the_latest(self.world.clone()));
        let alive = self.until_alive().await?;
        self.report.borrow_mut().conductor.alive_seconds = Some(alive);
        self.reached(Outcome::NoTable);
        let bound = self.join().await?;
        let idle = self.idle().await;
        if !bound {
            return Ok(());
        }
        self.reached(Outcome::Stopped);
        if self.world.plan.drains > 0 {
            self.drain(idle).await;
        }
        if self.world.plan.churn_per_second > 0.0 {
            self.churn().await;
        }
        if self.world.plan.restart {
            self.restart().await?;
        }
        self.reached(Outcome::Served);
        Ok(())
    }

    /// What the outcome is if nothing further is done.
    fn reached(&self, outcome: Outcome) {
        self.report.borrow_mut().outcome = outcome;
    }

    fn tell(&self, what: &str) {
        let plan = &self.world.plan;
        (self.progress)(&format!(
            "{} nodes, {} zones, {} proxies: {what}",
            plan.nodes, plan.zones, plan.proxies
        ));
    }

    fn start(&mut self, again: bool) -> Result<()> {
        let known = again.then(|| self.world.fleet.borrow_mut().current().clone());
        for (number, (listen, discovery)) in self.listens.iter().zip(&self.discoveries).enumerate() {
            let config = configuration(&self.world, &format!("n{number}"), *listen, *discovery);
            if let Some(known) = &known {
                // It goes by what it is given before it is told anything.
                self.world.told_all(ConductorIndex(number as u16), &known.listed);
            }
            let known = known.as_ref().map(|known| known.document.clone());
            self.conductors.push(Conductor::start(self.program, &config, known)?);
        }
        Ok(())
    }

    /// Seconds until the last conductor has given a sign of life.
    async fn until_alive(&mut self) -> Result<f64> {
        let mut longest = 0.0_f64;
        for (number, (conductor, listen)) in self.conductors.iter_mut().zip(&self.listens).enumerate() {
            longest = longest.max(until_alive(conductor, *listen).await?.as_secs_f64());
            self.world.answered(ConductorIndex(number as u16));
        }
        Ok(longest)
    }

    /// All proxies join at once. Tells whether all have been sent a table within their time.
    async fn join(&mut self) -> Result<bool> {
        self.tell("joining");
        let joining = Instant::now();
        let plan = self.world.plan.clone();
        let hanging = (f64::from(plan.proxies) * plan.hang_share).round() as u16;
        let mute = (f64::from(plan.proxies) * plan.mute_share).round() as u16;
        for index in 0..plan.proxies {
            let conductor = ConductorIndex(index % plan.conductors.max(1));
            let behaviour = match index {
                index if index < hanging => Behaviour::Hangs,
                index if index < hanging + mute => Behaviour::Mute,
                _ => Behaviour::Answers,
            };
            let address = self.listens[usize::from(conductor.0)];
            let proxy = Proxy { index: ProxyIndex(index), conductor, address, behaviour };
            self.tasks.spawn_local(proxy::run(self.world.clone(), proxy));
        }
        if plan.drains_at_joining > 0 {
            while self.world.observer.borrow().not_joined() > 0 && joining.elapsed() < ALL_DIALLED {
                tokio::time::sleep(PAUSE).await;
            }
            (0..plan.drains_at_joining).for_each(|drain| self.world.change(leaving(&plan, drain)));
        }
        let longest = Duration::from_secs_f64(plan.bound_seconds * JOINING_SHARE);
        let bound = self.until_bound(joining + longest).await?;
        if bound {
            self.report.borrow_mut().conductor.tables_seconds = Some(joining.elapsed().as_secs_f64());
        }
        if plan.drains_at_joining > 0 {
            self.until_reached().await;
            let propagation = std::mem::take(&mut self.world.observer.borrow_mut().propagation);
            let outside = &mut self.report.borrow_mut().outside;
            outside.joining_drains = propagation.last_proxy();
            outside.joining_drains_not_reached = propagation.open().count() as u64;
        }
        Ok(bound)
    }

    /// Waits until all proxies have been sent a whole table; tells whether they were by then.
    async fn until_bound(&mut self, longest: Instant) -> Result<bool> {
        // Each proxy's joining must have been counted before its table can be.
        tokio::task::yield_now().await;
        while self.world.observer.borrow().unbound() > 0 {
            if self.conductors.iter_mut().any(Conductor::has_ended) {
                self.reached(Outcome::Ended);
                bail!("a conductor ended by itself");
            }
            if Instant::now() >= longest {
                return Ok(false);
            }
            tokio::time::sleep(PAUSE).await;
        }
        Ok(true)
    }

    /// Measures a quiet time; tells the share of a core, as a mean of the conductors.
    async fn idle(&mut self) -> f64 {
        self.tell("at rest");
        let plan = self.world.plan.clone();
        let settle = Duration::from_secs_f64(plan.settle_seconds);
        tokio::time::sleep(settle).await;
        // What the run takes in at joining is not what it is measured by.
        self.lateness.reset();
        let (joined_cpu, at) = (self.cpu(), Instant::now());
        self.count_joining();
        tokio::time::sleep(Duration::from_secs_f64(plan.idle_seconds)).await;
        let idle = (self.cpu() - joined_cpu) / at.elapsed().as_secs_f64();
        let mut report = self.report.borrow_mut();
        report.conductor.idle_cores = Some(idle);
        report.conductor.start_cpu_with_rest_seconds = joined_cpu;
        report.conductor.start_cpu_seconds = (joined_cpu - idle * settle.as_secs_f64()).max(0.0);
        idle
    }

    fn count_joining(&self) {
        let traffic = self.world.observer.borrow().traffic;
        let proxies = f64::from(self.world.plan.proxies.max(1));
        let outside = &mut self.report.borrow_mut().outside;
        outside.joining_bytes_per_proxy = traffic.bytes_to_proxies as f64 / proxies;
        outside.joining_messages_per_proxy = traffic.messages_to_proxies as f64 / proxies;
    }

    /// Nodes are set to leaving, one after another.
    async fn drain(&mut self, idle: f64) {
        self.tell("draining");
        let plan = self.world.plan.clone();
        let (before, began) = (self.cpu(), Instant::now());
        for drain in 0..plan.drains {
            let due = began + Duration::from_secs_f64(f64::from(drain) / plan.drains_per_second);
            tokio::time::sleep_until(due).await;
            self.world.change(leaving(&plan, plan.drains_at_joining + drain));
        }
        self.until_reached().await;
        tokio::time::sleep(CHANGES_TAIL).await;
        let (spent, seconds) = (self.cpu() - before, began.elapsed().as_secs_f64());
        let each = (spent - idle * seconds).max(0.0) * MS_PER_SECOND / f64::from(plan.drains);
        let mut report = self.report.borrow_mut();
        report.conductor.change_cores = Some(spent / seconds);
        report.conductor.change_cpu_ms = Some(each);
    }

    /// Nodes restart, drain and fail by chance, and come back.
    async fn churn(&mut self) {
        let plan = self.world.plan.clone();
        self.tell(&format!("{} changes a second", plan.churn_per_second));
        let (before, began) = (self.cpu(), Instant::now());
        let until = self.world.now() + Micros::from_seconds(plan.churn_seconds);
        let mut churn = Churn::new(plan.seed, plan.churn_per_second, self.world.now());
        let mut count = 0_u32;
        while churn.due() < until {
            tokio::time::sleep_until(self.world.instant(churn.due())).await;
            let change = churn.next(self.world.now(), &self.world.fleet.borrow());
            count += u32::from(change.is_some());
            change.into_iter().for_each(|change| self.world.change(change));
        }
        let (spent, seconds) = (self.cpu() - before, began.elapsed().as_secs_f64());
        {
            let mut report = self.report.borrow_mut();
            let idle = report.conductor.idle_cores.unwrap_or_default();
            let each = (spent - idle * seconds).max(0.0) * MS_PER_SECOND / f64::from(count.max(1));
            report.conductor.churn_cores = Some(spent / seconds);
            report.conductor.churn_cpu_ms = Some(each);
        }
        self.until_reached().await;
    }

    /// Waits until all changes have reached all proxies, or for as long as they may take.
    async fn until_reached(&self) {
        let longest = Instant::now() + LAST_CHANGES;
        while self.world.observer.borrow().propagation.open().next().is_some() && Instant::now() < longest {
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// All conductors are killed and started again, with the list they had as their known one.
    async fn restart(&mut self) -> Result<()> {
        self.tell("starting again");
        self.keep_memory();
        self.keep_lateness();
        self.world.killing.set(true);
        self.conductors.clear();
        (0..self.world.plan.conductors).for_each(|conductor| self.world.died(ConductorIndex(conductor)));
        let killed = Instant::now();
        self.start(true)?;
        let alive = self.until_alive().await?;
        self.report.borrow_mut().conductor.restart_alive_seconds = Some(alive);
        let bound = self.until_bound(killed + Duration::from_secs_f64(self.world.plan.bound_seconds)).await?;
        self.world.killing.set(false);
        if bound {
            let mut report = self.report.borrow_mut();
            report.conductor.restart_tables_seconds = Some(killed.elapsed().as_secs_f64());
            report.conductor.restart_cpu_seconds = Some(self.cpu());
        }
        Ok(())
    }

    /// Processor time since the start, as a mean of the conductors.
    fn cpu(&self) -> f64 {
        let total: f64 = self.conductors.iter().map(Conductor::cpu_seconds).sum();
        total / self.conductors.len().max(1) as f64
    }

    /// Keeps how late the run itself was, once: joining anew is not counted either.
    fn keep_lateness(&self) {
        let longest = self.lateness.longest().as_secs_f64() * MS_PER_SECOND;
        let mut report = self.report.borrow_mut();
        if report.outside.own_lateness_ms == 0.0 {
            report.outside.own_lateness_ms = longest;
        }
    }

    /// Keeps the most memory that any conductor held.
    fn keep_memory(&self) {
        let mut report = self.report.borrow_mut();
        for resident in self.conductors.iter().map(Conductor::resident) {
            report.conductor.peak_memory_mb = report.conductor.peak_memory_mb.max(resident.peak_mb);
            report.conductor.memory_mb = report.conductor.memory_mb.max(resident.current_mb);
        }
    }

    /// Ends all, and counts what was seen.
    fn close(mut self) {
        self.keep_memory();
        self.keep_lateness();
        let mut report = self.report.borrow_mut();
        let ended = self.conductors.iter_mut().any(Conductor::has_ended);
        if ended && report.outcome != Outcome::Interrupted {
            report.outcome = Outcome::Ended;
        }
        if report.outcome != Outcome::Served {
            let lines = self.conductors.iter().flat_map(Conductor::last_lines);
            report.notes.extend(lines);
        }
        report.counters = self.conductors.iter_mut().filter_map(Conductor::stop).collect();
        let observer = self.world.observer.borrow();
        let (outside, traffic) = (&mut report.outside, observer.traffic);
        outside.list_bytes = self.world.fleet.borrow().snapshot().document.len() as u64;
        outside.bytes_to_proxies = traffic.bytes_to_proxies;
        outside.messages_to_proxies = traffic.messages_to_proxies;
        outside.lines_to_proxies = traffic.lines_to_proxies;
        outside.bytes_from_proxies = traffic.bytes_from_proxies;
        outside.messages_from_proxies = traffic.messages_from_proxies;
        outside.bytes_from_discovery = traffic.bytes_from_discovery;
        outside.documents_from_discovery = traffic.documents_from_discovery;
        outside.changes = self.world.fleet.borrow().version() - 1;
        outside.last_proxy = observer.propagation.last_proxy();
        outside.each_proxy = observer.propagation.each_proxy();
        outside.changes_not_reached = observer.propagation.open().count() as u64;
        outside.proxies_without_table = observer.unbound();
        outside.proxies_without_line = observer.without_lines();
        outside.streams_ended = observer.streams_ended;
        outside.streams_unusable = observer.streams_unusable;
        outside.peak_channel_lines = observer.checker.peak_lines();
        outside.rules_broken = observer.checker.counts().clone();
        outside.violations = observer.checker.violations().to_vec();
    }
}
