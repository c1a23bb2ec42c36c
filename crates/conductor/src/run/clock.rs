//! The conductor's clock: the system time at startup plus the monotonic time since, so that it never runs backwards.
//! It advances in whole ticks, as the simulator's clock does. A turn that is late only because its timer fired late
//! still gets the requested time, so that periods counted from turn to turn don't drift.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oatpitch::interface::Time;

use crate::wire::limits;

/// Microseconds in one unit of [`Time`], a tenth of a millisecond.
pub const MICROSECONDS_PER_UNIT: u64 = 100;

/// A clock that advances in ticks.
#[derive(Clone, Copy)]
pub struct Clock {
    /// System time at startup.
    start_time: Time,
    /// Monotonic time at startup.
    started: Instant,
    /// Length of a tick, in units of [`Time`].
    tick: u64,
}

impl Clock {
    /// Starts a clock with ticks of this length.
    pub fn start(tick: Time) -> Clock {
        let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock {
            start_time: Time(start.as_micros() as u64 / MICROSECONDS_PER_UNIT),
            started: Instant::now(),
            tick: tick.0.max(1),
        }
    }

    /// Returns the clock's time when this long has passed since startup.
    fn time_at(&self, elapsed: Duration) -> Time {
        let units = elapsed.as_micros() as u64 / MICROSECONDS_PER_UNIT;
        self.start_time + Time(units - units % self.tick)
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.time_at(self.started.elapsed())
    }

    /// Returns the time of a turn that starts now, after the previous one. It is the requested wake-up time if the
    /// timer fired no later than its own lateness allows.
    pub fn turn_time(&self, previous: Time, requested: Option<Time>) -> Time {
        self.turn_at(self.now(), previous, requested)
    }

    fn turn_at(&self, now: Time, previous: Time, requested: Option<Time>) -> Time {
        let requested =
            requested.filter(|at| previous < *at && *at <= now && now <= *at + limits::MAX_TIMER_LATENESS);
        requested.unwrap_or(now)
    }

    /// Returns the instant at which the clock reaches a time.
    pub fn instant_of(&self, at: Time) -> tokio::time::Instant {
        let units = (at - self.start_time).0.div_ceil(self.tick).saturating_mul(self.tick);
        (self.started + Duration::from_micros(units.saturating_mul(MICROSECONDS_PER_UNIT))).into()
    }

    /// Returns the instant at which the clock's time changes next.
    pub fn next_tick(&self) -> tokio::time::Instant {
        self.instant_of(self.now() + Time(1))
    }
}
