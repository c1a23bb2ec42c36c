//! The tables, levels and withdrawals that the decision module has ordered, and the messages that bring each proxy
//! up to date. A proxy gets at most one message per turn, and none if nothing changes for it.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use oatpitch::interface::*;
use rpds::RedBlackTreeMap;

use super::counters::Counters;
use super::message::{Binding, Level, Message, Name, Part};
use super::node_names::NodeNames;
use super::{ConnectionId, Effect, LogLevel, limits};
use crate::invariant;

#[derive(Debug, Default)]
struct Table {
    lines: BTreeMap<NodeId, f32>,
    levels: BTreeMap<ClassId, Level>,
}

/// What a proxy was sent about the ejection of nodes on its stream: true for ejected, false for restored. Proxies that
/// were sent the same share one map, and the map shares its structure with its copies, so that one more node does not
/// copy an entry for each node of the fleet.
type EjectionsSent = Rc<RedBlackTreeMap<NodeId, bool>>;

/// Nodes of each full table that are restored along with it at a proxy that may hold ejections of another conductor, so
/// that it has a line at once (count).
const RESTORED_WITH_TABLE: usize = 1;

/// Nodes of a table among which those restored with it are chosen, in turn by proxy, so that not all proxies send to the
/// same one (count).
const RESTORE_CHOICES: usize = 8;

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

/// What decides which parts a stream shares with others: its binding, and the classes that were bound in this turn.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PartsKey<'a> {
    binding: Binding,
    newly_bound: Option<&'a BTreeSet<ClassId>>,
}

/// What a turn sends to all streams with the same [`PartsKey`].
struct SharedParts {
    parts: Vec<Part>,
    /// Nodes with a line in the parts.
    listed: BTreeSet<NodeId>,
    /// Those of the listed nodes that are withdrawn.
    withdrawn: Vec<NodeId>,
    /// Those of the listed nodes that another conductor may have ejected at the proxy, by what this one has seen.
    possibly_ejected: Vec<NodeId>,
    /// Of each full table, the nodes with the greatest weights.
    heaviest: BTreeMap<TableId, Vec<NodeId>>,
}

/// The nodes that a turn restores at a stream because another conductor may have ejected any of them.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Readmission {
    None,
    /// A few nodes of each full table, chosen by this number.
    Few(usize),
    /// All nodes of the stream's tables.
    All,
}

/// Everything that decides what a turn sends to a stream.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct UpdateKey<'a> {
    parts_key: PartsKey<'a>,
    /// Address of the stream's [`EjectionsSent`].
    ejections_address: usize,
    clears_ejections: bool,
    first_ejection: usize,
    readmission: Readmission,
    restored_binding: Option<Binding>,
}

/// What a turn sends to streams with the same [`UpdateKey`], in addition to the shared parts.
struct StreamUpdate {
    /// Index of their message in [`MessageGroups`].
    group: usize,
    /// The ejections sent before this turn. They are kept so that no other map gets their address.
    before: EjectionsSent,
    /// The ejections sent including this turn.
    after: EjectionsSent,
    /// Whether anything changes for the streams.
    affected: bool,
}

/// The content of a message, apart from what all messages of a turn have in common.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct MessageKey<'a> {
    parts_key: PartsKey<'a>,
    eject: Vec<NodeId>,
    restore: Vec<NodeId>,
}

/// The messages of a turn, and the connections that get each of them.
#[derive(Default)]
struct MessageGroups<'a> {
    indices: BTreeMap<MessageKey<'a>, usize>,
    recipients: Vec<Vec<ConnectionId>>,
}

impl<'a> MessageGroups<'a> {
    /// Returns the index of a message, and adds the message if it is new.
    fn index(&mut self, key: MessageKey<'a>) -> usize {
        let next = self.indices.len();
        let index = *self.indices.entry(key).or_insert(next);
        self.recipients.resize(self.indices.len(), Vec::new());
        index
    }

