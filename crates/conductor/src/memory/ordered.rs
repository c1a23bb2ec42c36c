//! Tables, levels and withdrawals as they were ordered, and the messages that bring each proxy up to them:
//! one a turn for each proxy concerned, none for others.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use oatpitch::interface::*;

use super::counters::Counters;
use super::names::Names;
use super::{ConnId, Effect, Grade, must};
use crate::run::limits;
use crate::wire::push::{self, Level, Part};

/// The most parts of a message, and bytes of a line's name and figure that one part may hold.
const PARTS_MOST: usize = 64;
const PART_BYTES: usize = 512 * 1024;
const LINE_BYTES: usize = 32;

#[derive(Debug, Default)]
struct Table {
    lines: BTreeMap<NodeId, f32>,
    levels: BTreeMap<ClassId, Level>,
}

/// A joined proxy: what it was bound to and told on its stream.
#[derive(Debug)]
pub struct Stream {
    pub conn: ConnId,
    bound: Vec<Option<TableId>>,
    /// Nodes it was told on this stream to shut out, or to let back.
    told: BTreeMap<NodeId, bool>,
    /// Nodes withdrawn or let back in this turn, since it joined.
    news: BTreeSet<NodeId>,
    /// Marks not answered yet, and when they were ordered.
    marks: BTreeMap<u16, Time>,
}

/// What the orders of this turn changed.
#[derive(Debug, Default, PartialEq)]
struct Turn {
    lines: BTreeMap<TableId, BTreeSet<NodeId>>,
    levels: BTreeMap<TableId, BTreeSet<ClassId>>,
    cleared: BTreeSet<TableId>,
    withdrew: bool,
    common: BTreeSet<ClassId>,
    bound: BTreeMap<ProxyId, BTreeSet<ClassId>>,
    mark: Option<(u16, bool)>,
}

#[derive(Debug, Default)]
pub struct Ordered {
    classes: Vec<String>,
    tables: BTreeMap<TableId, Table>,
    /// Levels for all tables.
    common: BTreeMap<ClassId, Level>,
    withdrawn: BTreeSet<NodeId>,
    /// Nodes that another conductor may have shut out at a proxy that comes from there: they have started
    /// anew, drained or gone at some time.
    doubtful: BTreeSet<NodeId>,
    pub streams: BTreeMap<ProxyId, Stream>,
    /// Nodes to be dropped once the orders of this turn, which may name them, are written.
    forgotten: Vec<NodeId>,
    turn: Turn,
    /// Orders that are effects as they stand.
    pub effects: Vec<Effect>,
    pub notes: Vec<(Option<NodeId>, String)>,
    pub bells: BTreeSet<Time>,
    pub watched: Option<bool>,
}

impl Ordered {
    pub fn new(classes: Vec<String>) -> Ordered {
        Ordered { classes, ..Ordered::default() }
    }

    pub fn join(&mut self, proxy: ProxyId, conn: ConnId) {
        let bound = vec![None; self.classes.len()];
        let (told, news, marks) = Default::default();
        let stream = Stream { conn, bound, told, news, marks };
        self.streams.insert(proxy, stream);
        self.turn.bound.remove(&proxy);
    }

    pub fn leave(&mut self, proxy: ProxyId) {
        self.streams.remove(&proxy);
        self.turn.bound.remove(&proxy);
    }

    /// A mark that was ordered on the proxy's stream, no shorter ago than it took, and not answered yet.
    pub fn answered(&mut self, now: Time, proxy: ProxyId, mark: u64, took: Time) -> Option<u16> {
        let (mark, stream) = (u16::try_from(mark).ok()?, self.streams.get_mut(&proxy)?);
        let ordered = *stream.marks.get(&mark)?;
        (took <= now - ordered + limits::TOOK_SLACK).then(|| {
            stream.marks.remove(&mark);
            mark
        })
    }

