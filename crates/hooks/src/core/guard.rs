//! Guards: whatever hooks answer, the result keeps the five rules of routing. Each correction, whether an answer is
//! rejected or limited, is counted by hook, point and rule.
//!
//! 1. A proxy is never left without a line.
//! 2. An exchange with an effect is not repeated, and no class has more tries than the module allows.
//! 3. A node that drains or is gone gets no share.
//! 4. A cold node gets no more than its warm-up allows.
//! 5. A round changes a bounded number of lines, and a share that was changed may not change again within its hold
//!    time, which doubles with each reversal soon after a change.
//!
//! A hook's own answer is checked first, so that its corrections are counted for that hook. Then answers are combined:
//! for a node's share the last hook in order counts, for all else the strictest. The combined proposal is checked
//! against the cold nodes, the lines that a round may change, and the shares that were changed a moment ago.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use oatpitch::interface::{
    ADMIT_ALL, Advice, LevelKind, NodeId, ProxyId, RetryPolicy, ServiceSettings, Time,
};

use super::answer::{Answer, HookId, Point, Rule, ViolationCounts};
use super::view::{NodeView, View};

/// What operators allow hooks to change.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Least share of its weight that a hook may give a node.
    pub min_share: f64,
    /// Largest share of its weight that a hook may give a node.
    pub max_share: f64,
    /// Least share of a class that a hook may admit.
    pub min_admitted_share: f64,
    /// Lines that all hooks together may change in one round.
    pub max_lines_per_round: usize,
    /// How long a node's share is kept before it may change again; doubled by each reversal soon after a change.
    pub share_hold_time: Time,
}

/// Relative change of a share below which its line is not rewritten.
const MIN_RELATIVE_CHANGE: f64 = 0.05;
/// Most doublings of the hold time of a node whose share keeps reversing.
const MAX_HOLD_DOUBLINGS: u32 = 6;
/// Most that a part may carry for a proxy to be bound to it, as a multiple of the mean over all parts.
const MAX_PART_LOAD: f64 = 2.0;
/// Least value by which a relative change is divided.
const MIN_DIVISOR: f64 = 1e-6;

/// A share that hooks propose for a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProposedShare {
    /// The share of its weight that the node would get.
    pub share: f64,
    /// The hook that proposed it.
    pub hook: HookId,
}

/// The combined answers of all hooks of a round, each checked by itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Proposal {
    /// Shares by node name, each with the last hook that gave it.
    pub shares: BTreeMap<String, ProposedShare>,
    /// Shares of cold nodes by name, each with the hook that gave the least.
    pub admit_shares: BTreeMap<String, ProposedShare>,
    /// Parts by proxy.
    pub parts: BTreeMap<u32, u16>,
    /// Admitted shares by class.
    pub levels: BTreeMap<usize, f64>,
    /// Codes of the retry policies by class: 0 never, 1 if the try never ran, 2 once, 3 twice.
    pub tries: BTreeMap<usize, u8>,
}

/// The outcome of a round, within all bounds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adjustments {
    /// Shares other than 1 by node name.
    pub shares: BTreeMap<String, f64>,
    /// Parts by proxy.
    pub parts: BTreeMap<u32, u16>,
    /// Admitted shares by class.
    pub levels: BTreeMap<usize, f64>,
    /// Codes of the retry policies by class, as in [`Proposal::tries`].
    pub tries: BTreeMap<usize, u8>,
}

impl Adjustments {
    /// Returns the advice for the module. A class's level is a share of its exchanges or, where levels are rates,
    /// that share of the demand reported for each proxy.
    pub fn to_advice(
        &self,
        settings: &ServiceSettings,
        view: &View,
        node_id: impl Fn(&str) -> Option<NodeId>,
    ) -> Advice {
        let bounded = !self.levels.is_empty() || !self.tries.is_empty();
        let class_count = if bounded { settings.class_terms.len() } else { 0 };
        let max_level = |class| (self.retry_policy(class), self.admitted_amount(class, settings, view));
        Advice {
            weight_shares: self
                .shares
                .iter()
                .filter_map(|(name, share)| Some((node_id(name)?, *share)))
                .collect(),
            max_levels: (0..class_count).map(max_level).collect(),
            parts: self.parts.iter().map(|(proxy, part)| (ProxyId(*proxy), *part)).collect(),
        }
    }

