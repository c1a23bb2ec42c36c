//! One feed: its table, its bounded history, and lines that are encoded once for all followers.

use std::collections::{BTreeSet, VecDeque};

use bytes::Bytes;
use oatpitch_state::counters::Counters;

use super::Limits;
use crate::core::codec::Codec;
use crate::core::line::*;
use crate::core::table::Table;

/// The number of withdrawn nodes above which a feed forgets those without a line. Followers that resume from an
/// earlier revision must then take a snapshot.
const MAX_WITHDRAWN: usize = 1_024;

/// One change in the history of a feed. Its bytes are shared by all streams that send it.
#[derive(Clone, Debug)]
pub(super) struct LoggedChange {
    pub(super) base: Revision,
    /// The latest revision at which the table was known to be the same as at `base`.
    pub(super) base_latest: Revision,
    pub(super) revision: Revision,
    /// The size of the change in lines.
    pub(super) cost: usize,
    /// The nodes that it newly withdraws.
    pub(super) withdrawn: Vec<Name>,
    pub(super) bytes: Bytes,
}

/// The encoded snapshot of a revision of the epoch.
#[derive(Debug)]
struct CachedSnapshot {
    revision: Revision,
    roster: u64,
    /// The size of the snapshot in lines.
    cost: usize,
    bytes: Bytes,
}

/// A change that is encoded as one from a later revision than that of the change before it.
#[derive(Debug)]
struct RebasedChange {
    from: Revision,
    to: Revision,
    bytes: Bytes,
}

/// The encoded withdrawal of what two revisions differ in; `None` if there is nothing to withdraw.
#[derive(Debug)]
struct CachedWithdrawal {
    from: Revision,
    to: Revision,
    bytes: Option<Bytes>,
}

/// A heartbeat and its encoded form.
#[derive(Debug)]
struct CachedHeartbeat {
    heartbeat: Heartbeat,
    bytes: Bytes,
}

/// A feed: a table, its recent changes, and lines that are encoded once for all followers.
#[derive(Debug)]
pub(super) struct Feed {
    /// The revision of the epoch at which the feed last changed.
    pub(super) revision: Revision,
    pub(super) table: Table,
    history: VecDeque<LoggedChange>,
    history_bytes: usize,
    /// The mark to acknowledge, with the revision that it belongs to.
    pub(super) mark: Option<(Revision, u16)>,
    /// Encoded when it is first needed.
    snapshot: Option<CachedSnapshot>,
    /// Shared by the followers that were sent a snapshot at the same revision.
    rebased: Option<RebasedChange>,
    /// Shared by the thousands of followers that may stop reading at the same time.
    withdrawal: Option<CachedWithdrawal>,
    /// Shared like `withdrawal`.
    heartbeat: Option<CachedHeartbeat>,
    pub(super) follower_count: usize,
}

impl Feed {
    pub(super) fn new(revision: Revision) -> Feed {
        Feed {
            revision,
            table: Table::default(),
            history: VecDeque::new(),
            history_bytes: 0,
            mark: None,
            snapshot: None,
            rebased: None,
            withdrawal: None,
            heartbeat: None,
            follower_count: 0,
        }
    }

    /// Returns whether the history has all changes of the feed after a revision of the epoch.
    pub(super) fn history_covers(&self, revision: Revision) -> bool {
        let has_next = |next: &LoggedChange| next.base <= revision && revision <= next.base_latest;
        revision >= self.revision || self.changes_after(revision).next().is_some_and(has_next)
    }

    /// Returns the changes after a revision that the history covers.
    pub(super) fn changes_after(&self, revision: Revision) -> impl Iterator<Item = &LoggedChange> {
        let start = self.history.partition_point(|change| change.revision <= revision);
        self.history.range(start..)
    }

    /// Returns the first change after a revision that the history covers, as a change from that revision, and the
    /// revision that it leads to.
    pub(super) fn next_change(&mut self, from: Revision, codec: &impl Codec) -> Option<(Revision, Bytes)> {
        let change = self.changes_after(from).next()?;
        let (base, revision) = (change.base, change.revision);
        if base == from {
            return Some((revision, change.bytes.clone()));
        }
        if let Some(cached) = &self.rebased
            && (cached.from, cached.to) == (from, revision)
        {
            return Some((revision, cached.bytes.clone()));
        }
        let bytes = rebase(&change.bytes, from, codec);
        self.rebased = Some(RebasedChange { from, to: revision, bytes: bytes.clone() });
        Some((revision, bytes))
    }

    /// Returns the size in lines of the changes after a revision; unlimited if the history does not cover it.
    pub(super) fn waiting_lines(&self, revision: Revision) -> usize {
        if self.history_covers(revision) {
            self.changes_after(revision).map(|change| change.cost).sum()
        } else {
            usize::MAX
        }
    }

    /// Sets the mark that snapshots request until the next change: followers were bound to the feed as it stands.
    pub(super) fn set_snapshot_mark(&mut self, mark: u16) {
        self.mark = Some((self.revision, mark));
        self.snapshot = None;
    }

