use std::time::Duration;

use rand::RngExt;

const FIRST_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1600);

/// Grows after each failure and is drawn at random below its bound, so that the entries do not
/// return to the platform all at once.
pub(crate) struct Backoff(Duration);

impl Default for Backoff {
    fn default() -> Self {
        Self(FIRST_BACKOFF)
    }
}

impl Backoff {
    pub(crate) fn next_delay(&mut self) -> Duration {
        let bound = self.0;
        self.0 = MAX_BACKOFF.min(bound * 2);
        bound.mul_f64(rand::rng().random_range(0.5..1.0))
    }
}
