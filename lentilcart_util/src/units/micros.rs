use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// Point in time or length of time in whole microseconds.
///
/// Points are counted from an origin that the caller chooses, so that decisions can be replayed
/// without a clock. Subtraction stops at zero.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero.
    pub const ZERO: Self = Self(0);

    /// Creates a length from milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the length in milliseconds.
    #[must_use]
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Returns the length in seconds.
    #[must_use]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the length multiplied by a factor.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl From<Duration> for Micros {
    fn from(length: Duration) -> Self {
        Self(length.as_micros() as u64)
    }
}

impl From<Micros> for Duration {
    fn from(length: Micros) -> Self {
        Self::from_micros(length.0)
    }
}
