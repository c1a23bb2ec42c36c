//! Every decision of a conductor, with all its constants and state.
//!
//! A host keeps one [`Balance`] for each conductor. It calls [`Balance::begin`] with the mandate, then one
//! method for each thing heard, always with the clock and with the [`Orders`] that take the answers. After
//! every input the rules in [`RULES`] are gone through, in their order, until none fires. Ids, the mandate
//! and the orders are in `interface.rs`; `docs/design.md` tells what each rule keeps, adds and when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

// ---- Constants ----

/// The one table that all proxies share; home-only classes have one a zone behind it.
const SHARED: TableId = TableId(0);
/// Longest wait of a buffered change, from the proposal's write coalescing.
const FLUSH_PERIOD: Time = Time::from_ms(100);
/// Changes (count) that are flushed without waiting for the period: the proposal's example.
const FLUSH_COUNT: usize = 50;
/// Share of the backlog that flushes and binds may fill; the rest is kept for withdrawals.
const FLUSH_SHARE: f64 = 0.5;
/// Share of the messages a proxy may be written that flushes and binds may use, for the same reason.
const MESSAGE_SHARE: f64 = 0.5;
/// Share of its weight with which a starting node begins, and the steps (count) to all of it.
const RAMP_START: f64 = 0.1;
const RAMP_STEPS: u32 = 10;
/// Shortest ramp; the mandate's warm-up time stretches it, so that weight never runs ahead of warmth.
const RAMP_SPAN: Time = Time::from_ms(10_000);
/// Share of the load that pushes a cold node over which the ramp may use: a node may be listed at over
/// twice its true part, and a fleet can be short of nodes.
const FALL_MARGIN: f64 = 0.4;
/// First wait before asking the roster again after a failure, doubled each time, and an answer's longest.
const ASK_WAIT: Time = Time::from_ms(250);
const ASK_PATIENCE: Time = Time::from_ms(5_000);
/// Share of the stated pace below which the channel is never believed to be.
const PACE_FLOOR: f64 = 0.05;
/// Time in which what was heard of a node fades to a third: a few gatherings of sums.
const MEMORY: Time = Time::from_ms(3_000);
/// How often nodes are judged: sums come about as often.
const JUDGE_PERIOD: Time = Time::from_ms(500);
/// Tries (count) that must have ended lately at a node for its judgement.
const EVIDENCE: f64 = 8.0;
/// Mean time at a node, as a share of the mean target time, from which its slowness does harm.
const HARM: f64 = 0.5;
/// How many times slower than the fleet's middle a harmed node is when it is eased.
const SLOW: f64 = 1.4;
/// Share of tries lost above the fleet's middle for which a node is eased, and is put on trial.
const LOSSY: f64 = 0.1;
const FAILING: f64 = 0.85;
/// Part of the nodes that the better ones are, against which lost tries are judged.
const BETTER: f64 = 0.2;
/// Part of its weight that a node on trial keeps, and the least that one not failing keeps.
const TRICKLE: f64 = 0.02;
const EASE_LEAST: f64 = 0.1;
/// Share of tries lost at the fleet's middle from which it is tense, and short of capacity.
const TENSE: f64 = 0.06;
const SHORT: f64 = 0.3;
/// The least share of its weight that a node not failing keeps at one judgement.
const CUT_MOST: f64 = 0.6;
/// How near the fleet's middle, or half of what harms, a node's time must be for it to be raised.
const CLEAR: f64 = 1.15;
/// How much an eased node is raised at a time, when it is clear.
const RAISE: f64 = 1.5;
/// How long sums lag behind an order, beyond the way of a message and their own period.
const HEARD_LATE: Time = Time::from_ms(1_000);
/// Wait of an eased node before it is raised, doubled by each relapse up to 16 times.
const HOLD: Time = Time::from_ms(4_000);
/// Share of the listed weight that easing may take from the table; only nodes where nothing comes back
/// may go beyond, since their part is lost either way.
const EASED_MOST: f64 = 0.3;

// ---- State ----

/// A sum that decays over [`MEMORY`], brought up to date when read.
#[derive(Clone, Copy, Default)]
struct Sum {
    sum: f64,
    at: Time,
}

impl Sum {
    fn read(&self, now: Time) -> f64 {
        self.sum * (-(now - self.at).seconds() / MEMORY.seconds()).exp()
    }

    fn add(&mut self, now: Time, amount: f64) {
        *self = Sum { sum: self.read(now) + amount, at: now };
    }
}

/// What the roster tells of a node, what proxies met there, and how far it has come back.
struct Node {
    zone: ZoneId,
    listed: f64,
    /// Listed, and neither draining nor gone.
    open: bool,
    /// Proxies must stop sending to it within the grace.
    barred: bool,
    started: Option<Time>,
    step: u32,
    stepped: Time,
    /// What ended there lately: tries, those lost, and the time of the good ones in seconds.
    tries: Sum,
    lost: Sum,
    time: Sum,
    /// Share of its weight that its health leaves it, and when that last changed.
    ease: f64,
    /// Until then what is heard tells of the time before the last change.
    blind: Time,
    /// Until then it is not raised; each relapse doubles the wait.
    held: Time,
    relapses: u32,
    raised: bool,
}

