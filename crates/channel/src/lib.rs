//! The snapshot channel: a publish-subscribe protocol that begins with a snapshot of the tables and goes on
//! with changes. `docs/channel.md` is its page.
//!
//! [`core`] decides without I/O, clock or task of its own: what each subscriber is sent next, what a subscriber
//! takes, and what it may act on meanwhile. [`net`] carries both over HTTP/1.1.

pub mod core;
pub mod net;
