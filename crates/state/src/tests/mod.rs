//! Tests of the reducer without sockets: generated orders applied by a model proxy, generated inputs, and the effect of
//! each kind of bad input.

mod connections;
mod datagrams;
mod discovery;
mod discovery_liveness;
mod generated;
mod harness;
mod membership;
mod model_proxy;
mod orders;
mod readmission;
mod too_long;
