//! One clock: the system's time at the start plus the monotonic clock since, so that it never runs back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oatpitch::interface::Time;

/// A tenth of a millisecond, in microseconds.
const TENTH: u128 = 100;

#[derive(Clone, Copy)]
pub struct Clock {
    start: Duration,
    since: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start, since: Instant::now() }
    }

    pub fn now(&self) -> Time {
        Time(((self.start + self.since.elapsed()).as_micros() / TENTH) as u64)
    }

    /// When the clock will show a time.
    pub fn instant(&self, at: Time) -> tokio::time::Instant {
        let from_epoch = Duration::from_micros(at.0.saturating_mul(TENTH as u64));
        (self.since + from_epoch.saturating_sub(self.start)).into()
    }
}
