//! The signals that a conductor handles.

use anyhow::Result;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of the conductor's signals.
pub struct Signals {
    /// SIGTERM or SIGINT: the conductor stops.
    pub stop: StopSignal,
    /// SIGHUP: configuration and operator's files are reloaded.
    pub reload: Signal,
    /// SIGUSR1: the counters are logged.
    pub log_counters: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub fn start() -> Result<Signals> {
        Ok(Signals {
            stop: StopSignal {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
            reload: signal(SignalKind::hangup())?,
            log_counters: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Either of the signals that stop a conductor.
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    /// Waits for the next stop signal.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
