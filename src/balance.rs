//! Every decision of a conductor, with all its constants and state.
//!
//! A host keeps one [`Balance`] for each conductor. It calls [`Balance::begin`] with the mandate, then one
//! method for each thing heard, always with the clock and with the [`Orders`] that take the answers. After
//! every input the rules in [`RULES`] are gone through, in their order, until none fires. Ids, the mandate
//! and the orders are in `interface.rs`; `docs/design.md` tells what each rule keeps, adds and when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

// ---- Constants ----

/// The one table that all proxies share.
const SHARED: TableId = TableId(0);
/// Longest wait of a buffered change, and changes (count) that are flushed without it: the figures of the
/// proposal's write coalescing.
const FLUSH_PERIOD: Time = Time::from_ms(100);
const FLUSH_COUNT: usize = 50;
/// Share of the backlog, and of the messages a proxy may be written, that flushes and binds may use: the
/// rest is kept for withdrawals.
const FLUSH_SHARE: f64 = 0.5;
/// Share of its weight with which a starting node begins, and the steps (count) to all of it.
const RAMP_START: f64 = 0.1;
const RAMP_STEPS: u32 = 10;
/// Shortest ramp; the mandate's warm-up time stretches it, so that weight never runs ahead of warmth.
const RAMP_SPAN: Time = Time::from_ms(10_000);
/// Share of the load that pushes a cold node over which the ramp may use: a node may be listed at over
/// twice its true part, and a fleet can be short of nodes.
const FALL_MARGIN: f64 = 0.4;
/// The same, as a share of that, for each strain: an overload sends a node several times its work.
const FALL_STRAIN: [f64; 3] = [1.0, 0.6, 0.25];
/// The least share of its weight at which a line stands.
const LINE_LEAST: f64 = 0.01;
/// First wait before asking the roster again after a failure, doubled up to four times, and how long an
/// answer, or an acknowledgement beyond its longest way, is waited for.
const ASK_WAIT: Time = Time::from_ms(250);
const PATIENCE: Time = Time::from_ms(5_000);
/// Wait of an acknowledgement that a proxy's stall explains as well as a slow channel does.
const STALL: Time = Time::from_ms(500);
/// Share of the stated pace below which the channel is never believed to be.
const PACE_FLOOR: f64 = 0.05;
/// Time in which what was heard fades to a third, in ms: of a node or a proxy, for which a few gatherings
/// of sums must add up, and of the fleet, which one tells enough of.
const NODE_MEMORY: u64 = 3_000;
const FLEET_MEMORY: u64 = 1_000;
/// How often nodes are judged: twice for each usual gathering of sums.
const JUDGE_PERIOD: Time = Time::from_ms(500);
/// Tries (count) that must have ended lately at a node for a judgement by shares; an eased one gets fewer,
/// and needs as much less, down to a least share of them.
const EVIDENCE: f64 = 8.0;
const EVIDENCE_LEAST: f64 = 0.25;
/// Tries (count) lost without a good one between for which a node is put on trial.
const DRY: f64 = 8.0;
/// Share of tries lost above the fleet's middle for which a node is eased.
const LOSSY: f64 = 0.1;
/// Part of the nodes that the better ones are: they must do well where others are put on trial.
const BETTER: f64 = 0.2;
/// Mean time as a share of the mean target time from which it does harm.
const HARM: f64 = 0.42;
/// The same for the middle of the nodes, from which the rest has no room for what is eased.
const ROOM: f64 = 0.5;
/// How many times slower than the fleet's middle a harmed node is when it is eased, and how near to the
/// middle, or to half of what harms, it must be to be raised again.
const SLOW: f64 = 1.4;
const CLEAR: f64 = 1.15;
/// Part of its weight that a node on trial keeps, the least that one not on trial keeps, and the least part
/// that one cut leaves: evidence is noisy, and a queue laid before convicts it again.
const TRICKLE: f64 = 0.02;
const EASE_LEAST: f64 = 0.1;
const CUT_MOST: f64 = 0.45;
/// Share of what it had before that a node gets off its trial, and how many times its weight a raise leaves.
const TRIAL: f64 = 0.4;
const RAISE: f64 = 1.5;
/// Wait of an eased node before it is raised, doubled by each relapse up to 16 times, and of the fleet
/// before its strain is believed to be over.
const HOLD: Time = Time::from_ms(4_000);
/// Share of the listed weight that easing may take from the table, trials apart.
const EASED_MOST: f64 = 0.5;
/// How long sums lag behind an order, beyond the way of a message and their own period.
const HEARD_LATE: Time = Time::from_ms(1_000);
/// Share of tries lost from which the fleet is tense, and short of capacity.
const TENSE: f64 = 0.03;
const SHORT: f64 = 0.3;
/// The same for its mean time, as a share of the mean target time.
const TENSE_TIME: f64 = 0.22;
const SHORT_TIME: f64 = 0.8;
/// The least share of a class that is let in, the least of the work let in that one cut leaves, and how many
/// times as much is let in at a time when the fleet keeps up again.
const LEVEL_LEAST: f64 = 0.1;
/// Exchanges a second of a class that a proxy lets in at the least: demand unheard of is no reason to refuse.
const RATE_LEAST: f64 = 1.0;
const LEVEL_CUT: f64 = 0.5;
const LEVEL_DONE: f64 = 0.6;
const LEVEL_RAISE: f64 = 1.25;

// ---- State ----

/// A sum that decays over so many milliseconds, brought up to date when read.
#[derive(Clone, Copy, Default)]
struct Sum<const MS: u64> {
    sum: f64,
    at: Time,
}

