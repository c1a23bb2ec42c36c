//! Hollow proxies. Each has a real stream to its conductor, applies messages after the time that they take through the
//! channel, and acknowledges them, but serves no requests.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use oatpitch_frame::LineBuffer;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::state::PointState;
use crate::core::ids::Micros;
use crate::core::message::Message;
use crate::core::proxy::{Behaviour, Proxy, REQUESTS_PER_SECOND};
use crate::core::push::{DecodeError, Part};
use crate::core::settings::PUSH_DELAY;

/// The longest line that the protocol allows on a stream.
const MAX_LINE_BYTES: usize = 1 << 20;
/// The shortest wait before a proxy reconnects.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// A part of this is added to `RECONNECT_DELAY`, by the index of the proxy, so that not all reconnect at once.
const RECONNECT_SPREAD_MS: u64 = 300;
/// Step of the added part between one proxy and the next.
const RECONNECT_STEP_MS: u64 = 7;

/// Runs a proxy: it joins its conductor, and joins again whenever the stream ends, until the task is dropped.
pub async fn run(state: Rc<PointState>, proxy: Proxy) {
    let mut fresh = true;
    state.proxy_started(proxy);
    let added_ms = u64::from(proxy.index.0) * RECONNECT_STEP_MS % RECONNECT_SPREAD_MS;
    let reconnect_delay = RECONNECT_DELAY + Duration::from_millis(added_ms);
    loop {
        if let Ok(stream) = join(&state, proxy, fresh).await {
            fresh = false;
            match proxy.behaviour {
                Behaviour::Hangs => std::future::pending().await,
                Behaviour::Answers | Behaviour::Mute => follow(&state, proxy, stream).await,
            }
            state.proxy_left(proxy.index);
        }
        tokio::time::sleep(reconnect_delay).await;
    }
}

/// Connects to the conductor and sends the hello. `fresh` says whether the proxy has just started.
async fn join(state: &PointState, proxy: Proxy, fresh: bool) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(proxy.address).await?;
    stream.set_nodelay(true)?;
    let zone = {
        let fleet = state.fleet.borrow();
        let zones = fleet.zones();
        zones[usize::from(proxy.index.0) % zones.len()].clone()
    };
    let hello = json!({"t": "hello", "proxy": proxy.index.0, "zone": zone, "weight": REQUESTS_PER_SECOND,
        "fresh": fresh});
    // The proxy counts as joined before the hello is sent, as the conductor may answer before `send` returns.
    state.proxy_joined(proxy);
    send(state, &mut stream, &hello).await?;
    Ok(stream)
}

/// Sends one line and counts it.
async fn send(
    state: &PointState,
    stream: &mut TcpStream,
    message: &serde_json::Value,
) -> std::io::Result<()> {
    let line = format!("{message}\n");
    {
        let traffic = &mut state.observer.borrow_mut().traffic;
        traffic.bytes_from_proxies += line.len() as u64;
        traffic.messages_from_proxies += 1;
    }
    stream.write_all(line.as_bytes()).await
}

/// Why a proxy stops reading its stream.
enum StreamError {
    /// The conductor closed the stream, or the connection failed.
    Closed,
    /// A line is too long or can't be decoded.
    Unusable,
}

impl From<std::io::Error> for StreamError {
    fn from(_: std::io::Error) -> StreamError {
        StreamError::Closed
    }
}

impl From<DecodeError> for StreamError {
    fn from(_: DecodeError) -> StreamError {
        StreamError::Unusable
    }
}

/// Reads a proxy's stream until it ends, and counts streams with unusable lines.
async fn follow(state: &PointState, proxy: Proxy, stream: TcpStream) {
    let mut stream =
        Stream { state, proxy, stream, lines: LineBuffer::new(MAX_LINE_BYTES), parts: Vec::new() };
    if let Err(StreamError::Unusable) = stream.read_until_error().await {
        state.observer.borrow_mut().streams_unusable += 1;
    }
}

/// The stream of a joined proxy.
struct Stream<'a> {
    state: &'a PointState,
    proxy: Proxy,
    stream: TcpStream,
    /// Splits the received bytes into lines.
    lines: LineBuffer,
    /// Parts of the message that is still incomplete.
    parts: Vec<Rc<Part>>,
}

impl Stream<'_> {
    async fn read_until_error(&mut self) -> Result<(), StreamError> {
        // Messages with the times at which they are applied, in the order in which they were sent.
        let mut in_transit: VecDeque<(Micros, Message)> = VecDeque::new();
        loop {
            let due = in_transit.front().map(|(at, _)| self.state.instant(*at));
            tokio::select! {
                biased;
                () = sleep_until(due) => {
                    if let Some((at, message)) = in_transit.pop_front() {
                        self.apply(at, &message).await?;
                    }
                }
                read = self.stream.read_buf(self.lines.buffer_mut()) => {
                    let count = read?;
                    if count == 0 {
                        return Err(StreamError::Closed);
                    }
                    self.state.observer.borrow_mut().traffic.bytes_to_proxies += count as u64;
                    self.read_messages(&mut in_transit)?;
                }
            }
        }
    }

    /// Moves all complete messages to `in_transit`.
    fn read_messages(&mut self, in_transit: &mut VecDeque<(Micros, Message)>) -> Result<(), StreamError> {
        while let Some(line) = self.lines.next_line().map_err(|_| StreamError::Unusable)? {
            let part = self.state.decoder.borrow_mut().decode(line)?;
            let is_last = !part.continued;
            self.parts.push(part);
            if is_last {
                let message = Message { parts: std::mem::take(&mut self.parts), received: self.state.now() };
                let leaves_channel_at =
                    self.state.observer.borrow_mut().message_received(self.proxy.index, &message);
                in_transit.push_back((leaves_channel_at + PUSH_DELAY, message));
            }
        }
        Ok(())
    }

    /// Applies a message whose time is `at`, and acknowledges it if the proxy does so.
    async fn apply(&mut self, at: Micros, message: &Message) -> Result<(), StreamError> {
        self.state.observer.borrow_mut().message_applied(self.state.now(), self.proxy.index, message);
        let acknowledges = self.proxy.behaviour == Behaviour::Answers;
        if let Some(mark) = message.mark().filter(|_| acknowledges) {
            const MICROS_PER_MS: f64 = 1e3;
            let took_ms = (at - message.received).0 as f64 / MICROS_PER_MS;
            let ack = json!({"t": "ack", "proxy": self.proxy.index.0, "mark": mark, "took_ms": took_ms});
            send(self.state, &mut self.stream, &ack).await?;
        }
        Ok(())
    }
}

/// Sleeps until a time, or forever without one.
async fn sleep_until(due: Option<tokio::time::Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}
