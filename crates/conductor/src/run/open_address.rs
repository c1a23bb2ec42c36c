//! Opens addresses that a predecessor may still hold.

use std::io::ErrorKind;
use std::net::SocketAddr;

use anyhow::{Context, Result};
use slog::{Logger, info};
use tokio::time::Instant;

use super::signals::Signals;
use crate::wire::limits;

/// Opens an address. While another process holds it, opening is retried for a limited time: a predecessor that is
/// stopping gives it up soon. Returns `None` if the conductor is stopped meanwhile.
pub async fn open_with_retry<T>(
    log: &Logger,
    signals: &mut Signals,
    key: &str,
    address: SocketAddr,
    open: impl AsyncFn() -> std::io::Result<T>,
) -> Result<Option<T>> {
    let deadline = Instant::now() + limits::BIND_TIMEOUT;
    let mut logged = false;
    loop {
        match open().await {
            Ok(opened) => return Ok(Some(opened)),
            Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                if !std::mem::replace(&mut logged, true) {
                    info!(log, "{key}: {address} is in use by another process; retrying");
                }
            }
            Err(error) => return Err(error).with_context(|| format!("{key}: {address}")),
        }
        tokio::select! {
            biased;
            () = signals.stop.recv() => return Ok(None),
            () = tokio::time::sleep(limits::BIND_RETRY_DELAY) => {}
        }
    }
}
