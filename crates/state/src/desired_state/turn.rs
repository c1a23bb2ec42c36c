//! The end of a turn: what changed for each stream, as messages that streams with the same content share.

use super::ejections::{EjectionChanges, Readmission, readmission};
use super::shared_parts::SharedParts;
use super::*;
use crate::counters::Counters;
use crate::invariant;
use crate::message::{Message, Name, Part};
use crate::node_names::NodeNames;

/// What decides which parts a stream shares with others: its binding, and the classes that were bound in this turn.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct PartsKey<'a> {
    binding: Binding,
    newly_bound: Option<&'a BTreeSet<ClassId>>,
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

impl DesiredState {
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
