//! What one proxy holds: the weight of each node by class, the nodes it is to shut out, and the ways of trying again.

use super::ids::{ClassIndex, NodeIndex};
use super::order::Part;

/// The lines of one class, by node, with what is asked of them kept up.
#[derive(Clone, Debug, Default)]
struct ClassTable {
    weights: Vec<f32>,
    /// Lines above 0 that are not shut out, and the sum of their weights.
    usable: usize,
    total: f64,
    policy: Option<u8>,
}

impl ClassTable {
    fn weight(&self, node: NodeIndex) -> f32 {
        self.weights.get(node.0 as usize).copied().unwrap_or_default()
    }

    fn count(&mut self, weight: f32, sign: f64) {
        if weight > 0.0 {
            self.usable = if sign > 0.0 { self.usable + 1 } else { self.usable - 1 };
            self.total = if self.usable == 0 { 0.0 } else { self.total + sign * f64::from(weight) };
        }
    }

    fn set(&mut self, node: NodeIndex, weight: f32, shut_out: bool) {
        let place = node.0 as usize;
        if place >= self.weights.len() {
            self.weights.resize(place + 1, 0.0);
        }
        let before = std::mem::replace(&mut self.weights[place], weight);
        if !shut_out {
            self.count(before, -1.0);
            self.count(weight, 1.0);
        }
    }

    fn clear(&mut self) {
        *self = ClassTable::default();
    }
}

/// The tables of one proxy.
#[derive(Clone, Debug)]
pub struct ProxyTable {
    classes: Vec<ClassTable>,
    shut_out: Vec<bool>,
}

impl ProxyTable {
    pub fn new(classes: usize) -> ProxyTable {
        ProxyTable { classes: vec![ClassTable::default(); classes], shut_out: Vec::new() }
    }

    pub fn apply(&mut self, part: &Part) {
        let all: Vec<ClassIndex> = (0..self.classes.len()).map(|class| ClassIndex(class as u8)).collect();
        for class in part.classes.as_ref().unwrap_or(&all) {
            self.apply_lines(*class, part);
        }
        part.eject.iter().for_each(|node| self.shut(*node, true));
        part.restore.iter().for_each(|node| self.shut(*node, false));
    }

    fn apply_lines(&mut self, class: ClassIndex, part: &Part) {
        let Some(table) = self.classes.get_mut(usize::from(class.0)) else { return };
        if part.full {
            table.clear();
        }
        for (node, weight) in &part.lines {
            let shut_out = self.shut_out.get(node.0 as usize).is_some_and(|shut_out| *shut_out);
            table.set(*node, *weight, shut_out);
        }
        table.policy = part.policy.or(table.policy);
    }

    fn shut(&mut self, node: NodeIndex, shut_out: bool) {
        let place = node.0 as usize;
        if place >= self.shut_out.len() {
            self.shut_out.resize(place + 1, false);
        }
        if std::mem::replace(&mut self.shut_out[place], shut_out) == shut_out {
            return;
        }
        let sign = if shut_out { -1.0 } else { 1.0 };
        for table in &mut self.classes {
            let weight = table.weight(node);
            table.count(weight, sign);
        }
    }

    pub fn classes(&self) -> impl Iterator<Item = ClassIndex> + use<> {
        (0..self.classes.len()).map(|class| ClassIndex(class as u8))
    }

    /// Lines that may be picked for a class.
    pub fn usable(&self, class: ClassIndex) -> usize {
        self.classes.get(usize::from(class.0)).map_or(0, |table| table.usable)
    }

    /// Whether every class has a line to pick.
    pub fn has_lines(&self) -> bool {
        self.classes.iter().all(|table| table.usable > 0)
    }

    /// Whether requests of any class may go to a node.
    pub fn uses(&self, node: NodeIndex) -> bool {
        !self.is_shut_out(node) && self.classes.iter().any(|table| table.weight(node) > 0.0)
    }

    fn is_shut_out(&self, node: NodeIndex) -> bool {
        self.shut_out.get(node.0 as usize).is_some_and(|shut_out| *shut_out)
    }

    /// The share of a class's requests that goes to a node.
    pub fn share(&self, class: ClassIndex, node: NodeIndex) -> f64 {
        match self.classes.get(usize::from(class.0)) {
            Some(table) if table.total > 0.0 && !self.is_shut_out(node) => {
                f64::from(table.weight(node)) / table.total
            }
            _ => 0.0,
        }
    }

    /// The way of trying again that was ordered for a class.
    pub fn policy(&self, class: ClassIndex) -> Option<u8> {
        self.classes.get(usize::from(class.0)).and_then(|table| table.policy)
    }
}
