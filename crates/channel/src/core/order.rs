//! Order of tables across revisions, across restarts of a conductor, and across conductors.
//!
//! Within an epoch the revision decides. Epochs share only the list of nodes: of two tables, the one built from
//! the lower version of the same list is older. Tables built from different lists have no order.

use std::cmp::Ordering;
use std::collections::VecDeque;

use super::line::{Epoch, FeedId, FeedPoint, Name, Revision};

/// Everything about a table that its order depends on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    pub epoch: Epoch,
    pub feed: FeedId,
    pub revision: Revision,
    /// The list of nodes that `roster` is a version of.
    pub lineage: Name,
    /// The version of the list that the table reflects; 0 where it is unknown.
    pub roster: u64,
}

impl Position {
    /// Returns the point from which a stream can resume.
    pub fn point(&self) -> FeedPoint {
        FeedPoint { epoch: self.epoch.clone(), feed: self.feed, revision: self.revision }
    }
}

/// How an offered table compares with all tables applied so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableOrder {
    Newer,
    /// The current table itself.
    Same,
    /// Older than an applied table; must never be applied.
    Older,
    /// Built from an earlier version of the list; may be applied once it has caught up.
    Behind,
    /// Built from another list, so that it has no order with the current table.
    Unordered,
}

/// The positions of the applied tables, as far as they decide which tables are older.
#[derive(Clone, Debug, Default)]
pub struct PositionHistory {
    current: Option<Position>,
    /// The highest applied revision of each epoch, the most recently applied epoch last.
    highest_revisions: VecDeque<(Epoch, Revision)>,
}

/// The maximum number of epochs in the history: enough for a tier of a hundred conductors, each in its present
/// epoch.
const MAX_EPOCHS: usize = 128;

impl PositionHistory {
    /// Returns the position of the table applied last.
    pub fn current(&self) -> Option<&Position> {
        self.current.as_ref()
    }

    /// Compares an offered table with the tables applied so far.
    pub fn compare(&self, offered: &Position) -> TableOrder {
        let Some(current) = &self.current else { return TableOrder::Newer };
        // Revisions count over all feeds of an epoch, so that a move to another feed also goes forward.
        let highest = self
            .highest_revisions
            .iter()
            .find(|(epoch, _)| *epoch == offered.epoch)
            .map(|(_, revision)| *revision);
        if current.epoch == offered.epoch {
            return match offered.revision.cmp(&current.revision) {
                Ordering::Less => TableOrder::Older,
                Ordering::Equal if offered.feed == current.feed => TableOrder::Same,
                _ => TableOrder::Newer,
            };
        }
        let is_later_epoch = |(epoch, _): &(Epoch, Revision)| {
            epoch.conductor == offered.epoch.conductor && epoch.started_at > offered.epoch.started_at
        };
        if highest.is_some_and(|highest| offered.revision < highest)
            || self.highest_revisions.iter().any(is_later_epoch)
        {
            return TableOrder::Older;
        }
        if current.lineage != offered.lineage {
            return TableOrder::Unordered;
        }
        if offered.roster < current.roster { TableOrder::Behind } else { TableOrder::Newer }
    }

    /// Records an applied table, which must have been compared first.
    pub fn record(&mut self, position: Position) {
        let index = self.highest_revisions.iter().position(|(epoch, _)| *epoch == position.epoch);
        let previous =
            index.and_then(|index| self.highest_revisions.remove(index)).map(|(_, revision)| revision);
        let highest = previous.map_or(position.revision, |previous| previous.max(position.revision));
        self.highest_revisions.push_back((position.epoch.clone(), highest));
        if self.highest_revisions.len() > MAX_EPOCHS {
            self.highest_revisions.pop_front();
        }
        self.current = Some(position);
    }

    /// Raises the version of the list that the current table reflects, as reported by its own publisher.
    pub fn raise_roster(&mut self, roster: u64) {
        if let Some(current) = &mut self.current {
            current.roster = current.roster.max(roster);
        }
    }
}
