use lentilcart_util::Micros;

/// Token bucket: fills at a rate up to a burst, and starts empty.
///
/// Starting empty keeps a daemon that restarts again and again within its budget.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Micros,
}

impl TokenBucket {
    /// Creates an empty bucket that gains `rate` tokens a second and holds at most `burst`.
    #[must_use]
    pub fn new(rate: f64, burst: f64, now: Micros) -> Self {
        Self {
            rate,
            burst,
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Changes the rate and the burst, and keeps the tokens that still fit.
    pub fn set_rate(&mut self, rate: f64, burst: f64) {
        self.rate = rate;
        self.burst = burst;
        self.tokens = self.tokens.min(burst);
    }

    /// Returns the tokens held.
    #[must_use]
    pub fn get_tokens(&self) -> f64 {
        self.tokens
    }

    /// Adds tokens, up to the burst.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.burst);
    }

    /// Adds what time has brought.
    pub fn refill(&mut self, now: Micros) {
        let earned = (now - self.refilled).as_secs() * self.rate;
        self.refilled = self.refilled.max(now);
        self.deposit(earned);
    }

    /// Takes tokens if there are enough; returns whether it did.
    pub fn try_take(&mut self, tokens: f64) -> bool {
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Takes tokens even if there are too few, so that the bucket has to refill from below zero.
    pub fn force_take(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }
}
