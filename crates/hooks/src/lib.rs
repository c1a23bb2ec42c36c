//! Hooks: scripts, written by operators, that shape routing within bounds.
//!
//! [`core`] decides what a hook may change, how the answers of several hooks are combined, and which hooks are
//! suspended; it does no I/O and knows no script engine. [`engine`] runs one script within resource limits.
//! [`set`] holds all hooks and calls them once a round. [`worker`] runs the rounds on a thread of its own, so that
//! no turn of the conductor ever waits for a hook.

pub mod core;
pub mod engine;
pub mod set;
pub mod worker;
