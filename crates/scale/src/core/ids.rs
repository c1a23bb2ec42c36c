//! Identifiers and times of a scale test. Each kind of identifier has a type of its own.

use std::ops::{Add, Sub};

use serde::Serialize;

/// A node of the fleet, by its index in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct NodeIndex(pub u32);

/// A hollow proxy, by its number in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ProxyIndex(pub u16);

/// A real conductor, by its number in the test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ConductorIndex(pub u16);

/// A class of requests, by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct ClassIndex(pub u8);

/// Microseconds: a time since the start of the test, or a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Micros(pub u64);

pub const MICROS_PER_MILLI: u64 = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;

impl Micros {
    /// Returns a duration in milliseconds as microseconds.
    pub const fn from_millis(millis: u64) -> Micros {
        Micros(millis * MICROS_PER_MILLI)
    }

    /// Returns a duration in seconds as microseconds. Negative values and NaN give zero.
    pub fn from_seconds(seconds: f64) -> Micros {
        Micros((seconds * MICROS_PER_SECOND) as u64)
    }

    /// Returns the value in seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }
}

impl Add for Micros {
    type Output = Micros;

    fn add(self, duration: Micros) -> Micros {
        Micros(self.0.saturating_add(duration.0))
    }
}

impl Sub for Micros {
    type Output = Micros;

    fn sub(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }
}
