//! Ejections: which nodes a stream must be told to eject or to restore, also where another conductor may have ejected
//! them.

use rpds::RedBlackTreeMap;

use super::shared_parts::SharedParts;
use super::*;

/// What a proxy was sent about the ejection of nodes on its stream: true for ejected, false for restored. Proxies that
/// were sent the same share one map, and the map shares its structure with its copies, so that one more node does not
/// copy an entry for each node of the fleet.
pub(super) type EjectionsSent = Rc<RedBlackTreeMap<NodeId, bool>>;

/// Nodes of each full table that are restored along with it at a proxy that may hold ejections of another conductor, so
/// that it has a line at once (count).
pub(super) const RESTORED_WITH_TABLE: usize = 1;

/// Nodes of a table among which those restored with it are chosen, in turn by proxy, so that not all proxies send to the
/// same one (count).
const RESTORE_CHOICES: usize = 8;

/// The nodes that a turn restores at a stream because another conductor may have ejected any of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Readmission {
    None,
    /// A few nodes of each full table, chosen by this number.
    Few(usize),
    /// All nodes of the stream's tables.
    All,
}

/// The ejections and restorations that a stream must be sent.
pub(super) struct EjectionChanges {
    pub eject: Vec<NodeId>,
    pub restore: Vec<NodeId>,
    /// Everything that the stream has been sent afterwards.
    pub after: EjectionsSent,
}

impl DesiredState {
    /// Returns the nodes of a table with the greatest weights that are not withdrawn.
    pub(super) fn heaviest_nodes(&self, table: &Table) -> Vec<NodeId> {
        let usable = table.lines.iter().filter(|(node, _)| !self.withdrawn.contains(node));
        let mut lines: Vec<(NodeId, f32)> = usable.map(|(node, weight)| (*node, *weight)).collect();
        lines.sort_by(|a, b| b.1.total_cmp(&a.1));
        lines.truncate(RESTORE_CHOICES);
        lines.into_iter().map(|(node, _)| node).collect()
    }

    /// Returns the nodes that a turn restores at a stream whatever other conductors ejected there.
    pub(super) fn readmitted_nodes(
        &self,
        stream: &Stream,
        readmission: Readmission,
        shared: &SharedParts,
    ) -> BTreeSet<NodeId> {
        match readmission {
            Readmission::None => BTreeSet::new(),
            Readmission::Few(number) => {
                let unrestored = shared.heaviest.iter().filter(|(id, _)| !stream.has_restored(**id));
                let chosen = unrestored.flat_map(|(_, nodes)| {
                    let first = number % nodes.len().max(1);
                    nodes.iter().cycle().skip(first).take(RESTORED_WITH_TABLE.min(nodes.len()))
                });
                chosen.copied().collect()
            }
            Readmission::All => self.unrestored_nodes(stream),
        }
    }

    /// Returns the nodes of a stream's tables that may be ejected there by another conductor for all that was sent on
    /// the stream.
    pub(super) fn unrestored_nodes(&self, stream: &Stream) -> BTreeSet<NodeId> {
        if !stream.may_hold_ejections {
            return BTreeSet::new();
        }
        let tables = stream.binding.iter().flatten().filter(|id| !stream.has_restored(**id));
        let lines = tables.filter_map(|id| self.tables.get(id)).flat_map(|table| table.lines.keys());
        let unknown = lines
            .filter(|node| !self.withdrawn.contains(*node) && !stream.ejections_sent.contains_key(*node));
        unknown.copied().collect()
    }

    /// Returns the nodes that a proxy must be told to eject or to restore: those of which it was sent something else on
    /// this stream, and those with a line in this message that it may have been told to eject on an earlier stream.
    pub(super) fn ejection_changes(
        &self,
        stream: &Stream,
        ejections: &[NodeId],
        shared: &SharedParts,
    ) -> EjectionChanges {
        let is_relevant = |node: &NodeId| self.may_use(stream, node);
        let possibly_ejected: &[NodeId] =
            if stream.clears_ejections { &[] } else { &shared.possibly_ejected };
        let mut candidates: BTreeSet<NodeId> = ejections.iter().copied().filter(is_relevant).collect();
        // Of the nodes listed in the message, only these can differ from what the proxy holds.
        candidates.extend(shared.withdrawn.iter().chain(possibly_ejected));
        candidates.extend(common_nodes(&shared.listed, &stream.ejections_sent));
        let mut eject = Vec::new();
        let mut restore = Vec::new();
        let mut after = stream.ejections_sent.clone();
        for node in candidates {
            let is_withdrawn = self.withdrawn.contains(&node);
            // A proxy keeps the ejections that another conductor sent it when it changes to this one.
            let may_hold_ejection =
                !is_withdrawn && !stream.clears_ejections && self.possibly_ejected.contains(&node);
            let is_ejected = stream.ejections_sent.get(&node).copied().unwrap_or(may_hold_ejection);
            if is_withdrawn == is_ejected {
                continue;
            }
            Rc::make_mut(&mut after).insert_mut(node, is_withdrawn);
            if is_withdrawn { &mut eject } else { &mut restore }.push(node);
        }
        EjectionChanges { eject, restore, after }
    }

    /// Returns whether a proxy may have a line for a node.
    fn may_use(&self, stream: &Stream, node: &NodeId) -> bool {
        // Every node counts for a proxy that is bound for some classes only. A proxy that is not bound at all will get
        // tables without the withdrawn nodes.
        let is_partly_bound =
            stream.binding.iter().any(Option::is_none) && stream.binding.iter().any(Option::is_some);
        let mut tables = stream.binding.iter().flatten().filter_map(|id| self.tables.get(id));
        is_partly_bound || tables.any(|table| table.lines.contains_key(node))
    }
}

/// Returns what a turn restores at a proxy's stream because another conductor may have ejected it.
pub(super) fn readmission(turn: &TurnChanges, proxy: ProxyId, stream: &Stream) -> Readmission {
    if !stream.may_hold_ejections {
        Readmission::None
    } else if turn.readmitted.contains(&proxy) {
        Readmission::All
    } else if turn.bound.contains_key(&proxy) {
        Readmission::Few(proxy.0 as usize % RESTORE_CHOICES)
    } else {
        Readmission::None
    }
}

/// Returns the listed nodes of which the stream was sent something before. Iterates over the smaller collection.
fn common_nodes(listed: &BTreeSet<NodeId>, sent: &RedBlackTreeMap<NodeId, bool>) -> Vec<NodeId> {
    if listed.len() <= sent.size() {
        listed.iter().filter(|node| sent.contains_key(node)).copied().collect()
    } else {
        sent.keys().filter(|node| listed.contains(node)).copied().collect()
    }
}
