//! The fleet as discovery holds it: nodes by service, region and zone, with a version. The whole list is rendered as one
//! JSON document; each later change is kept as one line of the watch.

use std::fmt::Write;
use std::rc::Rc;

use bytes::Bytes;
use serde::Serialize;

use super::ids::{MICROS_PER_MILLI, Micros, NodeIndex};
use super::plan::Plan;

/// The most changes that are kept as lines. A watch that resumes from an older version is sent the whole list.
const MAX_KEPT_CHANGES: usize = 1 << 16;
/// Number of machine models, assigned to the nodes in turn.
const MODELS: u32 = 2;

/// The state of a node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum NodeState {
    /// In service.
    Active,
    /// Draining: still running, but not to be used any more.
    Leaving,
    /// Gone.
    Left,
}

impl NodeState {
    fn wire_name(self) -> &'static str {
        match self {
            NodeState::Active => "active",
            NodeState::Leaving => "leaving",
            NodeState::Left => "left",
        }
    }
}

/// The entry of one node in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    pub state: NodeState,
    /// When the node last started, on the test's clock; `None` for a start before the test.
    pub started: Option<Micros>,
}

/// A change of one node's entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub node: NodeIndex,
    pub status: NodeStatus,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    /// Index of the node's zone.
    zone: u32,
    /// Number of the node's service.
    service: u32,
    status: NodeStatus,
}

/// A change with the version that it made.
#[derive(Clone, Debug)]
pub struct VersionedChange {
    pub version: u64,
    pub change: Change,
    /// The change as a line of a watch.
    pub line: Bytes,
}

/// The whole list at a version.
#[derive(Clone, Debug)]
pub struct Snapshot {
    pub version: u64,
    /// The list as JSON.
    pub document: Bytes,
    /// Indexed by node; shared by all conductors that are sent the snapshot.
    pub statuses: Rc<[NodeStatus]>,
}

/// All nodes, and the latest changes to them.
pub struct Fleet {
    nodes: Vec<Node>,
    /// Names of the zones.
    zones: Vec<String>,
    /// Unix time of the start of the test's clock, in milliseconds.
    epoch_ms: u64,
    version: u64,
    /// The list as it was last rendered.
    snapshot: Snapshot,
    /// The latest changes, the oldest first; each made the next version.
    changes: Vec<VersionedChange>,
}

impl Fleet {
    /// Returns the fleet of a plan, with all nodes active. `epoch_ms` is the Unix time at the start of the test's clock.
    pub fn new(plan: &Plan, epoch_ms: u64) -> Fleet {
        let zones = zone_names(plan);
        let status = NodeStatus { state: NodeState::Active, started: None };
        let node = |node: u32| Node {
            zone: node % plan.zones.max(1),
            service: node / plan.zones.max(1) % plan.services.max(1),
            status,
        };
        let nodes = (0..plan.nodes).map(node).collect();
        let snapshot = Snapshot { version: 0, document: Bytes::new(), statuses: Rc::from([]) };
        let mut fleet = Fleet { nodes, zones, epoch_ms, version: 1, snapshot, changes: Vec::new() };
        fleet.snapshot = fleet.render();
        fleet
    }

    /// Returns the current version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the names of the zones.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Returns the number of nodes in the list, whatever their state.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether the list has no nodes.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Returns the entry of a node, if the list has it.
    pub fn status(&self, node: NodeIndex) -> Option<NodeStatus> {
        self.nodes.get(node.0 as usize).map(|node| node.status)
    }

    /// Returns the zone of a node, if the list has it.
    pub fn zone(&self, node: NodeIndex) -> Option<u32> {
        self.nodes.get(node.0 as usize).map(|node| node.zone)
    }

    /// Samples at most `count` active nodes: from `zone` if at least three of its nodes are active, otherwise from all.
    pub fn sample_active(&self, zone: u32, count: u16, rng: &mut fastrand::Rng) -> Vec<NodeIndex> {
        const MIN_ZONE_NODES: usize = 3;
        let all = || (0..self.nodes.len()).map(|node| NodeIndex(node as u32));
        let active =
            |node: &NodeIndex| self.status(*node).is_some_and(|status| status.state == NodeState::Active);
        // Nodes are assigned to the zones in turn.
        let zone_nodes = all().skip(zone as usize).step_by(self.zones.len().max(1));
        let in_zone: Vec<NodeIndex> = zone_nodes.filter(active).collect();
        let candidates =
            if in_zone.len() >= MIN_ZONE_NODES { in_zone } else { all().filter(active).collect() };
        rng.choose_multiple(candidates, usize::from(count))
    }