    /// Returns the messages that anyone gets, with their recipients.
    fn into_addressed(mut self) -> Vec<(MessageKey<'a>, Vec<ConnectionId>)> {
        let groups = self.indices.into_iter();
        let addressed = groups.map(|(key, index)| (key, std::mem::take(&mut self.recipients[index])));
        addressed.filter(|(_, recipients)| !recipients.is_empty()).collect()
    }
}

/// The ejections and restorations that a stream must be sent.
struct EjectionChanges {
    eject: Vec<NodeId>,
    restore: Vec<NodeId>,
    /// Everything that the stream has been sent afterwards.
    after: EjectionsSent,
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

    /// Ends the turn. Returns its messages, each with all connections that get it.
    pub fn close_turn(
        &mut self,
        now: Time,
        roster_version: u64,
        names: &NodeNames,
        counters: &mut Counters,
    ) -> Vec<(Vec<ConnectionId>, Rc<Message>)> {
        let turn = std::mem::take(&mut self.turn);
        if turn == TurnChanges::default() {
            return Vec::new();
        }
        self.revision += 1;
        self.bindings.retain(|binding| Rc::strong_count(binding) > 1);
        let mut streams = std::mem::take(&mut self.streams);
        let mut shared_parts: BTreeMap<PartsKey, SharedParts> = BTreeMap::new();
        let mut groups = MessageGroups::default();
        let mut updates: BTreeMap<UpdateKey, StreamUpdate> = BTreeMap::new();
        for (proxy, stream) in &mut streams {
            let parts_key = PartsKey { binding: stream.binding.clone(), newly_bound: turn.bound.get(proxy) };
            let shared = shared_parts
                .entry(parts_key.clone())
                .or_insert_with_key(|key| self.shared_parts(&turn, key, names, counters));
            let update_key = UpdateKey {
                parts_key,
                ejections_address: Rc::as_ptr(&stream.ejections_sent) as usize,
                clears_ejections: stream.clears_ejections,
                first_ejection: std::mem::take(&mut stream.first_ejection),
                readmission: readmission(&turn, *proxy, stream),
                restored_binding: stream.restored_binding.clone(),
            };
            let update = updates
                .entry(update_key)
                .or_insert_with_key(|key| self.stream_update(&turn, stream, key, shared, names, &mut groups));
            debug_assert_eq!(stream.ejections_sent, update.before);
            stream.ejections_sent = update.after.clone();
            if turn.readmitted.contains(proxy) {
                stream.restored_binding = Some(stream.binding.clone());
            }
            let mark = turn.mark.filter(|mark| mark.everyone || update.affected);
            if let Some(mark) = mark {
                stream.add_pending_mark(mark.number, now);
                counters.add("marks ordered", 1);
            }
            if mark.is_some() || update.affected {
                groups.recipients[update.group].push(stream.conn);
            }
        }
        self.streams = streams;
        let mut messages = Vec::new();
        for (key, recipients) in groups.into_addressed() {
            let shared = shared_parts.get(&key.parts_key);
            let message = self.message(key, shared, turn.mark, roster_version, names);
            count_message(&message, recipients.len() as u64, counters);
            messages.push((recipients, Rc::new(message)));
        }
        messages
    }

