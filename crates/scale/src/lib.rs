//! Scale tests on loopback: real or in-process ("hollow") conductors serve a whole fleet of hollow proxies, while a
//! discovery server holds the node list. The cost of each conductor is measured, and the five rules that conductors
//! must keep are checked from outside.
//!
//! [`core`] does no I/O and reads no clock; [`net`] owns the sockets, the processes and the reads of `/proc`.

pub mod core;
pub mod net;
