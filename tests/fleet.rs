//! Checks a whole fleet at one conductor on generated scenarios, against a model of its channel: messages enter it
//! late, it slows down, loses streams with queued lines, and many proxies join and many nodes drain at once. Rule 5
//! holds at all times. Of rules 1 and 3, the test checks only that every proxy is bound and every drained node is
//! withdrawn some time after the last event, not that the time limits are met.

mod helpers;

use std::collections::{BTreeMap, BTreeSet};

use helpers::*;
use oatpitch::Balance;
use oatpitch::interface::*;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Time between two turns.
const STEP: Time = Time::from_ms(25);

/// A generated fleet and the events that happen to it.
#[derive(Clone, Debug)]
struct GeneratedScenario {
    /// Numbers from which zones, nodes, proxies, channel rate, queue length, time until proxies stop sending,
    /// delivery delay, and whether the host counts the lines that it writes are derived, in this order.
    fleet: [u8; 8],
    /// The kind and the argument of each event.
    events: Vec<(u8, u16)>,
}

impl Arbitrary for GeneratedScenario {
    fn arbitrary(g: &mut Gen) -> GeneratedScenario {
        let fleet = std::array::from_fn(|_| u8::arbitrary(g));
        let events = (0..u8::arbitrary(g) % 24).map(|_| Arbitrary::arbitrary(g)).collect();
        GeneratedScenario { fleet, events }
    }
}

struct Scenario {
    settings: ServiceSettings,
    host: FakeHost,
    balance: Balance,
    node_count: u16,
    draining: BTreeSet<u16>,
    /// Whether the host reports the lines that it has written and those that have entered the channel.
    counts_lines: bool,
    /// When each listed node last started, if it has restarted.
    started: BTreeMap<u16, Option<Time>>,
}

fn id(k: u16) -> NodeId {
    NodeId([10, 0, (k >> 8) as u8, k as u8], 80)
}

impl Scenario {
    fn new(fleet: [u8; 8]) -> Scenario {
        let [zones, nodes, proxies, channel_rate, queue, stop_sending, delay, counts_lines] =
            fleet.map(f64::from);
        let mut settings = service_settings();
        settings.zone_count = 1 + zones as u16 % 20;
        settings.proxy_count = 40 + proxies as u32 * 2;
        settings.channel_lines_per_second = 1_000.0 + 20.0 * channel_rate;
        settings.mean_delivery_delay = Time::from_ms(20 + delay as u64);
        settings.max_delivery_delay =
            settings.mean_delivery_delay + settings.mean_delivery_delay + settings.mean_delivery_delay;
        // The queue holds what the channel sends in some seconds, and proxies may keep sending for a little
        // longer, as the settings guarantee.
        let queue_seconds = 1.5 + queue / 32.0;
        // The queue has room for twice the urgent lines of all proxies, as guaranteed, too.
        settings.channel_lines_per_second =
            settings.channel_lines_per_second.max(20.0 * f64::from(settings.proxy_count) / queue_seconds);
        settings.max_queued_lines = settings.channel_lines_per_second * queue_seconds;
        settings.stop_sending_within =
            Time::from_seconds(queue_seconds + 0.5 + stop_sending / 128.0) + settings.max_delivery_delay;
        settings.max_time_without_line = settings.stop_sending_within + settings.stop_sending_within;
        let mut host = FakeHost::default();
        host.now = ms(600_000);
        host.readmissions_with_table = 1;
        host.known_nodes.extend((0..2_000).map(id));
        let balance = Balance::start(host.now, settings.clone(), 11, &mut host);
        let node_count = 8 + nodes as u16 % 120;
        let mut scenario = Scenario {
            settings,
            host,
            balance,
            node_count,
            draining: BTreeSet::new(),
            counts_lines: (counts_lines as u8).is_multiple_of(2),
            started: (0..node_count).map(|k| (k, None)).collect(),
        };
        let entries: Vec<RosterEntry> =
            (0..node_count).map(|k| scenario.entry(k, NodeStatus::Ready)).collect();
        scenario.balance.roster_replaced(scenario.host.now, &entries, true, &mut scenario.host);
        scenario.host.part_count = scenario.balance.snapshot().part_count;
        scenario
    }

