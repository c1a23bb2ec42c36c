//! The tables, levels and withdrawals that the decision module has ordered, and the messages that bring each proxy
//! up to date. A proxy gets at most one message per turn, and none if nothing changes for it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use oatpitch::interface::*;

use super::message::{Binding, Level};
use super::{ConnectionId, Effect, limits};

mod ejections;
mod orders;
mod shared_parts;
mod turn;

use ejections::EjectionsSent;

#[derive(Debug, Default)]
struct Table {
    lines: BTreeMap<NodeId, f32>,
    levels: BTreeMap<ClassId, Level>,
}

/// The stream of a joined proxy: what it is bound to, and what it was sent.
#[derive(Debug)]
pub struct Stream {
    pub conn: ConnectionId,
    binding: Binding,
    /// Whether its first full table here clears the ejections that other conductors sent it.
    clears_ejections: bool,
    /// Whether it may hold ejections of another conductor, which may have had another list.
    may_hold_ejections: bool,
    /// The binding at which all nodes of its tables were last restored, whatever other conductors had ejected.
    restored_binding: Option<Binding>,
    ejections_sent: EjectionsSent,
    /// Index of the first of this turn's ejections that was ordered after the proxy joined.
    first_ejection: usize,
    /// Unacknowledged marks, and when they were ordered.
    pending_marks: BTreeMap<u16, Time>,
}

impl Stream {
    /// Whether all nodes of a table were restored, whatever other conductors had ejected.
    fn has_restored(&self, table: TableId) -> bool {
        self.restored_binding.iter().flat_map(|binding| binding.iter()).any(|id| *id == Some(table))
    }

    /// Adds a mark, and drops the oldest one if there are too many.
    fn add_pending_mark(&mut self, mark: u16, now: Time) {
        if self.pending_marks.len() >= limits::MAX_PENDING_MARKS {
            let oldest = self.pending_marks.iter().min_by_key(|(_, at)| **at).map(|(mark, _)| *mark);
            if let Some(oldest) = oldest {
                self.pending_marks.remove(&oldest);
            }
        }
        self.pending_marks.insert(mark, now);
    }
}

/// A mark that the messages of a turn carry.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RequestedMark {
    number: u16,
    /// Whether proxies for which nothing changes get a message with the mark too.
    everyone: bool,
}

/// What the orders of this turn changed.
#[derive(Debug, Default, PartialEq)]
struct TurnChanges {
    /// Nodes whose line was set or removed, by table.
    lines: BTreeMap<TableId, BTreeSet<NodeId>>,
    /// Classes whose level was set, by table.
    levels: BTreeMap<TableId, BTreeSet<ClassId>>,
    /// Tables that were cleared, and are sent in full.
    cleared: BTreeSet<TableId>,
    /// Classes whose level for all tables was set.
    common_levels: BTreeSet<ClassId>,
    /// Classes that were bound to a table, by proxy.
    bound: BTreeMap<ProxyId, BTreeSet<ClassId>>,
    /// Proxies at which all nodes of their tables are restored.
    readmitted: BTreeSet<ProxyId>,
    mark: Option<RequestedMark>,
    /// Nodes that were withdrawn or whose withdrawal was ended, in order.
    ejections: Vec<NodeId>,
}

/// The state that proxies are to have, what each was sent of it, and the other orders of the decision module.
#[derive(Debug, Default)]
pub struct DesiredState {
    class_count: u16,
    /// All bindings in use, so that equal ones are shared.
    bindings: BTreeSet<Binding>,
    /// The empty map of streams that have just joined.
    no_ejections: EjectionsSent,
    /// Revision of the last turn that ordered anything.
    revision: u64,
    tables: BTreeMap<TableId, Table>,
    /// Levels that apply to all tables.
    common_levels: BTreeMap<ClassId, Level>,
    withdrawn: BTreeSet<NodeId>,
    /// Nodes that another conductor may have ejected at a proxy that joins here: they have been restarted, drained or
    /// removed at some time.
    possibly_ejected: BTreeSet<NodeId>,
    pub streams: BTreeMap<ProxyId, Stream>,
    /// Nodes to be removed at the end of the turn, because orders of the turn may still name them.
    forgotten: Vec<NodeId>,
    turn: TurnChanges,
    /// Orders that are effects already.
    pub effects: Vec<Effect>,
    /// Lines for the log, and the nodes that they are about.
    pub notes: Vec<(Option<NodeId>, String)>,
    /// Times at which the decision module is to run.
    pub timers: BTreeSet<Time>,
    /// Whether the watch of the list is to be open, if this turn has ordered either.
    pub watch_requested: Option<bool>,
    /// Whether this turn has ordered a fetch of the full list.
    pub fetch_requested: bool,
}