impl<const MS: u64> Sum<MS> {
    fn read(&self, now: Time) -> f64 {
        self.sum * (-(now - self.at).seconds() * 1e3 / MS as f64).exp()
    }

    /// What a second brings, for sums that are added to once a period.
    fn rate(&self, now: Time, period: Time) -> f64 {
        let fresh = self.read((now - period).max(self.at));
        let period = period.seconds().max(1e-3);
        fresh * (1.0 - (-period * 1e3 / MS as f64).exp()) / period
    }

    fn add(&mut self, now: Time, amount: f64) {
        *self = Sum { sum: self.read(now) + amount, at: now };
    }
}

/// Tries that ended: all, those lost, and the time of the good ones in seconds.
#[derive(Clone, Copy, Default)]
struct Tries<const MS: u64> {
    all: Sum<MS>,
    lost: Sum<MS>,
    time: Sum<MS>,
}

impl<const MS: u64> Tries<MS> {
    fn add(&mut self, now: Time, met: &Met, lost: u32) {
        self.all.add(now, met.tries.into());
        self.lost.add(now, lost.into());
        self.time.add(now, f64::from(met.tries - lost) * met.mean.seconds());
    }

    /// Share lost, and mean time of the good ones in seconds.
    fn read(&self, now: Time) -> (f64, f64) {
        let (all, lost) = (self.all.read(now), self.lost.read(now));
        (lost / all.max(1.0), self.time.read(now) / (all - lost).max(1e-3))
    }
}

/// What the roster tells of a node, what proxies met there, and how far it has come back.
#[derive(Default)]
struct Node {
    zone: ZoneId,
    listed: f64,
    /// Neither draining nor gone.
    open: bool,
    /// No longer listed, but it may stay.
    dropped: bool,
    /// Proxies must stop sending to it within the grace.
    barred: bool,
    started: Option<Time>,
    /// Steps of the ramp taken, and when the last was.
    step: u32,
    stepped: Time,
    met: Tries<NODE_MEMORY>,
    /// Tries lost since the last good one.
    dry: u32,
    /// When a good one was last heard of.
    heard: Time,
    /// Share of its weight that its health leaves it.
    ease: f64,
    /// Until then shares heard tell of the time before its last change.
    blind: Time,
    /// Until then it is not raised; each relapse after a raise doubles the wait.
    held: Time,
    relapses: u32,
    /// Its share before it was last eased.
    before: f64,
    raised: bool,
}

struct Proxy {
    zone: ZoneId,
    joined: Time,
    /// It holds only its standing tables.
    fresh: bool,
    bound: bool,
    /// Exchanges that came to it lately, by class.
    demand: Vec<Sum<NODE_MEMORY>>,
    /// When messages were written to it; kept only where they are limited.
    written: VecDeque<Time>,
}

/// The shared table.
#[derive(Default)]
struct Table {
    /// Its lines, and its ways of trying again and levels by class, as they were pushed.
    lines: BTreeMap<NodeId, f64>,
    levels: Vec<(FurtherTries, f64)>,
    /// Changes that wait for a flush, and since when any does.
    buffer: BTreeMap<NodeId, f64>,
    opened: Option<Time>,
    flushed: Option<Time>,
}

/// What is believed to wait in the channel, in lines, and how fast it leaves.
struct Channel {
    waiting: f64,
    at: Time,
    pace: f64,
    /// Proxies that this turn writes to.
    written: BTreeSet<ProxyId>,
    /// The number of the last mark, what was queued with it, and since when no proxy has answered it.
    marks: u16,
    queued: f64,
    asked: Option<Time>,
}

/// How far the fleet as a whole falls short: further tries feed an overload.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
enum Strain {
    #[default]
    Calm,
    /// Only tries that provably never ran are repeated.
    Tense,
    /// None are.
    Short,
}

/// The fleet as a whole.
#[derive(Default)]
struct Fleet {
    met: Tries<FLEET_MEMORY>,
    /// When a good try was last heard of.
    heard: Time,
    judged: Time,
    strain: Strain,
    /// When it last looked no better.
    strained: Time,
    /// Work a second that it is believed to do while it falls short, in target times.
    capacity: Option<f64>,
    /// The level of each class that follows from it, when the next is worked out, and the fleet's mean time
    /// at the last.
    amounts: Vec<f64>,
    levelled: Time,
    jammed: f64,
}

/// A slice in this conductor's charge: its node, and since when that is lost.
#[derive(Default)]
struct Slice {
    home: Option<NodeId>,
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
    table: Table,
    /// Nodes shut out at all joined proxies, and when the last was.
    withdrawn: BTreeSet<NodeId>,
    withdrew: Option<Time>,
    proxies: BTreeMap<ProxyId, Proxy>,
    channel: Channel,
    fleet: Fleet,
    /// When the roster must be asked again, if it must, and how often in a row it failed.
    ask_due: Option<Time>,
    failures: u32,
    slices: BTreeMap<TableId, Slice>,
    alarm: Time,
}

type To<'a> = &'a mut dyn Orders;

/// A rule: a condition and an effect; true if it fired.
type Rule = fn(&mut Balance, To) -> bool;

/// The logic, in order.
const RULES: [Rule; 10] = [
    Balance::ask_roster,
    Balance::withdraw_barred,
    Balance::step_ramp,
    Balance::judge,
    Balance::set_level,
    Balance::gather_change,
    Balance::bind_urgent,
    Balance::flush,
    Balance::rehome_slice,
    Balance::set_alarm,
];

// ---- Inputs ----

