//! Accepts connections, and starts the tasks that read and write them.

use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch_state::Input;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{AbortHandle, spawn_local};
use tower::ServiceExt;

use super::connection::{Connection, ConnectionIdAllocator, Connections};
use crate::wire::limits;
use crate::wire::send_queue::{self, EnteredLines};
use crate::wire::stream::{self, Reader};

/// Accepts connections while the limit allows more.
pub struct Acceptor {
    pub listener: TcpListener,
    pub reader: Reader,
    pub connections: Connections,
    /// Lines that the next turn reports to the reducer as entered in the channel; see [`EnteredLines`].
    pub entered: EnteredLines,
    /// One permit for each further connection that may be open.
    pub available_slots: Rc<Semaphore>,
    pub connection_ids: ConnectionIdAllocator,
}

impl Acceptor {
    /// Accepts connections until the conductor has stopped. A slot is free again once its socket is closed.
    pub async fn run(self) {
        loop {
            if self.available_slots.available_permits() == 0 {
                // The reducer closes connections that have not joined; clients in the accept queue wait no longer
                // than that takes.
                let _ = self.reader.inbox.send(Input::AcceptFailed).await;
                let _ =
                    tokio::time::timeout(limits::ACCEPT_RETRY_DELAY, self.available_slots.acquire()).await;
                continue;
            }
            match self.listener.accept().await {
                Ok((socket, peer)) => {
                    if self.start_connection(socket, peer).await.is_none() {
                        return;
                    }
                }
                Err(error) if stream::is_connection_error(&error) => {}
                Err(_) => {
                    // The inbox is closed only while the conductor stops.
                    let _ = self.reader.inbox.send(Input::AcceptFailed).await;
                    tokio::time::sleep(limits::ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Starts a connection's tasks. Returns `None` if the conductor has stopped.
    async fn start_connection(&self, socket: TcpStream, peer: SocketAddr) -> Option<()> {
        let connection = self.connection_ids.allocate();
        // If the connection is already broken, the reading task reports it.
        let _ = socket.set_nodelay(true);
        let (read, send_queue, write_future) =
            send_queue::split(socket, &self.reader.budget, self.entered.clone());
        let slot = Rc::new(Slot::take(&self.available_slots));
        // The reducer learns of the connection before any of its messages, and can close it from then on.
        let opened = self.reader.inbox.reserve().await.ok()?;
        opened.send(Input::ConnectionOpened(connection, peer));
        let close_unless_joined = Rc::new(Notify::new());
        let read_future = self.reader.clone().oneshot((connection, read, close_unless_joined.clone()));
        let read_task = spawn_holding(slot.clone(), async move {
            let _ = read_future.await;
        });
        let write_task = spawn_holding(slot, write_future);
        self.connections
            .borrow_mut()
            .insert(connection, Connection { send_queue, read_task, write_task, close_unless_joined });
        Some(())
    }
}

/// Starts a task that holds a slot until it ends.
fn spawn_holding(slot: Rc<Slot>, task: impl Future<Output = ()> + 'static) -> AbortHandle {
    let holding = async move {
        let _slot = slot;
        task.await;
    };
    spawn_local(holding).abort_handle()
}

/// One of the descriptors for connections, held until both halves of its socket are closed.
struct Slot(Rc<Semaphore>);

impl Slot {
    fn take(slots: &Rc<Semaphore>) -> Slot {
        // Only the accepting task takes permits, and it checks first that one is available.
        slots.try_acquire().into_iter().for_each(tokio::sync::SemaphorePermit::forget);
        Slot(slots.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.add_permits(1);
    }
}
