//! The conductor on sockets: [`wire`] is what is spoken today, [`run`] starts, stops and carries out.

pub mod run;
pub mod wire;