struct Proxy {
    zone: ZoneId,
    joined: Time,
    /// It holds only its standing tables.
    fresh: bool,
    bound: bool,
    /// When messages were written to it; kept only where they are limited.
    written: VecDeque<Time>,
}

/// What is believed to wait in the channel, in lines, and how fast it leaves.
struct Channel {
    waiting: f64,
    at: Time,
    pace: f64,
    written: BTreeSet<ProxyId>,
}

/// An acknowledgement that is waited for.
struct Mark {
    mark: u16,
    at: Time,
    queued: f64,
    owed: BTreeSet<ProxyId>,
    late: bool,
}

/// How far the fleet as a whole falls short: further tries feed an overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Strain {
    Calm,
    /// Only tries that provably never ran are repeated.
    Tense,
    /// None are.
    Short,
}

/// The roster's subscription, where it has to be asked for.
enum Watch {
    Standing,
    Asked(Time),
    Due(Time),
}

/// A slice in this conductor's charge.
#[derive(Default)]
struct Slice {
    home: Option<NodeId>,
    /// Its owner was lost then; at single-owner sites its writes must die out before the next takes over.
    lost: Option<Time>,
}

/// A multiply-with-carry generator.
struct Chance(u64);

impl Chance {
    fn below_one(&mut self) -> f64 {
        self.0 = 4_294_957_665u64.wrapping_mul(self.0 & 0xffff_ffff).wrapping_add(self.0 >> 32);
        (self.0 & 0xffff_ffff) as f64 / 4_294_967_296.0
    }
}

pub struct Balance {
    mandate: Mandate,
    now: Time,
    chance: Chance,
    /// The listed nodes, and those told as draining or gone until they come back.
    snapshot: BTreeMap<NodeId, Node>,
    /// The shared table's lines as they were pushed.
    table: BTreeMap<NodeId, f64>,
    /// Changes that wait for a flush, and since when one waits.
    buffer: BTreeMap<NodeId, f64>,
    opened: Option<Time>,
    withdrawn: BTreeSet<NodeId>,
    withdrew: Option<Time>,
    proxies: BTreeMap<ProxyId, Proxy>,
    channel: Channel,
    mark: Option<Mark>,
    next_mark: u16,
    flushed: Option<Time>,
    watch: Watch,
    failures: u32,
    /// How short of capacity the fleet looks, what the table's tries were last set for, and since when it
    /// looked no worse.
    strain: Strain,
    strain_set: Option<Strain>,
    strained: Time,
    /// Exchanges heard lately, by class.
    demand: Vec<Sum>,
    judged: Time,
    slices: BTreeMap<TableId, Slice>,
    alarm: Option<Time>,
}

/// A rule: a condition and an effect; true if it fired.
type Rule = fn(&mut Balance, &mut dyn Orders) -> bool;

/// The logic, in order.
const RULES: [Rule; 10] = [
    Balance::ask_roster,
    Balance::withdraw_barred,
    Balance::step_ramp,
    Balance::judge,
    Balance::gather_change,
    Balance::bind_urgent,
    Balance::flush,
    Balance::give_up_mark,
    Balance::rehome_slice,
    Balance::set_alarm,
];

// ---- Inputs ----

impl Balance {
    pub fn begin(now: Time, mandate: Mandate, seed: u64, orders: &mut dyn Orders) -> Balance {
        let channel = Channel { waiting: 0.0, at: now, pace: mandate.channel_pace, written: BTreeSet::new() };
        let watch = if mandate.roster_asked { Watch::Due(now) } else { Watch::Standing };
        let demand = vec![Sum::default(); mandate.exchanges.len()];
        let mut balance = Balance {
            mandate,
            now,
            // The low word must not be 0, nor the carry reach the multiplier.
            chance: Chance((seed >> 33 << 32) | (seed & 0xffff_ffff) | 1),
            snapshot: BTreeMap::new(),
            table: BTreeMap::new(),
            buffer: BTreeMap::new(),
            opened: None,
            withdrawn: BTreeSet::new(),
            withdrew: None,
            proxies: BTreeMap::new(),
            channel,
            mark: None,
            next_mark: 0,
            flushed: None,
            watch,
            failures: 0,
            strain: Strain::Calm,
            strain_set: None,
            strained: now,
            demand,
            judged: now,
            slices: BTreeMap::new(),
            alarm: None,
        };
        balance.settle(now, orders);
        balance
    }