impl DesiredState {
    /// Returns the empty state for a number of classes.
    pub fn new(class_count: u16) -> DesiredState {
        DesiredState { class_count, ..DesiredState::default() }
    }

    /// Adds the stream of a proxy that has joined, in place of an earlier one. It is not bound to any table. With
    /// `only_standing_tables` it holds nothing of another conductor.
    pub fn add_stream(
        &mut self,
        proxy: ProxyId,
        conn: ConnectionId,
        only_standing_tables: bool,
        clears_ejections: bool,
    ) {
        let stream = Stream {
            conn,
            binding: self.intern_binding(vec![None; self.class_count.into()]),
            clears_ejections,
            may_hold_ejections: !only_standing_tables && !clears_ejections,
            restored_binding: None,
            ejections_sent: self.no_ejections.clone(),
            first_ejection: self.turn.ejections.len(),
            pending_marks: BTreeMap::new(),
        };
        self.streams.insert(proxy, stream);
        self.turn.bound.remove(&proxy);
        self.turn.readmitted.remove(&proxy);
    }

    /// Removes the stream of a proxy.
    pub fn remove_stream(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
        self.turn.bound.remove(&proxy);
        self.turn.readmitted.remove(&proxy);
    }

    /// Returns the mark that a proxy acknowledges. Returns none if the mark is not pending on the proxy's stream, or was
    /// ordered more recently than the reported delay allows.
    pub fn acknowledge(&mut self, now: Time, proxy: ProxyId, mark: u64, elapsed: Time) -> Option<u16> {
        let mark = u16::try_from(mark).ok()?;
        let stream = self.streams.get_mut(&proxy)?;
        let ordered_at = *stream.pending_marks.get(&mark)?;
        if elapsed > now - ordered_at + limits::ACKNOWLEDGEMENT_TOLERANCE {
            return None;
        }
        stream.pending_marks.remove(&mark);
        Some(mark)
    }

    /// Records that another conductor may have ejected a node at a proxy that joins here.
    pub fn mark_possibly_ejected(&mut self, node: NodeId) {
        self.possibly_ejected.insert(node);
    }

    /// Removes all that is kept of forgotten nodes, and returns them so that their names can be removed.
    pub fn take_forgotten(&mut self) -> Vec<NodeId> {
        let forgotten = std::mem::take(&mut self.forgotten);
        for node in &forgotten {
            self.withdrawn.remove(node);
            self.possibly_ejected.remove(node);
        }
        // By address: the map before, which keeps the address its own, and after.
        let mut shared: BTreeMap<usize, (EjectionsSent, EjectionsSent)> = BTreeMap::new();
        for stream in self.streams.values_mut() {
            if !forgotten.iter().any(|node| stream.ejections_sent.contains_key(node)) {
                continue;
            }
            let address = Rc::as_ptr(&stream.ejections_sent) as usize;
            let (_, after) = shared.entry(address).or_insert_with(|| {
                let mut after = (*stream.ejections_sent).clone();
                for node in &forgotten {
                    after.remove_mut(node);
                }
                (stream.ejections_sent.clone(), Rc::new(after))
            });
            stream.ejections_sent = after.clone();
        }
        forgotten
    }

    fn all_classes(&self) -> impl Iterator<Item = ClassId> + use<> {
        (0..self.class_count).map(ClassId)
    }

    fn matching_classes(&self, classes: ClassSet) -> impl Iterator<Item = ClassId> + use<> {
        self.all_classes().filter(move |class| classes.0.is_empty() || classes.0.contains(class))
    }

    /// Returns the level of a class in a table. If there is a level for all tables too, the lower amount applies, with
    /// the table's retry policy.
    fn effective_level(&self, table: &Table, class: ClassId) -> Option<Level> {
        match (table.levels.get(&class), self.common_levels.get(&class)) {
            (Some((tries, own)), Some((_, common))) => Some((*tries, own.min(*common))),
            (own, common) => own.or(common).copied(),
        }
    }

    /// Returns the classes as a message names them: an empty list stands for all.
    fn class_list(&self, classes: &BTreeSet<ClassId>) -> Vec<ClassId> {
        let is_all = classes.len() == usize::from(self.class_count);
        if is_all { Vec::new() } else { classes.iter().copied().collect() }
    }

    /// Returns the shared value of a binding.
    fn intern_binding(&mut self, tables: Vec<Option<TableId>>) -> Binding {
        let binding = Binding::from(tables);
        if let Some(known) = self.bindings.get(&binding) {
            return known.clone();
        }
        self.bindings.insert(binding.clone());
        binding
    }
}
