//! Carries out the reducer's effects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use oatpitch::interface::Time;
use oatpitch_channel::net::server::Server;
use oatpitch_state::counters::Counters;
use oatpitch_state::inbound::DocumentTooLong;
use oatpitch_state::message::Message;
use oatpitch_state::{CloseReason, ConnectionId, Effect, Input, LogLevel};
use slog::{Logger, error, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use super::config::Peers;
use super::connection::{Connection, Connections};
use crate::wire::budget::{self, Budget};
use crate::wire::inbound::DecodeContext;
use crate::wire::limits::BufferLimits;
use crate::wire::send_queue::EnteredLines;
use crate::wire::{push, roster};

/// Carries out effects on sockets, tasks and the log. It takes no decisions of its own.
pub struct EffectRunner {
    pub log: Logger,
    /// Sends inputs to the reducer.
    pub inbox: mpsc::Sender<Input>,
    pub connections: Connections,
    /// Names and bounds that messages are decoded with.
    pub decode_context: Rc<DecodeContext>,
    /// Byte limits that follow from the configured memory.
    pub buffer_limits: BufferLimits,
    pub budget: Budget,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Tasks of the open requests to discovery, by request id.
    pub discovery_requests: BTreeMap<u64, AbortHandle>,
    pub peers: Peers,
    /// Socket for datagrams to peers.
    pub datagrams: Option<Rc<UdpSocket>>,
    /// Time of the wake-up that the last turn requested.
    pub wake_at: Option<Time>,
    /// Server of the snapshot channel, if one is published.
    pub channel: Option<Server>,
    /// Lines that the next turn reports to the reducer as entered in the channel; see [`EnteredLines`].
    pub entered: EnteredLines,
    /// Lines that a message counts for in addition to its own.
    pub message_overhead_lines: f64,
}

impl EffectRunner {
    /// Carries out the effects of a turn, in order. Returns the inputs that close the connections whose send queues
    /// are full.
    pub fn run(&mut self, effects: Vec<Effect>, counters: &mut Counters) -> Vec<Input> {
        let mut close_inputs = Vec::new();
        // Each turn states its own wake-up time, if any; that of an earlier turn no longer applies.
        self.wake_at = None;
        for effect in effects {
            match effect {
                Effect::SendMessage(recipients, message) => {
                    close_inputs.extend(self.send_message(recipients, &message, counters))
                }
                Effect::SendAlive(connection) => close_inputs.extend(self.send_alive(connection)),
                Effect::CloseConnection(connection) => self.close(connection),
                Effect::CloseUnlessJoined(connection) => self.close_unless_joined(connection),
                Effect::OpenWatch { request_id, since_version } => self.open_watch(request_id, since_version),
                Effect::CancelRequest(request_id) => {
                    if let Some(task) = self.discovery_requests.remove(&request_id) {
                        task.abort();
                    }
                }
                Effect::SetDiscoveryAddress(address) => self.discovery = address,
                Effect::FetchList(request_id) => self.fetch_list(request_id),
                Effect::WakeAt(at) => self.wake_at = Some(at),
                Effect::SendDatagram(peer, message) => self.send_datagram(peer, message),
                Effect::Log(level, text) => self.log(level, &text),
            }
        }
        close_inputs
    }

    /// Finishes the turn on the snapshot channel, if there is one: publishes the changes that its messages added.
    pub fn publish(&self, now: Time, list_version: u64) {
        self.channel.iter().for_each(|server| server.finish_turn(now, list_version));
    }

    /// Queues a message for each recipient. Followers of the snapshot channel receive it there instead, and its lines
    /// for them count as entered at once. Returns the inputs that close the connections whose send queues are full.
    fn send_message(
        &self,
        mut recipients: Vec<ConnectionId>,
        message: &Message,
        counters: &mut Counters,
    ) -> Vec<Input> {
        let lines = message.cost() as f64 + self.message_overhead_lines;
        if let Some(server) = &self.channel {
            server.add_message(&recipients, message);
            let total = recipients.len();
            recipients.retain(|connection| !server.is_follower(*connection));
            self.add_entered_lines((total - recipients.len()) as f64 * lines);
        }
        if recipients.is_empty() {
            return Vec::new();
        }
        let bytes = push::encode(&message.parts, &self.decode_context.classes, counters);
        let message = self.budget.message(bytes);
        recipients
            .into_iter()
            .filter_map(|connection| self.write(connection, message.clone(), lines))
            .collect()
    }

    /// Queues the answer to a probe. Returns the input that closes the connection if its send queue is full.
    fn send_alive(&self, connection: ConnectionId) -> Option<Input> {
        self.write(connection, self.budget.message(Bytes::from_static(push::ALIVE)), 0.0)
    }

    /// Closes a connection or a follower's stream.
    fn close(&self, connection: ConnectionId) {
        self.connections.borrow_mut().remove(&connection).into_iter().for_each(Connection::close);
        self.channel.iter().for_each(|server| server.remove_follower(connection));
    }

    /// Asks the reading task to close the connection unless its peer has joined.
    fn close_unless_joined(&self, connection: ConnectionId) {
        self.connections
            .borrow()
            .get(&connection)
            .into_iter()
            .for_each(|connection| connection.close_unless_joined.notify_one());
    }

    /// Writes a line to the log.
    fn log(&self, level: LogLevel, text: &str) {
        match level {
            LogLevel::Info => info!(self.log, "{text}"),
            LogLevel::Warning => warn!(self.log, "{text}"),
            LogLevel::Error => error!(self.log, "{text}"),
        }
    }

    /// Queues a message for one connection. Returns the input that closes it if its send queue is full.
    ///
    /// If the connection is already closed, the lines are counted as entered at once: they will never be written, and
    /// must not stay counted as ordered but not yet entered.
    fn write(&self, connection: ConnectionId, message: budget::Message, lines: f64) -> Option<Input> {
        let Some(queued) = self
            .connections
            .borrow()
            .get(&connection)
            .map(|connection| connection.send_queue.enqueue(message, lines))
        else {
            self.add_entered_lines(lines);
            return None;
        };
        (!queued).then_some(Input::ConnectionClosed(connection, CloseReason::WriteQueueFull))
    }

    /// Adds to the count of entered lines that the next turn reports to the reducer.
    fn add_entered_lines(&self, lines: f64) {
        self.entered.set(self.entered.get() + lines);
    }

    /// Starts a watch of discovery's list from a version on.
    fn open_watch(&mut self, request_id: u64, since_version: u64) {
        let inbox = self.inbox.clone();
        let address = self.discovery;
        let decode_context = self.decode_context.clone();
        let max_list_bytes = self.buffer_limits.document;
        let task = async move {
            let watch = async {
                let body = roster::open_watch(address, since_version).await?;
                let _ = inbox.send(Input::WatchOpened(request_id)).await;
                let forward =
                    async |update| _ = inbox.send(Input::MembershipUpdate(request_id, update)).await;
                roster::read_watch(body, &decode_context.zones, max_list_bytes, forward).await
            };
            let input = match watch.await {
                Ok(()) => Input::DiscoveryRequestEnded(request_id, "the watch ended".into()),
                Err(error) => discovery_failure(request_id, error),
            };
            let _ = inbox.send(input).await;
        };
        self.discovery_requests.insert(request_id, spawn_local(task).abort_handle());
    }

    /// Starts a fetch of discovery's whole list.
    fn fetch_list(&mut self, request_id: u64) {
        let inbox = self.inbox.clone();
        let address = self.discovery;
        let decode_context = self.decode_context.clone();
        let max_list_bytes = self.buffer_limits.document;
        let task = async move {
            let input = match roster::fetch_list(address, &decode_context.zones, max_list_bytes).await {
                Ok(update) => Input::MembershipUpdate(request_id, update),
                Err(error) => discovery_failure(request_id, error),
            };
            let _ = inbox.send(input).await;
        };
        self.discovery_requests.insert(request_id, spawn_local(task).abort_handle());
    }

    /// Sends a datagram to the peer at an index of the configured list. `None` means all peers: the datagram goes to
    /// the broadcast address.
    fn send_datagram(&self, peer: Option<usize>, message: Vec<u8>) {
        let address = match peer {
            Some(index) => self.peers.addresses.get(index).copied(),
            None => self.peers.broadcast,
        };
        if let (Some(socket), Some(address)) = (&self.datagrams, address) {
            // Errors are ignored: datagrams are unreliable anyway.
            let _ = socket.try_send_to(&message, address);
        }
    }
}

/// Returns the input that reports a failed watch or fetch.
fn discovery_failure(request_id: u64, error: anyhow::Error) -> Input {
    match error.downcast::<DocumentTooLong>() {
        Ok(too_long) => Input::ListTooLong(request_id, too_long),
        Err(error) => Input::DiscoveryRequestEnded(request_id, format!("{error:#}")),
    }
}
