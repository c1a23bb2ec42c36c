//! Small scale runs in one process, with the real reducer: what is asserted is work done (messages, lines), which is
//! the same on every machine, and the five rules.

use std::collections::BTreeMap;

use oatpitch_scale::core::checker::{Checker, Rule};
use oatpitch_scale::core::churn::Churn;
use oatpitch_scale::core::fleet::{Change, Fleet, Listed, NodeState};
use oatpitch_scale::core::hollow::{EPOCH_MS, HollowConductor, Work, Written, news, whole_list};
use oatpitch_scale::core::ids::{ConductorIndex, Micros, NodeIndex, ProxyIndex};
use oatpitch_scale::core::order::Part;
use oatpitch_scale::core::plan::Plan;
use oatpitch_scale::core::settings::{WAY, mandate};
use oatpitch_scale::core::terms::Terms;

const CONDUCTOR: ConductorIndex = ConductorIndex(0);
const RATE: f64 = 20.0;
const DRAINS: u32 = 10;

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn leaving(node: u32) -> Change {
    Change { node: NodeIndex(node), listed: Listed { state: NodeState::Leaving, started: None } }
}

/// A conductor that was told of its fleet and joined by its proxies, with the checker beside it.
struct Play {
    fleet: Fleet,
    conductor: HollowConductor,
    checker: Checker,
    /// What a message is turned into before its proxies have it.
    spoil: fn(Part) -> Part,
    /// Written, and not yet applied.
    travelling: Vec<Written>,
}

impl Play {
    fn start(plan: &Plan, spoil: fn(Part) -> Part) -> Play {
        let mandate = mandate(plan).expect("settings of the run's own");
        let mut play = Play {
            fleet: Fleet::new(plan, EPOCH_MS),
            checker: Checker::new(Terms::of(&mandate), 1, plan.proxies),
            conductor: HollowConductor::start(ms(0), mandate, plan.seed),
            spoil,
            travelling: Vec::new(),
        };
        play.conductor.keep_written();
        play.checker.answered(ms(0), CONDUCTOR);
        play.conductor.told(ms(10), whole_list(&play.fleet));
        play.checker.told_all(ms(10), CONDUCTOR, &play.fleet.snapshot().listed);
        (0..plan.proxies).for_each(|proxy| play.checker.joined(ms(20), ProxyIndex(proxy), CONDUCTOR, RATE));
        play.conductor.join(ms(20), plan, plan.proxies);
        play.pass(ms(5_000));
        play
    }

    fn change(&mut self, now: Micros, change: Change) {
        self.pass(now);
        self.fleet.apply(change);
        self.checker.told(now, CONDUCTOR, change.node, change.listed);
        self.conductor.told(now, news(&self.fleet, change));
    }

    fn pass(&mut self, until: Micros) {
        let passed = self.conductor.pass(until, |turn| {
            turn();
            true
        });
        assert!(passed, "it wakes itself for ever");
        self.travelling.extend(self.conductor.take_written());
        let (due, later) =
            std::mem::take(&mut self.travelling).into_iter().partition(|written| written.at + WAY <= until);
        self.travelling = later;
        let due: Vec<Written> = due;
        for written in due {
            let mut message = written.message;
            message.parts.iter_mut().for_each(|part| *part = (self.spoil)((**part).clone()).into());
            for proxy in written.proxies {
                self.checker.applied(written.at + WAY, proxy, &message);
            }
        }
        self.checker.advance(until);
    }

    /// What its drains cost, one a second.
    fn drain(&mut self) -> Work {
        let (before, count) = (self.conductor.work, self.fleet.len() as u32);
        (0..DRAINS).for_each(|drain| {
            self.change(ms(6_000 + 1_000 * u64::from(drain)), leaving(drain * (count / DRAINS)));
        });
        self.pass(ms(30_000));
        let after = self.conductor.work;
        Work {
            turns: after.turns - before.turns,
            messages: after.messages - before.messages,
            lines: after.lines - before.lines,
            marks_answered: after.marks_answered - before.marks_answered,
        }
    }
}

fn as_it_is(part: Part) -> Part {
    part
}

fn plan(nodes: u32, zones: u32, proxies: u16) -> Plan {
    Plan { proxies, ..Plan::sized(nodes, zones) }
}

