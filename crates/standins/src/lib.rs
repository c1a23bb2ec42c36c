//! Stand-ins for the systems around a conductor, for tests and tools. They run on loopback without an async
//! runtime, and each can be made to fail on command.

pub mod conductor;
pub mod discovery;
pub mod link;
pub mod service_settings;
