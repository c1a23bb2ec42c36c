//! Small scale tests in one process, with the real reducer. They check the work done (messages and lines), which is the
//! same on every machine, and the five rules.

use std::collections::BTreeMap;

use oatpitch_scale::core::checker::{Checker, Rule};
use oatpitch_scale::core::churn::Churn;
use oatpitch_scale::core::fleet::{Change, Fleet, NodeState, NodeStatus};
use oatpitch_scale::core::hollow::{
    EPOCH_MS, HollowConductor, SentMessage, WorkCounts, change_update, full_update,
};
use oatpitch_scale::core::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use oatpitch_scale::core::plan::Plan;
use oatpitch_scale::core::push::Part;
use oatpitch_scale::core::rule_limits::RuleLimits;
use oatpitch_scale::core::settings::{PUSH_DELAY, service_settings};

const CONDUCTOR: ConductorIndex = ConductorIndex(0);
const RATE: f64 = 20.0;
const DRAINS: u32 = 10;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn leaving(node: u32) -> Change {
    Change { node: NodeIndex(node), status: NodeStatus { state: NodeState::Leaving, started: None } }
}

/// A conductor with its fleet, its proxies and the checker of the rules.
struct Simulation {
    fleet: Fleet,
    conductor: HollowConductor,
    checker: Checker,
    /// Applied to each part of a message before its proxies receive it.
    tamper: fn(Part) -> Part,
    /// Messages that were sent and are not applied yet.
    in_transit: Vec<SentMessage>,
}

impl Simulation {
    fn start(plan: &Plan, tamper: fn(Part) -> Part) -> Simulation {
        let settings = service_settings(plan).expect("settings of the test");
        let mut simulation = Simulation {
            fleet: Fleet::new(plan, EPOCH_MS),
            checker: Checker::new(RuleLimits::from_settings(&settings), 1, plan.proxies),
            conductor: HollowConductor::start(ms(0), settings, plan.seed),
            tamper,
            in_transit: Vec::new(),
        };
        simulation.conductor.record_messages();
        simulation.checker.conductor_answered(ms(0), CONDUCTOR);
        simulation.conductor.receive_update(ms(10), full_update(&simulation.fleet));
        simulation.checker.list_received(ms(10), CONDUCTOR, &simulation.fleet.snapshot().statuses);
        (0..plan.proxies)
            .for_each(|proxy| simulation.checker.proxy_joined(ms(20), ProxyIndex(proxy), CONDUCTOR, RATE));
        simulation.conductor.join_proxies(ms(20), plan, plan.proxies);
        simulation.run_until(ms(5_000));
        simulation
    }

    fn change(&mut self, now: Micros, change: Change) {
        self.run_until(now);
        self.fleet.apply(change);
        self.checker.node_changed(now, CONDUCTOR, change.node, change.status);
        self.conductor.receive_update(now, change_update(&self.fleet, change));
    }

    fn run_until(&mut self, until: Micros) {
        let completed = self.conductor.run_until(until, |turn| {
            turn();
            true
        });
        assert!(completed, "the conductor wakes itself endlessly");
        self.in_transit.extend(self.conductor.take_recorded());
        let (due, later) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|written| written.at + PUSH_DELAY <= until);
        self.in_transit = later;
        let due: Vec<SentMessage> = due;
        for written in due {
            let mut message = written.message;
            message.parts.iter_mut().for_each(|part| *part = (self.tamper)((**part).clone()).into());
            for proxy in written.proxies {
                self.checker.message_applied(written.at + PUSH_DELAY, proxy, &message);
            }
        }
        self.checker.advance(until);
    }

    /// Drains nodes, one per second, and returns the work that this took.
    fn drain(&mut self) -> WorkCounts {
        let before = self.conductor.work;
        let nodes = self.fleet.len() as u32;
        (0..DRAINS).for_each(|drain| {
            self.change(ms(6_000 + 1_000 * u64::from(drain)), leaving(drain * (nodes / DRAINS)));
        });
        self.run_until(ms(30_000));
        let after = self.conductor.work;
        WorkCounts {
            turns: after.turns - before.turns,
            messages: after.messages - before.messages,
            lines: after.lines - before.lines,
            acks_received: after.acks_received - before.acks_received,
        }
    }
}

fn unchanged(part: Part) -> Part {
    part
}

fn plan(nodes: u32, zones: u32, proxies: u16) -> Plan {
    Plan { proxies, ..Plan::with_size(nodes, zones) }
}

