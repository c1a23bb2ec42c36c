//! oatpitch: the decisions of a service's control plane.
//!
//! [`balance`] holds every decision, [`book`] counts what its channel may hold, [`index`] keeps up sums and work
//! lists over the nodes by each change; [`interface`] holds the ids, the
//! mandate and the trait through which a host gives the module its inputs and takes its orders.

pub mod balance;
pub mod book;
pub mod index;
pub mod interface;
mod sums;

pub use balance::Balance;
