use lentilcart_util::{Map, Micros};

/// Base service time that is assumed before the first answer, in microseconds.
const INITIAL_SERVICE_TIME: f64 = 50_000.0;
/// Base service time that is assumed before the first answer to a kind of request, as a share of its
/// latency objective.
const INITIAL_OBJECTIVE_SHARE: f64 = 0.3;
/// Number of answers that the assumption for a kind of request weighs as much as.
const INITIAL_WEIGHT: u64 = 1;
/// Weight of the newest answer in an estimate.
const NEWEST_WEIGHT: f64 = 0.02;
/// Answers after which an estimate is reliable.
const MIN_ANSWERS: u64 = 50;
/// Upper bound of a sample, in multiples of the current estimate.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
/// Largest number of kinds of request with an estimate of their own; others share that of the pool.
const MAX_KINDS: usize = 32;

/// Estimates of the base service time: over all answers, and for each kind of request, which is told
/// by its latency objective.
///
/// A service may answer kinds of request whose service times differ by several times. One estimate for
/// all would call a server too slow for the short ones and fast enough for the long ones.
#[derive(Debug)]
pub(crate) struct ServiceTimes {
    pool: Estimate,
    kinds: Map<Micros, Estimate>,
}

/// Estimate of a base service time.
#[derive(Debug, Clone, Copy)]
struct Estimate {
    /// Base service time in microseconds.
    mean: f64,
    /// Number of answers that the estimate is based on, with those that an assumption weighs as much
    /// as.
    answers: u64,
}

impl ServiceTimes {
    pub(crate) fn new() -> Self {
        Self {
            pool: Estimate {
                mean: INITIAL_SERVICE_TIME,
                answers: 0,
            },
            kinds: Map::default(),
        }
    }

    /// Returns the estimate over all answers, in microseconds.
    pub(crate) fn get_mean(&self) -> f64 {
        self.pool.mean
    }

    /// Returns the number of answers that the estimates are based on.
    pub(crate) fn get_answer_count(&self) -> u64 {
        self.pool.answers
    }

    /// Returns the estimate for a kind of request, in microseconds.
    pub(crate) fn get_estimate(&self, latency_objective: Option<Micros>) -> f64 {
        let Some(objective) = latency_objective else {
            return self.pool.mean;
        };
        match self.kinds.get(&objective) {
            Some(estimate) => estimate.mean,
            None if self.kinds.len() >= MAX_KINDS => self.pool.mean,
            None => Estimate::assume(objective).mean,
        }
    }

    /// Returns the estimate for a kind of request, or zero while it is not reliable.
    pub(crate) fn get_reliable_estimate(&self, latency_objective: Option<Micros>) -> Micros {
        let estimate = match latency_objective {
            Some(objective) => self.kinds.get(&objective),
            None => Some(&self.pool),
        };
        estimate.map_or(Micros::ZERO, |estimate| match estimate.answers {
            answers if answers > MIN_ANSWERS => Micros(estimate.mean as u64),
            _ => Micros::ZERO,
        })
    }

    /// Records an answer whose latency was expected to be `latency_factor` base service times.
    pub(crate) fn record(
        &mut self,
        latency_objective: Option<Micros>,
        elapsed: Micros,
        latency_factor: f64,
    ) {
        let sample = elapsed.0 as f64 / latency_factor.max(1.0);
        self.pool.record(sample);
        let Some(objective) = latency_objective else {
            return;
        };
        if self.kinds.len() < MAX_KINDS || self.kinds.contains_key(&objective) {
            let estimate = self.kinds.entry(objective);
            estimate
                .or_insert_with(|| Estimate::assume(objective))
                .record(sample);
        }
    }
}

impl Estimate {
    /// Creates the assumption for a kind of request without answers.
    fn assume(objective: Micros) -> Self {
        Self {
            mean: objective.0 as f64 * INITIAL_OBJECTIVE_SHARE,
            answers: INITIAL_WEIGHT,
        }
    }

    fn record(&mut self, sample: f64) {
        self.answers += 1;
        // A plain mean until there are enough answers; later, the sample of a straggler is capped.
        let weight = NEWEST_WEIGHT.max(1.0 / self.answers as f64);
        let max_sample = if self.answers > MIN_ANSWERS {
            self.mean * MAX_SAMPLE_FACTOR
        } else {
            f64::MAX
        };
        self.mean += weight * (sample.min(max_sample) - self.mean);
    }
}