    /// The roster's whole list; `cached` is the one of an earlier life and may be old.
    pub fn roster_whole(&mut self, now: Time, entries: &[Listing], cached: bool, orders: &mut dyn Orders) {
        self.turn(now);
        let named: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        let stays = self.mandate.dropped_may_stay;
        for (_, node) in self.snapshot.iter_mut().filter(|(id, _)| !named.contains(id)) {
            node.open = false;
            node.barred |= !stays;
        }
        entries.iter().for_each(|entry| self.list(entry));
        if !cached {
            self.heard_roster();
        }
        self.settle(now, orders);
    }

    pub fn roster_changed(&mut self, now: Time, entries: &[Listing], orders: &mut dyn Orders) {
        self.turn(now);
        entries.iter().for_each(|entry| self.list(entry));
        self.heard_roster();
        self.settle(now, orders);
    }

    pub fn roster_failed(&mut self, now: Time, orders: &mut dyn Orders) {
        if self.mandate.roster_asked {
            let wait = ASK_WAIT.seconds() * f64::from(1u32 << self.failures.min(4));
            let wait = wait.min(self.mandate.ask_within.seconds() / 4.0) * (0.5 + self.chance.below_one());
            self.failures = self.failures.saturating_add(1);
            self.watch = Watch::Due(now + Time::from_seconds(wait));
        }
        self.settle(now, orders);
    }

    pub fn joined(
        &mut self,
        now: Time,
        proxy: ProxyId,
        zone: ZoneId,
        _rate: f64,
        fresh: bool,
        orders: &mut dyn Orders,
    ) {
        let met = Proxy { zone, joined: now, fresh, bound: self.sliced(), written: VecDeque::new() };
        self.proxies.insert(proxy, met);
        self.settle(now, orders);
    }

    pub fn left(&mut self, now: Time, proxy: ProxyId, orders: &mut dyn Orders) {
        self.proxies.remove(&proxy);
        if let Some(mark) = &mut self.mark {
            mark.owed.remove(&proxy);
        }
        self.settle(now, orders);
    }

    /// What the proxies of a zone met at a node; sums that contradict themselves are cut to what can be.
    pub fn met(&mut self, now: Time, met: &Met, orders: &mut dyn Orders) {
        self.turn(now);
        let lost = met.lost.min(met.tries);
        if let Some(node) = self.snapshot.get_mut(&met.node).filter(|node| now >= node.blind) {
            node.tries.add(now, met.tries.into());
            node.lost.add(now, lost.into());
            node.time.add(now, f64::from(met.tries - lost) * met.mean.seconds());
        }
        self.settle(now, orders);
    }

    pub fn asked(&mut self, now: Time, asked: &Asked, orders: &mut dyn Orders) {
        if let Some(sum) = self.demand.get_mut(usize::from(asked.class.0)) {
            sum.add(now, asked.exchanges.into());
        }
        self.settle(now, orders);
    }

    pub fn acknowledged(
        &mut self,
        now: Time,
        proxy: ProxyId,
        mark: u16,
        took: Time,
        orders: &mut dyn Orders,
    ) {
        if let Some(owed) = self.mark.as_mut().filter(|owed| owed.mark == mark) {
            owed.owed.remove(&proxy);
            // A slower channel shows as a wait that its stated pace does not explain.
            let waited = (took - self.mandate.way_longest).seconds();
            if waited > owed.queued / self.channel.pace {
                owed.late = true;
                let floor = self.mandate.channel_pace * PACE_FLOOR;
                self.channel.pace = (owed.queued / waited).max(floor);
            }
            if owed.owed.is_empty() {
                if !owed.late {
                    self.channel.pace = (self.channel.pace * 1.5).min(self.mandate.channel_pace);
                }
                self.mark = None;
            }
        }
        self.settle(now, orders);
    }

    pub fn custody(&mut self, now: Time, slice: TableId, given: bool, orders: &mut dyn Orders) {
        if given {
            self.slices.insert(slice, Slice::default());
        } else {
            self.slices.remove(&slice);
        }
        self.settle(now, orders);
    }

    pub fn stored_line(
        &mut self,
        now: Time,
        slice: TableId,
        node: NodeId,
        weight: f64,
        orders: &mut dyn Orders,
    ) {
        if let Some(slice) = self.slices.get_mut(&slice).filter(|_| weight > 0.0) {
            slice.home = Some(node);
        }
        self.settle(now, orders);
    }

    /// Nothing is asked of peers and nothing of theirs is needed.
    pub fn peer_said(&mut self, now: Time, _peer: PeerId, _message: &[u8], orders: &mut dyn Orders) {
        self.settle(now, orders);
    }

    /// No node is probed: what proxies meet says more.
    pub fn probed(&mut self, now: Time, _node: NodeId, _good: bool, _took: Time, orders: &mut dyn Orders) {
        self.settle(now, orders);
    }

    pub fn rang(&mut self, now: Time, _ring: u64, orders: &mut dyn Orders) {
        self.settle(now, orders);
    }
}

impl Balance {
    fn settle(&mut self, now: Time, orders: &mut dyn Orders) {
        self.turn(now);
        while RULES.iter().any(|rule| rule(self, orders)) {}
    }

