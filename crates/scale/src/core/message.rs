//! A complete message from a conductor to one proxy.

use std::rc::Rc;

use super::ids::Micros;
use super::push::Part;

/// A message, put together from the pushes that it was split into.
#[derive(Clone, Debug)]
pub struct Message {
    pub parts: Vec<Rc<Part>>,
    /// When the last byte arrived.
    pub received: Micros,
}

impl Message {
    /// Returns the lines that the message counts in the channel, without its head.
    pub fn lines_counted(&self) -> usize {
        self.parts.iter().map(|part| part.lines_counted()).sum()
    }

    /// Returns the mark that the proxy has to acknowledge, if the message carries one.
    pub fn mark(&self) -> Option<u64> {
        self.parts.iter().filter_map(|part| part.mark).next_back()
    }

    /// Whether the message carries a full table.
    pub fn is_full(&self) -> bool {
        self.parts.iter().any(|part| part.full)
    }
}
