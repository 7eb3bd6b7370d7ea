use lentilcart_util::Micros;

/// Token bucket that refills at a constant rate up to a burst, and starts empty.
///
/// Since it starts empty, a daemon that restarts again and again stays within its budget.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Micros,
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
            refilled: now,
        }
    }

    /// Changes the rate and the burst; tokens beyond the new burst are lost.
    pub fn set_limits(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns the number of tokens held; negative after [`force_take`](Self::force_take) took
    /// more.
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
        let earned = (now - self.refilled).as_secs() * self.rate;
        self.refilled = self.refilled.max(now);
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