impl Balance {
    pub fn begin(now: Time, mandate: Mandate, seed: u64, orders: To) -> Balance {
        let (pace, written) = (mandate.channel_pace, BTreeSet::new());
        let amounts = vec![ALL_IN; mandate.exchanges.len()];
        let mut balance = Balance {
            now,
            // The low word must not be 0, nor the carry reach the multiplier.
            chance: Chance((seed >> 33 << 32) | (seed & 0xffff_ffff) | 1),
            snapshot: BTreeMap::new(),
            table: Table::default(),
            withdrawn: BTreeSet::new(),
            withdrew: None,
            proxies: BTreeMap::new(),
            channel: Channel { waiting: 0.0, at: now, pace, written, marks: 0, queued: 0.0, asked: None },
            // Starting over: what an earlier life held back is forgotten, so the fleet falls short until heard.
            fleet: Fleet {
                strain: Strain::Short,
                judged: now,
                strained: now,
                levelled: now,
                amounts,
                ..Fleet::default()
            },
            ask_due: mandate.roster_asked.then_some(now),
            failures: 0,
            slices: BTreeMap::new(),
            alarm: now,
            mandate,
        };
        balance.settle(now, orders);
        balance
    }

    /// The roster's whole list; `cached` is the one of an earlier life and may be old.
    pub fn roster_whole(&mut self, now: Time, entries: &[Listing], cached: bool, orders: To) {
        self.turn(now);
        let named: BTreeSet<NodeId> = entries.iter().map(|entry| entry.node).collect();
        for (_, node) in self.snapshot.iter_mut().filter(|(id, _)| !named.contains(id)) {
            node.dropped |= node.open;
            node.open &= self.mandate.dropped_may_stay;
            node.barred |= !self.mandate.dropped_may_stay;
        }
        entries.iter().for_each(|entry| self.list(entry));
        if !cached {
            (self.ask_due, self.failures) = (None, 0);
        }
        self.settle(now, orders);
    }

    pub fn roster_changed(&mut self, now: Time, entries: &[Listing], orders: To) {
        self.turn(now);
        entries.iter().for_each(|entry| self.list(entry));
        (self.ask_due, self.failures) = (None, 0);
        self.settle(now, orders);
    }

    pub fn roster_failed(&mut self, now: Time, orders: To) {
        if self.mandate.roster_asked {
            let wait = ASK_WAIT.seconds() * f64::from(1u32 << self.failures.min(4));
            let wait = wait.min(self.mandate.ask_within.seconds() / 4.0) * (0.5 + self.chance.below_one());
            self.failures = self.failures.saturating_add(1);
            self.ask_due = Some(now + Time::from_seconds(wait));
        }
        self.settle(now, orders);
    }

    pub fn joined(&mut self, now: Time, proxy: ProxyId, zone: ZoneId, fresh: bool, orders: To) {
        let demand = vec![Sum::default(); self.mandate.exchanges.len()];
        let bound = self.mandate.slices > 0;
        let met = Proxy { zone, joined: now, fresh, bound, demand, written: VecDeque::new() };
        self.proxies.insert(proxy, met);
        self.settle(now, orders);
    }

    pub fn left(&mut self, now: Time, proxy: ProxyId, orders: To) {
        self.proxies.remove(&proxy);
        self.settle(now, orders);
    }

    /// What the proxies of a zone met at a node; sums that contradict themselves are cut to what can be.
    pub fn met(&mut self, now: Time, met: &Met, orders: To) {
        self.turn(now);
        let lost = met.lost.min(met.tries);
        self.fleet.met.add(now, met, lost);
        self.fleet.heard = if lost < met.tries { now } else { self.fleet.heard };
        if let Some(node) = self.snapshot.get_mut(&met.node) {
            node.dry = node.dry.saturating_add(lost);
            if lost < met.tries {
                (node.dry, node.heard) = (0, now);
            }
            if now >= node.blind {
                node.met.add(now, met, lost);
            }
        }
        self.settle(now, orders);
    }

    pub fn asked(&mut self, now: Time, asked: &Asked, orders: To) {
        let proxy = asked.proxy.and_then(|proxy| self.proxies.get_mut(&proxy));
        if let Some(sum) = proxy.and_then(|proxy| proxy.demand.get_mut(usize::from(asked.class.0))) {
            sum.add(now, asked.exchanges.into());
        }
        self.settle(now, orders);
    }

    pub fn acknowledged(&mut self, now: Time, _proxy: ProxyId, mark: u16, took: Time, orders: To) {
        let (usual, channel) = (self.mandate.channel_pace, &mut self.channel);
        if mark == channel.marks {
            channel.asked = None;
            // A slower channel shows as a wait that what had queued does not explain, nor a proxy's stall.
            let waited = (took - self.mandate.way_longest).seconds();
            let due = channel.queued + usual * STALL.seconds();
            let seen = if waited * channel.pace > due { due / waited } else { channel.pace * 1.1 };
            channel.pace = seen.clamp(usual * PACE_FLOOR, usual);
        }
        self.settle(now, orders);
    }

    pub fn custody(&mut self, now: Time, slice: TableId, given: bool, orders: To) {
        self.slices.remove(&slice);
        if given {
            self.slices.insert(slice, Slice::default());
        }
        self.settle(now, orders);
    }

    pub fn stored_line(&mut self, now: Time, slice: TableId, node: NodeId, weight: f64, orders: To) {
        if let Some(slice) = self.slices.get_mut(&slice).filter(|_| weight > 0.0) {
            slice.home = Some(node);
        }
        self.settle(now, orders);
    }

    /// A timer rang; or a peer or a probe told what no rule asks for.
    pub fn rang(&mut self, now: Time, orders: To) {
        self.settle(now, orders);
    }