    fn entry(&self, k: u16, status: NodeStatus) -> RosterEntry {
        RosterEntry {
            node: id(k),
            zone: ZoneId(k % self.settings.zone_count),
            machine_kind: (k % 2) as u8,
            status,
            weight: 1.0,
            started: self.started.get(&k).copied().flatten(),
        }
    }

    fn join(&mut self, proxy: u16, fresh: bool) {
        let now = self.host.now;
        let zone = ZoneId(proxy % self.settings.zone_count);
        let proxy = ProxyId(proxy.into());
        self.host.joined_at.insert(proxy, now);
        self.host.bound_proxies.remove(&proxy);
        if fresh {
            self.host.unreadmitted.remove(&proxy);
        } else {
            self.host.unreadmitted.insert(proxy);
        }
        self.balance.proxy_joined(now, proxy, zone, 1.0, fresh);
    }

    fn leave(&mut self, proxy: u16) {
        let proxy = ProxyId(proxy.into());
        self.host.joined_at.remove(&proxy);
        self.host.bound_proxies.remove(&proxy);
        self.host.unreadmitted.remove(&proxy);
        self.balance.proxy_left(self.host.now, proxy);
    }

    /// Applies one event and advances the clock.
    fn apply_event(&mut self, (kind, argument): (u8, u16)) {
        // All events of one point in time belong to one turn.
        self.advance();
        let argument = argument % 4_096;
        let proxy_count = self.settings.proxy_count as u16;
        let every_nth = |n: u16| (0..proxy_count).filter(move |proxy| (proxy + argument) % n == 0);
        match kind % 10 {
            // All proxies that are not joined join at once, or some of them.
            0 | 1 => {
                let joined = &self.host.joined_at;
                let joining: Vec<u16> = every_nth(1 + argument % 5)
                    .filter(|proxy| !joined.contains_key(&ProxyId((*proxy).into())))
                    .collect();
                joining.into_iter().for_each(|proxy| self.join(proxy, argument % 2 == 0));
            }
            2 => every_nth(1 + argument % 7).for_each(|proxy| self.leave(proxy)),
            // A proxy reconnects before the end of its old connection is noticed.
            3 => self.join(argument % proxy_count, false),
            4 | 5 => self.drain_every_nth(2 + argument % 9, argument),
            6 => self.restart_draining_nodes(),
            // Down to the slowest rate that the channel ledger takes into account.
            7 => self.host.slowdown = [0.0, 0.5, 0.9, 0.95][usize::from(argument % 4)],
            // Only a host that counts the lines that it writes can tell when they have entered the channel.
            8 if self.counts_lines => {
                self.host.entry_delay = Time::from_ms(u64::from(argument % 4) * 150);
            }
            _ => self.report_tries(argument),
        }
        self.wait(ms(u64::from(argument % 3_000)));
    }

    /// Drains a part of the nodes at once.
    fn drain_every_nth(&mut self, n: u16, offset: u16) {
        let nodes: Vec<u16> =
            self.started.keys().copied().filter(|k| (k + offset).is_multiple_of(n)).collect();
        let entries: Vec<RosterEntry> = nodes.iter().map(|k| self.entry(*k, NodeStatus::Draining)).collect();
        self.draining.extend(nodes);
        self.balance.roster_changed(self.host.now, &entries, &mut self.host);
    }

    fn restart_draining_nodes(&mut self) {
        let now = self.host.now;
        let nodes = std::mem::take(&mut self.draining);
        for k in &nodes {
            self.started.insert(*k, Some(now));
        }
        let entries: Vec<RosterEntry> = nodes.iter().map(|k| self.entry(*k, NodeStatus::Ready)).collect();
        self.balance.roster_changed(now, &entries, &mut self.host);
    }