    /// Applies a change, which makes a new version. A change of a node outside the fleet is ignored.
    pub fn apply(&mut self, change: Change) {
        let Some(node) = self.nodes.get_mut(change.node.0 as usize) else { return };
        node.status = change.status;
        self.version += 1;
        let line = self.change_line(change.node);
        self.changes.push(VersionedChange { version: self.version, change, line });
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.drain(..MAX_KEPT_CHANGES / 2);
            self.snapshot = self.render();
        }
    }

    /// Returns the list as it was last rendered; [`Fleet::changes_after`] returns what has changed since.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Returns the current list, rendered again only if it has changed.
    pub fn current(&mut self) -> &Snapshot {
        if self.snapshot.version < self.version {
            self.snapshot = self.render();
        }
        &self.snapshot
    }

    /// Whether all changes after a version are still kept as lines.
    pub fn has_changes_since(&self, version: u64) -> bool {
        let first = self.changes.first().map_or(self.version, |change| change.version - 1);
        (first..=self.version).contains(&version)
    }

    /// Returns the kept changes after a version, the oldest first.
    pub fn changes_after(&self, version: u64) -> &[VersionedChange] {
        let start = self.changes.partition_point(|change| change.version <= version);
        &self.changes[start..]
    }

    fn render(&self) -> Snapshot {
        /// Estimated length of one entry, for the capacity of the string.
        const ENTRY_BYTES: usize = 170;
        let mut document = String::with_capacity(self.nodes.len() * ENTRY_BYTES);
        document.push_str(&document_head(self.version, true));
        for node in 0..self.nodes.len() {
            if node > 0 {
                document.push(',');
            }
            self.push_entry(NodeIndex(node as u32), &mut document);
        }
        document.push_str("]}");
        let statuses = self.nodes.iter().map(|node| node.status).collect();
        Snapshot { version: self.version, document: document.into(), statuses }
    }

    fn change_line(&self, node: NodeIndex) -> Bytes {
        let mut line = document_head(self.version, false);
        self.push_entry(node, &mut line);
        line.push_str("]}");
        line.into()
    }

    fn push_entry(&self, index: NodeIndex, document: &mut String) {
        let Some(node) = self.nodes.get(index.0 as usize) else { return };
        let [high, mid, low, _] = (index.0 << 8).to_be_bytes();
        let zone = self.zones.get(node.zone as usize).map_or("", String::as_str);
        let boot_ms = node.status.started.map_or(0, |started| self.epoch_ms + started.0 / MICROS_PER_MILLI);
        // Writing to a string can't fail.
        let _ = write!(
            document,
            r#"{{"uid":"{}","endpoint":"10.{high}.{mid}.{low}:7070","az":"{zone}","model":"m{}","pod_group":{},"state":"{}","capacity_hint":1.0,"boot_ms":{boot_ms}}}"#,
            node_name(index),
            index.0 % MODELS,
            node.service,
            node.status.state.wire_name(),
        );
    }
}

/// Returns the beginning of a document, up to its entries.
fn document_head(version: u64, all: bool) -> String {
    format!(r#"{{"rev":{version},"all":{all},"targets":["#)
}

/// Returns the names of a plan's zones, each with its region.
pub fn zone_names(plan: &Plan) -> Vec<String> {
    let regions = u64::from(plan.regions.max(1));
    let zones = u64::from(plan.zones.max(1));
    let name = |zone: u64| format!("r{:02}-z{zone:03}", zone * regions / zones);
    (0..zones).map(name).collect()
}

/// Returns the name of a node in the list.
pub fn node_name(node: NodeIndex) -> String {
    format!("s-{:08x}", node.0)
}

/// Parses the name of a node, the inverse of [`node_name`].
pub fn parse_node_name(name: &str) -> Option<NodeIndex> {
    const DIGITS: usize = 8;
    let digits = name.strip_prefix("s-").filter(|digits| digits.len() == DIGITS)?;
    u32::from_str_radix(digits, 16).ok().map(NodeIndex)
}
