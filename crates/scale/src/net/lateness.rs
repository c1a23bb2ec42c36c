//! How late the run itself is: a figure of a run that lagged is no figure of the conductor.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(10);

/// The longest lateness since it was last reset.
#[derive(Clone, Debug, Default)]
pub struct Lateness(Rc<Cell<Duration>>);

impl Lateness {
    pub fn longest(&self) -> Duration {
        self.0.get()
    }

    pub fn reset(&self) {
        self.0.set(Duration::ZERO);
    }

    /// Watches for as long as it is run.
    pub async fn watch(self) {
        loop {
            let due = Instant::now() + TICK;
            tokio::time::sleep_until(due).await;
            self.0.set(self.0.get().max(due.elapsed()));
        }
    }
}
