//! The tables of one feed: the nodes and weights of each class, the levels, and the withdrawn nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::line::{Level, Name, Part};

/// The nodes of one table and their weights.
pub type NodeWeights = BTreeMap<Name, f32>;

/// The tables of a feed, by class. Copies share their contents until one of them changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Classes bound to the same table share one value.
    pub lines: BTreeMap<Name, Arc<NodeWeights>>,
    pub levels: BTreeMap<Name, Level>,
    /// Nodes that must not be used, whatever lines they have.
    pub withdrawn: BTreeSet<Name>,
}

impl Table {
    /// Applies parts in order. `classes` are all classes of the feed.
    pub fn apply(&mut self, parts: &[Part], classes: &[Name]) {
        for part in parts {
            self.apply_part(part, if part.classes.is_empty() { classes } else { &part.classes });
        }
    }

    fn apply_part(&mut self, part: &Part, classes: &[Name]) {
        if part.whole || !part.lines.is_empty() {
            self.apply_lines(part, classes);
        }
        if part.whole {
            classes.iter().for_each(|class| _ = self.levels.remove(class));
        }
        if let Some(level) = part.level {
            self.levels.extend(classes.iter().map(|class| (class.clone(), level)));
        }
        self.withdrawn.extend(part.withdrawn.iter().cloned());
        part.restored.iter().for_each(|node| _ = self.withdrawn.remove(node));
    }

    /// Applies the lines of a part. Classes that share a table before the change share it afterwards.
    fn apply_lines(&mut self, part: &Part, classes: &[Name]) {
        let mut changed: Vec<(Arc<NodeWeights>, Arc<NodeWeights>)> = Vec::new();
        for class in classes {
            let held = self.lines.get(class).cloned().unwrap_or_default();
            let known = changed.iter().find(|(before, _)| part.whole || Arc::ptr_eq(before, &held));
            let after = match known {
                Some((_, after)) => after.clone(),
                None => {
                    let mut lines = if part.whole { NodeWeights::new() } else { (*held).clone() };
                    for (node, weight) in &part.lines {
                        if *weight > 0.0 {
                            lines.insert(node.clone(), *weight);
                        } else {
                            lines.remove(node);
                        }
                    }
                    let after = Arc::new(lines);
                    changed.push((held, after.clone()));
                    after
                }
            };
            self.lines.insert(class.clone(), after);
        }
    }

    /// Groups the classes that share one table.
    fn lines_by_classes(&self) -> Vec<(Vec<Name>, Arc<NodeWeights>)> {
        let mut groups: Vec<(Vec<Name>, Arc<NodeWeights>)> = Vec::new();
        for (class, lines) in &self.lines {
            match groups.iter_mut().find(|(_, known)| Arc::ptr_eq(known, lines)) {
                Some((classes, _)) => classes.push(class.clone()),
                None => groups.push((vec![class.clone()], lines.clone())),
            }
        }
        groups
    }

    /// Groups those of the classes that have the same level.
    fn levels_by_classes(&self, classes: &[Name]) -> Vec<(Level, Vec<Name>)> {
        let mut groups: Vec<(Level, Vec<Name>)> = Vec::new();
        for class in classes {
            let Some(level) = self.levels.get(class) else { continue };
            match groups.iter_mut().find(|(known, _)| known == level) {
                Some((_, classes)) => classes.push(class.clone()),
                None => groups.push((*level, vec![class.clone()])),
            }
        }
        groups
    }

    /// Returns the parts that build this table from nothing.
    pub fn to_parts(&self) -> Vec<Part> {
        let groups = self.lines_by_classes();
        let named = |classes: &[Name]| if groups.len() == 1 { Vec::new() } else { classes.to_vec() };
        let mut parts = Vec::new();
        for (classes, lines) in &groups {
            let mut levels = self.levels_by_classes(classes);
            let shared = levels.iter().position(|(_, level_classes)| level_classes == classes);
            let level = shared.map(|index| levels.swap_remove(index).0);
            parts.push(Part {
                classes: named(classes),
                whole: true,
                lines: line_list(lines),
                level,
                ..Part::default()
            });
            parts.extend(levels.into_iter().map(level_part));
        }
        // Includes nodes without a line: later changes build on all withdrawn nodes.
        let withdrawn: Vec<Name> = self.withdrawn.iter().cloned().collect();
        match parts.first_mut() {
            Some(first) => first.withdrawn = withdrawn,
            None if withdrawn.is_empty() => {}
            None => parts.push(Part { withdrawn, ..Part::default() }),
        }
        parts
    }

    /// Returns the parts that turn this table into another one.
    pub fn changes_to(&self, to: &Table) -> Vec<Part> {
        let mut parts = Vec::new();
        for (classes, lines) in to.lines_by_classes() {
            self.push_class_changes(to, &classes, &lines, &mut parts);
        }
        let withdrawn: Vec<Name> = to.withdrawn.difference(&self.withdrawn).cloned().collect();
        let restored: Vec<Name> = self.withdrawn.difference(&to.withdrawn).cloned().collect();
        if !withdrawn.is_empty() || !restored.is_empty() {
            parts.push(Part { withdrawn, restored, ..Part::default() });
        }
        parts
    }

    /// Adds the changes of classes that share one table in `to`.
    fn push_class_changes(&self, to: &Table, classes: &[Name], lines: &NodeWeights, parts: &mut Vec<Part>) {
        let before = classes.first().and_then(|class| self.lines.get(class));
        let same_before =
            classes.iter().all(|class| self.lines.get(class).is_some_and(|own| Some(own) == before));
        let loses_level =
            classes.iter().any(|class| self.levels.contains_key(class) && !to.levels.contains_key(class));
        let Some(before) = before.filter(|_| same_before && !loses_level) else {
            parts.push(Part {
                classes: classes.to_vec(),
                whole: true,
                lines: line_list(lines),
                ..Part::default()
            });
            parts.extend(to.levels_by_classes(classes).into_iter().map(level_part));
            return;
        };
        let removed = before.keys().filter(|node| !lines.contains_key(*node)).map(|node| (node.clone(), 0.0));
        let set = lines.iter().filter(|(node, weight)| before.get(*node) != Some(weight));
        let changed: Vec<(Name, f32)> =
            removed.chain(set.map(|(node, weight)| (node.clone(), *weight))).collect();
        if !changed.is_empty() {
            parts.push(Part { classes: classes.to_vec(), lines: changed, ..Part::default() });
        }
        for (level, classes) in to.levels_by_classes(classes) {
            let classes: Vec<Name> =
                classes.into_iter().filter(|class| self.levels.get(class) != Some(&level)).collect();
            if !classes.is_empty() {
                parts.push(level_part((level, classes)));
            }
        }
    }

    /// Returns the lines that exchanges of a class may be routed to, with their weights.
    pub fn routable_lines(&self, class: &str) -> impl Iterator<Item = (&Name, f32)> {
        let lines = self.lines.get(class).into_iter().flat_map(|lines| lines.iter());
        lines.filter(|(node, _)| !self.withdrawn.contains(*node)).map(|(node, weight)| (node, *weight))
    }
}

fn line_list(lines: &NodeWeights) -> Vec<(Name, f32)> {
    lines.iter().map(|(node, weight)| (node.clone(), *weight)).collect()
}

fn level_part((level, classes): (Level, Vec<Name>)) -> Part {
    Part { classes, level: Some(level), ..Part::default() }
}
