//! Scale runs of the project's own: real and hollow conductors before a whole fleet, on loopback, with hollow proxies
//! and a discovery that holds the list. What each role costs is measured, and the five rules are checked from outside.
//!
//! [`core`] does no I/O and reads no clock; [`net`] is the sockets, processes and `/proc`.

pub mod core;
pub mod net;
