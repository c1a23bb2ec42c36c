//! What was taken in, sent and answered, by name.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters(BTreeMap<&'static str, u64>);

impl Counters {
    pub fn add(&mut self, name: &'static str, count: u64) {
        let counter = self.0.entry(name).or_default();
        *counter = counter.saturating_add(count);
    }

    /// Keeps the highest figure seen.
    pub fn peak(&mut self, name: &'static str, figure: u64) {
        let counter = self.0.entry(name).or_default();
        *counter = figure.max(*counter);
    }
}

impl Display for Counters {
    /// All on one line, so that a log keeps them together.
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        for (k, (name, count)) in self.0.iter().enumerate() {
            write!(to, "{}{name}={count}", if k > 0 { ", " } else { "" })?;
        }
        Ok(())
    }
}
