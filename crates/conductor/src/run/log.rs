//! The log: lines on standard error through slog. A pipe that is full or closed stops nobody, and without a thread of
//! its own: a conductor is one thread, so that none can be held up in its start or its end by another's.

use std::io::{self, ErrorKind, Stderr, Write};
use std::os::unix::fs::FileTypeExt;
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, Logger, o};

/// Bytes that may wait to be written; lines beyond that are dropped.
const WAITING: usize = 64 << 10;
/// For writing out what waits at the end, and how often that is tried; a planned restart leaves 0.7 s in all.
const FINISH: Duration = Duration::from_millis(200);
const FINISH_PAUSE: Duration = Duration::from_millis(5);

/// Takes all lines at once; what nobody takes from it waits, or is dropped.
struct Patient {
    out: Stderr,
    waiting: Vec<u8>,
}

impl Patient {
    /// Writes out what waits, as far as it is taken.
    fn push(&mut self) {
        while !self.waiting.is_empty() {
            match self.out.write(&self.waiting) {
                Ok(taken) if taken > 0 => _ = self.waiting.drain(..taken),
                Err(trouble) if trouble.kind() == ErrorKind::Interrupted => {}
                Err(trouble) if trouble.kind() == ErrorKind::WouldBlock => return,
                // Nobody will ever read it.
                _ => self.waiting.clear(),
            }
        }
    }
}

impl Write for Patient {
    /// A line at a time.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.push();
        if self.waiting.len() + line.len() <= WAITING {
            self.waiting.extend_from_slice(line);
            self.push();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.push();
        Ok(())
    }
}

impl Drop for Patient {
    fn drop(&mut self) {
        let until = Instant::now() + FINISH;
        self.push();
        while !self.waiting.is_empty() && Instant::now() < until {
            thread::sleep(FINISH_PAUSE);
            self.push();
        }
    }
}

/// A pipe is told not to hold up who writes to it. A terminal is shared with others, and a file never does.
fn unblock(out: &Stderr) {
    let kind = std::fs::metadata("/proc/self/fd/2").map(|about| about.file_type());
    if kind.is_ok_and(|kind| kind.is_fifo() || kind.is_socket()) {
        // Where that fails, lines wait for who reads them, as with any program.
        let _ = fcntl_getfl(out).and_then(|flags| fcntl_setfl(out, flags | OFlags::NONBLOCK));
    }
}

/// The logger. When the last of it is dropped, what still waits is written out, as far as somebody takes it.
pub fn start(name: &str) -> Logger {
    let out = io::stderr();
    unblock(&out);
    let decorator = slog_term::PlainSyncDecorator::new(Patient { out, waiting: Vec::new() });
    let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
    Logger::root(drain, o!("conductor" => name.to_string()))
}
