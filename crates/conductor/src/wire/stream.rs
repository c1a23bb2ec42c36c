//! One connection at the conductor's address, as a tower service: its lines go to the memory, and what the
//! memory asks to be written goes out, each in a task of its own so that neither waits for the other.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use oatpitch_frame::Lines;
use oatpitch_memory::inbound::{PeerMessage, Unusable};
use oatpitch_memory::{ConnId, Ending, Input};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{Notify, mpsc};
use tower::Service;

use super::inbound::{self, Terms, opens_object};
use super::limits;

/// Bytes that all connections hold beyond what each may hold anyway, so that many that send or take nothing
/// but parts of long lines cannot fill the memory.
#[derive(Clone)]
pub struct Budget(Rc<Cell<usize>>, limits::Room);

impl Budget {
    pub fn of(room: limits::Room) -> Budget {
        Budget(Rc::default(), room)
    }
}

/// What one connection holds of the budget, one way; given back when it is dropped.
struct Held(Budget, usize);

impl Held {
    /// Holds so many bytes from now on; false if they are beyond the budget.
    fn hold(&mut self, bytes: usize) -> bool {
        let beyond = bytes.saturating_sub(self.0.1.usual);
        let all = self.0.0.get() - self.1 + beyond;
        self.0.0.set(all);
        self.1 = beyond;
        beyond == 0 || all <= self.0.1.shared
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.hold(0);
    }
}

/// Serves accepted connections: reads until the end, and hands on what was said.
#[derive(Clone)]
pub struct Reader {
    pub terms: Rc<Terms>,
    pub inbox: mpsc::Sender<Input>,
    pub budget: Budget,
}

impl Service<(ConnId, OwnedReadHalf, Rc<Notify>)> for Reader {
    type Response = ();
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<(), Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (conn, stream, dismissed): (ConnId, OwnedReadHalf, Rc<Notify>)) -> Self::Future {
        let reader = self.clone();
        Box::pin(async move {
            let ending = reader.read(conn, stream, &dismissed).await;
            // The memory is gone only when the conductor stops.
            let _ = reader.inbox.send(Input::Ended(conn, ending)).await;
            Ok(())
        })
    }
}

impl Reader {
    /// Reads until the end; or, if it is dismissed before it has said who it is, until what had come by then is
    /// taken. That is decided here: a greeting may wait in the socket, or in the inbox, when it is dismissed.
    async fn read(&self, conn: ConnId, mut stream: OwnedReadHalf, dismissed: &Notify) -> Ending {
        let mut lines = Lines::new(limits::LINE_LONGEST);
        let mut held = Held(self.budget.clone(), 0);
        let (mut named, mut last) = (false, false);
        loop {
            if !held.hold(lines.held(self.budget.1.usual)) {
                return Ending::Crowded;
            }
            lines.room().reserve(limits::READ_ROOM);
            let read = tokio::select! {
                biased;
                read = stream.read_buf(lines.room()) => read,
                () = std::future::ready(()), if last => return Ending::Dismissed,
                () = dismissed.notified(), if !named => {
                    last = true;
                    // What has come is known once the runtime has looked, which it does before it goes on here.
                    tokio::task::yield_now().await;
                    continue;
                }
            };
            match read {
                Ok(0) => return Ending::Closed,
                Ok(_) => {}
                Err(_) => return Ending::Broken,
            }
            loop {
                let message = match lines.cut() {
                    Ok(None) => break,
                    Ok(Some(line)) => inbound::decode(&line, &self.terms),
                    Err(_) => Err(Unusable::TooLong),
                };
                let input = match message {
                    Ok(message) => {
                        named |=
                            matches!(message, PeerMessage::Joined { .. } | PeerMessage::Collector { .. });
                        Input::Message(conn, message)
                    }
                    Err(cause) if cause.alone() => Input::Spoilt(conn, cause),
                    Err(cause) => return Ending::Unusable(cause),
                };
                if self.inbox.send(input).await.is_err() {
                    return Ending::Closed;
                }
            }
            if std::mem::take(&mut last) && !named {
                return Ending::Dismissed;
            }
            // What can't become a message need not end first, which it may never do.
            if !opens_object(lines.rest()) {
                return Ending::Unusable(Unusable::NoObject);
            }
        }
    }
}

/// Lines that have entered the channel since it was last asked: their message has been taken by the system, or
/// its connection is over.
pub type Entered = Rc<Cell<f64>>;

