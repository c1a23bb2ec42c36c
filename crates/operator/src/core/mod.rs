//! Parses sources, unifies them and resolves them to one value per key, or to problems. Nothing here reads a file.

pub mod parse;
pub mod resolve;
pub mod unify;
pub mod value;
