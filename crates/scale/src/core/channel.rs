//! FIFO model of one conductor's outgoing channel: a message is enqueued once its last byte has arrived, and messages
//! leave one after another at a fixed rate.

use super::ids::Micros;

/// The outgoing channel of one conductor.
#[derive(Clone, Debug)]
pub struct Channel {
    lines_per_second: f64,
    /// When the last enqueued message will have left.
    drained_at: Micros,
    /// The most lines that were waiting at any time.
    peak_lines: f64,
}

impl Channel {
    /// Returns an empty channel with this rate.
    pub fn new(lines_per_second: f64) -> Channel {
        Channel { lines_per_second, drained_at: Micros::default(), peak_lines: 0.0 }
    }

    /// Enqueues a message of `lines`, its head included, and returns when it will have left the channel.
    pub fn enqueue(&mut self, now: Micros, lines: f64) -> Micros {
        let send_time = Micros::from_seconds(lines / self.lines_per_second);
        self.drained_at = self.drained_at.max(now) + send_time;
        self.peak_lines = self.peak_lines.max(self.waiting_lines(now));
        self.drained_at
    }

    /// Returns the number of lines that are waiting.
    pub fn waiting_lines(&self, now: Micros) -> f64 {
        (self.drained_at - now).seconds() * self.lines_per_second
    }

    /// Returns the most lines that were waiting at any time.
    pub fn peak_lines(&self) -> f64 {
        self.peak_lines
    }
}