    /// Brings the clock and the channel's estimate up to date.
    fn turn(&mut self, now: Time) {
        if now > self.now {
            self.channel.written.clear();
        }
        self.now = now;
        let gone = (now - self.channel.at).seconds() * self.channel.pace;
        self.channel.waiting = (self.channel.waiting - gone).max(0.0);
        self.channel.at = now;
    }

    fn list(&mut self, entry: &Listing) {
        let open = entry.standing == Standing::Ready;
        let stays = self.mandate.dropped_may_stay;
        let barred = entry.standing == Standing::Draining || entry.standing == Standing::Gone && !stays;
        // A roster's odd weight must not reach a table.
        let listed = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        let steps = self.warm_steps(entry.started);
        let now = self.now;
        let node = self.snapshot.entry(entry.node).or_insert(Node {
            zone: entry.zone,
            listed,
            open,
            barred,
            started: entry.started,
            step: steps,
            stepped: now,
            tries: Sum::default(),
            lost: Sum::default(),
            time: Sum::default(),
            ease: 1.0,
            blind: Time::default(),
            held: Time::default(),
            relapses: 0,
            raised: false,
        });
        if entry.standing != Standing::Gone {
            if entry.started > node.started {
                (node.step, node.stepped) = (steps, now);
                // Its ramp is its trial: what was met before it restarted says nothing of it.
                (node.ease, node.blind) = (1.0, now);
                (node.tries, node.lost, node.time) = Default::default();
            }
            (node.zone, node.listed, node.started) = (entry.zone, listed, entry.started);
        }
        (node.open, node.barred) = (open, barred);
    }

    fn heard_roster(&mut self) {
        self.failures = 0;
        if self.mandate.roster_asked {
            self.watch = Watch::Standing;
        }
    }

    fn sliced(&self) -> bool {
        self.mandate.slices > 0
    }

    /// The steps that a node's age allows.
    fn warm_steps(&self, started: Option<Time>) -> u32 {
        let span = self.mandate.warm_up.max(RAMP_SPAN).0;
        started.map_or(RAMP_STEPS, |at| {
            let steps = (self.now - at).0.saturating_mul(RAMP_STEPS.into()) / span;
            steps.min(RAMP_STEPS.into()) as u32
        })
    }

    /// The weight that a node should stand at in the shared table; 0 for no line.
    fn weight(&self, node: &Node) -> f64 {
        if !node.open {
            return 0.0;
        }
        let mut share = RAMP_START + (1.0 - RAMP_START) * f64::from(node.step) / f64::from(RAMP_STEPS);
        if node.step < RAMP_STEPS {
            // Rule 4 where few nodes are warm: their missing part must not fall on the cold ones.
            let listed: f64 = self.snapshot.values().map(|node| node.listed).sum();
            let crowd = (10.0 * self.table.values().sum::<f64>() / listed).ceil().max(1.0) / 10.0;
            let warmth = f64::from(node.step) / f64::from(RAMP_STEPS);
            let warmth = self.mandate.cold_share + (1.0 - self.mandate.cold_share) * warmth;
            // An overload sends every node several times its work.
            let strain = [1.0, 0.7, 0.35][self.strain as usize];
            share = share.min(warmth * self.mandate.fall_multiple * FALL_MARGIN * crowd * strain);
        }
        node.listed * (share * node.ease).max(0.01)
    }

    fn home_only(&self) -> Classes {
        self.classes(|terms| terms.home_only)
    }

    fn classes(&self, pick: impl Fn(&ExchangeTerms) -> bool) -> Classes {
        let mut classes = Classes::default();
        for (k, _) in self.mandate.exchanges.iter().enumerate().filter(|(_, terms)| pick(terms)) {
            classes.add(ClassId(k as u16));
        }
        classes
    }

    /// The mean target time, by the demand heard, in seconds.
    fn mean_target(&self) -> f64 {
        let part = |(terms, demand): (&ExchangeTerms, &Sum)| {
            let weight = demand.read(self.now) + 1e-3;
            (weight, weight * terms.target.seconds())
        };
        let parts = self.mandate.exchanges.iter().zip(&self.demand).map(part);
        let (weight, target) = parts.fold((0.0, 0.0), |sum, part| (sum.0 + part.0, sum.1 + part.1));
        if weight > 0.0 { target / weight } else { 0.0 }
    }

    /// Rule 2: further tries go only as far as no second effect can come of them.
    fn tries(&self, terms: &ExchangeTerms) -> FurtherTries {
        let held = match terms.repeat {
            Repeat::Safe => true,
            // Every try falls within the cut-off, so a window as long covers them all.
            Repeat::Keyed { reach: Reach::All, window } => window >= terms.cut_off,
            Repeat::Keyed { reach: Reach::Zone, window } => {
                window >= terms.cut_off && (self.mandate.zones == 1 || terms.home_only)
            }
            Repeat::Keyed { reach: Reach::Cell, .. } | Repeat::Never => false,
        };
        match self.strain {
            Strain::Calm if held => FurtherTries::One,
            Strain::Calm | Strain::Tense => FurtherTries::IfNeverRan,
            Strain::Short => FurtherTries::None,
        }
    }