    fn settle(&mut self, now: Time, orders: To) {
        self.turn(now);
        while RULES.iter().any(|rule| rule(self, orders)) {}
    }

    /// Brings the clock and the channel's estimate up to date.
    fn turn(&mut self, now: Time) {
        if now > self.now {
            self.channel.written.clear();
        }
        self.now = now;
        let left = (now - self.channel.at).seconds() * self.channel.pace;
        self.channel.waiting = (self.channel.waiting - left).max(0.0);
        self.channel.at = now;
    }

    fn list(&mut self, entry: &Listing) {
        let gone = entry.standing == Standing::Gone;
        let stays = gone && self.mandate.dropped_may_stay;
        let node = self.snapshot.entry(entry.node).or_default();
        (node.dropped, node.barred) = (stays, entry.standing != Standing::Ready && !stays);
        node.open = entry.standing == Standing::Ready || stays && node.open;
        if gone {
            return;
        }
        // A roster's odd weight must not reach a table.
        node.listed = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        node.zone = entry.zone;
        if node.ease == 0.0 || entry.started > node.started {
            // A new start. Its ramp is its trial: what was met before says nothing of it.
            (node.started, node.ease) = (entry.started, 1.0);
            (node.step, node.stepped) = (self.mandate.warm_steps(entry.started, self.now), self.now);
            (node.met, node.dry, node.relapses, node.raised) = Default::default();
            (node.blind, node.held) = (self.now, self.now);
            node.heard = self.now + self.mandate.lag() + FLUSH_PERIOD;
        }
    }
}

// ---- What is worked out ----

impl Mandate {
    fn ramp_span(&self) -> Time {
        self.warm_up.max(RAMP_SPAN)
    }

    /// The steps that a node's age allows.
    fn warm_steps(&self, started: Option<Time>, now: Time) -> u32 {
        let steps = |at| (now - at).0.saturating_mul(RAMP_STEPS.into()) / self.ramp_span().0;
        started.map_or(RAMP_STEPS, |at| steps(at).min(RAMP_STEPS.into()) as u32)
    }

    /// How long until an order shows in the sums.
    fn lag(&self) -> Time {
        self.way + self.sums_period + HEARD_LATE
    }

    /// The span of messages, shared out over a share of the messages allowed in it.
    fn message_pace(&self, share: f64) -> Time {
        let messages = (f64::from(self.messages_most) * share).max(1.0);
        let pace = Time::from_seconds(self.messages_span.seconds() / messages);
        if self.messages_most == 0 { Time::default() } else { pace }
    }

    /// Whether a proxy may be written one more message, within a share of what is allowed.
    fn may_write(&self, proxy: &Proxy, share: f64, now: Time) -> bool {
        let most = f64::from(self.messages_most) * share;
        let late = proxy.written.iter().filter(|at| **at + self.messages_span >= now);
        self.messages_most == 0 || (late.count() as f64) < most.floor().max(1.0)
    }

    /// Rule 2: further tries go only as far as no second effect can come of them.
    fn tries(&self, terms: &ExchangeTerms, strain: Strain) -> FurtherTries {
        let held = match terms.repeat {
            Repeat::Safe => true,
            // Every try falls within the cut-off, so a window as long covers them all.
            Repeat::Keyed { window, .. } if window < terms.cut_off => false,
            Repeat::Keyed { reach, .. } => reach == Reach::All || reach == Reach::Zone && self.zones == 1,
            Repeat::Never => false,
        };
        match strain {
            Strain::Calm if held => FurtherTries::One,
            Strain::Calm | Strain::Tense => FurtherTries::IfNeverRan,
            Strain::Short => FurtherTries::None,
        }
    }
}

impl Balance {
    fn open(&self) -> impl Iterator<Item = &Node> {
        self.snapshot.values().filter(|node| node.open)
    }

    /// The weight that a node should stand at in the shared table; 0 for no line.
    fn weight(&self, node: &Node) -> f64 {
        // A list that empties or drops live nodes is in doubt where the mandate lets them stay: one that still
        // answers does, and so do all if none is left.
        let stale = node.dropped && self.now > node.heard + PATIENCE;
        if !node.open || stale && self.open().any(|node| !node.dropped) {
            return 0.0;
        }
        let done = f64::from(node.step) / f64::from(RAMP_STEPS);
        let mut share = RAMP_START + (1.0 - RAMP_START) * done;
        if node.step < RAMP_STEPS {
            let strain = self.fleet.strain;
            let warmth = self.mandate.cold_share + (1.0 - self.mandate.cold_share) * done;
            // Proxies that keep away from nodes failing them crowd onto those that do not, however little
            // their weight: in a jam a cold node gets no part beside warm ones.
            let jam = strain == Strain::Short && self.mandate.strikes > 0;
            if jam && self.open().any(|node| node.step == RAMP_STEPS) {
                return 0.0;
            }
            // Rule 4 where few nodes are warm: their missing part must not fall on the cold ones.
            let listed: f64 = self.snapshot.values().map(|node| node.listed).sum();
            let crowd = (10.0 * self.table.lines.values().sum::<f64>() / listed).ceil().max(1.0) / 10.0;
            let bears = self.mandate.fall_multiple * FALL_MARGIN * FALL_STRAIN[strain as usize];
            share = share.min(warmth * bears * crowd);
        }
        node.listed * (share * node.ease).max(LINE_LEAST)
    }

    /// Exchanges of a class a second at each proxy, as heard.
    fn demand(&self, class: usize) -> impl Iterator<Item = f64> {
        let (now, period) = (self.now, self.mandate.sums_period);
        self.proxies.values().map(move |proxy| proxy.demand[class].rate(now, period))
    }

