use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lentilcart_util::Micros;

/// A monotonic clock that counts from its start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.origin.elapsed().into()
    }

    /// Returns the time from the start of the clock to an instant; zero if that lies before.
    #[must_use]
    pub fn to_micros(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.origin).into()
    }

    /// Returns the instant that lies `time` after the start of the clock.
    #[must_use]
    pub fn to_instant(&self, time: Micros) -> Instant {
        self.origin + Duration::from(time)
    }
}

/// Returns the Unix time in milliseconds; 0 if the system's clock is set before 1970.
#[must_use]
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
