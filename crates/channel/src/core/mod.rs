//! Publisher and subscriber as plain values: inputs with the time they came at go in, what is to be done comes
//! out. Chance comes from seeds alone.

pub mod codec;
pub mod line;
pub mod order;
pub mod publisher;
pub mod subscriber;
pub mod table;
#[cfg(test)]
mod tests;
