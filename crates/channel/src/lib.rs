//! The snapshot channel: a publish-subscribe protocol in which a stream starts with a snapshot of the tables and
//! continues with changes. `docs/channel.md` specifies it.
//!
//! [`core`] decides without I/O, clock or tasks: what each subscriber is sent next, which tables a subscriber
//! applies, and how it may route in the meantime. [`net`] carries the protocol over HTTP/1.1.

pub mod core;
pub mod net;
