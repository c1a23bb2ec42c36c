//! Decoded inbound data: messages of peers in any protocol, and documents of discovery.

use std::collections::BTreeMap;
use std::error::Error;
use std::fmt::{self, Display, Formatter};

use oatpitch::interface::{ClassId, LoadReport, NodeStatus, ProxyId, Time, ZoneId};

/// A message of a peer. Nodes have the names that discovery lists them under.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerMessage {
    /// Asks whether the conductor can serve.
    Probe,
    /// The peer collects the results of tries in a zone.
    CollectorJoined { zone: ZoneId },
    /// The peer is a proxy, and takes its tables from here.
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
        exchanges_per_second: f64,
        /// It holds only its standing tables, none of a conductor.
        only_standing_tables: bool,
        /// Its first full table clears every ejection that any conductor sent it before.
        clears_ejections: bool,
        /// What it reports about itself, in protocols that provide for it. The protocol limits the size.
        tags: BTreeMap<String, String>,
    },
    /// A proxy has received the message with a mark.
    Acknowledged {
        proxy: ProxyId,
        mark: u64,
        /// How long the message took to arrive, by the proxy.
        elapsed: Time,
    },
    /// The results of the tries at a node in a period.
    TrySummary {
        zone: ZoneId,
        node: String,
        tries: u32,
        failed: u32,
        /// Mean time of the successful tries; zero if there are none.
        mean_time: Time,
        period: Time,
        load: Option<LoadReport>,
    },
    /// The exchanges of a class that came to a proxy in a period.
    DemandReport {
        proxy: ProxyId,
        class: ClassId,
        exchanges: u32,
        /// Exchanges that were admitted but not answered.
        unanswered: u32,
        period: Time,
    },
}

/// Why a message is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    TooLong,
    NotAnObject,
    UnknownKind,
    InvalidField(&'static str),
}

impl MessageError {
    /// Returns whether the end of the message is known, so that the messages after it can be read.
    pub fn is_skippable(self) -> bool {
        matches!(self, MessageError::UnknownKind | MessageError::InvalidField(_))
    }
}

impl Display for MessageError {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::TooLong => to.write_str("line exceeds the maximum length"),
            MessageError::NotAnObject => to.write_str("not a JSON object"),
            MessageError::UnknownKind => to.write_str("unknown message kind"),
            MessageError::InvalidField(name) => {
                write!(to, "field {name} is missing, malformed or out of range")
            }
        }
    }
}

/// A document of discovery: the full list of nodes, or the entries that changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MembershipUpdate {
    pub version: u64,
    /// Whether it lists all nodes; otherwise only those that changed.
    pub full: bool,
    pub entries: Vec<MembershipEntry>,
    /// Number of entries that could not be parsed.
    pub unreadable_entries: usize,
}

/// One node of a document.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipEntry {
    /// The node's name.
    pub node: String,
    /// Index of the zone in the configuration.
    pub zone: u16,
    pub machine_kind: String,
    pub status: NodeStatus,
    pub weight: f64,
    /// When the node last started; none if that is long ago.
    pub started: Option<Time>,
}

/// A document of discovery that is longer than the configured memory has room for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DocumentTooLong {
    /// Bytes that there is room for.
    pub allowed: usize,
    /// Bytes that were received or announced before reading stopped.
    pub seen: usize,
}

impl Display for DocumentTooLong {
    fn fmt(&self, to: &mut Formatter<'_>) -> fmt::Result {
        let DocumentTooLong { allowed, seen } = self;
        write!(to, "a list over what limits.memory_mb leaves room for: {allowed} bytes allowed, {seen} seen")
    }
}

impl Error for DocumentTooLong {}
