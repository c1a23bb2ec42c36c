//! oatpitch: the decision module of a service's control plane.
//!
//! - [`balance`] takes every decision.
//! - [`channel_ledger`] estimates how many lines wait in a conductor's channel.
//! - [`index`] maintains sums and work lists over the listed nodes, updated by each change of a node.
//! - [`interface`] defines ids, settings, and the trait through which a host receives the module's orders.

pub mod balance;
pub mod channel_ledger;
pub mod index;
pub mod interface;
mod statistics;

pub use balance::Balance;
