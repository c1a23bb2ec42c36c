//! Measures how late the tasks of the test process itself are run. If it lags, measured times don't describe the
//! conductor.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// How often the delay of a timer is measured.
const TICK: Duration = Duration::from_millis(10);

/// The longest delay of a timer since the last reset.
#[derive(Clone, Debug, Default)]
pub struct Lateness(Rc<Cell<Duration>>);

impl Lateness {
    /// Returns the longest delay since the last reset.
    pub fn longest(&self) -> Duration {
        self.0.get()
    }

    /// Forgets all delays so far.
    pub fn reset(&self) {
        self.0.set(Duration::ZERO);
    }

    /// Measures delays until the task is dropped.
    pub async fn watch(self) {
        loop {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due).await;
            self.0.set(self.0.get().max(due.elapsed()));
        }
    }
}
