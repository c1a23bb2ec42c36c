//! Hooks: scripts of the operators' own that shape routing within bounds.
//!
//! [`core`] decides what a hook may change, in which order hooks count, and which are put out, without I/O and
//! without an engine. [`engine`] runs one script within limits. [`set`] holds all hooks and asks them, and
//! [`worker`] does so beside the conductor's turns, so that no turn ever waits for a hook.

pub mod core;
pub mod engine;
pub mod set;
pub mod worker;
