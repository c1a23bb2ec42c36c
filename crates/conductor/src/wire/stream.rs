//! One connection at the conductor's address, as a tower service: its lines go to the memory, and what the
//! memory asks to be written goes out, each in a task of its own so that neither waits for the other.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tower::Service;

use super::frame::Lines;
use super::heard::{Said, Terms, Unusable};
use crate::memory::{ConnId, Ending, Input};
use crate::run::limits;

/// Serves accepted connections: reads until the end, and hands on what was said.
#[derive(Clone)]
pub struct Reader {
    pub terms: Rc<Terms>,
    pub inbox: mpsc::Sender<Input>,
}

impl Service<(ConnId, OwnedReadHalf)> for Reader {
    type Response = ();
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<(), Infallible>>>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, (conn, stream): (ConnId, OwnedReadHalf)) -> Self::Future {
        let reader = self.clone();
        Box::pin(async move {
            let ending = reader.read(conn, stream).await;
            // The memory is gone only when the conductor stops.
            let _ = reader.inbox.send(Input::Ended(conn, ending)).await;
            Ok(())
        })
    }
}

impl Reader {
    async fn read(&self, conn: ConnId, mut stream: OwnedReadHalf) -> Ending {
        let mut lines = Lines::new(limits::LINE_LONGEST);
        loop {
            lines.room().reserve(limits::READ_ROOM);
            match stream.read_buf(lines.room()).await {
                Ok(0) => return Ending::Closed,
                Ok(_) => {}
                Err(_) => return Ending::Broken,
            }
            loop {
                let said = match lines.next() {
                    Ok(None) => break,
                    Ok(Some(line)) => Said::decode(&line, &self.terms),
                    Err(_) => Err(Unusable::TooLong),
                };
                match said {
                    Ok(said) => {
                        if self.inbox.send(Input::Said(conn, said)).await.is_err() {
                            return Ending::Closed;
                        }
                    }
                    Err(cause) => return Ending::Unusable(cause),
                }
            }
        }
    }
}

/// What is still to be written on a connection; dropping it ends the writing.
pub struct Outbox {
    sender: mpsc::UnboundedSender<Bytes>,
    queued: Rc<Cell<usize>>,
}

impl Outbox {
    /// Queues a message, whole; false if what waits already is too much.
    pub fn write(&self, message: Bytes) -> bool {
        let queued = self.queued.get() + message.len();
        if queued > limits::OUTBOX_MOST {
            return false;
        }
        self.queued.set(queued);
        // Where the writing has failed, the reading ends too and tells.
        let _ = self.sender.send(message);
        true
    }
}

/// Splits a connection; the future writes what the outbox is given.
pub fn split(stream: TcpStream) -> (OwnedReadHalf, Outbox, impl Future<Output = ()>) {
    let (read, write) = stream.into_split();
    let (sender, messages) = mpsc::unbounded_channel();
    let queued = Rc::new(Cell::new(0));
    (read, Outbox { sender, queued: queued.clone() }, write_all(write, messages, queued))
}

async fn write_all(
    mut stream: OwnedWriteHalf,
    mut messages: mpsc::UnboundedReceiver<Bytes>,
    queued: Rc<Cell<usize>>,
) {
    while let Some(message) = messages.recv().await {
        let length = message.len();
        if stream.write_all(&message).await.is_err() {
            break;
        }
        queued.set(queued.get().saturating_sub(length));
    }
}