    /// Returns what the turn sends to the stream, and adds its message to the groups.
    fn stream_update<'a>(
        &self,
        turn: &TurnChanges,
        stream: &Stream,
        key: &UpdateKey<'a>,
        shared: &SharedParts,
        names: &NodeNames,
        groups: &mut MessageGroups<'a>,
    ) -> StreamUpdate {
        let ejections = turn.ejections.get(key.first_ejection..).unwrap_or_default();
        let EjectionChanges { eject, mut restore, after } = self.ejection_changes(stream, ejections, shared);
        let readmitted = self.readmitted_nodes(stream, key.readmission, shared);
        restore.extend(readmitted.into_iter().filter(|node| !after.contains_key(node)));
        let has_named_node = eject.iter().chain(&restore).any(|node| names.name(*node).is_some());
        let affected = !shared.parts.is_empty() || has_named_node;
        let group = groups.index(MessageKey { parts_key: key.parts_key.clone(), eject, restore });
        StreamUpdate { group, before: stream.ejections_sent.clone(), after, affected }
    }

    /// Returns a message of the turn. Ejections are in its first part, and the mark is in its last one.
    fn message(
        &self,
        key: MessageKey,
        shared: Option<&SharedParts>,
        mark: Option<RequestedMark>,
        roster_version: u64,
        names: &NodeNames,
    ) -> Message {
        let names_of = |nodes: &[NodeId]| -> Vec<Name> {
            nodes.iter().filter_map(|node| names.name(*node).cloned()).collect()
        };
        let mut parts = shared.map(|shared| shared.parts.clone()).unwrap_or_default();
        if parts.is_empty() {
            parts.push(Part::default());
        }
        parts[0].eject = names_of(&key.eject);
        parts[0].restore = names_of(&key.restore);
        if let Some(last) = parts.last_mut() {
            last.mark = mark.map(|mark| mark.number);
        }
        let withdrawn = shared.map_or_else(Vec::new, |shared| names_of(&shared.withdrawn));
        let binding = key.parts_key.binding;
        Message { revision: self.revision, roster_version, binding, parts, withdrawn }
    }

    /// Returns the parts for all streams with this key.
    fn shared_parts(
        &self,
        turn: &TurnChanges,
        key: &PartsKey,
        names: &NodeNames,
        counters: &mut Counters,
    ) -> SharedParts {
        let empty_table = Table::default();
        let mut parts = Vec::new();
        let mut listed: BTreeSet<NodeId> = BTreeSet::new();
        let mut heaviest = BTreeMap::new();
        for ((id, full), classes) in &self.classes_by_table(turn, key) {
            let table = self.tables.get(id).unwrap_or(&empty_table);
            if *full {
                heaviest.insert(*id, self.heaviest_nodes(table));
            }
            let lines = changed_lines(turn, table, *id, *full);
            listed.extend(lines.iter().filter(|(_, weight)| *weight > 0.0).map(|(node, _)| *node));
            let lines = with_names(&lines, names, counters);
            let mut levels = self.changed_levels(turn, table, *id, *full, classes);
            if *full || !lines.is_empty() {
                // A level of exactly these classes is sent in the same part.
                let own = levels.iter().position(|(_, level_classes)| level_classes == classes);
                let level = own.map(|own| levels.swap_remove(own).0);
                let classes = self.class_list(classes);
                parts.push(Part { classes, full: *full, lines, level, ..Part::default() });
            }
            for (level, classes) in levels {
                let classes = self.class_list(&classes);
                parts.push(Part { classes, level: Some(level), ..Part::default() });
            }
        }
        let listed_among = |nodes: &BTreeSet<NodeId>| listed.intersection(nodes).copied().collect();
        let withdrawn = listed_among(&self.withdrawn);
        let possibly_ejected = listed_among(&self.possibly_ejected);
        SharedParts { parts, listed, withdrawn, possibly_ejected, heaviest }
    }

    /// Returns the nodes of a table with the greatest weights that are not withdrawn.
    fn heaviest_nodes(&self, table: &Table) -> Vec<NodeId> {
        let usable = table.lines.iter().filter(|(node, _)| !self.withdrawn.contains(node));
        let mut lines: Vec<(NodeId, f32)> = usable.map(|(node, weight)| (*node, *weight)).collect();
        lines.sort_by(|a, b| b.1.total_cmp(&a.1));
        lines.truncate(RESTORE_CHOICES);
        lines.into_iter().map(|(node, _)| node).collect()
    }

    /// Returns the nodes that a turn restores at a stream whatever other conductors ejected there.
    fn readmitted_nodes(
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
    fn unrestored_nodes(&self, stream: &Stream) -> BTreeSet<NodeId> {
        if !stream.may_hold_ejections {
            return BTreeSet::new();
        }
        let tables = stream.binding.iter().flatten().filter(|id| !stream.has_restored(**id));
        let lines = tables.filter_map(|id| self.tables.get(id)).flat_map(|table| table.lines.keys());
        let unknown = lines
            .filter(|node| !self.withdrawn.contains(*node) && !stream.ejections_sent.contains_key(*node));
        unknown.copied().collect()
    }

    /// Returns the classes of a binding by their table, and by whether the table is to be sent in full.
    fn classes_by_table(
        &self,
        turn: &TurnChanges,
        key: &PartsKey,
    ) -> BTreeMap<(TableId, bool), BTreeSet<ClassId>> {
        let mut groups: BTreeMap<(TableId, bool), BTreeSet<ClassId>> = BTreeMap::new();
        for (class, table) in self.all_classes().zip(key.binding.iter()) {
            let Some(table) = *table else { continue };
            let is_newly_bound = key.newly_bound.is_some_and(|bound| bound.contains(&class));
            let full = is_newly_bound || turn.cleared.contains(&table);
            groups.entry((table, full)).or_default().insert(class);
        }
        groups
    }

    /// Returns the levels to be sent, each with the classes that have it.
    fn changed_levels(
        &self,
        turn: &TurnChanges,
        table: &Table,
        id: TableId,
        full: bool,
        classes: &BTreeSet<ClassId>,
    ) -> Vec<(Level, BTreeSet<ClassId>)> {
        let mut levels: Vec<(Level, BTreeSet<ClassId>)> = Vec::new();
        let has_changed = |class: &ClassId| {
            turn.common_levels.contains(class)
                || turn.levels.get(&id).is_some_and(|levels| levels.contains(class))
        };
        for class in classes.iter().filter(|class| full || has_changed(class)) {
            let Some(level) = self.effective_level(table, *class) else { continue };
            match levels.iter_mut().find(|(known, _)| *known == level) {
                Some((_, classes)) => _ = classes.insert(*class),
                None => levels.push((level, BTreeSet::from([*class]))),
            }
        }
        levels
    }

    /// Returns the nodes that a proxy must be told to eject or to restore: those of which it was sent something else on
    /// this stream, and those with a line in this message that it may have been told to eject on an earlier stream.
    fn ejection_changes(
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
fn readmission(turn: &TurnChanges, proxy: ProxyId, stream: &Stream) -> Readmission {
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

/// Returns the lines of a table that are to be sent: all of them, or those that changed, with weight 0 if removed.
fn changed_lines(turn: &TurnChanges, table: &Table, id: TableId, full: bool) -> Vec<(NodeId, f32)> {
    if full {
        return table.lines.iter().map(|(node, weight)| (*node, *weight)).collect();
    }
    let changed = turn.lines.get(&id).into_iter().flatten();
    changed.map(|node| (*node, table.lines.get(node).copied().unwrap_or(0.0))).collect()
}

/// Returns the lines with the names of their nodes.
fn with_names(lines: &[(NodeId, f32)], names: &NodeNames, counters: &mut Counters) -> Vec<(Name, f32)> {
    let mut named_lines = Vec::new();
    for (node, weight) in lines {
        let name = names.name(*node);
        invariant!(counters, name.is_some(), "a line names a listed node");
        named_lines.extend(name.map(|name| (name.clone(), *weight)));
    }
    named_lines
}

/// Counts a message that is sent to a number of proxies.
fn count_message(message: &Message, recipients: u64, counters: &mut Counters) {
    let sum =
        |value: fn(&Part) -> usize| message.parts.iter().map(|part| value(part) as u64 * recipients).sum();
    counters.add("messages to proxies", recipients);
    counters.add("lines to proxies", sum(Part::cost));
    counters.add("whole tables", sum(|part| part.full.into()));
    counters.add("shut out", sum(|part| part.eject.len()));
    counters.add("let back", sum(|part| part.restore.len()));
}

/// Returns the listed nodes of which the stream was sent something before. Iterates over the smaller collection.
fn common_nodes(listed: &BTreeSet<NodeId>, sent: &RedBlackTreeMap<NodeId, bool>) -> Vec<NodeId> {
    if listed.len() <= sent.size() {
        listed.iter().filter(|node| sent.contains_key(node)).copied().collect()
    } else {
        sent.keys().filter(|node| listed.contains(node)).copied().collect()
    }
}

impl Orders for DesiredState {
    fn set_line(&mut self, table: TableId, node: NodeId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        if weight > 0.0 {
            lines.insert(node, weight as f32);
        } else {
            lines.remove(&node);
        }
        self.turn.lines.entry(table).or_default().insert(node);
    }

    fn clear_table(&mut self, table: TableId) {
        self.tables.insert(table, Table::default());
        self.turn.cleared.insert(table);
    }

    fn bind_proxy(&mut self, proxy: ProxyId, table: TableId, classes: ClassSet) {
        let Some(stream) = self.streams.get(&proxy) else { return };
        let mut tables = stream.binding.to_vec();
        for class in self.matching_classes(classes) {
            tables[usize::from(class.0)] = Some(table);
            self.turn.bound.entry(proxy).or_default().insert(class);
        }
        let binding = self.intern_binding(tables);
        if let Some(stream) = self.streams.get_mut(&proxy) {
            stream.binding = binding;
        }
    }

    fn possible_readmissions(&self) -> usize {
        self.possibly_ejected.len()
    }

    fn readmissions_with_table(&self) -> usize {
        RESTORED_WITH_TABLE
    }

    fn readmission_lines(&self, proxy: ProxyId) -> usize {
        self.streams.get(&proxy).map_or(0, |stream| self.unrestored_nodes(stream).len())
    }

    fn readmit_all(&mut self, proxy: ProxyId) {
        self.turn.readmitted.insert(proxy);
    }

    fn set_withdrawn(&mut self, node: NodeId, withdrawn: bool) {
        if withdrawn {
            self.withdrawn.insert(node);
        } else {
            self.withdrawn.remove(&node);
        }
        self.turn.ejections.push(node);
    }

    fn forget_node(&mut self, node: NodeId) {
        self.set_withdrawn(node, false);
        self.forgotten.push(node);
    }

    fn set_level(&mut self, table: Option<TableId>, classes: ClassSet, tries: RetryPolicy, amount: f64) {
        for class in self.matching_classes(classes) {
            let (levels, changed) = match table {
                Some(id) => {
                    let levels = &mut self.tables.entry(id).or_default().levels;
                    (levels, self.turn.levels.entry(id).or_default())
                }
                None => (&mut self.common_levels, &mut self.turn.common_levels),
            };
            levels.insert(class, (tries, amount as f32));
            changed.insert(class);
        }
    }

    fn request_acknowledgement(&mut self, mark: u16, everyone: bool) {
        self.turn.mark = Some(RequestedMark { number: mark, everyone });
    }

    fn wake_at(&mut self, at: Time, _ring: u64) {
        self.timers.insert(at);
    }

    fn watch_roster(&mut self, on: bool) {
        self.watch_requested = Some(on);
    }

    fn fetch_roster(&mut self) {
        self.fetch_requested = true;
    }

    /// Does nothing: nodes have no address that a conductor could probe, and the settings forbid probes.
    fn probe_node(&mut self, _node: NodeId) {}

    fn send_to_peer(&mut self, peer: Option<PeerId>, message: &[u8]) {
        if message.len() <= limits::MAX_DATAGRAM_BYTES {
            self.effects.push(Effect::SendDatagram(peer.map(|peer| peer.0 as usize), message.into()));
        }
    }

    fn log_note(&mut self, node: Option<NodeId>, text: &str) {
        self.notes.push((node, text.into()));
    }

    fn report_fault(&mut self, text: &str) {
        self.effects.push(Effect::Log(LogLevel::Error, text.into()));
    }
}