    pub fn doubt(&mut self, node: NodeId) {
        self.doubtful.insert(node);
    }

    /// Drops what is kept of nodes long gone, and gives them for their names to be dropped.
    pub fn forgotten(&mut self) -> Vec<NodeId> {
        let forgotten = std::mem::take(&mut self.forgotten);
        for node in &forgotten {
            self.withdrawn.remove(node);
            self.doubtful.remove(node);
            self.streams.values_mut().for_each(|stream| _ = stream.told.remove(node));
        }
        forgotten
    }

    fn all_classes(&self) -> impl Iterator<Item = ClassId> + use<> {
        (0..self.classes.len() as u16).map(ClassId)
    }

    fn each(&self, classes: Classes) -> impl Iterator<Item = ClassId> + use<> {
        let all = classes == Classes::default();
        self.all_classes().filter(move |class| all || classes.0 & Classes::of(*class).0 != 0)
    }

    /// Where both a table's level and one for all are set, the lower holds, and the table's way of trying.
    fn level(&self, table: &Table, class: ClassId) -> Option<Level> {
        match (table.levels.get(&class), self.common.get(&class)) {
            (Some((tries, own)), Some((_, all))) => Some((*tries, own.min(*all))),
            (own, all) => own.or(all).copied(),
        }
    }

    fn names(&self, classes: &BTreeSet<ClassId>) -> Vec<&str> {
        if classes.len() == self.classes.len() {
            return Vec::new();
        }
        classes.iter().map(|class| self.classes[usize::from(class.0)].as_str()).collect()
    }

    /// Ends the turn: one message for every proxy that its orders concern.
    pub fn close(&mut self, now: Time, names: &Names, counters: &mut Counters) -> Vec<(ConnId, Bytes)> {
        let turn = std::mem::take(&mut self.turn);
        if turn == Turn::default() {
            return Vec::new();
        }
        let mut streams = std::mem::take(&mut self.streams);
        let mut messages = Vec::new();
        for (proxy, stream) in &mut streams {
            let mut parts = self.parts(&turn, *proxy, stream, names, counters);
            let mark = turn.mark.filter(|(_, everyone)| *everyone || !parts.is_empty());
            if let Some((mark, _)) = mark {
                if parts.is_empty() {
                    parts.push(Part::default());
                }
                parts.iter_mut().next_back().into_iter().for_each(|part| part.mark = Some(mark));
                stream.marks.insert(mark, now);
                counters.add("marks ordered", 1);
            }
            if parts.is_empty() {
                continue;
            }
            must!(counters, parts.len() <= PARTS_MOST, "a message has at most 64 parts");
            counters.add("messages to proxies", 1);
            let sum = |count: fn(&Part) -> usize| parts.iter().map(|part| count(part) as u64).sum();
            counters.add("lines to proxies", sum(|part| part.cost()));
            counters.add("whole tables", sum(|part| part.whole.into()));
            counters.add("shut out", sum(|part| part.out.len()));
            counters.add("let back", sum(|part| part.back.len()));
            let message = push::encode(&parts);
            let short = |line: &[u8]| line.len() <= limits::LINE_LONGEST;
            must!(counters, message.split(|byte| *byte == b'\n').all(short), "a line is within the longest");
            messages.push((stream.conn, message));
        }
        self.streams = streams;
        messages
    }