    // ---- The channel ----

    /// Books lines that go to a proxy; all that goes to it in one turn is one message.
    fn book(&mut self, proxy: ProxyId, lines: f64) {
        let head = if self.channel.written.insert(proxy) { self.mandate.message_head } else { 0.0 };
        self.channel.waiting += head + lines;
        let (limited, now) = (self.mandate.messages_most > 0, self.now);
        if let Some(proxy) = self.proxies.get_mut(&proxy).filter(|_| limited && head > 0.0) {
            proxy.written.push_back(now);
        }
    }

    /// Whether a proxy may be written one more message, within a share of what is allowed.
    fn may_write(&self, proxy: &Proxy, share: f64) -> bool {
        let most = f64::from(self.mandate.messages_most) * share;
        let late = proxy.written.iter().filter(|at| **at + self.mandate.messages_span > self.now);
        self.mandate.messages_most == 0 || (late.count() as f64) < most.floor().max(1.0)
    }

    /// The span of messages, shared out over a share of the messages allowed in it.
    fn message_pace(&self, share: f64) -> Time {
        let messages = (f64::from(self.mandate.messages_most) * share).max(1.0);
        let pace = Time::from_seconds(self.mandate.messages_span.seconds() / messages);
        if self.mandate.messages_most == 0 { Time::default() } else { pace }
    }

    fn bind(&mut self, proxy: ProxyId, orders: &mut dyn Orders) {
        let lines = self.bind_lines();
        let home = self.home_only();
        let Some(met) = self.proxies.get_mut(&proxy) else {
            return;
        };
        met.bound = true;
        if home.is_empty() {
            orders.bind(proxy, SHARED, Classes::default());
        } else {
            let zone = met.zone;
            let others = self.classes(|terms| !terms.home_only);
            if !others.is_empty() {
                orders.bind(proxy, SHARED, others);
            }
            orders.bind(proxy, home_table(zone), home);
        }
        self.book(proxy, lines);
    }

    /// What a bind costs: the table, its levels, the withdrawn nodes and itself.
    fn bind_lines(&self) -> f64 {
        let lines = self.table.len() + self.mandate.exchanges.len() + self.withdrawn.len() + 1;
        lines as f64 * if self.home_only().is_empty() { 1.0 } else { 2.0 }
    }

    fn lay_line(&mut self, node: NodeId, weight: f64, orders: &mut dyn Orders) {
        orders.line(SHARED, node, weight);
        if let Some(zone) = self.snapshot.get(&node).map(|node| node.zone)
            && !self.home_only().is_empty()
        {
            orders.line(home_table(zone), node, weight);
        }
        if weight > 0.0 {
            self.table.insert(node, weight);
            if self.withdrawn.remove(&node) {
                orders.withdraw(node, false);
            }
        } else {
            self.table.remove(&node);
        }
    }

    /// When the next flush may go, if anything waits for one.
    fn flush_due(&self) -> Option<Time> {
        let waits = self.proxies.values().filter(|proxy| !proxy.bound).map(|proxy| proxy.joined).min();
        let opened = match (self.opened, waits) {
            (Some(change), Some(bind)) => change.min(bind),
            (change, bind) => change.or(bind)?,
        };
        let paced = self.flushed.map_or(Time::default(), |at| at + self.message_pace(MESSAGE_SHARE));
        if self.buffer.len() >= FLUSH_COUNT {
            return Some(paced);
        }
        Some(paced.max(opened + FLUSH_PERIOD))
    }
}

impl Node {
    /// Share of tries lost and mean time of the good ones, in seconds, where enough was heard.
    fn symptoms(&self, now: Time) -> Option<(f64, f64)> {
        let (tries, lost) = (self.tries.read(now), self.lost.read(now));
        (tries >= EVIDENCE).then(|| (lost / tries, self.time.read(now) / (tries - lost).max(1e-3)))
    }
}

/// The figure that a part of all stays under, 0 for none.
fn quantile(figures: impl Iterator<Item = f64>, part: f64) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get((figures.len() as f64 * part) as usize).copied().unwrap_or(0.0)
}

fn home_table(zone: ZoneId) -> TableId {
    TableId(SHARED.0 + 1 + zone.0)
}

// ---- Rules ----

impl Balance {
    /// The roster must be asked, and no subscription stands or its answer is overdue.
    fn ask_roster(&mut self, orders: &mut dyn Orders) -> bool {
        let due = match self.watch {
            Watch::Standing => return false,
            Watch::Asked(at) => at + ASK_PATIENCE,
            Watch::Due(at) => at,
        };
        if self.now < due {
            return false;
        }
        orders.watch(true);
        self.watch = Watch::Asked(self.now);
        true
    }

