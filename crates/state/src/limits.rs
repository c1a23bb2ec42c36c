//! Limits of the state that is kept. None of them takes part in a decision about a table.

use oatpitch::interface::Time;

/// Longest message to another conductor, in bytes. A longer one is never sent.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Marks of one proxy that may be unacknowledged at a time. One is requested every few seconds at most, and the
/// acknowledgement of an older one carries no information any more.
pub const MAX_PENDING_MARKS: usize = 16;
/// One in this many connections is kept free of connections that have not joined, so that the next one is
/// accepted at once.
pub const RESERVED_CONNECTIONS_DIVISOR: usize = 16;
/// A new connection is kept at least this long, however few are free: its first message may be on its way.
pub const MIN_JOIN_TIME: Time = Time::from_ms(100);
/// A connection that has not joined after this time is closed. Closing is allowed after 1 s and required within 3 s
/// of connecting, part of which may pass before the connection is accepted.
pub const JOIN_TIMEOUT: Time = Time::from_ms(1_500);
/// How far the reported delay of a mark may exceed the time since it was ordered: turns run in ticks, and a turn may
/// have the time of a timer that fired late.
pub const ACKNOWLEDGEMENT_TOLERANCE: Time = Time::from_ms(50);
/// Connections that are closed per failed accept if they have not joined. A proxy queued behind many of them is
/// accepted within a second.
pub const CLOSED_PER_FAILED_ACCEPT: usize = 8;
/// First delay before discovery is contacted again. It is short because the request costs little and no drain is
/// received meanwhile.
pub const MIN_RECONNECT_DELAY: Time = Time::from_ms(100);
/// How often the delay before contacting discovery is doubled.
pub const MAX_RECONNECT_DOUBLINGS: u32 = 3;
/// First delay before a list that was too long is requested again: it takes megabytes, and fits only once discovery
/// lists less.
pub const MIN_TOO_LONG_DELAY: Time = Time::from_ms(1_000);
/// Longest delay before a list that was too long is requested again.
pub const MAX_TOO_LONG_DELAY: Time = Time::from_ms(60_000);
/// How often the delay after a list that was too long is doubled.
pub const MAX_TOO_LONG_DOUBLINGS: u32 = 6;
/// Time within which, by the protocol, discovery passes on every change. An older list that it still reports after
/// this time was not delayed on the way.
pub const MAX_PROPAGATION_DELAY: Time = Time::from_ms(6_000);
/// Log lines about faults of others per [`WARNING_WINDOW`]; further ones are only counted.
pub const MAX_WARNINGS: u32 = 20;
/// The span in which at most [`MAX_WARNINGS`] are logged.
pub const WARNING_WINDOW: Time = Time::from_ms(10_000);