    /// The mean target time, by the demand heard, in seconds.
    fn mean_target(&self) -> f64 {
        let (mut weights, mut targets) = (1e-3, 1e-3);
        for (class, terms) in self.mandate.exchanges.iter().enumerate() {
            let weight = self.demand(class).sum::<f64>() + 1e-3;
            weights += weight;
            targets += weight * terms.target.seconds();
        }
        targets / weights
    }

    /// How long what was sent before a change, and what had queued by then, goes on to end.
    fn outlived(&self) -> Time {
        Time::from_seconds(self.mean_target() * 2.0)
    }

    fn wanted_levels(&self) -> Vec<(FurtherTries, f64)> {
        let exchanges = self.mandate.exchanges.iter().zip(&self.fleet.amounts);
        exchanges.map(|(terms, amount)| (self.mandate.tries(terms, self.fleet.strain), *amount)).collect()
    }

    /// The table has no line that proxies may use.
    fn bare(&self) -> bool {
        self.table.lines.keys().all(|id| self.withdrawn.contains(id))
    }

    /// When the next flush may go, if anything waits for one.
    fn flush_due(&self) -> Option<Time> {
        let waits = self.proxies.values().filter(|proxy| !proxy.bound).map(|proxy| proxy.joined).min();
        let opened = self.table.opened.into_iter().chain(waits).min()?;
        let paced = self.mandate.message_pace(if self.bare() { 1.0 } else { FLUSH_SHARE });
        let paced = self.table.flushed.map_or(Time::default(), |at| at + paced);
        let full = self.table.buffer.len() >= FLUSH_COUNT;
        Some(if full { paced } else { paced.max(opened + FLUSH_PERIOD) })
    }

    /// What a bind costs: the table, its levels, the withdrawn nodes, itself and a head.
    fn bind_lines(&self) -> f64 {
        let lines = self.table.lines.len() + self.mandate.exchanges.len() + self.withdrawn.len() + 1;
        lines as f64 + self.mandate.message_head
    }
}

impl Node {
    /// What proxies met there, where enough was heard.
    fn symptoms(&self, now: Time) -> Option<(f64, f64)> {
        (self.met.all.read(now) >= EVIDENCE * self.ease.max(EVIDENCE_LEAST)).then(|| self.met.read(now))
    }
}

/// The figure that a part of all stays under, 0 for none.
fn quantile(figures: impl Iterator<Item = f64>, part: f64) -> f64 {
    let mut figures: Vec<f64> = figures.collect();
    figures.sort_by(f64::total_cmp);
    figures.get((figures.len() as f64 * part) as usize).copied().unwrap_or(0.0)
}

/// The rate at each proxy that lets in a part of what is asked of them all.
fn fill(mut rates: Vec<f64>, part: f64) -> f64 {
    rates.sort_by(f64::total_cmp);
    let mut left = part * rates.iter().sum::<f64>();
    for (k, rate) in rates.iter().enumerate() {
        let each = left / (rates.len() - k) as f64;
        if *rate >= each {
            return each.max(RATE_LEAST);
        }
        left -= rate;
    }
    ALL_IN
}

// ---- Rules, and what they do ----

impl Balance {
    /// Books lines that go to a proxy; all that goes to it in one turn is one message.
    fn book(&mut self, proxy: ProxyId, lines: f64) {
        self.channel.waiting += lines;
        if !self.channel.written.insert(proxy) {
            return;
        }
        self.channel.waiting += self.mandate.message_head;
        if let Some(proxy) = self.proxies.get_mut(&proxy).filter(|_| self.mandate.messages_most > 0) {
            proxy.written.retain(|at| *at + self.mandate.messages_span >= self.now);
            proxy.written.push_back(self.now);
        }
    }

    fn bind(&mut self, proxy: ProxyId, orders: To) {
        let lines = self.bind_lines() - self.mandate.message_head;
        let Some(met) = self.proxies.get_mut(&proxy) else { return };
        met.bound = true;
        orders.bind(proxy, SHARED, Classes::default());
        self.book(proxy, lines);
    }

    fn lay_line(&mut self, id: NodeId, weight: f64, orders: To) {
        let lines = &mut self.table.lines;
        let former = if weight > 0.0 { lines.insert(id, weight) } else { lines.remove(&id) };
        if former != Some(weight) {
            orders.line(SHARED, id, weight);
        }
        if weight > 0.0 && self.withdrawn.remove(&id) {
            orders.withdraw(id, false);
        }
    }

    /// Flushes carry a mark while none is owed, so that a slower channel is noticed.
    fn ask_mark(&mut self, orders: To) {
        let (written, channel) = (self.channel.written.clone(), &mut self.channel);
        let overdue = |at| self.now > at + self.mandate.way_longest + PATIENCE;
        if written.is_empty() || channel.asked.is_some_and(|at| !overdue(at)) {
            return;
        }
        channel.marks = channel.marks.wrapping_add(1);
        (channel.queued, channel.asked) = (channel.waiting, Some(self.now));
        orders.mark(channel.marks, false);
        written.into_iter().for_each(|proxy| self.book(proxy, 1.0));
    }

    /// The roster must be asked, and no subscription stands or its answer is overdue.
    fn ask_roster(&mut self, orders: To) -> bool {
        if self.ask_due.is_none_or(|due| self.now < due) {
            return false;
        }
        orders.watch(true);
        self.ask_due = Some(self.now + PATIENCE);
        true
    }

