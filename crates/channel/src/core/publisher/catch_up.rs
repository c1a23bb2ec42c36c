//! The budget of snapshot lines.

use oatpitch::interface::Time;

/// How many seconds' worth of snapshot lines may be sent in one burst.
const CATCH_UP_BURST_SECONDS: f64 = 0.25;

/// Limits the snapshot lines sent per second, over all followers.
#[derive(Debug)]
pub(super) struct CatchUpBudget {
    /// The lines that may be sent now; negative after a snapshot larger than the budget.
    lines: f64,
    updated_at: Time,
}

impl CatchUpBudget {
    pub(super) fn new(lines_per_second: u64) -> CatchUpBudget {
        CatchUpBudget { lines: lines_per_second as f64 * CATCH_UP_BURST_SECONDS, updated_at: Time::default() }
    }

    pub(super) fn refill(&mut self, now: Time, lines_per_second: u64) {
        let rate = lines_per_second as f64;
        self.lines =
            (self.lines + (now - self.updated_at).seconds() * rate).min(rate * CATCH_UP_BURST_SECONDS);
        self.updated_at = now;
    }

    pub(super) fn is_exhausted(&self) -> bool {
        self.lines <= 0.0
    }

    /// Takes the lines of a snapshot. A snapshot may exceed the budget, so that large ones are not held back
    /// forever.
    pub(super) fn spend(&mut self, cost: usize) {
        self.lines -= cost as f64;
    }
}
