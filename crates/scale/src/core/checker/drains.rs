//! Rule 3: proxies must stop using a draining or gone node within the time limit.

use super::{Checker, Deadline, Proxy, Rule, Violation, conductor_violation};
use crate::core::ids::{Micros, NodeIndex, ProxyIndex};
use crate::core::message::Message;

impl Checker {
    /// Returns by when a proxy must have stopped using a node, or `None` if it may go on using it.
    fn drain_deadline(&self, proxy: &Proxy, node: NodeIndex) -> Option<Micros> {
        let conductor = self.conductor(proxy.conductor?)?;
        let known = conductor.nodes.get(&node).filter(|_| conductor.draining.contains(&node))?;
        let start = known.at.max(proxy.joined_at).max(conductor.limits_apply_from?);
        Some(start + self.limits.stop_sending_within + self.limits.slack)
    }

    fn check_drain(&mut self, now: Micros, proxy: ProxyIndex, node: NodeIndex) {
        let Some(state) = self.proxy(proxy).filter(|state| state.table.uses(node)) else { return };
        let Some(conductor) = state.conductor else { return };
        if self.drain_deadline(state, node).is_some_and(|deadline| now >= deadline) {
            let (proxy, node) = (Some(proxy), Some(node));
            self.record(Violation { proxy, node, ..conductor_violation(Rule::Drain, now, conductor) });
        }
    }

    /// Checks a time limit that has expired at `due`.
    pub(super) fn check_deadline(&mut self, due: Micros, deadline: Deadline) {
        match deadline {
            Deadline::Drain(conductor, node) => {
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].conductor == Some(conductor) {
                        self.check_drain(due, ProxyIndex(proxy as u16), node);
                    }
                }
            }
            Deadline::Joined(proxy) => {
                for node in self.draining_at_joining(proxy) {
                    self.check_drain(due, proxy, node);
                }
            }
        }
    }

    /// Returns the nodes that were draining when a proxy joined. Later drains have a deadline of their own.
    fn draining_at_joining(&self, proxy: ProxyIndex) -> Vec<NodeIndex> {
        let Some(state) = self.proxy(proxy) else { return Vec::new() };
        let Some(conductor) = state.conductor.and_then(|conductor| self.conductor(conductor)) else {
            return Vec::new();
        };
        let known_before =
            |node: &&NodeIndex| conductor.nodes.get(node).is_some_and(|known| known.at <= state.joined_at);
        conductor.draining.iter().filter(known_before).copied().collect()
    }

    /// Checks that a message doesn't bring back a node after its time limit has expired.
    pub(super) fn check_reuse(&mut self, now: Micros, proxy: ProxyIndex, message: &Message) {
        let Some(conductor) = self.proxy(proxy).and_then(|state| state.conductor) else { return };
        if self.conductor(conductor).is_none_or(|state| state.draining.is_empty()) {
            return;
        }
        for part in &message.parts {
            let opened = part.lines.iter().filter(|(_, weight)| *weight > 0.0).map(|(node, _)| node);
            for node in opened.chain(&part.restore) {
                self.check_drain(now, proxy, *node);
            }
        }
    }
}
