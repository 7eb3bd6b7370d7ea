use lentilcart_util::{Micros, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

/// Mean time between two slowdowns; the times are exponential.
const MEAN_GAP_MICROS: f64 = 2e6;
/// Shortest slowdown.
const MIN_SLOWDOWN_MICROS: u64 = 20_000;
/// Longest slowdown; lengths are uniform.
const MAX_SLOWDOWN_MICROS: u64 = 200_000;
/// Service time during a slowdown, as a multiple of the usual one.
const SLOWDOWN_FACTOR: f64 = 4.0;

/// Schedule of the times in which a noisy neighbour slows a server, drawn from a seed.
#[derive(Debug, Clone)]
pub struct Slowdowns {
    /// Start and end of each slowdown, in microseconds since the start of the schedule, in order.
    periods: Vec<(u64, u64)>,
}

impl Slowdowns {
    /// Draws the schedule of one server up to `horizon`.
    #[must_use]
    pub fn draw(seed: u64, horizon: Micros) -> Self {
        let mut rng = seeded_rng(seed);
        let gaps = Exp::new(1.0 / MEAN_GAP_MICROS).expect("the mean is above zero");
        let mut periods = Vec::new();
        let mut at = 0;
        loop {
            at += gaps.sample(&mut rng) as u64;
            let end = at + rng.random_range(MIN_SLOWDOWN_MICROS..=MAX_SLOWDOWN_MICROS);
            if at > horizon.0 {
                return Self { periods };
            }
            periods.push((at, end));
            at = end;
        }
    }

    /// Returns the schedule of a server that is never slowed.
    #[must_use]
    pub fn none() -> Self {
        Self {
            periods: Vec::new(),
        }
    }

    /// Returns when a request completes that begins at `start` and takes `service_time` without
    /// slowdowns. Times are since the start of the schedule.
    #[must_use]
    pub fn get_completion(&self, start: Micros, service_time: Micros) -> Micros {
        let mut now = start.0;
        let mut remaining = service_time.0 as f64;
        let first = self.periods.partition_point(|(_, end)| *end <= now);
        for &(begin, until) in &self.periods[first..] {
            let undisturbed = begin.saturating_sub(now) as f64;
            if remaining <= undisturbed {
                break;
            }
            remaining -= undisturbed;
            now = now.max(begin);
            let slowed_work = (until - now) as f64 / SLOWDOWN_FACTOR;
            if remaining <= slowed_work {
                return Micros(now + (remaining * SLOWDOWN_FACTOR) as u64);
            }
            remaining -= slowed_work;
            now = until;
        }
        Micros(now + remaining as u64)
    }
}