    /// Rule 3: a node told as draining or gone is withdrawn at once, ahead of any flush. Only where messages
    /// are limited do withdrawals that follow each other closely share one.
    fn withdraw_barred(&mut self, orders: To) -> bool {
        let barred = self.snapshot.iter().filter(|(id, node)| node.barred && !self.withdrawn.contains(id));
        let barred: Vec<NodeId> = barred.map(|(id, _)| *id).collect();
        let pace = self.mandate.message_pace(1.0 - FLUSH_SHARE);
        let lines = (self.mandate.message_head + barred.len() as f64) * self.proxies.len() as f64;
        let held = self.withdrew.is_some_and(|at| self.now < at + pace)
            || !self.proxies.values().all(|proxy| self.mandate.may_write(proxy, 1.0, self.now))
            || self.channel.waiting + lines > self.mandate.backlog;
        if barred.is_empty() || held {
            return false;
        }
        barred.iter().for_each(|node| orders.withdraw(*node, true));
        let joined: Vec<ProxyId> = self.proxies.keys().copied().collect();
        joined.into_iter().for_each(|proxy| self.book(proxy, barred.len() as f64));
        self.withdrawn.extend(barred);
        self.withdrew = Some(self.now);
        true
    }

    /// A starting node's age allows a further step; one at a time, so that a stall makes no jump.
    fn step_ramp(&mut self, _orders: To) -> bool {
        let (now, pace) = (self.now, Time(self.mandate.ramp_span().0 / u64::from(RAMP_STEPS)));
        let mandate = &self.mandate;
        let due = |node: &&mut Node| {
            node.step < mandate.warm_steps(node.started, now) && now >= node.stepped + pace
        };
        let Some(node) = self.snapshot.values_mut().find(due) else { return false };
        node.step += 1;
        node.stepped = now;
        true
    }

    /// Nodes are judged by kinds of symptom against the fleet's middle, which heavy exchanges, a sick proxy
    /// or an overload of all shift for every node alike. Tries lost in a row cover silent, hung, cut off and
    /// dead nodes; shares lost cover failing and full ones; times long enough to harm cover slow, paused,
    /// shared and overloaded ones. Nothing is eased while the rest has no room, and all that is eased is
    /// bounded, so that where most look bad it is the judgement that is doubted.
    fn judge(&mut self, orders: To) -> bool {
        let now = self.now;
        if self.mandate.slices > 0 || now < self.fleet.judged + JUDGE_PERIOD {
            return false;
        }
        self.fleet.judged = now;
        let heard: Vec<(f64, f64)> = self.open().filter_map(|node| node.symptoms(now)).collect();
        let lost = |part| quantile(heard.iter().map(|heard| heard.0), part);
        // Against the better ones: a conductor cut off with a few nodes sees most fail, and is right.
        let (middle_time, better_lost) = (quantile(heard.iter().map(|heard| heard.1), 0.5), lost(BETTER));
        let (all_lost, all_time) = self.fleet.met.read(now);
        // By nodes, so that a few bad ones do not speak for all, and by tries, so that few heard do not.
        let middle_lost = lost(0.5).min(all_lost);
        let target = self.mean_target();
        let harm = HARM * target;
        self.strain_fleet(middle_lost, all_time / target, orders);
        let listed: f64 = self.open().map(|node| node.listed).sum();
        let mut eased: f64 = self.open().map(|node| node.listed * (1.0 - node.ease)).sum();
        // A few jammed nodes must not keep themselves from being eased, nor few heard speak for the rest.
        let most = heard.len() * 2 >= self.open().count();
        let rest_time = if most { middle_time.min(all_time) } else { all_time };
        let (lag, outlived) = (self.mandate.lag(), self.outlived());
        let each =
            self.fleet.met.all.rate(now, self.mandate.sums_period) / self.table.lines.values().sum::<f64>();
        for (id, node) in self.snapshot.iter_mut().filter(|(_, node)| node.open && !node.dropped) {
            let met = node.symptoms(now);
            // One that loses many anyway, as a jammed one does, may lose a few in a row by chance.
            let few = DRY * (1.0 + 2.0 * node.met.read(now).0);
            // Work sent with nothing coming back: what its part should have brought while others were heard.
            let silent = self.fleet.heard - node.heard - self.mandate.sums_period;
            let unheard = silent.seconds() * each * self.table.lines.get(id).copied().unwrap_or(0.0);
            let dry = f64::from(node.dry).max(unheard) >= few && better_lost < LOSSY;
            let ease = match met {
                _ if dry => TRICKLE,
                // What it still does well, it is left with.
                Some((lost, time))
                    if lost > middle_lost + LOSSY || time > harm && time > middle_time * SLOW =>
                {
                    let left = (1.0 - lost + middle_lost) * (middle_time / time.max(middle_time)).sqrt();
                    (node.ease * left.clamp(CUT_MOST, 1.0)).max(EASE_LEAST)
                }
                _ if now < node.held => node.ease,
                // Too little is heard to tell: it waits once more, and is then raised on trust.
                None if node.ease > TRICKLE && now < node.held + HOLD + HOLD + HOLD => node.ease,
                // Back at the fleet's pace it returns fast; one that is merely small settles short of harm.
                Some((_, time)) if time > middle_time * CLEAR && time > harm * CLEAR / 2.0 => node.ease,
                Some((_, time)) if time > middle_time * CLEAR => (node.ease * RAISE.sqrt()).min(1.0),
                _ if node.ease <= TRICKLE => (node.before * TRIAL).max(EASE_LEAST),
                _ => (node.ease * RAISE).clamp(EASE_LEAST, 1.0),
            };
            let more = node.listed * (node.ease - ease);
            let room = rest_time <= ROOM * target && (dry || eased + more <= listed * EASED_MOST);
            if ease == node.ease || more > 0.0 && !room {
                continue;
            }
            if more > 0.0 || ease == 1.0 {
                let ((lost, time), part) = (met.unwrap_or_default(), 100.0 * ease);
                orders.note(&format!("{id} to {part:.0}% of its weight: {lost:.2} lost, {time:.2} s"));
            }
            if more > 0.0 {
                node.before = node.ease.max(EASE_LEAST);
                node.relapses += u32::from(node.raised);
                node.held = now + Time(HOLD.0 << (node.relapses + u32::from(!dry)).min(4));
                node.blind = now + lag + outlived;
            } else {
                node.held = now + HOLD + HOLD;
                node.blind = now + lag;
            }
            eased += more;
            (node.ease, node.raised, node.dry, node.met) = (ease, more < 0.0, 0, Tries::default());
            node.heard = now + lag;
        }
        true
    }

