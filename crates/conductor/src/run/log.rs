//! The log: lines on standard error through slog, from a thread of its own, so that a pipe that is full or
//! closed stops nobody.

use slog::{Drain, Logger, o};

/// Lines that may wait to be written; beyond that they are dropped.
const WAITING: usize = 1024;

/// The logger, and a guard that writes out what still waits when it is dropped.
pub fn start(name: &str) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
    let (drain, guard) = slog_async::Async::new(drain)
        .chan_size(WAITING)
        .overflow_strategy(slog_async::OverflowStrategy::Drop)
        .build_with_guard();
    (Logger::root(drain.ignore_res(), o!("conductor" => name.to_string())), guard)
}
