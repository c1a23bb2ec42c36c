//! The check of the third rule: once a conductor has been told that a node drains or is gone, its dispatchers send
//! nothing there after the grace, whatever tables they hold.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::conductor::Conductor;
use crate::dispatcher::Dispatcher;
use crate::record::Record;
use crate::rule_no_node::{SOCKET_SLACK_MS, START_SLACK};

/// The check, called at short intervals.
pub struct DrainCheck {
    limit: Duration,
    /// The dispatchers and nodes that were told of.
    told: BTreeSet<(usize, String)>,
    longest: Duration,
    pub broken: usize,
    record: Record,
}

impl DrainCheck {
    pub fn new(grace_ms: u64, record: &Record) -> DrainCheck {
        DrainCheck {
            limit: Duration::from_millis(grace_ms + SOCKET_SLACK_MS),
            told: BTreeSet::new(),
            longest: Duration::ZERO,
            broken: 0,
            record: record.clone(),
        }
    }

    /// Looks at what all dispatchers sent last.
    pub fn look(&mut self, dispatchers: &[Dispatcher], conductors: &[Conductor]) {
        for (number, dispatcher) in dispatchers.iter().enumerate() {
            let state = dispatcher.state.lock().unwrap();
            let Some(joined) = state.joined else { continue };
            let conductor = &conductors[joined.conductor];
            let earliest = joined.since.max(conductor.ready_at + START_SLACK);
            for (node, closed) in conductor.agent.closed() {
                // For a dispatcher that joined later, the time starts then.
                let since: Instant = closed.max(earliest);
                let Some(sent) = state.sent.get(&node) else { continue };
                let lasted = sent.saturating_duration_since(since);
                self.longest = self.longest.max(lasted);
                if lasted > self.limit && self.told.insert((number, node.clone())) {
                    self.broken += 1;
                    self.record.tell(&format!(
                        "BROKEN: dispatcher {number} ({}) of {} sent to {node}, which is gone or drains by the list \
                         there, {} ms after that counted",
                        dispatcher.zone,
                        conductor.name,
                        lasted.as_millis()
                    ));
                }
            }
        }
    }

    /// Tells the result.
    pub fn tell(&self) {
        self.record.tell(&format!(
            "rule 3: broken {} times (dispatchers and nodes); the latest exchange came after {} ms, the limit {} ms",
            self.broken,
            self.longest.as_millis(),
            self.limit.as_millis()
        ));
    }
}