    /// Rule 3: a node told as draining or gone is withdrawn at once, ahead of any flush. Only where messages
    /// are limited do withdrawals that follow each other closely share one.
    fn withdraw_barred(&mut self, orders: &mut dyn Orders) -> bool {
        let barred: Vec<NodeId> = self
            .snapshot
            .iter()
            .filter(|(id, node)| node.barred && !self.withdrawn.contains(id))
            .map(|(id, _)| *id)
            .collect();
        let pace = self.message_pace(1.0 - MESSAGE_SHARE);
        let held = self.withdrew.is_some_and(|at| self.now < at + pace)
            || !self.proxies.values().all(|proxy| self.may_write(proxy, 1.0));
        if barred.is_empty() || held {
            return false;
        }
        for node in &barred {
            orders.withdraw(*node, true);
            self.withdrawn.insert(*node);
        }
        let joined: Vec<ProxyId> = self.proxies.keys().copied().collect();
        joined.into_iter().for_each(|proxy| self.book(proxy, barred.len() as f64));
        self.withdrew = Some(self.now);
        true
    }

    /// A starting node's age allows a further step; one at a time, so that a stall makes no jump.
    fn step_ramp(&mut self, _orders: &mut dyn Orders) -> bool {
        let pace = Time(self.mandate.warm_up.max(RAMP_SPAN).0 / u64::from(RAMP_STEPS));
        let due = self
            .snapshot
            .iter()
            .find(|(_, node)| node.step < self.warm_steps(node.started) && self.now >= node.stepped + pace);
        let Some(id) = due.map(|(id, _)| *id) else {
            return false;
        };
        let now = self.now;
        if let Some(node) = self.snapshot.get_mut(&id) {
            node.step += 1;
            node.stepped = now;
        }
        true
    }

    /// Nodes are judged by kinds of symptom against the fleet's middle, which heavy exchanges, a sick proxy
    /// or an overload of all shift for every node alike. Lost tries cover failing, silent, hung, cut off and
    /// full nodes; times long enough to harm cover slow, paused, shared and overloaded ones. What is eased
    /// is bounded, so that where most look bad it is the judgement that is doubted.
    fn judge(&mut self, orders: &mut dyn Orders) -> bool {
        let now = self.now;
        if self.sliced() || now < self.judged + JUDGE_PERIOD {
            return false;
        }
        self.judged = now;
        let heard: Vec<(f64, f64)> =
            self.snapshot.values().filter(|node| node.open).filter_map(|node| node.symptoms(now)).collect();
        let losses = || heard.iter().map(|heard| heard.0);
        // Against the better ones: a conductor cut off with a few nodes sees most fail, and is right.
        let loss = quantile(losses(), BETTER);
        let time = quantile(heard.iter().map(|heard| heard.1), 0.5);
        let worst = quantile(losses(), 0.5);
        let strain = match worst {
            lost if lost > SHORT => Strain::Short,
            lost if lost > TENSE => Strain::Tense,
            _ => Strain::Calm,
        };
        if strain >= self.strain {
            self.strained = now;
        }
        if strain > self.strain {
            orders.note(&format!("fleet {strain:?}: {worst:.2} of tries lost at its middle"));
        }
        if strain > self.strain || now >= self.strained + HOLD {
            self.strain = strain;
        }
        let harm = HARM * self.mean_target();
        let listed: f64 = self.snapshot.values().filter(|node| node.open).map(|node| node.listed).sum();
        let mut eased: f64 =
            self.snapshot.values().filter(|node| node.open).map(|node| node.listed * (1.0 - node.ease)).sum();
        // What was sent before a change, and what had queued by then, must have ended.
        let target = Time::from_seconds(self.mean_target() * 2.0);
        let lag = self.mandate.way + self.mandate.sums_period + HEARD_LATE;
        for (id, node) in self.snapshot.iter_mut().filter(|(_, node)| node.open) {
            let met = node.symptoms(now);
            let ease = match met {
                Some((lost, _)) if lost > loss + FAILING => TRICKLE,
                // What it still does well, it is left with.
                Some((lost, slow)) if lost > worst + LOSSY || slow > harm && slow > time * SLOW => {
                    let left = (1.0 - lost + worst) * (time / slow.max(time)).sqrt();
                    (node.ease * left.clamp(CUT_MOST, 1.0)).max(EASE_LEAST)
                }
                None if node.ease > TRICKLE => node.ease,
                _ if now < node.held => node.ease,
                // Back at the fleet's pace it returns fast; one that is merely small settles short of harm.
                Some((_, slow)) if slow > time * CLEAR && slow > harm * CLEAR / 2.0 => node.ease,
                Some((_, slow)) if slow > time * CLEAR => (node.ease * RAISE.sqrt()).clamp(EASE_LEAST, 1.0),
                _ => (node.ease * RAISE).clamp(EASE_LEAST, 1.0),
            };
            let more = node.listed * (node.ease - ease);
            let gone = met.is_some_and(|(lost, _)| lost > loss + FAILING);
            if ease == node.ease || more > 0.0 && !gone && eased + more > listed * EASED_MOST {
                continue;
            }
            if ease < node.ease || ease == 1.0 {
                let (lost, slow) = met.unwrap_or_default();
                let part = 100.0 * ease;
                orders.note(&format!("{id} to {part:.0}% of its weight: {lost:.2} lost, {slow:.2} s"));
            }
            if ease < node.ease {
                let wait = HOLD.0 << node.relapses.min(4);
                node.held = now + Time(wait);
                node.blind = now + lag + target;
                node.relapses += u32::from(node.raised);
                node.raised = false;
            } else {
                node.held = now + lag;
                node.blind = now + lag;
                node.raised = true;
            }
            eased += more;
            node.ease = ease;
            (node.tries, node.lost, node.time) = Default::default();
        }
        true
    }

