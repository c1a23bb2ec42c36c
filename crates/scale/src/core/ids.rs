//! Ids and times of a scale run; each kind of id is a type of its own.

use std::ops::{Add, Sub};

use serde::Serialize;

/// A node of the fleet, by its place in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NodeIndex(pub u32);

/// A hollow proxy, by its number in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ProxyIndex(pub u16);

/// A real conductor of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ConductorIndex(pub u16);

/// A class of requests, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ClassIndex(pub u8);

/// Microseconds since the run began, or a span of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Micros(pub u64);

impl Micros {
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * 1_000)
    }

    /// A span of so many seconds; none for what is negative or no number.
    pub fn from_seconds(seconds: f64) -> Micros {
        Micros((seconds * 1e6) as u64)
    }

    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, span: Micros) -> Micros {
        Micros(self.0.saturating_add(span.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
