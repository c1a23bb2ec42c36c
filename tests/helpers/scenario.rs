//! A conductor and its fleet, advanced second by second.

use std::collections::BTreeMap;

use oatpitch::Balance;
use oatpitch::interface::*;

use super::*;

/// Time between two turns, and turns a second.
pub const STEP: Time = Time::from_ms(50);
pub const STEPS_PER_SECOND: u64 = 20;

/// What the proxies report of one node for one second.
#[derive(Clone, Copy)]
pub struct NodeTries {
    tries: u32,
    failed: u32,
    /// Mean time of the successful tries.
    mean_ms: u64,
}

/// Returns a report of so many tries at a node.
pub fn tries(tries: u32, failed: u32, mean_ms: u64) -> Option<NodeTries> {
    Some(NodeTries { tries, failed, mean_ms })
}

/// A conductor with eight ready nodes and six bound proxies, advanced second by second.
pub struct Scenario {
    pub host: FakeHost,
    pub balance: Balance,
    pub settings: ServiceSettings,
    /// Load reports that come with the summaries of tries. Most nodes send none.
    pub load_reports: BTreeMap<u8, LoadReport>,
}

impl Scenario {
    /// The settings of [`service_settings`] with a change, after five seconds without traffic.
    pub fn new(change: impl Fn(&mut ServiceSettings)) -> Scenario {
        let mut settings = service_settings();
        change(&mut settings);
        let mut scenario = Scenario::without_proxies(settings);
        (0..6).for_each(|proxy| scenario.join(proxy, true));
        scenario.run_seconds(5, |_| None);
        scenario
    }

    /// Eight ready nodes and no joined proxy.
    pub fn without_proxies(settings: ServiceSettings) -> Scenario {
        let mut host = FakeHost { now: ms(60_000), ..FakeHost::default() };
        let mut balance = Balance::start(host.now, settings.clone(), 7, &mut host);
        host.known_nodes.extend((0..8).map(node));
        let entries: Vec<RosterEntry> = (0..8).map(ready_entry).collect();
        balance.roster_replaced(host.now, &entries, true, &mut host);
        Scenario { host, balance, settings, load_reports: BTreeMap::new() }
    }

    /// Thirty-two nodes in a table of four parts, and twelve proxies of the first zone.
    pub fn with_four_parts(max_queued_lines: f64) -> Scenario {
        let mut scenario = Scenario::new(|_| {});
        scenario.settings.proxy_count = 400;
        scenario.settings.min_node_connections = 100.0;
        scenario.settings.max_queued_lines = max_queued_lines;
        scenario.host = FakeHost::default();
        scenario.host.now = ms(60_000);
        scenario.host.known_nodes = (0..32).map(node).collect();
        scenario.host.part_count = 4;
        let now = scenario.host.now;
        scenario.balance = Balance::start(now, scenario.settings.clone(), 7, &mut scenario.host);
        let entries: Vec<RosterEntry> = (0..32).map(ready_entry).collect();
        scenario.balance.roster_replaced(now, &entries, true, &mut scenario.host);
        (0..12).for_each(|proxy| scenario.join(proxy, true));
        scenario.run_seconds(2, |_| None);
        scenario
    }

    pub fn join(&mut self, proxy: u32, fresh: bool) {
        self.join_with_rate(1.0, proxy, fresh);
    }

    pub fn join_with_rate(&mut self, rate: f64, proxy: u32, fresh: bool) {
        self.host.joined_at.insert(ProxyId(proxy), self.host.now);
        self.balance.proxy_joined(self.host.now, ProxyId(proxy), ZoneId(0), rate, fresh);
        self.run_rules();
    }

    pub fn leave(&mut self, proxy: u32) {
        self.host.joined_at.remove(&ProxyId(proxy));
        self.host.bound_proxies.remove(&ProxyId(proxy));
        self.balance.proxy_left(self.host.now, ProxyId(proxy));
        self.run_rules();
    }

    pub fn change_roster(&mut self, entries: &[RosterEntry]) {
        self.balance.roster_changed(self.host.now, entries, &mut self.host);
        self.run_rules();
    }

