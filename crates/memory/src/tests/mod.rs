//! What is kept in memory, driven without sockets: generated orders against a plain proxy, generated inputs
//! against the reducer, and what each kind of bad input must cost.

mod connections;
mod datagrams;
mod desk;
mod discovery;
mod generated;
mod membership;
mod orders;
mod plain_proxy;
mod too_long;
