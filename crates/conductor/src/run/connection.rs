//! The conductor's open connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use oatpitch_state::ConnectionId;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};

use crate::wire::limits;
use crate::wire::send_queue::SendQueue;

/// Allocates connection ids in ascending order.
#[derive(Clone, Default)]
pub struct ConnectionIdAllocator(Rc<Cell<u64>>);

impl ConnectionIdAllocator {
    /// Returns the next id.
    pub fn allocate(&self) -> ConnectionId {
        ConnectionId(self.0.replace(self.0.get() + 1))
    }
}

/// The open connections by id.
pub type Connections = Rc<RefCell<BTreeMap<ConnectionId, Connection>>>;

/// One connection with its send queue and the tasks that read and write it.
pub struct Connection {
    pub send_queue: SendQueue,
    pub read_task: AbortHandle,
    pub write_task: AbortHandle,
    /// Tells the reading task to end, after the data received so far, unless the peer has joined by then.
    pub close_unless_joined: Rc<Notify>,
}

impl Connection {
    /// Closes the connection at once, except that a queued answer to a probe is still sent: it counts no lines in the
    /// channel.
    pub fn close(self) {
        self.read_task.abort();
        let write_task = self.write_task;
        if !self.send_queue.holds_only_alive() {
            write_task.abort();
            return;
        }
        // With the send queue dropped, the task ends by itself unless the peer doesn't read.
        spawn_local(async move {
            tokio::time::sleep(limits::CLOSE_FLUSH_TIMEOUT).await;
            write_task.abort();
        });
    }
}