    /// A line should differ from what was pushed: the change waits in the buffer. One that was undone nets
    /// out.
    fn gather_change(&mut self, _orders: &mut dyn Orders) -> bool {
        if self.sliced() {
            return false;
        }
        let buffer: BTreeMap<NodeId, f64> = self
            .snapshot
            .iter()
            .map(|(id, node)| (*id, self.weight(node)))
            .filter(|(id, weight)| self.table.get(id).copied().unwrap_or(0.0) != *weight)
            .collect();
        let changed = buffer != self.buffer;
        self.buffer = buffer;
        let strained = self.strain_set.is_some_and(|set| set != self.strain);
        let changed = changed || strained && self.opened.is_none();
        if self.buffer.is_empty() && !strained {
            self.opened = None;
        } else if changed {
            self.opened = self.opened.or(Some(self.now));
        }
        changed
    }

    /// A joined proxy has waited so long for its bind that it might be bare, or send to a withdrawn node,
    /// past the stated time: it is bound even where the channel is more than half full.
    fn bind_urgent(&mut self, orders: &mut dyn Orders) -> bool {
        let allowed = self.mandate.grace.min(self.mandate.bare) - self.mandate.way_longest;
        let late = self.proxies.iter().find(|(_, proxy)| {
            !proxy.bound && self.now >= proxy.joined + Time(allowed.0 / 2) && self.may_write(proxy, 1.0)
        });
        let fits =
            self.channel.waiting + self.bind_lines() + self.mandate.message_head < self.mandate.backlog;
        match late.map(|(id, _)| *id) {
            Some(proxy) if fits && !self.table.is_empty() => {
                self.bind(proxy, orders);
                true
            }
            _ => false,
        }
    }

