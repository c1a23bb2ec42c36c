//! The wire protocols: lines and messages of proxies and collectors, discovery's documents, and datagrams of
//! peers.
//!
//! Field names of the wire occur only in this module. Received messages leave it as typed values, and
//! outgoing messages enter it as typed values.

use oatpitch::interface::Time;

pub mod budget;
pub mod inbound;
pub mod limits;
pub mod peers;
pub mod push;
pub mod roster;
pub mod send_queue;
pub mod stream;

/// Converts milliseconds, which the wire gives with fractions, to a time. A negative number or NaN becomes 0.
fn from_ms(ms: f64) -> Time {
    Time((ms * 10.0).round() as u64)
}
