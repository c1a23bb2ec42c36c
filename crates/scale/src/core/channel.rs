//! A plain channel of one conductor: messages enter once their last byte has come, and leave one after another.

use super::ids::Micros;

#[derive(Clone, Debug)]
pub struct Channel {
    lines_per_second: f64,
    /// When all that has entered will have left.
    busy_until: Micros,
    /// The most lines that ever waited.
    peak_lines: f64,
}

impl Channel {
    pub fn new(lines_per_second: f64) -> Channel {
        Channel { lines_per_second, busy_until: Micros::default(), peak_lines: 0.0 }
    }

    /// Takes a message of so many lines, head included, and tells when it will have left.
    pub fn enter(&mut self, now: Micros, lines: f64) -> Micros {
        let span = Micros::from_seconds(lines / self.lines_per_second);
        self.busy_until = self.busy_until.max(now) + span;
        self.peak_lines = self.peak_lines.max(self.waiting(now));
        self.busy_until
    }

    /// Lines that wait.
    pub fn waiting(&self, now: Micros) -> f64 {
        (self.busy_until - now).seconds() * self.lines_per_second
    }

    pub fn peak_lines(&self) -> f64 {
        self.peak_lines
    }
}
