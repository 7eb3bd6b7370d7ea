use hdrhistogram::Histogram;
use lentilcart_util::Micros;

use super::TokenBucket;

/// Age at which the histogram of the latest latencies is rotated.
const WINDOW: Micros = Micros::from_millis(3000);
/// Latency quantile after which a request is hedged.
const DELAY_QUANTILE: f64 = 0.95;
/// Latencies that a histogram must hold for its quantiles to be used.
const MIN_SAMPLES: u64 = 50;
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Weight of the newest hedge in the win rate.
const WIN_WEIGHT: f64 = 0.05;
const INITIAL_WIN_RATE: f64 = 0.3;
/// Win rate from which hedges have their full budget.
const FULL_WIN_RATE: f64 = 0.3;
/// Share of the full budget that is left while hedges do not win, so that some are still tried.
const MIN_BUDGET_SHARE: f64 = 0.02;
/// Hedges that may be saved up.
const BURST: f64 = 5.0;

/// Decides after which delay a request is hedged, that is sent to a second server, and how many
/// requests are hedged.
///
/// The delay is a quantile of the latencies of the last answers: those of the current window of at
/// least 3 s, or of the one before while the current one holds fewer than 50, however old they are.
/// Each answered attempt earns a share of a hedge, which is smaller while fewer than 30 % of the
/// hedges win; up to 5 hedges are saved up.
///
/// It does not know the requests: the user of the hedger must not hedge one that must run at most
/// once.
#[derive(Debug)]
pub struct Hedger {
    max_share: f64,
    tokens: TokenBucket,
    /// Moving average of the share of hedges that won, from 0 to 1.
    win_rate: f64,
    /// Latencies since the last rotation (the current window), in microseconds.
    recent: Histogram<u32>,
    /// Latencies of the window before.
    older: Histogram<u32>,
    /// Time of the last rotation.
    last_rotation: Micros,
}

impl Hedger {
    /// Creates a hedger for which each answered attempt, also a retry or a hedge, earns at most
    /// `max_share` of a hedge; 0 turns hedges off.
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
            last_rotation: now,
        }
    }

    /// Changes the largest share of a hedge that an answered attempt earns.
    pub fn set_max_share(&mut self, max_share: f64) {
        self.max_share = max_share;
    }

    /// Returns the share of the recent hedges that won, from 0 to 1.
    #[must_use]
    pub fn get_win_rate(&self) -> f64 {
        self.win_rate
    }

    /// Records the latency of an answer, which also earns budget for hedges.
    pub fn record_latency(&mut self, now: Micros, latency: Micros) {
        if now - self.last_rotation > WINDOW {
            std::mem::swap(&mut self.recent, &mut self.older);
            self.recent.reset();
            self.last_rotation = now;
        }
        self.recent.saturating_record(latency.0);
        let budget_share = (self.win_rate / FULL_WIN_RATE).clamp(MIN_BUDGET_SHARE, 1.0);
        self.tokens.deposit(self.max_share * budget_share);
    }

    /// Returns a latency quantile of the last answers, however old they are; `quantile` is between
    /// 0 and 1.
    ///
    /// Returns `None` while neither of the last two windows holds 50 answers: at first, and with
    /// steadily fewer than about 17 answers per second.
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

    /// Returns how long to wait for an answer before a hedge is sent; `None` while hedges are off
    /// or [`get_quantile`](Self::get_quantile) has too few answers.
    #[must_use]
    pub fn get_delay(&self) -> Option<Micros> {
        (self.max_share > 0.0)
            .then(|| self.get_quantile(DELAY_QUANTILE))
            .flatten()
    }

    /// Takes the token of one hedge, and returns whether there was one.
    pub fn try_take(&mut self) -> bool {
        self.max_share > 0.0 && self.tokens.try_take(1.0)
    }

    /// Records whether a hedge was answered before the first attempt, which is a win.
    pub fn record_hedge(&mut self, won: bool) {
        self.win_rate += WIN_WEIGHT * (f64::from(u8::from(won)) - self.win_rate);
    }
}