/// What is still to be written on a connection: bytes, and the lines that they count in the channel.
struct Queued {
    bytes: usize,
    held: Held,
    lines: f64,
    entered: Entered,
    /// A message was too much: none goes out after it, as changes would be applied over a gap.
    refused: bool,
}

impl Queued {
    fn enter(&mut self, lines: f64) {
        self.lines -= lines;
        self.entered.set(self.entered.get() + lines);
    }
}

impl Drop for Queued {
    /// What was not written never enters the channel; it must not be reckoned with for good.
    fn drop(&mut self) {
        self.enter(self.lines);
    }
}

pub struct Outbox {
    sender: mpsc::UnboundedSender<(Bytes, f64)>,
    queued: Rc<RefCell<Queued>>,
}

impl Outbox {
    /// Queues a message, whole, that counts so many lines; false if what waits already is too much.
    pub fn write(&self, message: Bytes, lines: f64) -> bool {
        let queued = &mut *self.queued.borrow_mut();
        queued.bytes += message.len();
        queued.lines += lines;
        queued.refused |= queued.bytes > limits::OUTBOX_MOST || !queued.held.hold(queued.bytes);
        if queued.refused {
            return false;
        }
        // Where the writing has failed, the reading ends too and tells.
        let _ = self.sender.send((message, lines));
        true
    }

    /// Whether all that still waits is an answer of life, which counts no lines.
    pub fn owes_sign(&self) -> bool {
        let queued = self.queued.borrow();
        queued.bytes > 0 && queued.lines < 1.0 && !queued.refused
    }
}

/// Listens for connections, of which so many may wait to be taken; the system may allow fewer.
pub fn listen(at: SocketAddr, waiting: usize) -> io::Result<TcpListener> {
    let socket = if at.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    // A predecessor's connections may still be known to the system.
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(i32::try_from(waiting).unwrap_or(i32::MAX) as u32)
}

/// Whether an accept failed for the one connection that it would have taken, which has ended before: those behind
/// it need not wait, and nobody need make room.
pub fn itself_alone(trouble: &io::Error) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionReset, Interrupted};
    matches!(trouble.kind(), ConnectionAborted | ConnectionReset | Interrupted)
}

/// Splits a connection; the future writes what the outbox is given.
pub fn split(
    stream: TcpStream,
    budget: &Budget,
    entered: Entered,
) -> (OwnedReadHalf, Outbox, impl Future<Output = ()> + use<>) {
    let (read, write) = stream.into_split();
    let (sender, messages) = mpsc::unbounded_channel();
    let queued = Queued { bytes: 0, held: Held(budget.clone(), 0), lines: 0.0, entered, refused: false };
    let queued = Rc::new(RefCell::new(queued));
    (read, Outbox { sender, queued: queued.clone() }, write_all(write, messages, queued))
}

async fn write_all(
    mut stream: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<(Bytes, f64)>,
    queued: Rc<RefCell<Queued>>,
) {
    while let Some((message, lines)) = messages.recv().await {
        let length = message.len();
        if stream.write_all(&message).await.is_err() {
            break;
        }
        let queued = &mut *queued.borrow_mut();
        queued.bytes -= length;
        queued.held.hold(queued.bytes);
        queued.enter(lines);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a message that goes out behind one that was too much: changes would be applied over a gap.
    #[test]
    fn after_a_refused_message_none_goes_out() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = listen(([127, 0, 0, 1], 0).into(), 8).expect("a port");
            let at = listener.local_addr().expect("bound");
            let (_far, near) = (TcpStream::connect(at).await.expect("open"), listener.accept().await);
            let (near, entered) = (near.expect("taken").0, Entered::default());
            let budget = Budget::of(limits::room(192, 64));
            let (_read, outbox, writing) = split(near, &budget, entered.clone());
            assert!(outbox.write(Bytes::from_static(b"first\n"), 3.0));
            assert!(!outbox.write(vec![b' '; limits::OUTBOX_MOST].into(), 7.0));
            assert!(!outbox.write(Bytes::from_static(b"third\n"), 2.0), "it would pass the second");
            drop((outbox, writing));
            // What was not written counts as never to enter.
            assert_eq!(entered.get(), 12.0);
        });
    }

    #[test]
    fn what_ended_before_it_was_taken_concerns_itself_alone() {
        use io::ErrorKind::{ConnectionAborted, Other, OutOfMemory};
        let alone = [ConnectionAborted, Other, OutOfMemory].map(|kind| itself_alone(&kind.into()));
        assert_eq!(alone, [true, false, false]);
        // A full table of descriptors.
        assert!(!itself_alone(&io::Error::from_raw_os_error(24)));
    }
}
