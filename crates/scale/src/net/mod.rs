//! The sockets, processes and clocks of a scale test: discovery, hollow proxies, real conductors, and the stages of a
//! point.

pub mod conductor;
pub mod discovery;
pub mod hollow;
pub mod lateness;
pub mod point;
pub mod proc_fs;
pub mod proxy;
pub mod state;
