//! The ids of nodes, by the names that discovery lists them under. A name keeps its id until the decision module
//! forgets the node. No id is assigned twice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use oatpitch::interface::NodeId;

use super::message::Name;

/// Assigns ids to node names, and numbers to kinds of machines.
#[derive(Debug, Default)]
pub struct NodeNames {
    ids: BTreeMap<Name, NodeId>,
    names: BTreeMap<NodeId, Name>,
    machine_kinds: BTreeMap<String, u8>,
    /// Number of the next id.
    next_id: u32,
}

impl NodeNames {
    /// Returns the id of a node, and assigns one when the node is first listed.
    pub fn id_or_insert(&mut self, name: &str) -> NodeId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = NodeId(self.next_id.to_be_bytes(), 0);
        self.next_id = self.next_id.wrapping_add(1);
        let name: Name = Arc::from(name);
        self.ids.insert(name.clone(), id);
        self.names.insert(id, name);
        id
    }

    /// Returns the id of a node, if its name is known.
    pub fn id(&self, name: &str) -> Option<NodeId> {
        self.ids.get(name).copied()
    }

    /// Returns the name of a node, if it is known.
    pub fn name(&self, id: NodeId) -> Option<&Name> {
        self.names.get(&id)
    }

    /// Forgets a node. Its name gets a new id when it is listed again.
    pub fn remove(&mut self, id: NodeId) {
        if let Some(name) = self.names.remove(&id) {
            self.ids.remove(&name);
        }
    }

    /// Returns how many nodes are known.
    #[cfg(test)]
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Returns the known nodes that are not among these names.
    pub fn ids_not_in(&self, names: &BTreeSet<&str>) -> Vec<NodeId> {
        self.ids.iter().filter(|(name, _)| !names.contains(&***name)).map(|(_, id)| *id).collect()
    }

    /// Returns the number of a kind of machine, in the order of first listing. Kinds beyond the last number share it.
    pub fn machine_kind(&mut self, name: &str) -> u8 {
        let next = self.machine_kinds.len().min(u8::MAX.into()) as u8;
        *self.machine_kinds.entry(name.into()).or_insert(next)
    }
}
