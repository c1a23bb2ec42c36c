//! The state of a conductor. One reducer owns all of it: it takes what happened as an [`Input`] and returns
//! what is to be sent, read or done as an [`Effect`]. Nothing here uses a socket, a clock or a file, or depends
//! on a protocol: every protocol produces the same inputs and carries out the same effects.

pub mod counters;
pub mod desired_state;
pub mod inbound;
pub mod limits;
pub mod message;
pub mod node_names;
pub mod reducer;
#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;

use oatpitch::interface::{Advice, Time};

use inbound::{DocumentTooLong, MembershipUpdate, MessageError, PeerMessage};
use message::Message;

/// Checks an invariant: asserts it in debug builds, counts a violation in release builds.
#[macro_export]
macro_rules! invariant {
    ($counters:expr, $holds:expr, $what:literal) => {{
        let holds: bool = $holds;
        debug_assert!(holds, $what);
        if !holds {
            $counters.add(concat!("missed: ", $what), 1);
        }
    }};
}

/// A connection. Ids increase in the order in which connections were accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Why a connection was closed, or must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    ClosedByPeer,
    /// Reading from the connection failed.
    ConnectionFailed,
    /// A message is invalid in a way that makes the following ones unreadable.
    InvalidMessage(MessageError),
    /// More is queued for writing than is kept.
    WriteQueueFull,
    /// It holds a long part of a line while the read buffers of all connections together exceed their budget.
    ReadBuffersFull,
    /// It was to be closed unless it joined, and has not joined.
    NotJoined,
}

/// Something that happened, for the reducer to handle.
#[derive(Clone, Debug)]
pub enum Input {
    ConnectionOpened(ConnectionId, SocketAddr),
    /// A connection could not be accepted because descriptors are short.
    AcceptFailed,
    MessageReceived(ConnectionId, PeerMessage),
    /// A message is invalid, and those before and after it are not affected.
    InvalidMessage(ConnectionId, MessageError),
    ConnectionClosed(ConnectionId, CloseReason),
    /// The configuration was read again: discovery's address and the changed keys that only a restart applies,
    /// or why the configuration is refused.
    ConfigReloaded(Result<(SocketAddr, Vec<&'static str>), String>),
    /// This many of the ordered lines, message overhead included, have entered the channel or never will.
    LinesEntered(f64),
    /// New advice of the hooks on the tables, already checked against their bounds.
    AdviceReceived(Advice),
    /// Lines for the log: what the host applied or could not apply.
    LogWarnings(Vec<String>),
    /// The watch with this request id was answered.
    WatchOpened(u64),
    /// An update of the watch, or the list of the fetch, with this request id.
    MembershipUpdate(u64, MembershipUpdate),
    /// The watch or fetch with this request id received a list too long to be held, and has ended.
    ListTooLong(u64, DocumentTooLong),
    /// The watch or fetch with this request id has ended, and why.
    DiscoveryRequestEnded(u64, String),
    /// A datagram of the peer at this index of the configured list; none if the sender is unknown or the datagram
    /// is too long.
    PeerDatagram(Option<usize>),
    /// The time of the last turn's [`Effect::WakeAt`] has come, or may have.
    TimerFired,
}

/// The level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Info,
    Warning,
    Error,
}

/// Something that the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends one message to each of these connections.
    SendMessage(Vec<ConnectionId>, Rc<Message>),
    /// Answers a probe.
    SendAlive(ConnectionId),
    CloseConnection(ConnectionId),
    /// Closes a connection that has not joined once everything received on it so far is handled, unless it joins
    /// by then.
    CloseUnlessJoined(ConnectionId),
    /// Uses another address of discovery for all later requests.
    SetDiscoveryAddress(SocketAddr),
    /// Opens a watch of the list, starting after a version.
    OpenWatch {
        request_id: u64,
        since_version: u64,
    },
    /// Ends the watch or fetch with this request id.
    CancelRequest(u64),
    /// Requests the full list once, under this request id.
    FetchList(u64),
    /// Starts a turn at this time. It replaces the time of an earlier turn.
    WakeAt(Time),
    /// Sends a datagram to the peer at this index of the configured list; `None` means to all peers.
    SendDatagram(Option<usize>, Vec<u8>),
    Log(LogLevel, String),
}