    fn retry_policy(&self, class: usize) -> RetryPolicy {
        match self.tries.get(&class) {
            Some(0) => RetryPolicy::Never,
            Some(1) => RetryPolicy::IfNeverRan,
            Some(2) => RetryPolicy::Once,
            _ => RetryPolicy::Twice,
        }
    }

    fn admitted_amount(&self, class: usize, settings: &ServiceSettings, view: &View) -> f64 {
        let proxy_count = view.proxies.len().max(1) as f64;
        let demand = view.classes.get(class).map_or(0.0, |class| class.demand);
        match (self.levels.get(&class), settings.level_kind) {
            (Some(share), LevelKind::Share) if *share < 1.0 => *share,
            (Some(share), LevelKind::Rate) if *share < 1.0 => (share * demand / proxy_count).max(1.0),
            _ => ADMIT_ALL,
        }
    }
}

/// What an answer is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// All nodes.
    Nodes,
    /// A class, by its index in the view.
    Class(usize),
    /// A proxy, by its index in the view.
    Proxy(usize),
}

/// Checks single answers and merges them into a proposal.
pub struct AnswerCheck<'a> {
    /// What operators allow.
    pub bounds: &'a Bounds,
    /// The view that the hooks were called with.
    pub view: &'a View,
    /// The view's nodes by name.
    pub nodes: &'a BTreeMap<&'a str, &'a NodeView>,
    /// Counts the corrections.
    pub violations: &'a mut ViolationCounts,
}

