//! Changes of the fleet by chance, from a seed and at a rate: restarts, drains and failures, and the returns they lead
//! to. Each change counts, whether it begins something or ends it.

use std::collections::BTreeMap;

use super::fleet::{Change, Fleet, Listed, NodeState};
use super::ids::{Micros, NodeIndex};

/// Of a hundred that begin: restarts, which are told as a fresh start at once, and drains; the rest fails.
const RESTARTS: u32 = 50;
const DRAINS: u32 = 35;
/// A drained node is gone after this, and back after as long again.
const DRAIN_SPAN: Micros = Micros::from_millis(8_000);
/// A failed node is back after a time between these.
const FAILURE_SHORTEST: Micros = Micros::from_millis(5_000);
const FAILURE_SPREAD: u64 = 10_000_000;
/// The largest part of the fleet that is out at once; beyond it only returns come.
const OUT_MOST: f64 = 0.05;

/// What a node is to be next, and when.
#[derive(Clone, Copy, Debug)]
struct Next {
    node: NodeIndex,
    state: NodeState,
}

pub struct Churn {
    chance: fastrand::Rng,
    /// Between two changes.
    interval: Micros,
    due: Micros,
    returns: BTreeMap<(Micros, NodeIndex), Next>,
    out: usize,
}

impl Churn {
    /// So many changes a second from a time on.
    pub fn new(seed: u64, per_second: f64, from: Micros) -> Churn {
        let interval = Micros::from_seconds(1.0 / per_second);
        Churn {
            chance: fastrand::Rng::with_seed(seed),
            interval,
            due: from,
            returns: BTreeMap::new(),
            out: 0,
        }
    }

    /// When the next change is due.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// The change that is due now; none where too much of the fleet is out already.
    pub fn next(&mut self, now: Micros, fleet: &Fleet) -> Option<Change> {
        self.due = self.due + self.interval;
        let first = self.returns.first_key_value().map(|((at, _), _)| *at);
        match first.filter(|at| *at <= now) {
            Some(_) => self.returns.pop_first().map(|(_, next)| self.go_on(now, next)),
            None => self.begin(now, fleet),
        }
    }

    fn go_on(&mut self, now: Micros, next: Next) -> Change {
        let started = match next.state {
            NodeState::Active => {
                self.out -= 1;
                Some(now)
            }
            NodeState::Leaving | NodeState::Left => {
                let back = Next { state: NodeState::Active, ..next };
                self.returns.insert((now + DRAIN_SPAN, next.node), back);
                None
            }
        };
        Change { node: next.node, listed: Listed { state: next.state, started } }
    }

    fn begin(&mut self, now: Micros, fleet: &Fleet) -> Option<Change> {
        if self.out as f64 >= OUT_MOST * fleet.len() as f64 {
            return None;
        }
        let node = self.active(fleet)?;
        let restarted = Listed { state: NodeState::Active, started: Some(now) };
        let listed = match self.chance.u32(0..100) {
            roll if roll < RESTARTS => restarted,
            roll if roll < RESTARTS + DRAINS => {
                let next = Next { node, state: NodeState::Left };
                self.go_out(now + DRAIN_SPAN, next);
                Listed { state: NodeState::Leaving, started: None }
            }
            _ => {
                let span = FAILURE_SHORTEST + Micros(self.chance.u64(0..FAILURE_SPREAD));
                self.go_out(now + span, Next { node, state: NodeState::Active });
                Listed { state: NodeState::Left, started: None }
            }
        };
        Some(Change { node, listed })
    }

    fn go_out(&mut self, at: Micros, next: Next) {
        self.out += 1;
        self.returns.insert((at, next.node), next);
    }

    /// A node that is active, by chance.
    fn active(&mut self, fleet: &Fleet) -> Option<NodeIndex> {
        const TRIES: usize = 50;
        let is_active =
            |node: &NodeIndex| fleet.listed(*node).is_some_and(|listed| listed.state == NodeState::Active);
        let count = fleet.len() as u32;
        (0..TRIES).map(|_| NodeIndex(self.chance.u32(0..count.max(1)))).find(is_active)
    }
}
