use lentilcart_util::Micros;

/// Lag of a timer from which an entry falls behind: with it, most of the 100 ms in which an owner must answer
/// a permit request are gone. A host that runs an entry for a quarter of each 100 ms delays it by 75 ms at most,
/// unless it has more to do than that.
const START_LAG: Micros = Micros::from_millis(80);
/// Number of such lags in succession after which it reports that; one alone may be a short burst.
const START_COUNT: u32 = 2;
/// Lag that counts at once: permit requests of that time have gone unanswered.
const LONG_LAG: Micros = Micros::from_millis(150);
/// Lag below which an entry has caught up; lower than [`START_LAG`], so that the report does not flap.
const END_LAG: Micros = Micros::from_millis(20);
/// Time without a longer lag after which the report ends. It bounds the moves of services from and to an
/// entry to two in this time.
const END_TIME: Micros = Micros::from_millis(3000);

/// Decides by the lag of an entry's own timers whether it falls behind, so that others pass it over as an
/// owner.
#[derive(Debug, Default)]
pub struct LagGauge {
    overloaded: bool,
    /// Number of lags of at least [`START_LAG`] in succession.
    long_count: u32,
    /// When a lag was last above [`END_LAG`].
    last_lag: Micros,
}

impl LagGauge {
    /// Records that a timer came late by `lag`, and returns whether that changed
    /// [`is_overloaded`](Self::is_overloaded).
    pub fn record(&mut self, now: Micros, lag: Micros) -> bool {
        let before = self.overloaded;
        self.long_count = if lag >= START_LAG {
            self.long_count + 1
        } else {
            0
        };
        if lag > END_LAG {
            self.last_lag = now;
        }
        self.overloaded = match () {
            () if self.overloaded => now - self.last_lag < END_TIME,
            () => lag >= LONG_LAG || self.long_count >= START_COUNT,
        };
        self.overloaded != before
    }

    /// Returns whether the entry falls behind.
    #[must_use]
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }
}
