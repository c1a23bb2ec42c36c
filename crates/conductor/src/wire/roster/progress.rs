//! Tracks whether a discovery response still makes progress.

use tokio::time::Instant;

use crate::wire::limits;

/// The progress of a discovery response.
///
/// A response makes progress with each complete line, and within a long line with every
/// [`limits::DISCOVERY_PROGRESS_BYTES`]. Without progress for [`limits::DISCOVERY_SILENCE_TIMEOUT`] it is
/// considered dead. Bytes that complete no line do not count, as a watch that trickles, or broke off within a
/// line, delivers nothing. A list of several megabytes that comes slowly is not ended, as requesting it again
/// would not help.
pub struct Progress {
    /// Time of the last progress.
    last_progress: Instant,
    /// Bytes received since the last progress.
    bytes_since: usize,
    /// Late reads taken since the last progress.
    late_reads: u32,
}

impl Progress {
    /// Starts at the beginning of a response.
    pub fn start() -> Progress {
        Progress { last_progress: Instant::now(), bytes_since: 0, late_reads: 0 }
    }

    /// Records received bytes, which need not complete a line.
    pub fn received(&mut self, bytes: usize) {
        self.bytes_since = self.bytes_since.saturating_add(bytes);
        if self.bytes_since >= limits::DISCOVERY_PROGRESS_BYTES {
            self.line_ended();
        }
    }

    /// Records a complete line.
    pub fn line_ended(&mut self) {
        *self = Progress::start();
    }

    /// Returns the time at which the response is considered dead.
    pub fn deadline(&self) -> Instant {
        self.last_progress + limits::DISCOVERY_SILENCE_TIMEOUT
    }

    /// Takes one late read: a read after the deadline, for data that arrived before it. Returns false if none is
    /// left. Their number is limited, so that a fast trickle ends as well.
    pub fn take_late_read(&mut self) -> bool {
        self.late_reads += 1;
        self.late_reads <= limits::MAX_DISCOVERY_LATE_READS
    }
}
