//! The decisions about hooks: what they see, what they may answer, and what is made of their answers.

pub mod answer;
pub mod events;
pub mod guard;
pub mod health;
#[cfg(test)]
mod tests;
pub mod view;
