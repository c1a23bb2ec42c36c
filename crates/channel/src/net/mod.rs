//! Publisher and subscriber over HTTP/1.1. All decisions are made in [`crate::core`].

pub mod client;
mod follow_query;
pub mod relay;
pub mod server;

use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use oatpitch::interface::Time;

/// The unit of [`Time`], a tenth of a millisecond, in microseconds.
const MICROS_PER_TIME_UNIT: u64 = 100;

/// Returns the current time.
pub type Clock = Rc<dyn Fn() -> Time>;

/// Returns a clock that starts at the system's time and never goes back.
pub fn system_clock() -> Clock {
    let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let since = Instant::now();
    Rc::new(move || Time((start + since.elapsed()).as_micros() as u64 / MICROS_PER_TIME_UNIT))
}

fn to_duration(time: Time) -> Duration {
    Duration::from_micros(time.0.saturating_mul(MICROS_PER_TIME_UNIT))
}
