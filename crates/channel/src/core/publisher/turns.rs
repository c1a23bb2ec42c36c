//! Publishing the turns of a conductor.

use std::collections::BTreeSet;

use oatpitch::interface::Time;
use oatpitch_state::message::{self, Message};
use oatpitch_state::{ConnectionId, invariant};

use super::feed::{Feed, LoggedChange, encode};
use super::{Action, Publisher};
use crate::core::codec::Codec;
use crate::core::line::*;

/// The maximum number of marks whose publish time is kept, to measure how long their acknowledgement takes.
const MAX_TIMED_MARKS: usize = 64;

/// The changes of a feed in one turn, collected from all messages of the turn.
#[derive(Debug, Default)]
pub(super) struct PendingChange {
    parts: Vec<Part>,
    withdrawn: BTreeSet<Name>,
    restored: BTreeSet<Name>,
    mark: Option<u16>,
    roster_version: u64,
    revision: u64,
}

impl<C: Codec> Publisher<C> {
    fn channel_part(&self, part: &message::Part) -> Part {
        let name = |class: &oatpitch::interface::ClassId| self.class_names.get(usize::from(class.0)).cloned();
        Part {
            classes: part.classes.iter().filter_map(name).collect(),
            whole: part.full,
            lines: part.lines.clone(),
            level: part.level,
            withdrawn: part.eject.clone(),
            restored: part.restore.clone(),
        }
    }

    /// Adds a message of the turn for those of its connections that are followers. Once all messages of the turn
    /// are added, [`Publisher::finish_turn`] publishes them.
    pub fn add_message(&mut self, to: &[ConnectionId], message: &Message) {
        self.has_messages = true;
        self.turn_revision = self.turn_revision.max(Revision(message.revision));
        let is_unbound = message.binding.iter().all(Option::is_none);
        if is_unbound {
            // Followers without a binding have no feed yet: withdrawals can reach them only ahead of their tables.
            self.add_urgent_withdrawals(to, message);
            return;
        }
        let followers: Vec<ConnectionId> =
            to.iter().copied().filter(|conn| self.followers.contains_key(conn)).collect();
        if followers.is_empty() {
            return;
        }
        let id = self.bindings.get(&message.binding).copied().unwrap_or_else(|| {
            self.last_feed_number += 1;
            self.bindings.insert(message.binding.clone(), FeedId(self.last_feed_number));
            FeedId(self.last_feed_number)
        });
        let parts: Vec<Part> = message.parts.iter().map(|part| self.channel_part(part)).collect();
        let mark = message.parts.iter().find_map(|part| part.mark);
        let is_new_feed = !self.feeds.contains_key(&id);
        let feed = self.feeds.entry(id).or_insert_with(|| Feed::new(Revision(message.revision)));
        if is_new_feed {
            let whole = parts.iter().any(|part| part.whole);
            invariant!(self.counters, whole, "a feed begins with a whole table");
            feed.table.apply(&parts, &self.class_names);
            // The first follower may have been sent some withdrawals before it was bound.
            feed.table.withdrawn.extend(message.withdrawn.iter().cloned());
            feed.mark = mark.map(|mark| (feed.revision, mark));
        }
        // Whether the message goes to a follower that was bound to the feed before it.
        let mut has_earlier_followers = false;
        for conn in followers {
            let is_newly_bound = self.bind_follower(conn, id);
            has_earlier_followers |= !is_newly_bound;
        }
        let pending = self.pending.entry(id).or_default();
        pending.roster_version = message.roster_version;
        pending.revision = message.revision;
        pending.mark = pending.mark.or(mark);
        pending.withdrawn.extend(message.withdrawn.iter().cloned());
        for part in &parts {
            pending.withdrawn.extend(part.withdrawn.iter().cloned());
            pending.restored.extend(part.restored.iter().cloned());
        }
        // Only earlier followers need the parts as a change: those bound by this message get a snapshot or resume from
        // the history. The parts of the first such message stand for all messages of the turn to this binding;
        // withdrawn and restored nodes are collected from each message above.
        if has_earlier_followers && pending.parts.is_empty() {
            let without_nodes =
                |part: &Part| Part { withdrawn: Vec::new(), restored: Vec::new(), ..part.clone() };
            pending.parts = parts.iter().map(without_nodes).collect();
        }
    }

    /// Adds the withdrawals of a message to followers that are not bound yet. Nothing else of it concerns them.
    fn add_urgent_withdrawals(&mut self, to: &[ConnectionId], message: &Message) {
        let withdrawn: Vec<Name> = message.parts.iter().flat_map(|part| part.eject.iter().cloned()).collect();
        let restored: Vec<Name> =
            message.parts.iter().flat_map(|part| part.restore.iter().cloned()).collect();
        for conn in to {
            if let Some(follower) = self.followers.get_mut(conn) {
                follower.urgent_revision = Revision(message.revision);
                follower.urgent_withdrawals.extend(withdrawn.iter().cloned());
                for node in &restored {
                    follower.urgent_withdrawals.remove(node);
                }
            }
        }
    }