    /// Appends a change to the history, and drops the oldest changes beyond the limits.
    pub(super) fn append(&mut self, change: LoggedChange, limits: &Limits) {
        self.history_bytes += change.bytes.len();
        self.revision = change.revision;
        self.snapshot = None;
        self.history.push_back(change);
        while self.history.len() > limits.max_revisions || self.history_bytes > limits.max_history_bytes {
            let Some(oldest) = self.history.pop_front() else { break };
            self.history_bytes -= oldest.bytes.len();
        }
    }

    /// Forgets withdrawn nodes without a line if there are too many. A follower that resumed from an earlier
    /// revision would keep them withdrawn, so that the history is cleared.
    pub(super) fn prune_withdrawn(&mut self) {
        if self.table.withdrawn.len() <= MAX_WITHDRAWN {
            return;
        }
        let has_line = |node: &Name| self.table.lines.values().any(|lines| lines.contains_key(node));
        let kept: BTreeSet<Name> =
            self.table.withdrawn.iter().filter(|node| has_line(node)).cloned().collect();
        self.table.withdrawn = kept;
        self.history.clear();
        self.history_bytes = 0;
    }

    /// Returns the withdrawal of the nodes that were withdrawn after `from` and still are, to be sent ahead of
    /// waiting changes.
    pub(super) fn withdrawal_since(
        &mut self,
        from: Revision,
        epoch: &Epoch,
        codec: &impl Codec,
    ) -> Option<Bytes> {
        let to = self.revision;
        if let Some(cached) = self.withdrawal.as_ref().filter(|cached| cached.from == from && cached.to == to)
        {
            return cached.bytes.clone();
        }
        // Beyond the history, any withdrawn node may be new to the follower.
        let candidates: BTreeSet<&Name> = if self.history_covers(from) {
            self.changes_after(from).flat_map(|change| change.withdrawn.iter()).collect()
        } else {
            self.table.withdrawn.iter().collect()
        };
        let nodes: Vec<Name> =
            candidates.into_iter().filter(|node| self.table.withdrawn.contains(*node)).cloned().collect();
        let withdrawal = |nodes| Line::Withdrawal(Withdrawal { epoch: epoch.clone(), revision: to, nodes });
        let bytes = (!nodes.is_empty()).then(|| codec.encode(&withdrawal(nodes)));
        self.withdrawal = Some(CachedWithdrawal { from, to, bytes: bytes.clone() });
        bytes
    }

    /// Returns the snapshot of a point of this feed at the latest revision of the epoch, encoded, and its size in lines.
    pub(super) fn encoded_snapshot(
        &mut self,
        point: FeedPoint,
        roster: u64,
        codec: &impl Codec,
        counters: &mut Counters,
    ) -> (Bytes, usize) {
        let revision = point.revision;
        if let Some(cached) =
            self.snapshot.as_ref().filter(|cached| cached.revision == revision && cached.roster == roster)
        {
            return (cached.bytes.clone(), cached.cost);
        }
        let update = TableUpdate {
            point,
            base: None,
            roster,
            parts: self.table.to_parts(),
            mark: self.mark.filter(|(marked, _)| *marked == self.revision).map(|(_, mark)| mark),
        };
        let bytes = encode(codec, &update);
        let cost = update.cost();
        counters.add("snapshots encoded", 1);
        counters.add("bytes encoded", bytes.len() as u64);
        self.snapshot = Some(CachedSnapshot { revision, roster, cost, bytes: bytes.clone() });
        (bytes, cost)
    }

    /// Returns a heartbeat of this feed, encoded.
    pub(super) fn encoded_heartbeat(&mut self, heartbeat: Heartbeat, codec: &impl Codec) -> Bytes {
        if let Some(cached) = self.heartbeat.as_ref().filter(|cached| cached.heartbeat == heartbeat) {
            return cached.bytes.clone();
        }
        let bytes = codec.encode(&Line::Heartbeat(heartbeat.clone()));
        self.heartbeat = Some(CachedHeartbeat { heartbeat, bytes: bytes.clone() });
        bytes
    }
}

pub(super) fn encode(codec: &impl Codec, update: &TableUpdate) -> Bytes {
    let mut bytes = Vec::new();
    for fragment in fragments(update) {
        bytes.extend_from_slice(&codec.encode(&Line::Fragment(fragment)));
    }
    bytes.into()
}

/// Returns an encoded change with another base.
fn rebase(change: &Bytes, base: Revision, codec: &impl Codec) -> Bytes {
    let mut bytes = Vec::new();
    for line in change.split_inclusive(|byte| *byte == b'\n') {
        match codec.decode(line) {
            Ok(Line::Fragment(fragment)) => {
                let fragment = UpdateFragment { base: Some(base), ..fragment };
                bytes.extend_from_slice(&codec.encode(&Line::Fragment(fragment)));
            }
            // What this publisher encoded is a fragment that can be decoded.
            _ => bytes.extend_from_slice(line),
        }
    }
    bytes.into()
}
