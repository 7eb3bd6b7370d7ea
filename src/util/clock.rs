use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lentilcart_util::Micros;

/// Monotonic clock that counts from its creation.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Starts a clock.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.origin.elapsed().into()
    }

    /// Returns the instant of a time.
    #[must_use]
    pub fn to_instant(&self, time: Micros) -> Instant {
        self.origin + Duration::from(time)
    }
}

/// Returns the Unix time in milliseconds.
#[must_use]
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_millis() as u64)
}
