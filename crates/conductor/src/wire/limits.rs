//! Limits of the transport. None of them affects the content of a table.

use std::time::Duration;

use oatpitch::interface::{ServiceSettings, Time};

/// Longest line at the conductor's address, in bytes, as defined by the protocol.
pub const MAX_LINE_BYTES: usize = 1 << 20;

/// Buffer space reserved for one read, in bytes: several typical messages, yet little for each of many
/// connections that have not joined.
pub const READ_BUFFER_BYTES: usize = 4 << 10;

/// Bytes that may wait for one connection when another message comes: behind the message that is being
/// written, and beyond what the operating system buffers. It holds minutes of typical flushes. The message
/// that is being written does not count, as a whole table may be of any length.
pub const MAX_QUEUED_BYTES: usize = 1 << 20;

/// Memory assumed where the configuration states none, in MiB.
pub const DEFAULT_MEMORY_MIB: usize = 192;

/// Smallest memory that may be configured, in MiB. A conductor of thirty nodes and a few hundred proxies
/// holds 2 MiB, and the buffers below must leave that free.
pub const MIN_MEMORY_MIB: usize = 16;

/// Length of a discovery document that is accepted with any configured memory, in bytes: some five thousand
/// entries.
const MIN_DOCUMENT_LIMIT_BYTES: usize = 1 << 20;

/// Buffer sizes that the configured memory allows, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Allowance of one connection in either direction, before it draws on the shared limit: several typical
    /// messages, and at most an eighth of the memory for all connections together.
    pub per_connection: usize,
    /// Limit for what all buffers hold beyond their allowances: an eighth of the memory, which always fits
    /// one line of the maximum length. A message counts once, however many connections it goes to.
    pub shared: usize,
    /// Longest document of discovery: a sixteenth of the memory, or less where the connections leave less.
    /// Its entries take about as much memory again while it is read. At 160 bytes an entry, 80,000 entries
    /// fit 192 MiB and 110,000 fit 256 MiB.
    pub document: usize,
}

/// Returns the buffer sizes for this memory, in MiB, and this number of descriptors.
pub fn buffer_limits(memory_mb: usize, sockets: usize) -> BufferLimits {
    let memory = memory_mb.saturating_mul(1 << 20);
    let per_connection = (memory / 16 / sockets.max(1)).clamp(READ_BUFFER_BYTES, 16 << 10);
    let shared = memory / 8;
    // Each connection has its allowance in both directions. A watch and a fetch may each hold a document at
    // the same time, which takes three times its length.
    let left = (memory / 3 * 2)
        .saturating_sub(shared)
        .saturating_sub(per_connection.saturating_mul(sockets).saturating_mul(2))
        / 6;
    let document = (memory / 16).min(left).max(MIN_DOCUMENT_LIMIT_BYTES);
    BufferLimits { per_connection, shared, document }
}

/// Inputs that may wait for the reducer. Readers wait while the inbox is full.
pub const INBOX_CAPACITY: usize = 4096;

/// Lateness of a turn that is attributed to the timer, whose resolution is a millisecond, and not reported to
/// the reducer.
pub const MAX_TIMER_LATENESS: Time = Time::from_ms(5);

/// Inputs handled in one turn, so that their effects are carried out in between.
pub const MAX_INPUTS_PER_TURN: usize = 1024;

/// Descriptors kept free of connections: standard streams 3, the runtime 3, signals 2, the listener, the
/// datagram socket, two watches, a fetch, and the configuration file on reload. The rest is spare for the
/// operating system.
pub const RESERVED_DESCRIPTORS: usize = 16;

/// Descriptors assumed where the configuration states no limit.
pub const DEFAULT_DESCRIPTORS: usize = 1024;

/// Smallest number of descriptors that may be configured.
pub const MIN_DESCRIPTORS: usize = 64;

/// Upper bound of the configured descriptors: more than any system has, and small enough to be counted.
pub const MAX_DESCRIPTORS: usize = 1 << 30;

/// Longest period that a report may cover. A longer one makes the message invalid.
pub const MAX_REPORT_PERIOD: Time = Time::from_ms(600_000);

/// Exchanges or tries a second that a report may state: more than the proxies of one zone, or one node, can
/// reach. A higher rate makes the message invalid.
pub const MAX_EXCHANGES_PER_SECOND: f64 = 100_000.0;

/// Returns the longest mean time that a report may state. A successful try ends by its exchange's deadline;
/// means are noisy, but not by a factor of two.
pub fn max_mean_time(settings: &ServiceSettings) -> Time {
    let longest = settings.class_terms.iter().map(|terms| terms.deadline).max().unwrap_or_default();
    longest + longest
}

/// Longest name of a node, in bytes. It is bounded because many names may wait for the reducer.
pub const MAX_NAME_BYTES: usize = 256;

/// Delay after a failed accept, and longest wait for a free connection slot, so that exhausted descriptors
/// cause no busy loop.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for a queued alive message to be written to a connection that is being closed. The socket's buffer
/// nearly always takes it at once.
pub const CLOSE_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// How long to wait for an address that a predecessor still holds. It exits 0.7 s after it was told to stop,
/// or not much later.
pub const BIND_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Delay between attempts to bind an address that is still held.
pub const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// First delay before a rejected configuration is read again, doubled after each attempt: the signal may have
/// come before the file was completely written.
pub const MIN_RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Last delay before a rejected configuration is read again.
pub const MAX_RELOAD_RETRY_DELAY: Duration = Duration::from_millis(3_200);

/// Time for the head of discovery's response, which an agent on the same machine sends at once.
pub const DISCOVERY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time without progress after which a discovery response is considered dead. Discovery sends an empty line
/// every 2 s, and a change must arrive within 6 s in all.
pub const DISCOVERY_SILENCE_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Bytes of an incomplete line that count as progress. Data slower than 18 KB a second, the most that a
/// conductor is meant to spend, is a trickle and no progress.
pub const DISCOVERY_PROGRESS_BYTES: usize = 64 << 10;

/// Time for data that arrived before the silence timeout to be read after it.
pub const DISCOVERY_LATE_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// Late reads allowed without progress. Frames of a long list hold over a kilobyte each, so this many reach
/// [`DISCOVERY_PROGRESS_BYTES`].
pub const MAX_DISCOVERY_LATE_READS: u32 = 64;

#[cfg(test)]
mod tests;
