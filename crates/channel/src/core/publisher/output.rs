//! What each stream sends next.

use bytes::Bytes;
use oatpitch::interface::Time;
use oatpitch_state::ConnectionId;

use super::{Publisher, StreamId, StreamOutput};
use crate::core::codec::Codec;
use crate::core::line::*;

impl<C: Codec> Publisher<C> {
    /// Returns what a stream that has room sends next.
    pub fn next_output(&mut self, now: Time, stream: StreamId) -> StreamOutput {
        if let Some(reason) = self.ending_streams.remove(&stream) {
            return StreamOutput::Last(self.codec.encode(&Line::End(reason)));
        }
        let Some(conn) = self.streams.get(&stream).copied() else { return StreamOutput::End };
        let Some(follower) = self.followers.get_mut(&conn).filter(|own| own.stream == Some(stream)) else {
            return StreamOutput::End;
        };
        if !follower.welcomed {
            follower.welcomed = true;
            let session = follower.session;
            return StreamOutput::Send(self.encoded_welcome(session));
        }
        let urgent = std::mem::take(&mut follower.urgent_withdrawals);
        if !urgent.is_empty() {
            let withdrawal = Withdrawal {
                epoch: self.epoch.clone(),
                revision: follower.urgent_revision,
                nodes: urgent.into_iter().collect(),
            };
            return StreamOutput::Send(self.codec.encode(&Line::Withdrawal(withdrawal)));
        }
        match self.next_table_output(now, conn).or_else(|| self.next_heartbeat(now, conn)) {
            Some(bytes) => StreamOutput::Send(bytes),
            None => StreamOutput::Wait,
        }
    }

    fn encoded_welcome(&self, session: u64) -> Bytes {
        self.codec.encode(&Line::Welcome(Welcome {
            version: VERSION,
            epoch: self.epoch.clone(),
            lineage: self.lineage.clone(),
            session,
            classes: self.classes.clone(),
            heartbeat_interval: self.limits.heartbeat_interval,
            silence_timeout: self.limits.silence_timeout,
        }))
    }

    /// Returns the next withdrawal, change or snapshot of a follower's feed.
    fn next_table_output(&mut self, now: Time, conn: ConnectionId) -> Option<Bytes> {
        let follower = self.followers.get_mut(&conn)?;
        let id = follower.feed?;
        let feed = self.feeds.get_mut(&id)?;
        if let Some(sent) = follower.sent_revision
            && feed.waiting_lines(sent) > self.limits.max_waiting_lines
        {
            // The follower loses the waiting changes but stays a follower.
            self.counters.add("followers fallen behind", 1);
            follower.sent_revision = None;
            follower.withdrawals_sent_through = follower.withdrawals_sent_through.max(sent);
        }
        // With more than one change waiting, withdrawals are sent ahead of them.
        let has_queue = follower.sent_revision.is_none_or(|sent| feed.changes_after(sent).nth(1).is_some());
        let withdrawn_through = follower.withdrawals_sent_through;
        if has_queue && withdrawn_through < feed.revision && withdrawn_through > Revision::default() {
            follower.withdrawals_sent_through = feed.revision;
            if let Some(bytes) = feed.withdrawal_since(withdrawn_through, &self.epoch, &self.codec) {
                self.counters.add("withdrawals ahead", 1);
                return Some(bytes);
            }
        }
        if let Some(sent) = follower.sent_revision {
            let (revision, bytes) = feed.next_change(sent, &self.codec)?;
            follower.sent_revision = Some(revision);
            follower.heartbeat_from = now;
            follower.withdrawals_sent_through = follower.withdrawals_sent_through.max(revision);
            return Some(bytes);
        }
        self.catch_up_budget.refill(now, self.limits.catch_up_lines_per_second);
        follower.awaits_budget = self.catch_up_budget.is_exhausted();
        if follower.awaits_budget {
            return None;
        }
        // The table stands for all that the epoch has come to, also where the feed last changed long before: else it
        // would seem older than what the follower has had of another feed.
        let revision = self.revision.max(feed.revision);
        let point = FeedPoint { epoch: self.epoch.clone(), feed: id, revision };
        let (bytes, cost) =
            feed.encoded_snapshot(point, self.roster_version, &self.codec, &mut self.counters);
        self.catch_up_budget.spend(cost);
        self.counters.add("snapshots sent", 1);
        follower.sent_revision = Some(revision);
        follower.heartbeat_from = now;
        follower.withdrawals_sent_through = revision;
        follower.heartbeat_owed = !self.live;
        Some(bytes)
    }

    /// Returns a heartbeat if one is due. Before a follower has caught up, its heartbeats only show that the
    /// publisher is alive.
    fn next_heartbeat(&mut self, now: Time, conn: ConnectionId) -> Option<Bytes> {
        let follower = self.followers.get_mut(&conn)?;
        let is_due = now >= follower.heartbeat_from + self.limits.heartbeat_interval;
        if !follower.heartbeat_owed && !is_due {
            return None;
        }
        follower.heartbeat_owed = false;
        follower.heartbeat_from = now;
        let sent = follower.sent_revision;
        let feed = follower.feed.and_then(|id| self.feeds.get_mut(&id));
        let caught_up = feed.filter(|feed| sent.is_some_and(|sent| sent >= feed.revision));
        let heartbeat = Heartbeat {
            epoch: self.epoch.clone(),
            position: follower.feed.zip(sent),
            latest: caught_up.is_some().then_some(self.revision),
            roster: self.roster_version,
            live: self.live,
        };
        Some(match caught_up {
            Some(feed) => feed.encoded_heartbeat(heartbeat, &self.codec),
            None => self.codec.encode(&Line::Heartbeat(heartbeat)),
        })
    }
}
