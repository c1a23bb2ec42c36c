//! Connections: who the peer of each one is, what it sends, and how the connection ends.
//!
//! Operators and tests match the names of the counters, which are older than the terms in the code: there, strangers
//! are connections that have not joined, and a sum is a [`PeerMessage::TrySummary`].

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use oatpitch::interface::*;

use super::Reducer;
use crate::inbound::{MembershipUpdate, PeerMessage};
use crate::{CloseReason, ConnectionId, Effect, invariant, limits};

/// An open connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    role: Role,
    peer: SocketAddr,
}

/// What the peer of a connection is, as far as it has said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    /// It has not joined.
    Unidentified,
    Collector,
    Proxy(ProxyId),
}

/// The text for log lines. Operators search for these words, so they do not follow the names of the variants.
impl Display for Role {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Role::Unidentified => to.write_str("Stranger"),
            Role::Collector => to.write_str("Collector"),
            Role::Proxy(proxy) => write!(to, "Proxy(ProxyId({}))", proxy.0),
        }
    }
}

impl Reducer {
    /// Adds a connection that has not joined yet.
    pub(super) fn connection_opened(&mut self, conn: ConnectionId, peer: SocketAddr) {
        self.counters.add("connections opened", 1);
        self.connections.insert(conn, Connection { role: Role::Unidentified, peer });
        self.not_joined.insert(conn, self.now);
        self.counters.peak("connections at most", self.connections.len() as u64);
    }

    /// Frees descriptors after a connection could not be accepted.
    pub(super) fn accept_failed(&mut self) {
        self.counters.add("connections refused", 1);
        self.close_oldest_not_joined(limits::CLOSED_PER_FAILED_ACCEPT);
    }

    /// Returns whether there are more connections that have not joined than allowed. Of the connections that joined
    /// ones leave free, they may occupy all but the reserve that is kept for new connections, and half in any case.
    /// Connections that are being closed count as free.
    fn unjoined_over_limit(&self) -> bool {
        let joined =
            self.connections.len().saturating_sub(self.not_joined.len() + self.closing_unless_joined.len());
        let free = self.max_connections.saturating_sub(joined);
        let kept_free = self.max_connections / limits::RESERVED_CONNECTIONS_DIVISOR;
        self.not_joined.len() > free.saturating_sub(kept_free).max(free / 2)
    }

    /// Returns when the oldest connection that has not joined is to be closed.
    pub(super) fn next_join_deadline(&self) -> Option<Time> {
        let timeout = if self.unjoined_over_limit() { limits::MIN_JOIN_TIME } else { limits::JOIN_TIMEOUT };
        self.not_joined.first_key_value().map(|(_, opened_at)| *opened_at + timeout)
    }

    /// Closes connections whose time to join is over. One that only sent a probe has been answered by then.
    pub(super) fn close_overdue(&mut self) {
        while self.next_join_deadline().is_some_and(|due| due <= self.now) {
            let counter = if self.unjoined_over_limit() {
                "strangers ended for room"
            } else {
                "strangers ended in time"
            };
            self.counters.add(counter, 1);
            self.close_oldest_not_joined(1);
        }
    }

    /// Requests the closing of up to `count` connections that have not joined, the oldest first. Those younger than
    /// [`limits::MIN_JOIN_TIME`] are kept.
    ///
    /// The I/O side closes a connection unless a join is already buffered: after a stall, a join that has arrived may
    /// not have been handled yet, and a proxy that is turned away has no other conductor.
    fn close_oldest_not_joined(&mut self, count: usize) {
        let is_old_enough =
            |(_, opened_at): &(&ConnectionId, &Time)| **opened_at + limits::MIN_JOIN_TIME <= self.now;
        let oldest: Vec<ConnectionId> =
            self.not_joined.iter().take_while(is_old_enough).take(count).map(|(conn, _)| *conn).collect();
        for conn in oldest {
            self.not_joined.remove(&conn);
            self.closing_unless_joined.insert(conn);
            self.effects.push(Effect::CloseUnlessJoined(conn));
        }
    }

