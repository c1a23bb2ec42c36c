//! Messages to proxies, as typed values that each protocol encodes in its own way.

use std::rc::Rc;
use std::sync::Arc;

use oatpitch::interface::{ClassId, RetryPolicy, TableId};

/// When proxies retry, and how much of a class they admit.
pub type Level = (RetryPolicy, f32);

/// The name of a node. It is shared by everything that names the node, in other threads too.
pub type Name = Arc<str>;

/// One part of a message to proxies. It changes what it names, and nothing else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// The classes that it applies to; empty for all.
    pub classes: Vec<ClassId>,
    /// Whether the lines are the full table; otherwise they are changes of it.
    pub full: bool,
    /// Weights by node; a weight of 0 removes the line.
    pub lines: Vec<(Name, f32)>,
    pub level: Option<Level>,
    /// Nodes that the proxy must not use, whatever its tables say.
    pub eject: Vec<Name>,
    /// Nodes that are no longer ejected.
    pub restore: Vec<Name>,
    /// The mark that the proxy is to acknowledge.
    pub mark: Option<u16>,
}

impl Part {
    /// Returns the lines that the part occupies in the channel, without the overhead of its message.
    pub fn cost(&self) -> usize {
        let flags = usize::from(self.full) + usize::from(self.level.is_some());
        flags + self.lines.len() + self.eject.len() + self.restore.len() + usize::from(self.mark.is_some())
    }
}

/// The tables that a proxy is bound to, by class; none for a class that is not bound yet.
pub type Binding = Rc<[Option<TableId>]>;

/// The changes of one turn for all proxies that get the same ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The revision of the turn: it starts at 1 with the process, and increases with each turn that orders anything.
    pub revision: u64,
    /// The version of the list of nodes that the tables and withdrawals fully reflect.
    pub roster_version: u64,
    pub binding: Binding,
    pub parts: Vec<Part>,
    /// Withdrawn nodes with a line in this message, whether their ejection is sent now or was sent before.
    pub withdrawn: Vec<Name>,
}

impl Message {
    /// Returns the lines that the message occupies in the channel, without its overhead.
    pub fn cost(&self) -> usize {
        self.parts.iter().map(Part::cost).sum()
    }
}
