//! Followers and their streams: they come, report that they are alive, fall silent and leave.

use std::collections::BTreeSet;

use oatpitch::interface::Time;
use oatpitch_state::ConnectionId;

use super::{Action, AliveReport, FollowRequest, Follower, Publisher, StreamId};
use crate::core::codec::Codec;
use crate::core::line::*;

impl<C: Codec> Publisher<C> {
    /// Attaches a new stream. A proxy that is still a follower in the same zone stays the same follower; any other
    /// becomes a new one with the connection `new_conn`.
    pub fn attach(
        &mut self,
        now: Time,
        stream: StreamId,
        new_conn: ConnectionId,
        request: FollowRequest,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        self.counters.add("streams opened", 1);
        let known = self.proxies.get(&request.proxy).copied();
        let kept = known
            .filter(|conn| self.followers.get(conn).is_some_and(|follower| follower.zone == request.zone));
        if let Some(old) = known.filter(|_| kept.is_none()) {
            // The proxy is in another zone now and must be bound again.
            actions.extend(self.drop_follower(old, EndReason::Replaced));
        }
        let conn = kept.unwrap_or(new_conn);
        self.streams.insert(stream, conn);
        let session = self.random.u64(..);
        self.sessions.insert(session, conn);
        if let Some(follower) = self.followers.get_mut(&conn) {
            // The later stream counts, whether or not the end of the earlier one was noticed.
            if let Some(old) = follower.stream.replace(stream) {
                self.ending_streams.insert(old, EndReason::Replaced);
                actions.push(Action::Wake(old));
                self.counters.add("streams replaced", 1);
            }
            self.sessions.remove(&follower.session);
            follower.session = session;
            follower.broken_since = None;
            follower.last_heard = now;
            follower.welcomed = false;
            follower.heartbeat_owed = true;
            follower.awaits_budget = false;
            follower.sent_revision = None;
            follower.resume_point = request.resume;
            follower.withdrawals_sent_through = Revision::default();
            self.counters.add("places taken up again", 1);
            self.resume_from_history(conn);
        } else {
            let follower = Follower {
                proxy: request.proxy,
                zone: request.zone,
                session,
                stream: Some(stream),
                broken_since: None,
                last_heard: now,
                feed: None,
                sent_revision: None,
                resume_point: request.resume.clone(),
                withdrawals_sent_through: Revision::default(),
                urgent_withdrawals: BTreeSet::new(),
                urgent_revision: Revision::default(),
                welcomed: false,
                heartbeat_from: now,
                heartbeat_owed: !self.live,
                awaits_budget: false,
            };
            self.followers.insert(conn, follower);
            self.proxies.insert(request.proxy, conn);
            actions.push(Action::Join(conn, request));
        }
        actions.push(Action::Wake(stream));
        actions
    }

    /// Lets a bound follower continue from the table that it had when it joined, if the feed's history still reaches
    /// back to it. Otherwise the follower gets a snapshot.
    pub(super) fn resume_from_history(&mut self, conn: ConnectionId) {
        let Some(follower) = self.followers.get_mut(&conn) else { return };
        let Some(id) = follower.feed else { return };
        let Some(point) = follower.resume_point.take() else { return };
        let Some(feed) = self.feeds.get(&id) else { return };
        let is_own = point.epoch == self.epoch && point.feed == id && point.revision <= self.revision;
        let known = is_own && feed.history_covers(point.revision);
        self.counters.add(if known { "resumed from history" } else { "resume points out of history" }, 1);
        if known {
            follower.sent_revision = Some(point.revision);
            follower.withdrawals_sent_through = point.revision;
            follower.heartbeat_owed = true;
        }
    }

    /// Detaches a stream that has ended. Its follower is kept for [`Limits::linger`].
    pub fn detach(&mut self, now: Time, stream: StreamId) {
        self.ending_streams.remove(&stream);
        let Some(conn) = self.streams.remove(&stream) else { return };
        let Some(follower) = self.followers.get_mut(&conn).filter(|own| own.stream == Some(stream)) else {
            return;
        };
        follower.stream = None;
        follower.broken_since = Some(now);
        follower.awaits_budget = false;
        self.counters.add("streams broken", 1);
    }