    /// The period has passed or the count is reached, and the channel is at most half full: the gathered
    /// changes go to every bound proxy as one message, with as many binds as fit under half the backlog.
    fn flush(&mut self, orders: &mut dyn Orders) -> bool {
        let half = self.mandate.backlog * FLUSH_SHARE;
        let due = self.flush_due().is_some_and(|due| self.now >= due);
        let may = self.proxies.values().filter(|proxy| proxy.bound);
        let may = may.into_iter().all(|proxy| self.may_write(proxy, MESSAGE_SHARE));
        if self.sliced() || !due || !may || self.channel.waiting > half {
            return false;
        }
        let bound: Vec<ProxyId> =
            self.proxies.iter().filter(|(_, proxy)| proxy.bound).map(|(id, _)| *id).collect();
        let room = (half - self.channel.waiting) / bound.len().max(1) as f64 - self.mandate.message_head;
        let changes: Vec<(NodeId, f64)> = std::mem::take(&mut self.buffer).into_iter().collect();
        let mut fired = false;
        if self.strain_set != Some(self.strain) {
            self.strain_set = Some(self.strain);
            fired = true;
            self.set_tries(SHARED, orders);
            if !self.home_only().is_empty() {
                (0..self.mandate.zones).for_each(|zone| self.set_tries(home_table(ZoneId(zone)), orders));
            }
            let lines = self.mandate.exchanges.len() as f64;
            bound.iter().for_each(|proxy| self.book(*proxy, lines));
        }
        for (node, weight) in changes.into_iter().take((room.max(1.0)) as usize) {
            let lines = 1.0 + f64::from(u8::from(weight > 0.0 && self.withdrawn.contains(&node)));
            self.lay_line(node, weight, orders);
            bound.iter().for_each(|proxy| self.book(*proxy, lines));
            fired = true;
        }
        self.opened = None;
        // The one whose standing nodes may all be withdrawn goes first, then the longest wait.
        let mut waits: Vec<(bool, Time, ProxyId)> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| !proxy.bound && self.may_write(proxy, MESSAGE_SHARE))
            .map(|(id, proxy)| (!(proxy.fresh && self.zone_barred(proxy.zone)), proxy.joined, *id))
            .collect();
        waits.sort();
        let empty = self.table.is_empty() && self.withdrawn.is_empty();
        for (.., proxy) in waits.into_iter().filter(|_| !empty) {
            if self.channel.waiting + self.bind_lines() + self.mandate.message_head > half {
                break;
            }
            self.bind(proxy, orders);
            fired = true;
        }
        if fired {
            self.flushed = Some(self.now);
            self.ask_mark(orders);
        }
        fired
    }

    fn set_tries(&mut self, table: TableId, orders: &mut dyn Orders) {
        for (k, terms) in self.mandate.exchanges.iter().enumerate() {
            let mut class = Classes::default();
            class.add(ClassId(k as u16));
            orders.level(Some(table), class, self.tries(terms), ALL_IN);
        }
    }

    fn zone_barred(&self, zone: ZoneId) -> bool {
        self.snapshot.values().all(|node| node.zone != zone || node.barred)
    }

    /// Flushes carry a mark while none is owed, so that a slower channel is noticed.
    fn ask_mark(&mut self, orders: &mut dyn Orders) {
        if self.mark.is_some() || self.channel.written.is_empty() {
            return;
        }
        let owed = self.channel.written.clone();
        owed.iter().for_each(|proxy| self.book(*proxy, 1.0));
        orders.mark(self.next_mark, false);
        let queued = self.channel.waiting;
        self.mark = Some(Mark { mark: self.next_mark, at: self.now, queued, owed, late: false });
        self.next_mark = self.next_mark.wrapping_add(1);
    }

    fn mark_due(&self) -> Option<Time> {
        let mark = self.mark.as_ref()?;
        let wait = Time::from_seconds(mark.queued / self.channel.pace);
        Some(mark.at + wait + self.mandate.way_longest + self.mandate.way_longest + ASK_PATIENCE)
    }

    /// A mark was never answered: where it was owed by most, the channel is believed to be slower.
    fn give_up_mark(&mut self, _orders: &mut dyn Orders) -> bool {
        if self.mark_due().is_none_or(|due| self.now < due) {
            return false;
        }
        let still = self.mark.take().map_or(0, |mark| {
            mark.owed
                .iter()
                .filter(|proxy| self.proxies.get(proxy).is_some_and(|p| p.joined < mark.at))
                .count()
        });
        if still * 2 > self.proxies.len() {
            self.channel.pace = (self.channel.pace / 2.0).max(self.mandate.channel_pace * PACE_FLOOR);
        }
        true
    }

    /// Sites with slices: a slice without an open node gets the next open one after its own number. At
    /// single-owner sites the former owner's writes first get the time to end, also at proxies cut off.
    fn rehome_slice(&mut self, orders: &mut dyn Orders) -> bool {
        let open: Vec<NodeId> =
            self.snapshot.iter().filter(|(_, node)| node.open).map(|(id, _)| *id).collect();
        let dies_out = self.mandate.write_life + self.mandate.lease + self.mandate.way_longest;
        let (now, single) = (self.now, self.mandate.single_owner);
        let sliced = self.sliced();
        for node in open.iter().filter(|_| sliced) {
            if self.withdrawn.remove(node) {
                orders.withdraw(*node, false);
            }
        }
        for (table, slice) in &mut self.slices {
            if open.is_empty() || slice.home.is_some_and(|home| open.contains(&home)) {
                slice.lost = None;
                continue;
            }
            let lost = *slice.lost.get_or_insert(now);
            if single && slice.home.is_some() && now < lost + dies_out {
                continue;
            }
            let home = open[usize::from(table.0) % open.len()];
            if let Some(former) = slice.home.filter(|_| !single) {
                orders.line(*table, former, 0.0);
            }
            orders.line(*table, home, 1.0);
            *slice = Slice { home: Some(home), lost: None };
            if self.withdrawn.remove(&home) {
                orders.withdraw(home, false);
            }
        }
        false
    }

    /// The conductor is to be woken when the next of its rules can fire.
    fn set_alarm(&mut self, orders: &mut dyn Orders) -> bool {
        let soon = self.now + FLUSH_PERIOD;
        let asks = match self.watch {
            Watch::Standing => None,
            Watch::Asked(at) => Some(at + ASK_PATIENCE),
            Watch::Due(at) => Some(at),
        };
        let barred = self.snapshot.iter().any(|(id, node)| node.barred && !self.withdrawn.contains(id));
        let steps = self.snapshot.values().any(|node| node.step < RAMP_STEPS);
        let lost = self.slices.values().any(|slice| slice.lost.is_some());
        let again = (barred || steps || lost).then_some(soon);
        let judge = (!self.sliced()).then(|| self.judged + JUDGE_PERIOD);
        let due = [
            asks,
            self.flush_due().map(|due| if due > self.now { due } else { soon }),
            again,
            judge,
            self.mark_due(),
        ];
        let Some(due) = due.into_iter().flatten().min() else {
            return false;
        };
        if self.alarm.is_some_and(|at| at > self.now && at <= due) {
            return false;
        }
        orders.wake(due, 0);
        self.alarm = Some(due);
        false
    }
}
