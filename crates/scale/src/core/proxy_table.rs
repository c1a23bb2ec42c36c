//! The tables of one proxy: the weight of each node by class, the ejected nodes and the retry policies.

use super::ids::{ClassIndex, NodeIndex};
use super::push::Part;

/// The table of one class, with running totals over its usable lines.
#[derive(Clone, Debug, Default)]
struct ClassTable {
    /// Indexed by node.
    weights: Vec<f32>,
    /// Number of lines with a weight above 0 whose node is not ejected.
    usable_lines: usize,
    /// The sum of the weights of the usable lines.
    total_weight: f64,
    policy: Option<u8>,
}

impl ClassTable {
    fn weight(&self, node: NodeIndex) -> f32 {
        self.weights.get(node.0 as usize).copied().unwrap_or_default()
    }

    /// Adds a line to the totals, or removes it where `sign` is negative.
    fn adjust_totals(&mut self, weight: f32, sign: f64) {
        if weight > 0.0 {
            self.usable_lines = if sign > 0.0 { self.usable_lines + 1 } else { self.usable_lines - 1 };
            self.total_weight =
                if self.usable_lines == 0 { 0.0 } else { self.total_weight + sign * f64::from(weight) };
        }
    }

    fn set(&mut self, node: NodeIndex, weight: f32, ejected: bool) {
        let index = node.0 as usize;
        if index >= self.weights.len() {
            self.weights.resize(index + 1, 0.0);
        }
        let previous = std::mem::replace(&mut self.weights[index], weight);
        if !ejected {
            self.adjust_totals(previous, -1.0);
            self.adjust_totals(weight, 1.0);
        }
    }

    fn clear(&mut self) {
        *self = ClassTable::default();
    }
}

/// The tables of one proxy.
#[derive(Clone, Debug)]
pub struct ProxyTable {
    /// Indexed by class.
    classes: Vec<ClassTable>,
    /// Whether a node is ejected, indexed by node.
    ejected: Vec<bool>,
}

impl ProxyTable {
    /// Returns empty tables for this many classes.
    pub fn new(classes: usize) -> ProxyTable {
        ProxyTable { classes: vec![ClassTable::default(); classes], ejected: Vec::new() }
    }

    /// Applies a push.
    pub fn apply(&mut self, part: &Part) {
        let all: Vec<ClassIndex> = (0..self.classes.len()).map(|class| ClassIndex(class as u8)).collect();
        for class in part.classes.as_ref().unwrap_or(&all) {
            self.apply_lines(*class, part);
        }
        part.eject.iter().for_each(|node| self.set_ejected(*node, true));
        part.restore.iter().for_each(|node| self.set_ejected(*node, false));
    }

    fn apply_lines(&mut self, class: ClassIndex, part: &Part) {
        let Some(table) = self.classes.get_mut(usize::from(class.0)) else { return };
        if part.full {
            table.clear();
        }
        for (node, weight) in &part.lines {
            let ejected = self.ejected.get(node.0 as usize).is_some_and(|ejected| *ejected);
            table.set(*node, *weight, ejected);
        }
        table.policy = part.policy.or(table.policy);
    }

    fn set_ejected(&mut self, node: NodeIndex, ejected: bool) {
        let index = node.0 as usize;
        if index >= self.ejected.len() {
            self.ejected.resize(index + 1, false);
        }
        if std::mem::replace(&mut self.ejected[index], ejected) == ejected {
            return;
        }
        let sign = if ejected { -1.0 } else { 1.0 };
        for table in &mut self.classes {
            let weight = table.weight(node);
            table.adjust_totals(weight, sign);
        }
    }

    /// Returns all classes in the order of the settings.
    pub fn classes(&self) -> impl Iterator<Item = ClassIndex> + use<> {
        (0..self.classes.len()).map(|class| ClassIndex(class as u8))
    }

    /// Returns the number of usable lines of a class: those above 0 whose node is not ejected.
    pub fn usable_lines(&self, class: ClassIndex) -> usize {
        self.classes.get(usize::from(class.0)).map_or(0, |table| table.usable_lines)
    }

    /// Whether every class has a usable line.
    pub fn has_lines(&self) -> bool {
        self.classes.iter().all(|table| table.usable_lines > 0)
    }

    /// Whether requests of any class may go to a node.
    pub fn uses(&self, node: NodeIndex) -> bool {
        !self.is_ejected(node) && self.classes.iter().any(|table| table.weight(node) > 0.0)
    }

    fn is_ejected(&self, node: NodeIndex) -> bool {
        self.ejected.get(node.0 as usize).is_some_and(|ejected| *ejected)
    }

    /// Returns the share of a class's requests that goes to a node.
    pub fn share(&self, class: ClassIndex, node: NodeIndex) -> f64 {
        match self.classes.get(usize::from(class.0)) {
            Some(table) if table.total_weight > 0.0 && !self.is_ejected(node) => {
                f64::from(table.weight(node)) / table.total_weight
            }
            _ => 0.0,
        }
    }

    /// Returns the retry policy that was set for a class.
    pub fn policy(&self, class: ClassIndex) -> Option<u8> {
        self.classes.get(usize::from(class.0)).and_then(|table| table.policy)
    }
}
