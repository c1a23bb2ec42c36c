//! Publishing the only feed of a relay.

use oatpitch_state::ConnectionId;

use super::feed::{Feed, LoggedChange, encode};
use super::{Action, Publisher};
use crate::core::codec::Codec;
use crate::core::line::*;
use crate::core::table::Table;

impl<C: Codec> Publisher<C> {
    /// Publishes the origin's table as the only feed of a relay.
    pub fn publish_relayed(
        &mut self,
        position: &FeedPoint,
        roster_version: u64,
        mark: Option<u16>,
        table: &Table,
    ) -> Vec<Action> {
        let id = position.feed;
        // A relay may take several of its origin's changes as one: its table was never that of a revision between them.
        let base_latest = self.revision;
        self.revision = self.revision.max(position.revision);
        if !self.feeds.contains_key(&id) {
            self.revision = position.revision;
            self.replace_relayed_feed(position, mark, table);
        } else if let Some(feed) = self.feeds.get_mut(&id)
            && position.revision > feed.revision
        {
            let parts = feed.table.changes_to(table);
            let withdrawn = parts.iter().flat_map(|part| part.withdrawn.iter().cloned()).collect();
            let base = feed.revision;
            let base_latest = base_latest.max(base);
            let revision = position.revision;
            feed.table = table.clone();
            feed.mark = mark.map(|mark| (revision, mark));
            let update = TableUpdate {
                point: position.clone(),
                base: Some(base),
                roster: roster_version,
                parts,
                mark,
            };
            let cost = update.cost();
            let bytes = encode(&self.codec, &update);
            self.counters.add("changes published", 1);
            self.counters.add("bytes encoded", bytes.len() as u64);
            feed.append(LoggedChange { base, base_latest, revision, cost, withdrawn, bytes }, &self.limits);
        }
        self.roster_version = roster_version;
        self.wake_all()
    }

    /// Replaces the only feed of a relay with another feed of the same origin. All followers need a snapshot of it.
    fn replace_relayed_feed(&mut self, position: &FeedPoint, mark: Option<u16>, table: &Table) {
        let conns: Vec<ConnectionId> = self.followers.keys().copied().collect();
        self.feeds.clear();
        let mut feed = Feed::new(position.revision);
        feed.table = table.clone();
        feed.mark = mark.map(|mark| (position.revision, mark));
        feed.follower_count = conns.len();
        self.feeds.insert(position.feed, feed);
        for conn in conns {
            if let Some(follower) = self.followers.get_mut(&conn) {
                follower.feed = Some(position.feed);
                follower.sent_revision = None;
                follower.withdrawals_sent_through = Revision::default();
            }
            self.resume_from_history(conn);
        }
    }

    /// Passes on nodes that the origin withdrew ahead of its tables.
    pub fn withdraw_ahead(&mut self, revision: Revision, nodes: &[Name]) -> Vec<Action> {
        for follower in self.followers.values_mut() {
            follower.urgent_revision = revision;
            follower.urgent_withdrawals.extend(nodes.iter().cloned());
        }
        self.wake_all()
    }

    /// Binds a new follower of a relay to the only feed.
    pub fn bind_to_single_feed(&mut self, conn: ConnectionId) {
        let Some(id) = self.feeds.keys().next().copied() else { return };
        if let Some(follower) = self.followers.get_mut(&conn).filter(|follower| follower.feed.is_none()) {
            follower.feed = Some(id);
            if let Some(feed) = self.feeds.get_mut(&id) {
                feed.follower_count += 1;
            }
            self.resume_from_history(conn);
        }
    }

    /// Sets how far the origin's epoch has come without a change of the published table. Snapshots are sent as of then.
    pub fn set_latest_revision(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Sets the version of the list that the published tables reflect, as the origin's heartbeats report it.
    pub fn set_roster(&mut self, roster_version: u64) {
        self.roster_version = roster_version;
    }

    /// Sets whether the published tables are the origin's latest. Followers are informed of a change at once.
    pub fn set_live(&mut self, live: bool) -> Vec<Action> {
        if self.live == live {
            return Vec::new();
        }
        self.live = live;
        self.followers.values_mut().for_each(|follower| follower.heartbeat_owed = true);
        self.wake_all()
    }
}
