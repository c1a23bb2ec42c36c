//! One connection at the conductor's address, as a tower service that passes its lines to the reducer.
//!
//! Messages to the peer are written by a [`send_queue`](super::send_queue) in a task of its own, so that
//! neither direction waits for the other.

#[cfg(test)]
mod tests;

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use oatpitch_frame::LineBuffer;
use oatpitch_state::inbound::{MessageError, PeerMessage};
use oatpitch_state::{CloseReason, ConnectionId, Input};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, mpsc};
use tower::Service;

use super::budget::Budget;
use super::inbound::{self, DecodeContext, may_start_object};
use super::limits;

/// A tower service that reads an accepted connection until it ends.
#[derive(Clone)]
pub struct Reader {
    /// Names and limits that the messages are checked against.
    pub context: Rc<DecodeContext>,
    /// The reducer's inbox.
    pub inbox: mpsc::Sender<Input>,
    /// The budget that the read buffers are charged to.
    pub budget: Budget,
}

/// A connection's number and read half, and the notification that asks the reader to close it unless its peer
/// has joined.
type ReadRequest = (ConnectionId, OwnedReadHalf, Rc<Notify>);

impl Service<ReadRequest> for Reader {
    type Response = ();
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<(), Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (connection, stream, close_unless_joined): ReadRequest) -> Self::Future {
        let reader = self.clone();
        Box::pin(async move {
            let reason = reader.read(connection, stream, &close_unless_joined).await;
            // The inbox is closed only when the conductor stops.
            let _ = reader.inbox.send(Input::ConnectionClosed(connection, reason)).await;
            Ok(())
        })
    }
}

impl Reader {
    /// Reads until the connection ends and returns the reason.
    ///
    /// If the reader is notified before the peer has joined, it handles the data that had arrived by then and
    /// closes the connection unless that data joins the peer. This is decided here because a greeting may
    /// wait in the socket, or in the inbox, at the time of the notification.
    async fn read(
        &self,
        connection: ConnectionId,
        mut stream: OwnedReadHalf,
        close_unless_joined: &Notify,
    ) -> CloseReason {
        let mut lines = LineBuffer::new(limits::MAX_LINE_BYTES);
        let mut charge = self.budget.read_charge();
        let mut joined = false;
        let mut last_read = false;
        loop {
            if !charge.set_bytes(lines.shrink_to(self.budget.per_connection())) {
                return CloseReason::ReadBuffersFull;
            }
            lines.buffer_mut().reserve(limits::READ_BUFFER_BYTES);
            let read = tokio::select! {
                biased;
                read = stream.read_buf(lines.buffer_mut()) => read,
                () = std::future::ready(()), if last_read => return CloseReason::NotJoined,
                () = close_unless_joined.notified(), if !joined => {
                    last_read = true;
                    // The runtime polls the socket before it resumes this task, so the next read sees all
                    // data that has arrived.
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match read {
                Ok(0) => return CloseReason::ClosedByPeer,
                Ok(_) => {}
                Err(_) => return CloseReason::ConnectionFailed,
            }
            if let Err(reason) = self.forward_lines(connection, &mut lines, &mut joined).await {
                return reason;
            }
            if std::mem::take(&mut last_read) && !joined {
                return CloseReason::NotJoined;
            }
            // A line that cannot become a message is rejected before it ends, as it may never end.
            if !may_start_object(lines.partial_line()) {
                return CloseReason::InvalidMessage(MessageError::NotAnObject);
            }
        }
    }

    /// Decodes the complete lines and passes them to the reducer. Sets `joined` once the peer has joined.
    /// Fails with the reason for which the connection is to be closed.
    async fn forward_lines(
        &self,
        connection: ConnectionId,
        lines: &mut LineBuffer,
        joined: &mut bool,
    ) -> Result<(), CloseReason> {
        loop {
            let message = match lines.next_line() {
                Ok(None) => return Ok(()),
                Ok(Some(line)) => inbound::decode(&line, &self.context),
                Err(_) => Err(MessageError::TooLong),
            };
            let input = match message {
                Ok(message) => {
                    *joined |= matches!(
                        message,
                        PeerMessage::ProxyJoined { .. } | PeerMessage::CollectorJoined { .. }
                    );
                    Input::MessageReceived(connection, message)
                }
                Err(error) if error.is_skippable() => Input::InvalidMessage(connection, error),
                Err(error) => return Err(CloseReason::InvalidMessage(error)),
            };
            if self.inbox.send(input).await.is_err() {
                return Err(CloseReason::ClosedByPeer);
            }
        }
    }
}

/// Listens at an address with a queue for this many pending connections. The operating system may allow
/// fewer.
pub fn listen(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // The operating system may still track connections of a predecessor at this address.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX) as u32)
}

/// Whether an accept failed because the accepted connection had already ended.
///
/// The connections behind it can be accepted at once, and no room has to be made for them.
pub fn is_connection_error(error: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(error.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}