    /// Binds a follower to a feed. Returns false if it was bound to that feed before.
    fn bind_follower(&mut self, conn: ConnectionId, id: FeedId) -> bool {
        let Some(follower) = self.followers.get_mut(&conn) else { return true };
        if follower.feed == Some(id) {
            return false;
        }
        let previous = follower.feed.replace(id);
        follower.sent_revision = None;
        follower.withdrawals_sent_through = Revision::default();
        follower.urgent_withdrawals.clear();
        if let Some(feed) = self.feeds.get_mut(&id) {
            feed.follower_count += 1;
        }
        self.release_feed(previous);
        self.resume_from_history(conn);
        true
    }

    /// Publishes the changes of the turn, each encoded once. `roster_version` is the version of the list of nodes
    /// that all published tables reflect now.
    pub fn finish_turn(&mut self, now: Time, roster_version: u64) -> Vec<Action> {
        self.roster_version = roster_version;
        for (id, pending) in std::mem::take(&mut self.pending) {
            self.record_mark(pending.mark, now);
            self.publish_change(id, pending);
        }
        self.revision = self.revision.max(self.turn_revision);
        let mut actions = Vec::new();
        let has_messages = std::mem::take(&mut self.has_messages);
        if !has_messages {
            return actions;
        }
        for follower in self.followers.values() {
            let is_behind = follower
                .feed
                .and_then(|id| self.feeds.get(&id))
                .is_some_and(|feed| follower.sent_revision.is_none_or(|sent| sent < feed.revision));
            if is_behind || !follower.urgent_withdrawals.is_empty() {
                actions.extend(follower.stream.map(Action::Wake));
            }
        }
        actions
    }

    /// Records the publish time of a new mark, from which the delay of its acknowledgement is measured.
    fn record_mark(&mut self, mark: Option<u16>, now: Time) {
        let Some(mark) = mark else { return };
        if self.mark_times.back().is_some_and(|(known, _)| *known == mark) {
            return;
        }
        self.mark_times.push_back((mark, now));
        if self.mark_times.len() > MAX_TIMED_MARKS {
            self.mark_times.pop_front();
        }
    }

    fn publish_change(&mut self, id: FeedId, pending: PendingChange) {
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        let base = feed.revision;
        let mut parts = pending.parts;
        // A changed line with a weight above 0 ends the node's withdrawal, except if this turn withdraws it.
        let changed_lines = parts.iter().filter(|part| !part.whole).flat_map(|part| &part.lines);
        let restoring_lines =
            changed_lines.filter(|(node, weight)| *weight > 0.0 && feed.table.withdrawn.contains(node));
        let mut restored: BTreeSet<Name> = restoring_lines.map(|(node, _)| node.clone()).collect();
        restored.extend(pending.restored.into_iter().filter(|node| feed.table.withdrawn.contains(node)));
        restored.retain(|node| !pending.withdrawn.contains(node));
        let restored: Vec<Name> = restored.into_iter().collect();
        let withdrawn: Vec<Name> =
            pending.withdrawn.into_iter().filter(|node| !feed.table.withdrawn.contains(node)).collect();
        if !withdrawn.is_empty() || !restored.is_empty() {
            parts.insert(0, Part { withdrawn: withdrawn.clone(), restored, ..Part::default() });
        }
        // The cost of a part without lines, nodes or a level is 1, for the part itself.
        let has_changes = parts.iter().any(|part| part.cost() > 1 || part.whole);
        if !has_changes || pending.revision <= base.0 {
            if let Some(mark) = pending.mark {
                feed.set_snapshot_mark(mark);
            }
            return;
        }
        let revision = Revision(pending.revision);
        feed.table.apply(&parts, &self.class_names);
        feed.mark = pending.mark.map(|mark| (revision, mark));
        let update = TableUpdate {
            point: FeedPoint { epoch: self.epoch.clone(), feed: id, revision },
            base: Some(base),
            roster: pending.roster_version,
            parts,
            mark: pending.mark,
        };
        let base_latest = self.revision.max(base);
        let cost = update.cost();
        let bytes = encode(&self.codec, &update);
        self.counters.add("changes published", 1);
        self.counters.add("lines published", cost as u64);
        self.counters.add("bytes encoded", bytes.len() as u64);
        feed.append(LoggedChange { base, base_latest, revision, cost, withdrawn, bytes }, &self.limits);
        feed.prune_withdrawn();
    }
}
