//! Stand-ins of the systems around a conductor: on loopback, without a runtime, shared by tests and tools. Each
//! can be made to fail on command.

pub mod conductor;
pub mod discovery;
pub mod link;
pub mod mandate;
