//! Limits of the transport, each with unit and reason. None of them decides about a table.

use std::time::Duration;

use oatpitch::interface::{Mandate, Time};

/// Longest line at the conductor's address, in bytes, as the protocol has it.
pub const LINE_LONGEST: usize = 1 << 20;
/// Room for one read, in bytes: several usual messages, and little for each of many strangers.
pub const READ_ROOM: usize = 4 << 10;
/// Bytes that may wait for one connection beyond what the system holds: minutes of usual flushes.
pub const OUTBOX_MOST: usize = 1 << 20;
/// Bytes held for one connection, either way, beyond which all connections share what follows: several usual
/// messages, and little for each of many strangers.
pub const BUFFER_USUAL: usize = 16 << 10;
/// Bytes that buffers beyond the usual may hold together: a sixth of the least memory a conductor is given.
pub const BUFFERS_MOST: usize = 32 << 20;
/// Inputs that may wait for the reducer; readers wait beyond that.
pub const INBOX_MOST: usize = 4096;
/// Lateness of a timer that is not told, as it is the timer's own: they go by whole milliseconds.
pub const TIMER_LATE: Time = Time::from_ms(5);
/// Inputs taken in one turn at most, so that what they ask for is written in between.
pub const TURN_MOST: usize = 1024;
/// Part of the descriptors kept for listening, discovery, datagrams and logs, and as many again for
/// connections that the reducer has not seen yet; and how many of each suffice.
pub const SOCKETS_SPARE_PART: usize = 8;
pub const SOCKETS_SPARE: usize = 64;
/// Fewer descriptors than this are no use.
pub const SOCKETS_LEAST: usize = 64;
/// Longest span of a sum, and exchanges or tries a second in one: beyond what proxies of one zone, or one
/// machine, can have met, so a message that says more is spoilt.
pub const SPAN_LONGEST: Time = Time::from_ms(600_000);
pub const RATE_MOST: f64 = 100_000.0;
/// A good try ends by its exchange's cut-off; means of them are noisy, but not twice as long.
pub fn mean_longest(mandate: &Mandate) -> Time {
    let longest = mandate.exchanges.iter().map(|terms| terms.cut_off).max().unwrap_or_default();
    longest + longest
}
/// What a mark may seem to have taken beyond the time since it was ordered: turns go by ticks, and their time
/// may be that of a bell that rang late.
pub const TOOK_SLACK: Time = Time::from_ms(50);
/// Longest name of a node, in bytes, as many names may wait for the reducer.
pub const NAME_LONGEST: usize = 256;
/// Wait after a failed accept, so that a full table of descriptors makes no busy loop.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Strangers ended for each failed accept, so that a proxy behind a queue of them is in within a second.
pub const REFUSED_ROOM: usize = 8;
/// For the head of discovery's answer, which an agent on the same machine gives at once.
pub const ROSTER_ANSWER: Duration = Duration::from_millis(1_000);
/// Without a byte for so long a watch is taken to be dead: an empty line comes every 2 s, and what is told
/// must be heard within 6 s in all.
pub const ROSTER_SILENCE: Duration = Duration::from_millis(3_500);
/// Longest document of discovery, in bytes: twenty thousand entries.
pub const ROSTER_LONGEST: usize = 4 << 20;
/// First wait before discovery is dialled again, and how often it doubles while that fails: dialling an agent
/// costs little, and a drain is not heard meanwhile.
pub const RECONNECT_FIRST: Time = Time::from_ms(100);
pub const RECONNECT_DOUBLINGS: u32 = 3;
/// A fetch that has neither come nor failed by then is asked for again.
pub const FETCH_LONGEST: Time = Time::from_ms(10_000);
/// Log lines about faults of others within a span; the rest is only counted.
pub const FAULTS_LOGGED: u32 = 20;
pub const FAULTS_SPAN: Time = Time::from_ms(10_000);
