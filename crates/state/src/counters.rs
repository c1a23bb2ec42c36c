//! Named counters of what a conductor received, sent and rejected.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

/// Counts and peak values by name. The names are part of what operators read and match, so they stay as they are even
/// where the terms in the code have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters(BTreeMap<&'static str, u64>);

impl Counters {
    /// Adds to a counter.
    pub fn add(&mut self, name: &'static str, count: u64) {
        let counter = self.0.entry(name).or_default();
        *counter = counter.saturating_add(count);
    }

    /// Raises a counter to a value, if it is lower.
    pub fn peak(&mut self, name: &'static str, value: u64) {
        let counter = self.0.entry(name).or_default();
        *counter = value.max(*counter);
    }
}

impl Display for Counters {
    /// Writes all counters on one line, so that a log keeps them together.
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        for (index, (name, count)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            write!(to, "{separator}{name}={count}")?;
        }
        Ok(())
    }
}