/// A joining proxy is sent one table, in which every node has one line and is restored at most once, as an earlier
/// conductor may have ejected it. Its length depends neither on zones nor on other proxies.
#[test]
fn joining_sends_each_proxy_its_table_once() {
    for (nodes, zones, proxies) in [(200, 1, 2), (2_000, 1, 2), (2_000, 12, 2), (200, 3, 40)] {
        let work = Simulation::start(&plan(nodes, zones, proxies), unchanged).conductor.work;
        let each = work.lines as f64 / f64::from(proxies);
        assert!(each >= f64::from(nodes), "{nodes} nodes: {each} lines a proxy");
        assert!(each <= 2.0 * f64::from(nodes) + 10.0, "{nodes} nodes, {zones} zones: {each} lines a proxy");
        assert!(work.messages <= 2 * u64::from(proxies), "{work:?}");
    }
}

/// The lines of a drain depend on the proxies that use the node, not on the fleet: ten times the nodes, the same work.
#[test]
fn the_work_of_a_drain_does_not_grow_with_the_fleet() {
    let work = [200, 2_000].map(|nodes| Simulation::start(&plan(nodes, 3, 6), unchanged).drain());
    assert_eq!((work[0].messages, work[0].lines), (work[1].messages, work[1].lines), "{work:?}");
    assert!(work[0].messages >= u64::from(DRAINS) * 6, "{work:?}");
    let zones = Simulation::start(&plan(2_000, 30, 6), unchanged).drain();
    assert_eq!((zones.messages, zones.lines), (work[1].messages, work[1].lines), "in 30 zones");
}

/// Equal inputs cause equal work.
#[test]
fn equal_runs_do_equal_work() {
    let work = || Simulation::start(&plan(300, 6, 5), unchanged).drain();
    assert_eq!(work(), work());
}

/// Half a minute of restarts, drains and failures breaks no rule, in a small and in a larger fleet.
#[test]
fn random_changes_cause_no_violation() {
    for (nodes, zones, proxies, per_second) in [(120, 3, 9, 2.0), (1_500, 12, 4, 5.0)] {
        let mut simulation = Simulation::start(&plan(nodes, zones, proxies), unchanged);
        let mut churn = Churn::new(7, per_second, ms(6_000));
        while churn.next_due() < ms(36_000) {
            let now = churn.next_due();
            let change = churn.next_change(now, &simulation.fleet);
            change.into_iter().for_each(|change| simulation.change(now, change));
        }
        simulation.run_until(ms(50_000));
        assert_eq!(
            simulation.checker.violation_counts(),
            &BTreeMap::new(),
            "{:?}",
            simulation.checker.violations()
        );
    }
}

/// The checker finds violations in a real conductor's messages if they are altered: withdrawals or tables are lost,
/// a restarted node gets too much weight, or a retry policy may run a request twice.
#[test]
fn violations_in_tampered_messages_are_found() {
    let no_withdrawals = |part: Part| {
        let lines = part.lines.iter().filter(|(_, weight)| *weight > 0.0).copied().collect();
        Part { eject: Vec::new(), lines, ..part }
    };
    let mut simulation = Simulation::start(&plan(120, 3, 9), no_withdrawals);
    simulation.drain();
    let counts: Vec<(Rule, u64)> =
        simulation.checker.violation_counts().iter().map(|(rule, count)| (*rule, *count)).collect();
    assert_eq!(counts, [(Rule::Drain, u64::from(DRAINS) * 9)]);

    let no_tables = |part: Part| Part { lines: Vec::new(), ..part };
    let mut simulation = Simulation::start(&plan(120, 3, 9), no_tables);
    simulation.run_until(ms(20_000));
    assert_eq!(simulation.checker.violation_counts(), &BTreeMap::from([(Rule::WithoutLine, 18)]));

    let heavy = |part: Part| {
        let lines = part
            .lines
            .iter()
            .map(|(node, weight)| (*node, if *weight > 0.0 { 6.0 * weight.ceil() } else { 0.0 }));
        if part.full { part } else { Part { lines: lines.collect(), ..part } }
    };
    let mut simulation = Simulation::start(&plan(120, 3, 9), heavy);
    let started = NodeStatus { state: NodeState::Active, started: Some(ms(6_000)) };
    simulation.change(ms(6_000), Change { node: NodeIndex(5), status: started });
    (0..100).for_each(|step| simulation.run_until(ms(6_100 + 100 * step)));
    assert_eq!(simulation.checker.violation_counts(), &BTreeMap::from([(Rule::ColdNode, 1)]));

    let repeats = |part: Part| Part { policy: part.policy.map(|_| 2), ..part };
    let simulation = Simulation::start(&plan(120, 3, 9), repeats);
    let counts: Vec<Rule> = simulation.checker.violation_counts().keys().copied().collect();
    assert_eq!(counts, [Rule::RunTwice]);
}