impl AnswerCheck<'_> {
    fn count_violation(&mut self, hook: HookId, point: Point, rule: Rule) {
        *self.violations.entry((hook, point, rule)).or_default() += 1;
    }

    /// Returns the number clamped to the range, or `None` if it is negative or not finite. `rule` is counted only
    /// if the number was clamped; a negative or non-finite one counts as [`Rule::InvalidNumber`].
    fn clamp_number(
        &mut self,
        hook: HookId,
        point: Point,
        number: f64,
        range: RangeInclusive<f64>,
        rule: Rule,
    ) -> Option<f64> {
        if !number.is_finite() || number < 0.0 {
            self.count_violation(hook, point, Rule::InvalidNumber);
            return None;
        }
        let (least, most) = range.into_inner();
        if number < least || number > most {
            self.count_violation(hook, point, rule);
        }
        Some(number.clamp(least, most))
    }

    /// Checks one hook's answer and merges what is left of it into the proposal.
    pub fn apply(
        &mut self,
        hook: HookId,
        point: Point,
        subject: Subject,
        answer: &Answer,
        proposal: &mut Proposal,
    ) {
        match (point, subject, answer) {
            // `notice`: told of an event; its answer changes nothing.
            (Point::Notice, ..) | (_, _, Answer::NoOpinion) => {}
            // `shape`: shares of ready nodes. `admit`: shares of nodes that are still warming up.
            (Point::Shape | Point::Admit, Subject::Nodes, Answer::Shares(shares)) => {
                for (name, share) in shares {
                    self.apply_share(hook, point, name, *share, proposal);
                }
            }
            // `level`: the share of a class's demand to admit.
            (Point::Level, Subject::Class(class), Answer::Number(share)) => {
                self.apply_level(hook, class, *share, proposal);
            }
            // `tries`: the code of a class's retry policy.
            (Point::Tries, Subject::Class(class), Answer::Number(tries)) => {
                self.apply_tries(hook, class, *tries, proposal);
            }
            // `place`: the part of the table that a joining proxy is bound to.
            (Point::Place, Subject::Proxy(proxy), Answer::Number(part)) => {
                self.apply_place(hook, proxy, *part, proposal);
            }
            // The answer has a form that its point does not take.
            _ => self.count_violation(hook, point, Rule::InvalidNumber),
        }
    }

    fn apply_level(&mut self, hook: HookId, class: usize, share: f64, proposal: &mut Proposal) {
        let least = self.bounds.min_admitted_share;
        // A level below the operators' minimum is counted under `LineRequired`.
        let rule = if share < 1.0 { Rule::LineRequired } else { Rule::OutOfBounds };
        let Some(share) = self.clamp_number(hook, Point::Level, share, least..=1.0, rule) else { return };
        let strictest = proposal.levels.entry(class).or_insert(1.0);
        *strictest = strictest.min(share);
    }

    /// A hook may lower the number of tries and never raise it: above all it must not order that an exchange with
    /// an effect be repeated.
    fn apply_tries(&mut self, hook: HookId, class: usize, tries: f64, proposal: &mut Proposal) {
        let allowed = self.view.classes.get(class).map_or(0, |class| class.retry_policy);
        let range = 0.0..=f64::from(allowed);
        let Some(tries) = self.clamp_number(hook, Point::Tries, tries, range, Rule::RetryLimit) else {
            return;
        };
        let strictest = proposal.tries.entry(class).or_insert(allowed);
        *strictest = (*strictest).min(tries as u8);
    }

    fn apply_share(&mut self, hook: HookId, point: Point, name: &str, share: f64, proposal: &mut Proposal) {
        let Some(node) = self.nodes.get(name).copied() else {
            return self.count_violation(hook, point, Rule::UnknownName);
        };
        if !node.ready {
            return self.count_violation(hook, point, Rule::Draining);
        }
        // A share of 0 would close the line, and a table of closed lines serves nothing. Therefore any share below
        // the operators' minimum is counted under `LineRequired`.
        let rule = if share < self.bounds.min_share { Rule::LineRequired } else { Rule::OutOfBounds };
        let range = self.bounds.min_share..=self.bounds.max_share;
        let Some(share) = self.clamp_number(hook, point, share, range, rule) else { return };
        // A warm node is not one that `admit` applies to, which is counted under `UnknownName`.
        if point == Point::Admit && node.warmed_up {
            return self.count_violation(hook, point, Rule::UnknownName);
        }
        let max_share = if node.warmed_up { self.bounds.max_share } else { 1.0 };
        if share > max_share {
            self.count_violation(hook, point, Rule::ColdNode);
        }
        let share = share.min(max_share);
        if point == Point::Admit {
            let unlimited = ProposedShare { share: 1.0, hook };
            let strictest = proposal.admit_shares.entry(name.into()).or_insert(unlimited);
            if share < strictest.share {
                *strictest = ProposedShare { share, hook };
            }
        } else {
            proposal.shares.insert(name.into(), ProposedShare { share, hook });
        }
    }

    /// Takes a part only if it has a line and does not already carry far more than the other parts.
    fn apply_place(&mut self, hook: HookId, proxy: usize, part: f64, proposal: &mut Proposal) {
        let Some(proxy) = self.view.proxies.get(proxy) else { return };
        // A number too large for a part is counted under `UnknownName`.
        let range = 0.0..=f64::from(u16::MAX);
        let Some(part) = self.clamp_number(hook, Point::Place, part, range, Rule::UnknownName) else {
            return;
        };
        let part = part as u16;
        let has_line = self.view.nodes.iter().any(|node| node.part == part && node.line_weight > 0.0);
        if !has_line {
            return self.count_violation(hook, Point::Place, Rule::LineRequired);
        }
        let part_count = self.view.part_count;
        let total: f64 = (0..part_count).map(|part| self.part_load(part, proposal)).sum();
        let mean = total / f64::from(part_count.max(1));
        // A part that carries too much already is counted under `OutOfBounds`.
        if part_count > 1 && self.part_load(part, proposal) > MAX_PART_LOAD * mean {
            return self.count_violation(hook, Point::Place, Rule::OutOfBounds);
        }
        proposal.parts.insert(proxy.proxy, part);
    }

    /// Returns the exchanges per second of the proxies bound to a part, and of those proposed for it.
    fn part_load(&self, part: u16, proposal: &Proposal) -> f64 {
        let proxies = &self.view.proxies;
        let bound = proxies.iter().filter(|proxy| proxy.part == Some(part));
        let proposed = proposal
            .parts
            .iter()
            .filter(|(_, proposed_part)| **proposed_part == part)
            .filter_map(|(number, _)| proxies.iter().find(|proxy| proxy.proxy == *number));
        bound.map(|proxy| proxy.exchanges_per_second).sum::<f64>()
            + proposed.map(|proxy| proxy.exchanges_per_second).sum::<f64>()
    }
}

