//! The memory budget that the buffers of all connections share, so that many connections that send or read
//! only parts of long lines cannot exhaust the memory.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;

use super::limits::BufferLimits;

/// Bytes held by all connections together.
#[derive(Debug, Default)]
struct Totals {
    /// Bytes of incomplete received lines, beyond each connection's own allowance.
    read_bytes: Cell<usize>,
    /// Bytes of messages that wait to be written. A message counts once, however many connections it goes to.
    write_bytes: Cell<usize>,
}

/// The buffer budget of one conductor. Clones share the same totals.
#[derive(Clone, Debug)]
pub struct Budget {
    totals: Rc<Totals>,
    limits: BufferLimits,
}

impl Budget {
    /// Creates an unused budget with these limits.
    pub fn new(limits: BufferLimits) -> Budget {
        Budget { totals: Rc::default(), limits }
    }

    /// Returns the bytes that each connection may hold in either direction, independent of the others.
    pub fn per_connection(&self) -> usize {
        self.limits.per_connection
    }

    /// Returns an empty charge for the read buffer of one connection.
    pub fn read_charge(&self) -> ReadCharge {
        ReadCharge { budget: self.clone(), shared_bytes: 0 }
    }

    /// Charges a message that is to be written. It counts until the last send queue has released it.
    pub fn message(&self, bytes: Bytes) -> Message {
        let charge = Rc::new(WriteCharge { totals: self.totals.clone(), bytes: bytes.len() });
        self.totals.write_bytes.set(self.totals.write_bytes.get().saturating_add(charge.bytes));
        Message { bytes, _charge: charge }
    }

    /// Whether all connections together hold more than the shared limit.
    pub fn is_exceeded(&self) -> bool {
        self.totals.read_bytes.get().saturating_add(self.totals.write_bytes.get()) > self.limits.shared
    }

    /// Whether the shared limit is exceeded from the view of a reader.
    ///
    /// Unwritten messages count for at most half of the limit, because it is other connections that left them
    /// unread.
    fn is_exceeded_for_reads(&self) -> bool {
        let write_bytes = self.totals.write_bytes.get().min(self.limits.shared / 2);
        self.totals.read_bytes.get() + write_bytes > self.limits.shared
    }
}

/// The bytes charged for the read buffer of one connection, released on drop.
#[derive(Debug)]
pub struct ReadCharge {
    budget: Budget,
    /// Bytes beyond the connection's own allowance.
    shared_bytes: usize,
}

impl ReadCharge {
    /// Sets the size of the read buffer, in bytes. Returns false if it is beyond the budget.
    pub fn set_bytes(&mut self, bytes: usize) -> bool {
        let shared_bytes = bytes.saturating_sub(self.budget.limits.per_connection);
        let read_bytes = &self.budget.totals.read_bytes;
        read_bytes.set(read_bytes.get() - self.shared_bytes + shared_bytes);
        self.shared_bytes = shared_bytes;
        shared_bytes == 0 || !self.budget.is_exceeded_for_reads()
    }
}

impl Drop for ReadCharge {
    fn drop(&mut self) {
        self.set_bytes(0);
    }
}

/// An encoded message, shared by all connections that it is sent to.
#[derive(Clone, Debug)]
pub struct Message {
    /// The lines of the message as they are written.
    pub bytes: Bytes,
    _charge: Rc<WriteCharge>,
}

/// The bytes charged for one message, released when its last clone is dropped.
#[derive(Debug)]
struct WriteCharge {
    totals: Rc<Totals>,
    bytes: usize,
}

impl Drop for WriteCharge {
    fn drop(&mut self) {
        let write_bytes = &self.totals.write_bytes;
        write_bytes.set(write_bytes.get().saturating_sub(self.bytes));
    }
}
