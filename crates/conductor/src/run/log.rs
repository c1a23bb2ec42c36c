//! The log: lines on standard error through slog. A full or closed pipe never blocks the conductor. There is no logging
//! thread: a conductor is a single thread, so that its start and its end never wait for another one.

use std::io::{self, ErrorKind, Stderr, Write};
use std::os::unix::fs::FileTypeExt;
use std::thread;
use std::time::{Duration, Instant};

use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
use slog::{Drain, Logger, o};

/// Limit of buffered bytes; lines beyond it are dropped.
const MAX_PENDING_BYTES: usize = 64 << 10;
/// Time to write out the buffer at exit; a planned restart leaves 0.7 s in all.
const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause between two attempts to write out the buffer at exit.
const FINAL_FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Standard error without blocking: lines that can't be written yet are buffered, or dropped if the buffer is full.
struct NonBlockingStderr {
    out: Stderr,
    pending: Vec<u8>,
}

impl NonBlockingStderr {
    /// Writes out as much of the buffer as standard error accepts.
    fn write_pending(&mut self) {
        while !self.pending.is_empty() {
            match self.out.write(&self.pending) {
                Ok(written) if written > 0 => _ = self.pending.drain(..written),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The pipe is closed, so that no reader will ever get these lines.
                _ => self.pending.clear(),
            }
        }
    }
}

impl Write for NonBlockingStderr {
    /// Buffers one line and writes out what it can.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.write_pending();
        if self.pending.len() + line.len() <= MAX_PENDING_BYTES {
            self.pending.extend_from_slice(line);
            self.write_pending();
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.write_pending();
        Ok(())
    }
}

impl Drop for NonBlockingStderr {
    fn drop(&mut self) {
        let deadline = Instant::now() + FINAL_FLUSH_TIMEOUT;
        self.write_pending();
        while !self.pending.is_empty() && Instant::now() < deadline {
            thread::sleep(FINAL_FLUSH_INTERVAL);
            self.write_pending();
        }
    }
}

/// Makes a pipe or socket non-blocking. A terminal is left as it is, as other processes share it, and a file never
/// blocks.
fn set_nonblocking(out: &Stderr) {
    let file_type = std::fs::metadata("/proc/self/fd/2").map(|metadata| metadata.file_type());
    if file_type.is_ok_and(|file_type| file_type.is_fifo() || file_type.is_socket()) {
        // If this fails, writes block until the reader takes them, as in any program.
        let _ = fcntl_getfl(out).and_then(|flags| fcntl_setfl(out, flags | OFlags::NONBLOCK));
    }
}

/// Returns the logger. When its last clone is dropped, the buffer is written out as far as standard error accepts it
/// in time.
pub fn start(name: &str) -> Logger {
    let out = io::stderr();
    set_nonblocking(&out);
    let decorator = slog_term::PlainSyncDecorator::new(NonBlockingStderr { out, pending: Vec::new() });
    let drain = slog_term::FullFormat::new(decorator).build().ignore_res();
    Logger::root(drain, o!("conductor" => name.to_string()))
}
