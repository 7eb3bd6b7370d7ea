use lentilcart_util::{Micros, Name, Rng};
use rand::RngExt;

use crate::pool::{PoolConfig, ServerState, Shard};

const OVERDUE_FACTOR: f64 = 4.0;
const LEAST_HEALTHY: f64 = 0.25;

/// What a rule may look at: the servers that may take one more request.
#[derive(Debug)]
pub struct PickContext<'a> {
    /// All rows of the pool.
    pub rows: &'a [ServerState],
    /// Indices of the rows that may take one more request; never empty.
    pub open: &'a [usize],
    /// Time of the decision.
    pub now: Micros,
    /// Settings of the pool.
    pub config: &'a PoolConfig,
    /// This entry's place among the entries that dispatch for the service.
    pub share: Shard,
    /// Data centre that the request is sent from.
    pub near: &'a Name,
    /// Decisions made before.
    pub turn: u64,
    /// Mean latency over the pool, in microseconds.
    pub mean: f64,
    /// Usual time of work at a server at its usual speed, in microseconds.
    pub work: f64,
    /// When the answer to the request is no longer prompt.
    pub objective: Micros,
    /// Source of randomness.
    pub rng: &'a mut Rng,
}

impl PickContext<'_> {
    /// Returns a random open row.
    pub fn any(&mut self) -> usize {
        self.open[self.rng.random_range(0..self.open.len())]
    }

    /// Returns the open row with the lowest score; ties go to the data centre that the request is
    /// sent from and then to chance.
    pub fn lowest(&mut self, score: impl Fn(&Self, usize) -> f64) -> usize {
        let mut best = (f64::INFINITY, true, u32::MAX, self.open[0]);
        for &index in self.open {
            let rank = (
                score(self, index),
                self.is_far(index),
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
    pub fn near_lowest(&mut self, close: f64, score: impl Fn(&Self, usize) -> f64) -> usize {
        let scores: Vec<(f64, usize)> = self.open.iter().map(|&i| (score(self, i), i)).collect();
        let lowest = scores
            .iter()
            .map(|(score, _)| *score)
            .fold(f64::INFINITY, f64::min);
        let is_close = |(score, _): &&(f64, usize)| *score <= lowest + close;
        let count = scores.iter().filter(is_close).count().max(1);
        let drawn = self.rng.random_range(0..count);
        let row = scores.iter().filter(is_close).nth(drawn);
        row.map_or(self.open[0], |(_, index)| *index)
    }

    /// Returns whether a row's server stands in another data centre than the sender.
    #[must_use]
    pub fn is_far(&self, index: usize) -> bool {
        self.rows[index].get_config().data_center != *self.near
    }

    /// Returns the expected wait behind the requests at a full server, as a multiple of the mean
    /// latency; 0 where a slot is free.
    ///
    /// A request that has run far longer than the mean will hold its slot for long, and is not
    /// counted on.
    #[must_use]
    pub fn wait(&self, index: usize) -> f64 {
        let row = &self.rows[index];
        let slots = row.get_config().slots;
        let outstanding = row.get_outstanding();
        if outstanding < slots {
            return 0.0;
        }
        let overdue = row.get_overdue(self.now, Micros((self.mean * OVERDUE_FACTOR) as u64));
        let healthy = f64::from(slots.saturating_sub(overdue)).max(LEAST_HEALTHY);
        f64::from(outstanding - slots + 1) / healthy
    }

    /// Returns a row's load for each slot, with failures counted as load.
    #[must_use]
    pub fn load(&self, index: usize, peers: u32) -> f64 {
        let row = &self.rows[index];
        f64::from(row.get_outstanding() + peers + row.failures)
            / f64::from(row.get_config().slots.max(1))
    }
}
