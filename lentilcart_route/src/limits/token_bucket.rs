use lentilcart_util::Micros;

/// Token bucket that holds tokens up to a burst, and starts empty.
///
/// Tokens come from [`refill`](Self::refill) at a constant rate and from
/// [`deposit`](Self::deposit). Since the bucket starts empty, a daemon that restarts again and
/// again stays within a budget that only refills, such as that of probes; what is deposited at each
/// start comes on top.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    /// Tokens per second.
    rate: f64,
    burst: f64,
    tokens: f64,
    /// Time of the last refill.
    last_refill: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket that gains `rate` tokens per second and holds at most `burst`
    /// tokens.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        Self {
            rate,
            burst,
            tokens: 0.0,
            last_refill: now,
        }
    }

    /// Changes the rate and the burst; tokens beyond the new burst are lost.
    ///
    /// It does not refill first: the time since the last refill counts at the new rate.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns the number of tokens held; negative if [`force_take`](Self::force_take) took more
    /// than were held.
    #[must_use]
    pub fn get_tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens up to the burst.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Adds the tokens gained since the last refill.
    pub fn refill(&mut self, now: Micros) {
        let earned = (now - self.last_refill).as_secs() * self.rate;
        self.last_refill = self.last_refill.max(now);
        self.deposit(earned);
    }

    /// Takes tokens if the bucket holds enough of them, and returns whether it did.
    pub fn try_take(&mut self, tokens: f64) -> bool {
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Takes tokens even if the bucket holds too few, so that it has to refill from below zero.
    pub fn force_take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