    fn parts<'a>(
        &'a self,
        turn: &Turn,
        proxy: ProxyId,
        stream: &mut Stream,
        names: &'a Names,
        counters: &mut Counters,
    ) -> Vec<Part<'a>> {
        let bound_now = |class: &ClassId| turn.bound.get(&proxy).is_some_and(|bound| bound.contains(class));
        let mut groups: BTreeMap<(TableId, bool), BTreeSet<ClassId>> = BTreeMap::new();
        for (class, table) in self.all_classes().zip(&stream.bound) {
            if let Some(table) = *table {
                let whole = bound_now(&class) || turn.cleared.contains(&table);
                groups.entry((table, whole)).or_default().insert(class);
            }
        }
        let (mut parts, empty) = (Vec::new(), Table::default());
        let mut shown: BTreeSet<NodeId> = BTreeSet::new();
        for ((id, whole), classes) in &groups {
            let table = self.tables.get(id).unwrap_or(&empty);
            let lines: Vec<(NodeId, f32)> = if *whole {
                table.lines.iter().map(|(node, weight)| (*node, *weight)).collect()
            } else {
                let changed = turn.lines.get(id).into_iter().flatten();
                changed.map(|node| (*node, table.lines.get(node).copied().unwrap_or(0.0))).collect()
            };
            shown.extend(lines.iter().filter(|(_, weight)| *weight > 0.0).map(|(node, _)| *node));
            let mut named = Vec::new();
            for (node, weight) in &lines {
                let name = names.name(*node);
                must!(counters, name.is_some(), "a line names a listed node");
                named.extend(name.map(|name| (name, *weight)));
            }
            let mut levels = self.levels(turn, table, *id, *whole, classes);
            if *whole || !named.is_empty() {
                // A level of all the classes meant goes along.
                let own = levels.iter().position(|(_, meant)| meant == classes);
                let level = own.map(|own| levels.swap_remove(own).0);
                let chunks = chunks(named);
                let last = chunks.len() - 1;
                for (k, lines) in chunks.into_iter().enumerate() {
                    let (whole, level) = (*whole && k == 0, level.filter(|_| k == last));
                    parts.push(Part { classes: self.names(classes), whole, lines, level, ..Part::default() });
                }
            }
            let level = |(level, meant): (Level, BTreeSet<ClassId>)| Part {
                classes: self.names(&meant),
                level: Some(level),
                ..Part::default()
            };
            parts.extend(levels.into_iter().map(level));
        }
        let (out, back) = self.shut(stream, &shown);
        let name = |node: NodeId| names.name(node);
        let (out, back): (Vec<&str>, Vec<&str>) =
            (out.into_iter().filter_map(name).collect(), back.into_iter().filter_map(name).collect());
        if !out.is_empty() || !back.is_empty() {
            if parts.is_empty() {
                parts.push(Part::default());
            }
            (parts[0].out, parts[0].back) = (out, back);
        }
        parts
    }

    /// The levels to be told, each with the classes that have it.
    fn levels(
        &self,
        turn: &Turn,
        table: &Table,
        id: TableId,
        whole: bool,
        classes: &BTreeSet<ClassId>,
    ) -> Vec<(Level, BTreeSet<ClassId>)> {
        let mut levels: Vec<(Level, BTreeSet<ClassId>)> = Vec::new();
        let changed = |class: &ClassId| {
            turn.common.contains(class) || turn.levels.get(&id).is_some_and(|levels| levels.contains(class))
        };
        for class in classes.iter().filter(|class| whole || changed(class)) {
            let Some(level) = self.level(table, *class) else { continue };
            match levels.iter_mut().find(|(known, _)| *known == level) {
                Some((_, classes)) => _ = classes.insert(*class),
                None => levels.push((level, BTreeSet::from([*class]))),
            }
        }
        levels
    }

    /// Nodes that a proxy must be told to shut out or to let back: those it was told of otherwise on this
    /// stream, and those with a line in this message that it may have been told to shut out on an earlier.
    fn shut(&self, stream: &mut Stream, shown: &BTreeSet<NodeId>) -> (Vec<NodeId>, Vec<NodeId>) {
        let unbound = stream.bound.iter().any(Option::is_none);
        let tables: BTreeSet<TableId> = stream.bound.iter().flatten().copied().collect();
        let holds = |node: &NodeId| {
            unbound || tables.iter().filter_map(|id| self.tables.get(id)).any(|t| t.lines.contains_key(node))
        };
        let news = std::mem::take(&mut stream.news).into_iter().filter(holds);
        let concerned: BTreeSet<NodeId> = news.chain(shown.iter().copied()).collect();
        let (mut out, mut back) = (Vec::new(), Vec::new());
        for node in concerned {
            let (shut, told) = (self.withdrawn.contains(&node), stream.told.get(&node).copied());
            // A proxy keeps what another conductor told it over a change of streams.
            if shut == told.unwrap_or(!shut && self.doubtful.contains(&node)) {
                continue;
            }
            stream.told.insert(node, shut);
            if shut { &mut out } else { &mut back }.push(node);
        }
        (out, back)
    }
}