    /// Handles a message, if its connection may send it.
    pub(super) fn message_received(&mut self, conn: ConnectionId, message: PeerMessage) {
        let Some(Connection { role, .. }) = self.connections.get(&conn).copied() else {
            // The reducer closed the connection while the message was on its way.
            self.counters.add("messages of ended connections", 1);
            return;
        };
        match (message, role) {
            (PeerMessage::Probe, _) => self.answer_probe(conn),
            (PeerMessage::CollectorJoined { .. }, Role::Unidentified | Role::Collector) => {
                self.counters.add("collectors", 1);
                self.identify(conn, Role::Collector);
            }
            (
                PeerMessage::ProxyJoined {
                    proxy,
                    zone,
                    exchanges_per_second,
                    only_standing_tables,
                    clears_ejections,
                    tags,
                },
                Role::Unidentified,
            ) => {
                if self.claim_stream(conn, proxy) {
                    self.join(conn, proxy, only_standing_tables, clears_ejections, tags);
                    self.balance.proxy_joined(
                        self.now,
                        proxy,
                        zone,
                        exchanges_per_second,
                        only_standing_tables,
                    );
                }
            }
            (PeerMessage::Acknowledged { proxy, mark, elapsed }, Role::Proxy(own)) if own == proxy => {
                self.acknowledged(proxy, mark, elapsed);
            }
            (
                PeerMessage::TrySummary { node, zone, tries, failed, mean_time, period, load },
                Role::Collector,
            ) => {
                let Some(node) = self.names.id(&node) else {
                    self.counters.add("sums of nodes never listed", 1);
                    return;
                };
                self.counters.add("sums heard", 1);
                self.balance.record_tries(
                    self.now,
                    &TrySummary { node, zone, period, tries, failed, mean_time, load },
                );
            }
            (PeerMessage::DemandReport { proxy, class, exchanges, unanswered, period }, role)
                if role == Role::Collector || role == Role::Proxy(proxy) =>
            {
                self.record_demand(
                    proxy,
                    DemandReport { proxy: Some(proxy), class, exchanges, unanswered, period },
                );
            }
            _ => self.drop_message(conn, "messages out of place", "out of place"),
        }
    }

    /// Returns whether the conductor can serve: it holds a list, or discovery can't be reached. An unreachable
    /// discovery doesn't stop a conductor from serving. It can't serve while it waits for its first list, or if the
    /// only list was too long. Probes are answered only when it can, because a conductor that is reported alive is
    /// used.
    fn is_ready(&self) -> bool {
        self.has_list || self.discovery.is_unreachable()
    }

    /// Answers a probe, at once or when the conductor can serve.
    fn answer_probe(&mut self, conn: ConnectionId) {
        if self.is_ready() {
            self.counters.add("probes answered", 1);
            self.effects.push(Effect::SendAlive(conn));
        } else {
            self.counters.add("probes before a list", 1);
            self.waiting_probes.insert(conn);
        }
    }

    /// Records that a list is held, unless none of its entries could be parsed.
    pub(super) fn list_received(&mut self, update: &MembershipUpdate) {
        if update.entries.is_empty() && update.unreadable_entries > 0 {
            return;
        }
        if update.full && update.entries.is_empty() {
            self.warn("discovery: the list has no nodes; proxies are told to use none".into());
        }
        self.has_list = true;
        self.answer_probes();
    }

    /// Answers the waiting probes, if the conductor can serve now.
    pub(super) fn answer_probes(&mut self) {
        for conn in std::mem::take(&mut self.waiting_probes) {
            self.answer_probe(conn);
        }
    }

    /// Makes a connection the only one of its proxy, and closes the previous one. Returns false if the connection is
    /// older than the proxy's current one; it is closed then.
    ///
    /// A proxy's stream is the connection on which it has joined and receives its messages; it has one at a time.
    /// Connection ids increase in the order in which connections were accepted, so the larger id is the newer one.
    fn claim_stream(&mut self, conn: ConnectionId, proxy: ProxyId) -> bool {
        let current = self.desired_state.streams.get(&proxy).map(|stream| stream.conn);
        if current.is_some_and(|current| current > conn) {
            // The proxy has given this connection up, and its first message arrives late. The newer connection is
            // the proxy's stream, whichever message is handled last.
            self.counters.add("streams overtaken", 1);
            self.remove_connection(conn);
            return false;
        }
        self.counters.add("streams opened", 1);
        if let Some(old) = current {
            // The proxy has reconnected before the end of its old connection was noticed.
            self.counters.add("streams replaced", 1);
            self.remove_connection(old);
        }
        true
    }