    /// Removes a follower whose connection the host has closed, because another connection took over the proxy's
    /// number elsewhere.
    pub fn remove_follower(&mut self, conn: ConnectionId) -> Vec<Action> {
        let mut actions = self.drop_follower(conn, EndReason::Ended);
        actions.retain(|action| !matches!(action, Action::Leave(_)));
        actions
    }

    /// Moves on to another epoch. All followers are dropped and have to reconnect.
    pub fn change_epoch(&mut self, epoch: Epoch, lineage: Name, classes: Vec<ClassTerms>) -> Vec<Action> {
        let actions = self.drop_all_followers(EndReason::Moved);
        self.class_names = classes.iter().map(|terms| terms.name.clone()).collect();
        self.epoch = epoch;
        self.lineage = lineage;
        self.classes = classes;
        self.roster_version = 0;
        self.revision = Revision::default();
        self.turn_revision = Revision::default();
        self.feeds.clear();
        self.bindings.clear();
        self.pending.clear();
        self.mark_times.clear();
        actions
    }

    /// Ends all streams, as the publisher stops.
    pub fn stop(&mut self) -> Vec<Action> {
        self.drop_all_followers(EndReason::Stopping)
    }

    fn drop_all_followers(&mut self, reason: EndReason) -> Vec<Action> {
        let conns: Vec<ConnectionId> = self.followers.keys().copied().collect();
        conns.into_iter().flat_map(|conn| self.drop_follower(conn, reason)).collect()
    }

    fn drop_follower(&mut self, conn: ConnectionId, reason: EndReason) -> Vec<Action> {
        let Some(follower) = self.followers.remove(&conn) else { return Vec::new() };
        self.sessions.remove(&follower.session);
        if self.proxies.get(&follower.proxy) == Some(&conn) {
            self.proxies.remove(&follower.proxy);
        }
        self.release_feed(follower.feed);
        let mut actions = vec![Action::Leave(conn)];
        if let Some(stream) = follower.stream {
            self.ending_streams.insert(stream, reason);
            actions.push(Action::Wake(stream));
        }
        actions
    }

    /// Removes a follower from its feed. A feed without followers is deleted: it gets no further changes, so that
    /// it could not be continued later.
    pub(super) fn release_feed(&mut self, feed: Option<FeedId>) {
        let Some(id) = feed else { return };
        let Some(feed) = self.feeds.get_mut(&id) else { return };
        feed.follower_count -= 1;
        if feed.follower_count == 0 {
            self.feeds.remove(&id);
            self.bindings.retain(|_, known| *known != id);
            self.pending.remove(&id);
        }
    }

    /// Records a follower's report that it is alive. Returns `None` if the session is unknown.
    pub fn record_alive(&mut self, now: Time, report: &AliveReport) -> Option<Vec<Action>> {
        let conn = *self.sessions.get(&report.session)?;
        let follower = self.followers.get_mut(&conn)?;
        follower.last_heard = now;
        self.counters.add("signs of life", 1);
        let mut actions = Vec::new();
        for mark in &report.marks {
            match self.mark_times.iter().rev().find(|(known, _)| known == mark) {
                Some((_, published_at)) => {
                    actions.push(Action::Acknowledged(conn, follower.proxy, *mark, now - *published_at));
                }
                None => self.counters.add("marks never ordered", 1),
            }
        }
        Some(actions)
    }

    /// Ends silent streams, wakes streams that have a heartbeat or a snapshot due, and drops followers that have
    /// been without a stream for too long.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut expired = Vec::new();
        for (conn, follower) in &mut self.followers {
            match (follower.stream, follower.broken_since) {
                (Some(stream), _) if now > follower.last_heard + self.limits.silence_timeout => {
                    self.counters.add("silent followers", 1);
                    self.ending_streams.insert(stream, EndReason::Silent);
                    follower.stream = None;
                    follower.broken_since = Some(now);
                    actions.push(Action::Wake(stream));
                }
                (Some(stream), _)
                    if follower.awaits_budget
                        || now >= follower.heartbeat_from + self.limits.heartbeat_interval =>
                {
                    actions.push(Action::Wake(stream));
                }
                (None, Some(since)) if now >= since + self.limits.linger => expired.push(*conn),
                _ => {}
            }
        }
        self.counters.add("places given up", expired.len() as u64);
        actions.extend(expired.into_iter().flat_map(|conn| self.drop_follower(conn, EndReason::Ended)));
        actions
    }
}
