use hdrhistogram::Histogram;
use lentilcart_util::Micros;

use super::TokenBucket;

const WINDOW: Micros = Micros::from_millis(3000);
const DELAY_QUANTILE: f64 = 0.95;
const MIN_SAMPLES: u64 = 50;
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const WIN_WEIGHT: f64 = 0.05;
const INITIAL_WIN_RATE: f64 = 0.3;
const FULL_WIN_RATE: f64 = 0.3;
const MIN_BUDGET_SHARE: f64 = 0.02;
const BURST: f64 = 5.0;

/// Decides when an idempotent request is sent a second time, and how often.
///
/// The delay is a quantile of the latencies of the last seconds. The budget is a share of the
/// requests that shrinks while hedges do not win.
#[derive(Debug)]
pub struct Hedger {
    max_share: f64,
    tokens: TokenBucket,
    win_rate: f64,
    recent: Histogram<u32>,
    older: Histogram<u32>,
    rotated: Micros,
}

impl Hedger {
    /// Creates a hedger that sends at most `share` of the requests twice; 0 turns it off.
    #[must_use]
    pub fn new(max_share: f64, now: Micros) -> Self {
        let empty = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2);
        let empty = empty.expect("the bounds are constants");
        Self {
            max_share,
            tokens: TokenBucket::new(0.0, BURST, now),
            win_rate: INITIAL_WIN_RATE,
            recent: empty.clone(),
            older: empty,
            rotated: now,
        }
    }

    /// Changes the largest share.
    pub fn set_max_share(&mut self, max_share: f64) {
        self.max_share = max_share;
    }

    /// Returns the share of hedges that won lately.
    #[must_use]
    pub fn get_win_rate(&self) -> f64 {
        self.win_rate
    }

    /// Records the latency of an answer, which also earns budget.
    pub fn record(&mut self, now: Micros, latency: Micros) {
        if now - self.rotated > WINDOW {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.rotated = now;
        }
        self.recent.saturating_record(latency.0);
        let budget_share = (self.win_rate / FULL_WIN_RATE).clamp(MIN_BUDGET_SHARE, 1.0);
        self.tokens.deposit(self.max_share * budget_share);
    }

    /// Returns the latency below which a share of the recent answers came.
    #[must_use]
    pub fn get_quantile(&self, quantile: f64) -> Option<Micros> {
        let histogram = if self.recent.len() >= MIN_SAMPLES {
            &self.recent
        } else {
            &self.older
        };
        let has_samples = histogram.len() >= MIN_SAMPLES;
        has_samples.then(|| Micros(histogram.value_at_quantile(quantile)))
    }

    /// Returns how long to wait for an answer before a hedge.
    #[must_use]
    pub fn get_delay(&self) -> Option<Micros> {
        (self.max_share > 0.0)
            .then(|| self.get_quantile(DELAY_QUANTILE))
            .flatten()
    }

    /// Takes the budget of one hedge; returns whether there was enough.
    pub fn try_take(&mut self) -> bool {
        self.max_share > 0.0 && self.tokens.try_take(1.0)
    }

    /// Records whether a hedge answered before the first attempt.
    pub fn update_win_rate(&mut self, won: bool) {
        self.win_rate += WIN_WEIGHT * (f64::from(u8::from(won)) - self.win_rate);
    }
}
