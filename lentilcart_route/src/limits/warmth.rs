use lentilcart_util::{Micros, common};

/// Longest time from the choice of a cold server to the arrival of the request there, as far as it is
/// bounded by [`MAX_SEND_DELAY`], with 50 ms for the way to the server.
const MAX_ARRIVAL_DELAY: Micros = Micros::from_millis(500);
/// Span in which the requests that a cold server gets are limited.
const LIMIT_SPAN: Micros = Micros::from_millis(1000);
/// Number of entries that may pace the requests of a cold server at the same time, while one has not
/// learned yet that the other has taken its place.
const MAX_PACERS: f64 = 2.0;
/// Share of the pace that a server gets at the start of its warm-up.
const INITIAL_PACE_SHARE: f64 = 0.5;
/// Share of the highest pace that is used, so that a span holds no request more by rounding.
const PACE_MARGIN: f64 = 0.99;

/// Time for which an answer that a server is not cold is not believed after one that it is: the answers may
/// have been read out of order. It is longer than a probe may take.
const MAX_ANSWER_AGE: Micros = Micros::from_millis(1000);

/// Longest time from the choice of a cold server by an entry to the sending of the request; after that, the
/// permit is given back.
///
/// It is longer than the interval at which an entry confirms that its permit request is queued.
pub const MAX_SEND_DELAY: Micros = Micros::from_millis(450);

/// Limit on the requests of the cold servers of a service, as the pool applies it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupRules {
    /// Time for which a server is taken as cold after it has started.
    duration: Micros,
    /// Largest number of requests a second that one entry starts at a cold server.
    pace: f64,
}

impl WarmupRules {
    /// Creates the rules by which a cold server gets at most `rate` times `overage` and `slack` requests
    /// more in any second from all entries together; `rate` is in requests a second.
    ///
    /// Requests that are started within the longest delay of sending can arrive in the same second, and two
    /// entries may pace them at the same time. The pace is lower than `rate` where these would exceed the
    /// limit, and 0 where the limit is below 2.
    #[must_use]
    pub fn new(duration: Micros, rate: f64, overage: f64, slack: f64) -> Self {
        let requests = ((rate * overage + slack) / MAX_PACERS).floor();
        let span = (LIMIT_SPAN + MAX_ARRIVAL_DELAY).as_secs();
        Self {
            duration,
            pace: rate.min(requests * PACE_MARGIN / span),
        }
    }

    /// Returns the time for which a server is taken as cold after it has started.
    #[must_use]
    pub fn get_duration(&self) -> Micros {
        self.duration
    }

    /// Returns the largest number of requests a second that one entry starts at a cold server.
    #[must_use]
    pub fn get_pace(&self) -> f64 {
        self.pace
    }
}

common! { value,
    /// How an entry learned that a server is cold, or is no longer.
    pub enum WarmthSource {
        /// By the registration of the server.
        Registration,
        /// By an answer of the server to this entry or another one.
        Notice,
        /// The server has started, which may have left it cold.
        Start,
        /// The time of the warm-up is over.
        Time,
    }
}

impl WarmthSource {
    /// Returns the fixed name in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Notice => "notice",
            Self::Start => "start",
            Self::Time => "time",
        }
    }
}

/// Whether a server is cold, and since when this entry may start requests there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Warmth {
    /// When the server became cold, as far as this entry knows.
    cold_since: Micros,
    /// Until when the server is cold; zero if it never was.
    cold_until: Micros,
    /// How this entry learned of it last.
    pub(crate) source: WarmthSource,
    /// When the server was last said to be cold.
    reported: Micros,
    /// End of the warm-up by the latest registration.
    registered_until: Micros,
    /// Since when this entry paces the requests of the server; `None` while it does not.
    paced_since: Option<Micros>,
    /// When the server last answered a probe, in which it would say that it is cold.
    pub(crate) probed: Option<Micros>,
    /// Whether the server has said before the end of the warm-up that it is not cold.
    has_ended_early: bool,
    /// Whether the server was reported as cold by the last call of `take_change`.
    is_reported: bool,
}

