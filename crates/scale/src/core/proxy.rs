//! What the proxies of a scale test are.

use std::net::SocketAddr;

use super::ids::{ConductorIndex, ProxyIndex};

/// The request rate that every proxy reports.
pub const REQUESTS_PER_SECOND: f64 = 20.0;

/// How a proxy treats its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Reads, applies and acknowledges messages.
    Answers,
    /// Reads and applies messages, but never acknowledges them.
    Mute,
    /// Neither reads nor acknowledges.
    Hangs,
}

/// A proxy and its conductor.
#[derive(Clone, Copy, Debug)]
pub struct Proxy {
    pub index: ProxyIndex,
    pub conductor: ConductorIndex,
    /// The address that the conductor listens on.
    pub address: SocketAddr,
    pub behaviour: Behaviour,
}