    /// Reports tries at all nodes, of which one in nine fails most.
    fn report_tries(&mut self, argument: u16) {
        for k in 0..self.node_count {
            let summary = TrySummary {
                node: id(k),
                zone: ZoneId(0),
                period: ms(1_000),
                tries: 30,
                failed: if (k + argument).is_multiple_of(9) { 20 } else { 0 },
                mean_time: ms(u64::from(argument % 900)),
                load: None,
            };
            self.balance.record_tries(self.host.now, &summary);
        }
    }

    fn wait(&mut self, duration: Time) {
        let end = self.host.now + duration;
        loop {
            self.balance.run_rules(self.host.now, &mut self.host);
            if self.counts_lines {
                let (lines, messages) = self.host.turn_size(&self.settings);
                self.balance.record_written_lines(lines, messages);
            }
            self.host.close_turn(&self.settings);
            self.check_queue();
            if self.host.now >= end {
                return;
            }
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.host.advance(STEP, &self.settings);
        self.check_queue();
        let unreported_lines = std::mem::take(&mut self.host.unreported_lines);
        let entered_lines = if self.counts_lines { unreported_lines } else { f64::INFINITY };
        self.balance.record_entered_lines(self.host.now, entered_lines);
        for (mark, time_taken) in self.host.take_acknowledgements(&self.settings) {
            self.balance.mark_acknowledged(self.host.now, mark, time_taken);
        }
    }

    fn check_queue(&self) {
        let queued_lines = self.host.queued_lines;
        let max_queued_lines = self.settings.max_queued_lines;
        assert!(
            queued_lines <= max_queued_lines,
            "rule 5: {queued_lines} lines are queued where {max_queued_lines} may be"
        );
    }

    /// Checks that all work is done some time after the last event: several times as long as the channel needs.
    fn settle(&mut self) {
        self.advance();
        self.host.slowdown = 0.0;
        self.host.entry_delay = Time::default();
        let parts = f64::from(self.host.part_count);
        let lines_per_bind = f64::from(self.node_count) / parts + 20.0;
        let bind_lines = self.host.joined_at.len() as f64 * lines_per_bind;
        let total_lines = self.host.queued_lines + 2.0 * bind_lines;
        let channel_time = Time::from_seconds(3.0 * total_lines / self.settings.channel_lines_per_second);
        self.wait(channel_time + self.settings.stop_sending_within + ms(20_000));
        for k in &self.draining {
            assert!(self.host.withdrawn.contains(&id(*k)), "rule 3: node {k} is not withdrawn");
        }
        let any_ready = self.started.keys().any(|k| !self.draining.contains(k));
        for proxy in self.host.joined_at.keys().filter(|_| any_ready) {
            assert!(self.host.bound_proxies.contains(proxy), "rules 1 and 3: {proxy:?} is not bound");
            // The host readmits nodes that restart with their line, whatever was readmitted before.
            let may_be_excluded =
                |k: &u16| self.started[k].is_none() && self.host.may_exclude(*proxy, id(*k));
            let excluded: Vec<u16> = self.started.keys().copied().filter(may_be_excluded).collect();
            assert!(excluded.is_empty(), "rule 1: {excluded:?} may still be excluded at {proxy:?}");
        }
    }
}

/// Guards against a queue that grows beyond its bound, and against proxies and drained nodes that are never served,
/// under sequences of mass events and channel failures that no hand-written test covers.
#[test]
fn queue_stays_bounded_for_a_whole_fleet_at_one_conductor() {
    fn holds(generated: GeneratedScenario) -> TestResult {
        let mut scenario = Scenario::new(generated.fleet);
        scenario.join(0, true);
        for event in generated.events {
            scenario.apply_event(event);
        }
        scenario.settle();
        TestResult::passed()
    }
    let rng = Gen::from_size_and_seed(120, 5);
    QuickCheck::new().rng(rng).tests(400).quickcheck(holds as fn(GeneratedScenario) -> TestResult);
}