/// Lines in so many pieces that each fits a part; at least one piece.
fn chunks(lines: Vec<(&str, f32)>) -> Vec<Vec<(&str, f32)>> {
    let (mut chunks, mut size) = (vec![Vec::new()], 0);
    for line in lines {
        size += line.0.len() + LINE_BYTES;
        if size > PART_BYTES {
            chunks.push(Vec::new());
            size = line.0.len() + LINE_BYTES;
        }
        chunks.iter_mut().next_back().into_iter().for_each(|chunk| chunk.push(line));
    }
    chunks
}

impl Orders for Ordered {
    fn line(&mut self, table: TableId, node: NodeId, weight: f64) {
        let lines = &mut self.tables.entry(table).or_default().lines;
        let _ = if weight > 0.0 { lines.insert(node, weight as f32) } else { lines.remove(&node) };
        self.turn.lines.entry(table).or_default().insert(node);
    }

    fn clear(&mut self, table: TableId) {
        self.tables.insert(table, Table::default());
        self.turn.cleared.insert(table);
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId, classes: Classes) {
        let each = self.each(classes);
        if let Some(stream) = self.streams.get_mut(&proxy) {
            for class in each {
                stream.bound[usize::from(class.0)] = Some(table);
                self.turn.bound.entry(proxy).or_default().insert(class);
            }
        }
    }

    fn withdraw(&mut self, node: NodeId, out: bool) {
        let _ = if out { self.withdrawn.insert(node) } else { self.withdrawn.remove(&node) };
        self.turn.withdrew = true;
        self.streams.values_mut().for_each(|stream| _ = stream.news.insert(node));
    }

    fn forget(&mut self, node: NodeId) {
        self.withdraw(node, false);
        self.forgotten.push(node);
    }

    fn level(&mut self, table: Option<TableId>, classes: Classes, tries: FurtherTries, amount: f64) {
        for class in self.each(classes) {
            let (levels, changed) = match table {
                Some(id) => {
                    let levels = &mut self.tables.entry(id).or_default().levels;
                    (levels, self.turn.levels.entry(id).or_default())
                }
                None => (&mut self.common, &mut self.turn.common),
            };
            levels.insert(class, (tries, amount as f32));
            changed.insert(class);
        }
    }

    fn mark(&mut self, mark: u16, everyone: bool) {
        self.turn.mark = Some((mark, everyone));
    }

    fn wake(&mut self, at: Time, _ring: u64) {
        self.bells.insert(at);
    }

    fn watch(&mut self, on: bool) {
        self.watched = Some(on);
    }

    fn fetch(&mut self) {
        self.effects.push(Effect::Fetch);
    }

    /// Proxies' nodes have no address that a conductor could ask: the settings forbid it.
    fn probe(&mut self, _node: NodeId) {}

    fn tell(&mut self, peer: Option<PeerId>, message: &[u8]) {
        if message.len() <= crate::wire::peers::LONGEST {
            self.effects.push(Effect::Tell(peer.map(|peer| peer.0 as usize), message.into()));
        }
    }

    fn note(&mut self, node: Option<NodeId>, text: &str) {
        self.notes.push((node, text.into()));
    }

    fn fault(&mut self, text: &str) {
        self.effects.push(Effect::Log(Grade::Error, text.into()));
    }
}