/// Joining costs each proxy one table, in which every node stands once and is let back at most once, as a conductor
/// before may have shut it out; neither zones nor other proxies make it longer.
#[test]
fn joining_costs_each_proxy_its_table_once() {
    for (nodes, zones, proxies) in [(200, 1, 2), (2_000, 1, 2), (2_000, 12, 2), (200, 3, 40)] {
        let work = Play::start(&plan(nodes, zones, proxies), as_it_is).conductor.work;
        let each = work.lines as f64 / f64::from(proxies);
        assert!(each >= f64::from(nodes), "{nodes} nodes: {each} lines a proxy");
        assert!(each <= 2.0 * f64::from(nodes) + 10.0, "{nodes} nodes, {zones} zones: {each} lines a proxy");
        assert!(work.messages <= 2 * u64::from(proxies), "{work:?}");
    }
}

/// What a drain writes follows the proxies that hold the node, and not the fleet: tenfold the nodes, the same work.
#[test]
fn a_drain_writes_the_same_in_a_fleet_ten_times_as_large() {
    let work = [200, 2_000].map(|nodes| Play::start(&plan(nodes, 3, 6), as_it_is).drain());
    assert_eq!((work[0].messages, work[0].lines), (work[1].messages, work[1].lines), "{work:?}");
    assert!(work[0].messages >= u64::from(DRAINS) * 6, "{work:?}");
    let zones = Play::start(&plan(2_000, 30, 6), as_it_is).drain();
    assert_eq!((zones.messages, zones.lines), (work[1].messages, work[1].lines), "in 30 zones");
}

/// The same inputs are the same work, whenever and wherever it is done.
#[test]
fn the_same_run_is_the_same_work() {
    let day = || Play::start(&plan(300, 6, 5), as_it_is).drain();
    assert_eq!(day(), day());
}

/// Half a minute of restarts, drains and failures breaks no rule, at a small and at a larger fleet.
#[test]
fn changes_by_chance_break_no_rule() {
    for (nodes, zones, proxies, per_second) in [(120, 3, 9, 2.0), (1_500, 12, 4, 5.0)] {
        let mut play = Play::start(&plan(nodes, zones, proxies), as_it_is);
        let mut churn = Churn::new(7, per_second, ms(6_000));
        while churn.due() < ms(36_000) {
            let now = churn.due();
            let change = churn.next(now, &play.fleet);
            change.into_iter().for_each(|change| play.change(now, change));
        }
        play.pass(ms(50_000));
        assert_eq!(play.checker.counts(), &BTreeMap::new(), "{:?}", play.checker.violations());
    }
}

/// The checker is not blind to a real conductor's orders: where withdrawals are lost, or nodes come back at full
/// weight, it tells.
#[test]
fn orders_that_are_spoilt_on_their_way_are_caught() {
    let no_withdrawals = |part: Part| {
        let lines = part.lines.iter().filter(|(_, weight)| *weight > 0.0).copied().collect();
        Part { eject: Vec::new(), lines, ..part }
    };
    let mut play = Play::start(&plan(120, 3, 9), no_withdrawals);
    play.drain();
    let counts: Vec<(Rule, u64)> =
        play.checker.counts().iter().map(|(rule, count)| (*rule, *count)).collect();
    assert_eq!(counts, [(Rule::Drain, u64::from(DRAINS) * 9)]);

    let no_tables = |part: Part| Part { lines: Vec::new(), ..part };
    let mut play = Play::start(&plan(120, 3, 9), no_tables);
    play.pass(ms(20_000));
    assert_eq!(play.checker.counts(), &BTreeMap::from([(Rule::WithoutLine, 18)]));

    let heavy = |part: Part| {
        let lines = part
            .lines
            .iter()
            .map(|(node, weight)| (*node, if *weight > 0.0 { 6.0 * weight.ceil() } else { 0.0 }));
        if part.full { part } else { Part { lines: lines.collect(), ..part } }
    };
    let mut play = Play::start(&plan(120, 3, 9), heavy);
    let started = Listed { state: NodeState::Active, started: Some(ms(6_000)) };
    play.change(ms(6_000), Change { node: NodeIndex(5), listed: started });
    (0..100).for_each(|step| play.pass(ms(6_100 + 100 * step)));
    assert_eq!(play.checker.counts(), &BTreeMap::from([(Rule::ColdNode, 1)]));

    let repeats = |part: Part| Part { policy: part.policy.map(|_| 2), ..part };
    let play = Play::start(&plan(120, 3, 9), repeats);
    let counts: Vec<Rule> = play.checker.counts().keys().copied().collect();
    assert_eq!(counts, [Rule::RunTwice]);
}