/// The share of a warm node that hooks changed.
#[derive(Clone, Copy, Debug)]
struct ShareState {
    share: f64,
    /// When it last changed.
    since: Time,
    /// `true` if the last change raised the share, `false` if it lowered it.
    raised: bool,
    /// How often the direction reversed soon after a change.
    reversals: u32,
}

/// A change of a warm node's share that a round would make.
struct ShareChange<'a> {
    name: &'a str,
    share: f64,
    /// The size of the change, relative to the present share.
    relative_change: f64,
    /// The hook that proposed it, or `None` where the node goes back to its own weight.
    hook: Option<HookId>,
}

/// Makes proposals into adjustments, and remembers the shares in force.
#[derive(Clone, Debug)]
pub struct Guard {
    bounds: Bounds,
    /// By node name. A node that is back at its own weight is kept until its last change is no longer recent; one
    /// that was never changed has no entry.
    share_states: BTreeMap<String, ShareState>,
}

impl Guard {
    /// Returns a guard with every node at its own weight.
    pub fn new(bounds: Bounds) -> Guard {
        Guard { bounds, share_states: BTreeMap::new() }
    }

    /// Returns what operators allow.
    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// Replaces the bounds. Shares in force outside them are brought within them round by round.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Returns what becomes of a round's proposal.
    pub fn resolve(
        &mut self,
        now: Time,
        view: &View,
        proposal: &Proposal,
        violations: &mut ViolationCounts,
    ) -> Adjustments {
        let mut shares = self.resolve_warm_shares(now, view, proposal, violations);
        limit_cold_shares(view, proposal, &mut shares, violations);
        Adjustments {
            shares,
            parts: proposal.parts.clone(),
            levels: proposal.levels.clone(),
            tries: proposal.tries.clone(),
        }
    }

    /// Changes the shares of warm nodes: as many as a round may change, the largest changes first, and none that
    /// was changed a moment ago. Returns the shares other than 1.
    fn resolve_warm_shares(
        &mut self,
        now: Time,
        view: &View,
        proposal: &Proposal,
        violations: &mut ViolationCounts,
    ) -> BTreeMap<String, f64> {
        let warm_nodes: BTreeMap<&str, &NodeView> = view
            .nodes
            .iter()
            .filter(|node| node.ready && node.warmed_up)
            .map(|node| (node.name.as_str(), node))
            .collect();
        self.share_states.retain(|name, _| warm_nodes.contains_key(name.as_str()));
        let mut lines_left = self.bounds.max_lines_per_round;
        for change in self.wanted_changes(warm_nodes.keys().copied(), proposal) {
            if self.is_held(now, change.name) || lines_left == 0 {
                // A return to the own weight that no hook proposed is counted for the first hook.
                let hook = change.hook.unwrap_or_default();
                *violations.entry((hook, Point::Shape, Rule::ChangeRate)).or_default() += 1;
                continue;
            }
            lines_left -= 1;
            self.change_share(now, &change);
        }
        self.forget_settled(now);
        self.share_states
            .iter()
            .filter(|(_, state)| state.share != 1.0)
            .map(|(name, state)| (name.clone(), state.share))
            .collect()
    }