    /// The fleet as a whole falls short, or has kept up again for a while.
    fn strain_fleet(&mut self, lost: f64, late: f64, orders: To) {
        let strain = match (lost, late) {
            _ if lost > SHORT || late > SHORT_TIME => Strain::Short,
            _ if lost > TENSE || late > TENSE_TIME => Strain::Tense,
            _ => Strain::Calm,
        };
        if strain > self.fleet.strain {
            orders.note(&format!("fleet {strain:?}: {lost:.2} of tries lost, {late:.2} of the target time"));
        }
        if strain >= self.fleet.strain {
            self.fleet.strained = self.now;
        }
        if strain > self.fleet.strain || self.now >= self.fleet.strained + HOLD {
            self.fleet.strain = strain;
        }
    }

    /// The fleet falls short: levels follow from the demand heard against the capacity estimated, by gain for
    /// work, a class's target time standing for its work. A fleet that keeps up again is tried with more
    /// until the demand fits, and then there is no level. Proxies refuse the rest at once.
    fn set_level(&mut self, orders: To) -> bool {
        if self.mandate.levels == LevelKind::Ignored || self.now < self.fleet.levelled {
            return false;
        }
        self.fleet.levelled = self.now + self.mandate.lag();
        let asked: Vec<f64> = (0..self.fleet.amounts.len()).map(|class| self.demand(class).sum()).collect();
        let work: Vec<f64> = self.mandate.exchanges.iter().map(|terms| terms.target.seconds()).collect();
        let wanted: f64 = asked.iter().zip(&work).map(|(asked, work)| asked * work).sum();
        let (lost, time) = self.fleet.met.read(self.now);
        let capacity = self.fleet.capacity;
        let let_in = capacity.unwrap_or(wanted).min(wanted);
        let target = self.mean_target();
        let fine = lost <= SHORT / 2.0 && time <= ROOM * target;
        self.fleet.capacity = match self.fleet.strain {
            _ if fine => {
                capacity.map(|capacity| capacity * LEVEL_RAISE).filter(|capacity| *capacity < wanted)
            }
            // A jam that already clears up is left to.
            Strain::Short if time >= self.fleet.jammed => {
                // What was let in before goes on to end until the last is given up.
                let cut_offs = self.mandate.exchanges.iter().map(|terms| terms.cut_off);
                self.fleet.levelled = self.fleet.levelled + cut_offs.max().unwrap_or_default();
                // What is fulfilled even so is the least that the fleet can do.
                let done = self.fleet.met.all.rate(self.now, self.mandate.sums_period) * (1.0 - lost);
                Some((let_in * (1.0 - lost).clamp(LEVEL_CUT, 0.9)).max(done * target * LEVEL_DONE))
            }
            _ => capacity,
        };
        self.fleet.jammed = time;
        if let Some(capacity) = self.fleet.capacity {
            orders.note(&format!("levels: {wanted:.0} s of work a second asked for, {capacity:.0} let in"));
        }
        let mut left = self.fleet.capacity.unwrap_or(f64::MAX);
        let mut order: Vec<usize> = (0..asked.len()).collect();
        let value = |class: usize| self.mandate.exchanges[class].gain / work[class].max(1e-3);
        order.sort_by(|a, b| value(*b).total_cmp(&value(*a)));
        for class in order {
            let part = (left / (asked[class] * work[class]).max(1e-3)).clamp(LEVEL_LEAST, 1.0);
            left = (left - asked[class] * work[class]).max(0.0);
            self.fleet.amounts[class] = match self.mandate.levels {
                _ if part >= 1.0 => ALL_IN,
                LevelKind::Share => part,
                _ => fill(self.demand(class).collect(), part),
            };
        }
        true
    }

    /// A line or level should differ from what was pushed: the change waits in the buffer. One that was
    /// undone nets out.
    fn gather_change(&mut self, _orders: To) -> bool {
        if self.mandate.slices > 0 {
            return false;
        }
        // A node that was withdrawn and is back before its line was taken out must be let in again, too.
        let differs = |(id, weight): &(NodeId, f64)| {
            self.table.lines.get(id).copied().unwrap_or(0.0) != *weight
                || *weight > 0.0 && self.withdrawn.contains(id)
        };
        let wanted = self.snapshot.iter().map(|(id, node)| (*id, self.weight(node)));
        let buffer: BTreeMap<NodeId, f64> = wanted.filter(differs).collect();
        let levels = !self.table.levels.is_empty() && self.table.levels != self.wanted_levels();
        let opened = (levels || !buffer.is_empty()).then(|| self.table.opened.unwrap_or(self.now));
        let changed = buffer != self.table.buffer || opened != self.table.opened;
        (self.table.buffer, self.table.opened) = (buffer, opened);
        changed
    }