impl Default for Warmth {
    fn default() -> Self {
        Self {
            cold_since: Micros::ZERO,
            cold_until: Micros::ZERO,
            source: WarmthSource::Time,
            reported: Micros::ZERO,
            registered_until: Micros::ZERO,
            paced_since: None,
            probed: None,
            has_ended_early: false,
            is_reported: false,
        }
    }
}

impl Warmth {
    /// Returns whether the server is cold.
    pub(crate) fn is_cold(&self, now: Micros) -> bool {
        now < self.cold_until
    }

    /// Returns until when the server is cold.
    pub(crate) fn get_end(&self) -> Micros {
        self.cold_until
    }

    /// Records that the server is cold until a time. What the server says itself replaces what was assumed
    /// of a start; otherwise the time is never shortened, since answers may be read out of order.
    pub(crate) fn record_cold(&mut self, now: Micros, until: Micros, source: WarmthSource) {
        if until <= now {
            return;
        }
        let is_assumed = self.source == WarmthSource::Start;
        self.has_ended_early = false;
        self.reported = now;
        if !self.is_cold(now) {
            self.cold_since = now;
            self.cold_until = until;
            self.source = source;
        } else if until > self.cold_until || is_assumed && source != WarmthSource::Start {
            self.cold_until = until;
            self.source = source;
        }
    }

    /// Records the end of the warm-up that a registration names, unless it is known.
    pub(crate) fn record_registration(&mut self, now: Micros, until: Micros) {
        if std::mem::replace(&mut self.registered_until, until) != until {
            self.record_cold(now, until, WarmthSource::Registration);
        }
    }

    /// Records that the server says that it is not cold. That ends at once what was assumed of a start, and
    /// what the server has said of its warm-up only if that was not said just before.
    pub(crate) fn record_warm(&mut self, now: Micros) {
        let is_trusted =
            self.source == WarmthSource::Start || now >= self.reported + MAX_ANSWER_AGE;
        if self.is_cold(now) && is_trusted {
            self.cold_until = now;
            self.source = WarmthSource::Notice;
            self.has_ended_early = true;
        }
    }

    /// Returns whether the server has said before the end of the warm-up that it is not cold.
    pub(crate) fn has_ended_early(&self) -> bool {
        self.has_ended_early
    }

    /// Records whether this entry paces the requests of the server; `is_new` means that its term has begun.
    pub(crate) fn set_paced(&mut self, now: Micros, is_paced: bool, is_new: bool) {
        self.paced_since = match self.paced_since {
            _ if !is_paced => None,
            Some(since) if !is_new => Some(since),
            _ => Some(now),
        };
    }

    /// Returns the requests a second that this entry may start at the cold server; 0 while it does not pace
    /// them. The pace rises during the warm-up.
    pub(crate) fn get_pace(&self, now: Micros, rules: &WarmupRules) -> f64 {
        if self.paced_since.is_none() {
            return 0.0;
        }
        let remaining = (self.cold_until - now).0 as f64 / rules.duration.0.max(1) as f64;
        let warmth = 1.0 - remaining.min(1.0);
        rules.pace * (INITIAL_PACE_SHARE + (1.0 - INITIAL_PACE_SHARE) * warmth)
    }

    /// Returns the earliest start of the next request after one at `last_start`, which is the end of the
    /// warm-up at the latest. Also the first request of a warm-up or of a term waits for one interval, so
    /// that requests of the entry that has paced them before keep their distance.
    pub(crate) fn get_next_start(
        &self,
        now: Micros,
        rules: &WarmupRules,
        last_start: Option<Micros>,
    ) -> Micros {
        let pace = self.get_pace(now, rules);
        match self.paced_since {
            Some(paced_since) if pace > 0.0 => {
                let last_start = last_start.unwrap_or_default().max(self.cold_since);
                let next = last_start.max(paced_since) + Micros::from_secs(1.0 / pace);
                next.min(self.cold_until)
            }
            _ => self.cold_until,
        }
    }

    /// Returns whether the server is cold, if that has changed since the last call.
    pub(crate) fn take_change(&mut self, now: Micros) -> Option<bool> {
        let is_cold = self.is_cold(now);
        let has_changed = std::mem::replace(&mut self.is_reported, is_cold) != is_cold;
        has_changed.then_some(is_cold)
    }
}
