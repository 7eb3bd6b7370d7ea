use lentilcart_util::{Micros, Name, Rng};
use rand::RngExt;

use crate::pool::{PoolConfig, ServerState, Shard};

const OVERDUE_FACTOR: f64 = 4.0;
const MIN_HEALTHY_SLOTS: f64 = 0.25;

/// What a rule may look at: the servers that may take one more request.
#[derive(Debug)]
pub struct PickContext<'a> {
    /// All rows of the pool.
    pub states: &'a [ServerState],
    /// Indices of the rows that may take one more request; never empty.
    pub candidates: &'a [usize],
    /// Time of the decision.
    pub now: Micros,
    /// Settings of the pool.
    pub config: &'a PoolConfig,
    /// This entry's place among the entries that dispatch for the service.
    pub shard: Shard,
    /// Data centre that the request is sent from.
    pub origin: &'a Name,
    /// Decisions made before.
    pub picks: u64,
    /// Mean latency over the pool, in microseconds.
    pub mean_latency: f64,
    /// Usual time of work at a server at its usual speed, in microseconds.
    pub service_time: f64,
    /// When the answer to the request is no longer prompt.
    pub objective: Micros,
    /// Source of randomness.
    pub rng: &'a mut Rng,
}

impl PickContext<'_> {
    /// Returns a random open row.
    pub fn pick_random(&mut self) -> usize {
        self.candidates[self.rng.random_range(0..self.candidates.len())]
    }

    /// Returns the open row with the lowest score; ties go to the data centre that the request is
    /// sent from and then to chance.
    pub fn pick_lowest(&mut self, score: impl Fn(&Self, usize) -> f64) -> usize {
        let mut best = (f64::INFINITY, true, u32::MAX, self.candidates[0]);
        for &index in self.candidates {
            let rank = (
                score(self, index),
                self.is_remote(index),
                self.rng.random::<u32>(),
                index,
            );
            if (rank.0, rank.1, rank.2) < (best.0, best.1, best.2) {
                best = rank;
            }
        }
        best.3
    }

    /// Returns a random one of the open rows whose score is no more than `close` above the lowest.
    pub fn pick_near_lowest(&mut self, margin: f64, score: impl Fn(&Self, usize) -> f64) -> usize {
        let scores: Vec<(f64, usize)> = self
            .candidates
            .iter()
            .map(|&i| (score(self, i), i))
            .collect();
        let lowest = scores
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let is_close = |(score, _): &&(f64, usize)| *score <= lowest + margin;
        let count = scores.iter().filter(is_close).count().max(1);
        let chosen = self.rng.random_range(0..count);
        let state = scores.iter().filter(is_close).nth(chosen);
        state.map_or(self.candidates[0], |(_, index)| *index)
    }

    /// Returns whether a row's server stands in another data centre than the sender.
    #[must_use]
    pub fn is_remote(&self, index: usize) -> bool {
        self.states[index].get_config().data_center != *self.origin
    }

    /// Returns the expected wait behind the requests at a full server, as a multiple of the mean
    /// latency; 0 where a slot is free.
    ///
    /// A request that has run far longer than the mean will hold its slot for long, and is not
    /// counted on.
    #[must_use]
    pub fn get_queue_wait(&self, index: usize) -> f64 {
        let state = &self.states[index];
        let slots = state.get_config().slots;
        let outstanding = state.get_outstanding();
        if outstanding < slots {
            return 0.0;
        }
        let overdue = state.get_overdue(
            self.now,
            Micros((self.mean_latency * OVERDUE_FACTOR) as u64),
        );
        let healthy = f64::from(slots.saturating_sub(overdue)).max(MIN_HEALTHY_SLOTS);
        f64::from(outstanding - slots + 1) / healthy
    }

    /// Returns a row's load for each slot, with failures counted as load.
    #[must_use]
    pub fn get_load(&self, index: usize, others: u32) -> f64 {
        let state = &self.states[index];
        f64::from(state.get_outstanding() + others + state.consecutive_failures)
            / f64::from(state.get_config().slots.max(1))
    }
}