    /// Records that a connection is the stream of a proxy.
    fn join(
        &mut self,
        conn: ConnectionId,
        proxy: ProxyId,
        only_standing_tables: bool,
        clears_ejections: bool,
        tags: BTreeMap<String, String>,
    ) {
        self.identify(conn, Role::Proxy(proxy));
        self.desired_state.add_stream(proxy, conn, only_standing_tables, clears_ejections);
        if !tags.is_empty() {
            self.proxy_tags.insert(proxy, tags);
        }
    }

    /// Passes on the acknowledgement of a mark, if it is a plausible one.
    fn acknowledged(&mut self, proxy: ProxyId, mark: u64, elapsed: Time) {
        match self.desired_state.acknowledge(self.now, proxy, mark, elapsed) {
            Some(mark) => {
                self.counters.add("marks answered", 1);
                self.balance.mark_acknowledged(self.now, mark, elapsed);
            }
            None => self.counters.add("marks never ordered", 1),
        }
    }

    /// Passes on a demand report of a joined proxy.
    fn record_demand(&mut self, proxy: ProxyId, report: DemandReport) {
        if self.desired_state.streams.contains_key(&proxy) {
            self.counters.add("demand heard", 1);
            self.balance.record_demand(self.now, &report);
        } else {
            self.counters.add("demand of proxies not joined", 1);
        }
    }

    /// Drops an invalid message. A joined connection loses only that message, as the others are valid. A connection
    /// that has not joined is closed, because nothing valid is known of it.
    pub(super) fn drop_message(&mut self, conn: ConnectionId, counter: &'static str, cause: &str) {
        match self.connections.get(&conn).copied() {
            None => self.counters.add("messages of ended connections", 1),
            Some(Connection { role: Role::Unidentified, .. }) => {
                self.close_faulty(conn, "faults: strangers", cause)
            }
            Some(Connection { role, peer }) => {
                self.counters.add(counter, 1);
                self.warn(format!("{peer} ({role}): dropped a message: {cause}"));
            }
        }
    }

    /// Records what the peer of a connection is. It has joined then.
    fn identify(&mut self, conn: ConnectionId, role: Role) {
        self.not_joined.remove(&conn);
        self.closing_unless_joined.remove(&conn);
        if let Some(connection) = self.connections.get_mut(&conn) {
            connection.role = role;
        }
    }

    /// Handles the end of a connection.
    pub(super) fn connection_closed(&mut self, conn: ConnectionId, reason: CloseReason) {
        if !self.connections.contains_key(&conn) {
            return;
        }
        match reason {
            CloseReason::ClosedByPeer => self.counters.add("connections closed", 1),
            CloseReason::ConnectionFailed => self.counters.add("connections broken", 1),
            CloseReason::NotJoined => self.counters.add("strangers ended", 1),
            CloseReason::WriteQueueFull => {
                self.close_faulty(conn, "faults: unread", "too much unread data is queued for it");
                return;
            }
            CloseReason::ReadBuffersFull => {
                self.close_faulty(conn, "faults: crowded", "the read buffers of all connections are full");
                return;
            }
            CloseReason::InvalidMessage(cause) => {
                self.close_faulty(conn, "faults: unusable", &cause.to_string());
                return;
            }
        }
        self.remove_connection(conn);
    }

    /// Closes a connection because of a fault of its peer, and logs it. No other connection is affected.
    fn close_faulty(&mut self, conn: ConnectionId, counter: &'static str, cause: &str) {
        self.counters.add(counter, 1);
        if let Some(Connection { role, peer }) = self.connections.get(&conn).copied() {
            self.warn(format!("{peer} ({role}) ended: {cause}"));
        }
        self.remove_connection(conn);
    }

    /// Closes a connection, and removes all state of it.
    fn remove_connection(&mut self, conn: ConnectionId) {
        self.not_joined.remove(&conn);
        self.waiting_probes.remove(&conn);
        self.closing_unless_joined.remove(&conn);
        self.effects.push(Effect::CloseConnection(conn));
        if let Some(Connection { role: Role::Proxy(proxy), .. }) = self.connections.remove(&conn) {
            let is_current = self.desired_state.streams.get(&proxy).is_some_and(|stream| stream.conn == conn);
            invariant!(self.counters, is_current, "a proxy's connection is its stream");
            self.counters.add("streams ended", 1);
            self.desired_state.remove_stream(proxy);
            self.proxy_tags.remove(&proxy);
            self.balance.proxy_left(self.now, proxy);
        }
    }
}
