//! Events between two rounds, which hooks are notified of.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::view::{NodeView, View};

/// One change between two views.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    /// `drain`, `return`, `ease`, `raise`, `trial`, or `strain`.
    pub kind: String,
    /// The node's name; empty for an event of the whole fleet.
    pub node: String,
    /// The node's new health share for `ease`, `raise` and `trial`, the new strain for `strain`, and 0 otherwise.
    #[serde(rename = "figure")]
    pub value: f64,
}

/// Most events of one round. Hooks see any others in the views alone.
const MAX_EVENTS: usize = 64;

/// Returns what changed from one view to the next: the strain first, then nodes in the order of the later view.
pub fn events_between(before: &View, after: &View) -> Vec<Event> {
    let nodes_before: BTreeMap<&str, &NodeView> =
        before.nodes.iter().map(|node| (node.name.as_str(), node)).collect();
    let mut events = Vec::new();
    let mut push = |kind: &str, node: &str, value| {
        events.push(Event { kind: kind.into(), node: node.into(), value });
    };
    if before.strain != after.strain {
        push("strain", "", after.strain.into());
    }
    for node in &after.nodes {
        let Some(old) = nodes_before.get(node.name.as_str()) else { continue };
        match (old.ready, node.ready) {
            (true, false) => push("drain", &node.name, 0.0),
            (false, true) => push("return", &node.name, 0.0),
            _ if node.on_trial && !old.on_trial => push("trial", &node.name, node.health_share),
            _ if node.health_share < old.health_share => push("ease", &node.name, node.health_share),
            _ if node.health_share > old.health_share => push("raise", &node.name, node.health_share),
            _ => {}
        }
    }
    events.truncate(MAX_EVENTS);
    events
}
