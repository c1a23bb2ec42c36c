//! The conductor on sockets: [`wire`] holds the protocols, [`run`] the sub-commands and the running process.

pub mod run;
pub mod wire;