    /// Returns the changes from the shares in force to those proposed, the largest first. A share that nobody
    /// proposes goes back to 1, and a share of 1 is restored however slight the change.
    fn wanted_changes<'a>(
        &self,
        names: impl Iterator<Item = &'a str>,
        proposal: &Proposal,
    ) -> Vec<ShareChange<'a>> {
        let mut changes = Vec::new();
        for name in names {
            let proposed = proposal.shares.get(name);
            let share = proposed.map_or(1.0, |proposed| proposed.share);
            let present = self.share_states.get(name).map_or(1.0, |state| state.share);
            let relative_change = (share - present).abs() / present.max(MIN_DIVISOR);
            if relative_change > 0.0 && (relative_change >= MIN_RELATIVE_CHANGE || share == 1.0) {
                let hook = proposed.map(|proposed| proposed.hook);
                changes.push(ShareChange { name, share, relative_change, hook });
            }
        }
        changes.sort_by(|one, other| {
            other.relative_change.total_cmp(&one.relative_change).then(one.name.cmp(other.name))
        });
        changes
    }

    /// Returns whether a node's share was changed too recently to change again.
    fn is_held(&self, now: Time, name: &str) -> bool {
        let Some(state) = self.share_states.get(name) else { return false };
        let doublings = state.reversals.min(MAX_HOLD_DOUBLINGS);
        let hold_time = Time(self.bounds.share_hold_time.0 << doublings);
        now < state.since + hold_time
    }

    /// Returns the time after which a change no longer counts as recent: twice the longest hold time.
    fn recent_change_window(&self) -> Time {
        Time(self.bounds.share_hold_time.0 << (MAX_HOLD_DOUBLINGS + 1))
    }

    fn change_share(&mut self, now: Time, change: &ShareChange) {
        let previous = self.share_states.get(change.name).copied();
        let raised = change.share > previous.map_or(1.0, |previous| previous.share);
        let recent_change_window = self.recent_change_window();
        let reversals = match previous {
            // The direction reversed soon after the previous change.
            Some(previous) if previous.raised != raised && now < previous.since + recent_change_window => {
                previous.reversals.saturating_add(1)
            }
            // The previous change is no longer recent.
            Some(previous) if now >= previous.since + recent_change_window => 0,
            // Another change in the same direction soon after the previous one.
            Some(previous) => previous.reversals,
            // The first change from the node's own weight.
            None => 0,
        };
        let state = ShareState { share: change.share, since: now, raised, reversals };
        self.share_states.insert(change.name.into(), state);
    }

    /// Forgets nodes that are back at their own weight and whose last change is no longer recent.
    fn forget_settled(&mut self, now: Time) {
        let recent_change_window = self.recent_change_window();
        self.share_states.retain(|_, state| state.share != 1.0 || now < state.since + recent_change_window);
    }
}

/// Rule 4: a cold node gets no more than the least share of any warm one. Otherwise it would get a larger part of
/// the work than its warm-up allows, as soon as a hook takes work from the others. The violation is counted at
/// `admit`, also if the share was proposed at `shape`.
fn limit_cold_shares(
    view: &View,
    proposal: &Proposal,
    shares: &mut BTreeMap<String, f64>,
    violations: &mut ViolationCounts,
) {
    let least_warm_share = shares.values().copied().fold(1.0, f64::min);
    for node in view.nodes.iter().filter(|node| node.ready && !node.warmed_up) {
        let shaped = proposal.shares.get(&node.name).copied();
        let admitted = proposal.admit_shares.get(&node.name).copied();
        let strictest =
            [shaped, admitted].into_iter().flatten().min_by(|one, other| one.share.total_cmp(&other.share));
        if let Some(ProposedShare { share, hook }) = strictest
            && share > least_warm_share
        {
            *violations.entry((hook, Point::Admit, Rule::ColdNode)).or_default() += 1;
        }
        let share = strictest.map_or(1.0, |proposed| proposed.share).min(least_warm_share);
        if share < 1.0 {
            shares.insert(node.name.clone(), share);
        }
    }
}
