//! Publisher and subscriber as plain state machines: inputs come with their time, and the actions to perform are
//! returned. Randomness comes from seeds only.

pub mod codec;
pub mod line;
pub mod order;
pub mod publisher;
pub mod subscriber;
pub mod table;
#[cfg(test)]
mod tests;
