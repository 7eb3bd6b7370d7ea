use lentilcart_util::{Micros, Rng};
use rand::RngExt;

use crate::pool::{PoolConfig, Row, Share};

/// What a rule may look at: the servers that may take one more request.
#[derive(Debug)]
pub struct Choice<'a> {
    /// All rows of the pool.
    pub rows: &'a [Row],
    /// Indices of the rows that may take one more request; never empty.
    pub open: &'a [usize],
    /// Time of the decision.
    pub now: Micros,
    /// Settings of the pool.
    pub config: &'a PoolConfig,
    /// This entry's place among the entries that dispatch for the service.
    pub share: Share,
    /// Decisions made before.
    pub turn: u64,
    /// Mean latency over the pool, in microseconds.
    pub mean: f64,
    /// Source of randomness.
    pub rng: &'a mut Rng,
}

impl Choice<'_> {
    /// Returns a random open row.
    pub fn any(&mut self) -> usize {
        self.open[self.rng.random_range(0..self.open.len())]
    }

    /// Returns the open row with the lowest score; ties go to the entry's own data centre and
    /// then to chance.
    pub fn lowest(&mut self, score: impl Fn(&Self, usize) -> f64) -> usize {
        let mut best = (f64::INFINITY, true, u32::MAX, self.open[0]);
        for &index in self.open {
            let far = self.rows[index].get_config().data_center != self.config.data_center;
            let rank = (score(self, index), far, self.rng.random::<u32>(), index);
            if (rank.0, rank.1, rank.2) < (best.0, best.1, best.2) {
                best = rank;
            }
        }
        best.3
    }

    /// Returns a row's load for each slot, with failures counted as load.
    #[must_use]
    pub fn load(&self, index: usize, peers: u32) -> f64 {
        let row = &self.rows[index];
        f64::from(row.get_outstanding() + peers + row.failures)
            / f64::from(row.get_config().slots.max(1))
    }
}
