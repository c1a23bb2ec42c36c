//! The signals that a conductor reacts to.

use anyhow::Result;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a conductor minds, from the first on.
pub struct Signals {
    pub stop: Stop,
    /// Files are to be read anew.
    pub renew: Signal,
    /// Counters are to be logged.
    pub show: Signal,
}

impl Signals {
    pub fn start() -> Result<Signals> {
        Ok(Signals {
            stop: Stop {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            renew: signal(SignalKind::hangup())?,
            show: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Either of the signals that stop a conductor.
pub struct Stop {
    terminate: Signal,
    interrupt: Signal,
}

impl Stop {
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
