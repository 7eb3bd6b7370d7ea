use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

const MICROS_PER_SECOND: f64 = 1e6;

/// Instant or duration in whole microseconds.
///
/// Instants count from an origin that the calling code chooses. Code that gets its instants as
/// arguments needs no clock, and its decisions can be replayed. Addition and the conversion from
/// milliseconds saturate at the largest value and subtraction at zero; the conversion from [`Duration`]
/// does not saturate.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The origin of instants, or a duration of zero.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from milliseconds; a number that is too large becomes `u64::MAX`
    /// microseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Creates a duration from seconds, rounded down to whole microseconds.
    ///
    /// A number below zero and `NaN` become zero, and one that is too large becomes `u64::MAX`
    /// microseconds.
    #[must_use]
    pub fn from_secs(secs: f64) -> Self {
        Self((secs * MICROS_PER_SECOND) as u64)
    }

    /// Returns the duration in milliseconds, including the fractional part.
    #[must_use]
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1e3
    }

    /// Returns the duration in whole milliseconds, rounded up, so that only a duration of zero becomes 0.
    #[must_use]
    pub const fn as_millis_ceil(self) -> u64 {
        self.0.div_ceil(1000)
    }

    /// Returns the duration in seconds, including the fractional part.
    #[must_use]
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND
    }

    /// Returns the duration multiplied by a factor, rounded down to whole microseconds.
    ///
    /// A product that is below zero or not a number becomes zero, and one that is too large becomes
    /// `u64::MAX`. Durations above 2^53 microseconds lose precision.
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
    /// Truncates to whole microseconds. Above `u64::MAX` microseconds (about 584,000 years) the
    /// result wraps: only the lowest 64 bits of the number are kept.
    fn from(duration: Duration) -> Self {
        Self(duration.as_micros() as u64)
    }
}

impl From<Micros> for Duration {
    fn from(duration: Micros) -> Self {
        Self::from_micros(duration.0)
    }
}
