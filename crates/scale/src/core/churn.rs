//! Random changes of the fleet at a fixed rate, from a seed: restarts, drains and failures, and the changes that follow
//! from them. The rate counts every change of the list, those that follow included.

use std::collections::BTreeMap;

use super::fleet::{Change, Fleet, NodeState, NodeStatus};
use super::ids::{Micros, NodeIndex};

/// Percentage of restarts among new changes. A restart is one change: the node is listed with a new start time.
const RESTART_PERCENT: u32 = 50;
/// Percentage of drains among new changes; the remaining ones are failures.
const DRAIN_PERCENT: u32 = 35;
/// A draining node leaves the list after this time, and is back after the same time again.
const DRAIN_DURATION: Micros = Micros::from_millis(8_000);
/// The shortest time after which a failed node is back.
const MIN_FAILURE: Micros = Micros::from_millis(5_000);
/// A random time up to this is added to `MIN_FAILURE`, in microseconds.
const FAILURE_SPREAD_MICROS: u64 = 10_000_000;
/// Share of the fleet that may be out of service at once. At this share no new drain or failure begins.
const MAX_OUT_SHARE: f64 = 0.05;

/// The next state of a node that is out of service.
#[derive(Clone, Copy, Debug)]
struct Transition {
    node: NodeIndex,
    state: NodeState,
}

/// Generates the random changes.
pub struct Churn {
    rng: fastrand::Rng,
    /// Time between two changes.
    interval: Micros,
    /// When the next change is due.
    next_due: Micros,
    /// Transitions of the nodes that are out of service, by the time from which they are due.
    scheduled: BTreeMap<(Micros, NodeIndex), Transition>,
    /// Number of nodes that are out of service.
    nodes_out: usize,
}

impl Churn {
    /// Returns a generator of `per_second` changes per second, the first at `first_due`.
    pub fn new(seed: u64, per_second: f64, first_due: Micros) -> Churn {
        let interval = Micros::from_seconds(1.0 / per_second);
        Churn {
            rng: fastrand::Rng::with_seed(seed),
            interval,
            next_due: first_due,
            scheduled: BTreeMap::new(),
            nodes_out: 0,
        }
    }

    /// Returns when the next change is due.
    pub fn next_due(&self) -> Micros {
        self.next_due
    }

    /// Returns the change that is due now, or `None` if too many nodes are out of service for a new one.
    pub fn next_change(&mut self, now: Micros, fleet: &Fleet) -> Option<Change> {
        self.next_due = self.next_due + self.interval;
        let earliest = self.scheduled.first_key_value().map(|((at, _), _)| *at);
        match earliest.filter(|at| *at <= now) {
            Some(_) => self.scheduled.pop_first().map(|(_, transition)| self.follow_up(now, transition)),
            None => self.start_change(now, fleet),
        }
    }

    /// Returns the change of a scheduled transition, and schedules the next one of its node.
    fn follow_up(&mut self, now: Micros, transition: Transition) -> Change {
        let started = match transition.state {
            NodeState::Active => {
                self.nodes_out -= 1;
                Some(now)
            }
            NodeState::Leaving | NodeState::Left => {
                let back = Transition { state: NodeState::Active, ..transition };
                self.scheduled.insert((now + DRAIN_DURATION, transition.node), back);
                None
            }
        };
        Change { node: transition.node, status: NodeStatus { state: transition.state, started } }
    }

    /// Returns a new restart, drain or failure of a random active node.
    fn start_change(&mut self, now: Micros, fleet: &Fleet) -> Option<Change> {
        if self.nodes_out as f64 >= MAX_OUT_SHARE * fleet.len() as f64 {
            return None;
        }
        let node = self.random_active(fleet)?;
        let restarted = NodeStatus { state: NodeState::Active, started: Some(now) };
        let status = match self.rng.u32(0..100) {
            roll if roll < RESTART_PERCENT => restarted,
            roll if roll < RESTART_PERCENT + DRAIN_PERCENT => {
                self.take_out(now + DRAIN_DURATION, Transition { node, state: NodeState::Left });
                NodeStatus { state: NodeState::Leaving, started: None }
            }
            _ => {
                let outage = MIN_FAILURE + Micros(self.rng.u64(0..FAILURE_SPREAD_MICROS));
                self.take_out(now + outage, Transition { node, state: NodeState::Active });
                NodeStatus { state: NodeState::Left, started: None }
            }
        };
        Some(Change { node, status })
    }

    /// Counts a node as out of service, and schedules its next state.
    fn take_out(&mut self, at: Micros, transition: Transition) {
        self.nodes_out += 1;
        self.scheduled.insert((at, transition.node), transition);
    }

    /// Returns a random active node, or `None` if none was found in `MAX_ATTEMPTS` draws.
    fn random_active(&mut self, fleet: &Fleet) -> Option<NodeIndex> {
        const MAX_ATTEMPTS: usize = 50;
        let is_active =
            |node: &NodeIndex| fleet.status(*node).is_some_and(|status| status.state == NodeState::Active);
        let count = fleet.len() as u32;
        (0..MAX_ATTEMPTS).map(|_| NodeIndex(self.rng.u32(0..count.max(1)))).find(is_active)
    }
}