    /// A joined proxy has waited so long for its bind that it might be bare, or send to a withdrawn node,
    /// past the stated time: it is bound even where the channel is more than half full.
    fn bind_urgent(&mut self, orders: To) -> bool {
        let allowed = self.mandate.grace.min(self.mandate.bare) - self.mandate.way_longest;
        let late = self.proxies.iter().find(|(_, proxy)| {
            let late = !proxy.bound && self.now >= proxy.joined + Time(allowed.0 / 2);
            late && self.mandate.may_write(proxy, 1.0, self.now)
        });
        let fits = self.channel.waiting + self.bind_lines() < self.mandate.backlog;
        let late = late.map(|(id, _)| *id).filter(|_| fits && !self.table.lines.is_empty());
        let Some(proxy) = late else { return false };
        self.bind(proxy, orders);
        true
    }

    /// The period has passed or the count is reached, and the channel is at most half full: the gathered
    /// changes go to every bound proxy as one message, with as many binds as fit under half the backlog.
    fn flush(&mut self, orders: To) -> bool {
        // Rule 1: where no line is left to pick, what is kept for withdrawals serves to lay one.
        let share = if self.bare() { 1.0 } else { FLUSH_SHARE };
        let (half, room, now) = (self.mandate.backlog * FLUSH_SHARE, self.mandate.backlog * share, self.now);
        let may = |proxy: &Proxy| self.mandate.may_write(proxy, share, now);
        let due = self.flush_due().is_some_and(|due| now >= due);
        let full =
            self.channel.waiting > half || self.proxies.values().any(|proxy| proxy.bound && !may(proxy));
        if self.mandate.slices > 0 || !due || full {
            return false;
        }
        // The one whose standing nodes may all be withdrawn goes first, then the longest wait.
        let waits = self.proxies.iter().filter(|(_, proxy)| !proxy.bound && may(proxy));
        let barred = |zone| self.snapshot.values().all(|node| node.zone != zone || node.barred);
        let bare = |proxy: &Proxy| proxy.fresh && barred(proxy.zone);
        let mut waits: Vec<(bool, Time, ProxyId)> =
            waits.map(|(id, proxy)| (!bare(proxy), proxy.joined, *id)).collect();
        waits.sort();
        let bound: Vec<ProxyId> =
            self.proxies.iter().filter(|(_, proxy)| proxy.bound).map(|(id, _)| *id).collect();
        let mut fired = false;
        // Lines that each bound proxy's message has room for, its head and mark aside.
        let room = (room - self.channel.waiting) / bound.len().max(1) as f64 - self.mandate.message_head;
        let (mut room, levels) = (room - 1.0, self.wanted_levels());
        let cost = levels.len() as f64;
        if levels != self.table.levels && cost <= room {
            for (class, (tries, amount)) in levels.iter().enumerate() {
                orders.level(Some(SHARED), Classes::of(ClassId(class as u16)), *tries, *amount);
            }
            bound.iter().for_each(|proxy| self.book(*proxy, cost));
            (self.table.levels, fired, room) = (levels, true, room - cost);
        }
        // A change that does not fit is gathered again.
        for (node, weight) in std::mem::take(&mut self.table.buffer) {
            let lines = if weight > 0.0 && self.withdrawn.contains(&node) { 2.0 } else { 1.0 };
            room -= lines;
            if room < 0.0 {
                break;
            }
            self.lay_line(node, weight, orders);
            bound.iter().for_each(|proxy| self.book(*proxy, lines));
            fired = true;
        }
        self.table.opened = None;
        let empty = self.table.lines.is_empty() && self.withdrawn.is_empty();
        for (.., proxy) in waits.into_iter().filter(|_| !empty) {
            if self.channel.waiting + self.bind_lines() > half {
                break;
            }
            self.bind(proxy, orders);
            fired = true;
        }
        if fired {
            self.table.flushed = Some(now);
            self.ask_mark(orders);
        }
        fired
    }

    /// Sites with slices: a slice without an open node gets the next open one after its own number. At
    /// single-owner sites the former owner's writes first get the time to end, also at proxies cut off.
    fn rehome_slice(&mut self, orders: To) -> bool {
        let open = self.snapshot.iter().filter(|(_, node)| node.open && self.mandate.slices > 0);
        let open: Vec<NodeId> = open.map(|(id, _)| *id).collect();
        let dies_out = self.mandate.write_life + self.mandate.lease + self.mandate.way_longest;
        for node in open.iter().filter(|node| self.withdrawn.remove(node)) {
            orders.withdraw(*node, false);
        }
        for (table, slice) in self.slices.iter_mut().filter(|_| !open.is_empty()) {
            if slice.home.is_some_and(|home| open.contains(&home)) {
                slice.lost = None;
                continue;
            }
            let lost = *slice.lost.get_or_insert(self.now);
            // The lines of a slice just given may still follow.
            let dying = self.mandate.single_owner && slice.home.is_some() && self.now < lost + dies_out;
            if dying || self.now <= lost {
                continue;
            }
            let home = open[usize::from(table.0) % open.len()];
            if let Some(former) = slice.home.filter(|_| !self.mandate.single_owner) {
                orders.line(*table, former, 0.0);
            }
            orders.line(*table, home, 1.0);
            *slice = Slice { home: Some(home), lost: None };
        }
        false
    }

    /// The conductor is woken for the next flush, and in any case after the period of one.
    fn set_alarm(&mut self, orders: To) -> bool {
        let beat = self.now + FLUSH_PERIOD;
        let due = self.flush_due().filter(|due| *due > self.now).map_or(beat, |due| due.min(beat));
        if self.alarm <= self.now || self.alarm > due {
            orders.wake(due, 0);
            self.alarm = due;
        }
        false
    }
}