    /// Reports one status for several nodes.
    pub fn change_status(
        &mut self,
        nodes: impl IntoIterator<Item = u8>,
        status: NodeStatus,
        started: Option<Time>,
    ) {
        let entries: Vec<RosterEntry> = nodes.into_iter().map(|k| roster_entry(k, status, started)).collect();
        self.change_roster(&entries);
    }

    pub fn run_rules(&mut self) {
        self.balance.run_rules(self.host.now, &mut self.host);
        // As on the simulator's wire, ordered lines enter the channel at once.
        self.balance.record_entered_lines(self.host.now, f64::INFINITY);
    }

    /// Advances the clock, with a summary of tries and a demand report for each of the first eight nodes once a
    /// second, unless `tries_at` returns `None`.
    pub fn run_seconds(&mut self, seconds: u64, tries_at: impl Fn(u8) -> Option<NodeTries>) {
        for step in 0..seconds * STEPS_PER_SECOND {
            for k in (0..8).filter(|_| step % STEPS_PER_SECOND == 0) {
                if let Some(tries) = tries_at(k) {
                    self.report_tries(k, tries);
                }
            }
            self.run_step();
        }
    }

    /// Runs one turn and advances the clock to the next.
    pub fn run_step(&mut self) {
        self.run_rules();
        self.host.close_turn(&self.settings);
        self.advance(STEP);
    }

    pub fn report_tries(&mut self, k: u8, NodeTries { tries, failed, mean_ms }: NodeTries) {
        let now = self.host.now;
        let summary = TrySummary {
            node: node(k),
            zone: ZoneId(0),
            period: ms(1_000),
            tries,
            failed,
            mean_time: ms(mean_ms),
            load: self.load_reports.get(&k).copied(),
        };
        self.balance.record_tries(now, &summary);
        self.report_demand(u32::from(k) % 6, tries, failed);
    }

    /// Reports the exchanges that came to a proxy, and how many of them were not answered.
    pub fn report_demand(&mut self, proxy: u32, exchanges: u32, unanswered: u32) {
        let demand = DemandReport {
            proxy: Some(ProxyId(proxy)),
            class: ClassId(0),
            exchanges,
            unanswered,
            period: ms(1_000),
        };
        self.balance.record_demand(self.host.now, &demand);
    }

    /// Advances the clock. Each second, all 32 nodes of a divided table are reported with successful tries and
    /// with their load.
    pub fn run_seconds_with_loads(&mut self, seconds: u64, load: impl Fn(u8) -> Option<LoadReport>) {
        for _ in 0..seconds {
            for k in 0..32 {
                let summary = TrySummary {
                    node: node(k),
                    zone: ZoneId(0),
                    period: ms(1_000),
                    tries: 20,
                    failed: 0,
                    mean_time: ms(100),
                    load: load(k),
                };
                self.balance.record_tries(self.host.now, &summary);
            }
            self.run_seconds(1, |_| None);
        }
    }

    pub fn advance(&mut self, duration: Time) {
        self.host.advance(duration, &self.settings);
        for (mark, time_taken) in self.host.take_acknowledgements(&self.settings) {
            self.balance.mark_acknowledged(self.host.now, mark, time_taken);
        }
    }

    pub fn weight(&self, k: u8) -> f64 {
        self.host.shared_table.get(&node(k)).copied().unwrap_or(0.0)
    }

    /// Number of messages that the first proxy has been sent.
    pub fn message_count(&self) -> usize {
        self.host.message_times[&ProxyId(0)].len()
    }
}

/// Tries at a node of a fleet where all nodes are overloaded.
pub fn overloaded(k: u8) -> Option<NodeTries> {
    tries(20, 12 + u32::from(k) % 4, 1_500)
}

/// Tries at a node of a fleet whose first four nodes are overloaded.
pub fn first_four_overloaded(k: u8) -> Option<NodeTries> {
    if k < 4 { tries(20, 8, 1_500) } else { tries(4, 0, 300) }
}

/// Tries at a node that works well.
pub fn healthy(_k: u8) -> Option<NodeTries> {
    tries(20, 0, 100)
}
