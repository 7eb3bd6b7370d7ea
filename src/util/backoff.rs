use std::time::Duration;

use rand::RngExt;

/// Upper bound of the first delay.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of every delay.
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Exponential backoff with jitter, so that the entries do not return to the platform all at once.
///
/// Holds the upper bound of the next delay.
pub(crate) struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_BACKOFF)
    }
}

impl Backoff {
    /// Returns the delay before the next attempt, a random time from half the bound up to the bound,
    /// and doubles the bound.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let bound = self.0;
        self.0 = MAX_BACKOFF.min(bound * 2);
        bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
