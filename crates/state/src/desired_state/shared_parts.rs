//! What a turn sends to several streams alike.

use std::collections::{BTreeMap, BTreeSet};

use oatpitch::interface::{NodeId, TableId};

use crate::message::Part;

/// What a turn sends to all streams with the same binding, if the same of their classes were bound in the turn.
pub(super) struct SharedParts {
    pub parts: Vec<Part>,
    /// Nodes with a line in the parts.
    pub listed: BTreeSet<NodeId>,
    /// Those of the listed nodes that are withdrawn.
    pub withdrawn: Vec<NodeId>,
    /// Those of the listed nodes that another conductor may have ejected at the proxy, by what this one has seen.
    pub possibly_ejected: Vec<NodeId>,
    /// Of each full table, the nodes with the greatest weights.
    pub heaviest: BTreeMap<TableId, Vec<NodeId>>,
}
