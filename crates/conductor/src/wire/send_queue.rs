//! The queue of messages that wait to be written to a connection, and the task that writes them.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::budget::{Budget, Message};
use super::limits;

/// Lines that have entered the channel since the last turn reported this count to the reducer. A line has entered
/// when the operating system has accepted the whole message that holds it, or when it will never be written because
/// its connection is closed. Lines for followers of the snapshot channel enter as soon as their message is handed to
/// it.
pub type EnteredLines = Rc<Cell<f64>>;

/// The unwritten messages of a connection, and the lines that they count in the channel.
struct QueueState {
    /// Length of each message in bytes, that of the one being written first.
    lengths: VecDeque<usize>,
    /// Sum of `lengths`.
    bytes: usize,
    /// Lines of the unwritten messages, refused ones included.
    lines: f64,
    entered: EnteredLines,
    budget: Budget,
    /// Whether a message was refused. No message is sent after it, as its changes would be applied over a
    /// gap.
    refused: bool,
}

impl QueueState {
    /// Whether the peer has left too much unread for another message to be accepted.
    ///
    /// The message that is being written does not count for the connection's own limit, as it may be a whole
    /// table of any length. Otherwise the queue is full if it is beyond its allowance while the shared budget
    /// is exceeded.
    fn is_full(&self) -> bool {
        let behind = self.bytes - self.lengths.front().copied().unwrap_or_default();
        behind > limits::MAX_QUEUED_BYTES
            || self.bytes > self.budget.per_connection() && self.budget.is_exceeded()
    }

    fn push(&mut self, length: usize) {
        self.lengths.push_back(length);
        self.bytes += length;
    }

    /// Removes the first message after the operating system has accepted it.
    fn pop(&mut self, lines: f64) {
        self.bytes -= self.lengths.pop_front().unwrap_or_default();
        self.add_entered(lines);
    }

    fn add_entered(&mut self, lines: f64) {
        self.lines -= lines;
        self.entered.set(self.entered.get() + lines);
    }
}

impl Drop for QueueState {
    /// Counts unwritten lines as entered: they will never be written, and must not stay counted as
    /// ordered but not yet entered.
    fn drop(&mut self) {
        self.add_entered(self.lines);
    }
}

/// The sending end of a connection's queue.
pub struct SendQueue {
    sender: mpsc::UnboundedSender<(Message, f64)>,
    state: Rc<RefCell<QueueState>>,
}

impl SendQueue {
    /// Queues a message that counts this many lines. Returns false if the peer has left too much unread.
    pub fn enqueue(&self, message: Message, lines: f64) -> bool {
        let state = &mut *self.state.borrow_mut();
        state.lines += lines;
        state.refused |= state.is_full();
        if state.refused {
            return false;
        }
        state.push(message.bytes.len());
        // If writing has failed, reading fails too and reports it.
        let _ = self.sender.send((message, lines));
        true
    }

    /// Whether only alive messages wait, which count no lines.
    pub fn holds_only_alive(&self) -> bool {
        let state = self.state.borrow();
        state.bytes > 0 && state.lines < 1.0 && !state.refused
    }
}

/// Splits a connection into its read half, its send queue and the future that writes the queued messages.
pub fn split(
    stream: TcpStream,
    budget: &Budget,
    entered: EnteredLines,
) -> (OwnedReadHalf, SendQueue, impl Future<Output = ()> + use<>) {
    let (read, write) = stream.into_split();
    let (sender, messages) = mpsc::unbounded_channel();
    let state = QueueState {
        lengths: VecDeque::new(),
        bytes: 0,
        lines: 0.0,
        entered,
        budget: budget.clone(),
        refused: false,
    };
    let state = Rc::new(RefCell::new(state));
    let queue = SendQueue { sender, state: state.clone() };
    (read, queue, write_messages(write, messages, state))
}

async fn write_messages(
    mut stream: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<(Message, f64)>,
    state: Rc<RefCell<QueueState>>,
) {
    while let Some((message, lines)) = messages.recv().await {
        if stream.write_all(&message.bytes).await.is_err() {
            break;
        }
        state.borrow_mut().pop(lines);
    }
}
