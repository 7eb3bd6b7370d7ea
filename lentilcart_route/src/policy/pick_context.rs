use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Rng};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::pool::{PoolConfig, ServerState, Shard};

/// Multiples of the mean latency after which an outstanding request is overdue.
const OVERDUE_FACTOR: f64 = 4.0;
/// Share of the picks that are spread over all servers that are as good, instead of those that the
/// sender prefers, so that servers which were added get requests too.
const SPREAD_SHARE: f64 = 0.125;
/// Lower bound of the number of slots without overdue requests; keeps the expected wait finite.
const MIN_HEALTHY_SLOTS: f64 = 0.25;

/// Input of a policy: the candidate servers and what is known of them.
#[derive(Debug)]
pub struct PickContext<'a> {
    /// States of all servers of the pool; the position is the server index.
    pub states: &'a [ServerState],
    /// Indices of the servers that may take one more request; never empty.
    pub candidates: &'a [usize],
    /// Time of the decision.
    pub now: Micros,
    /// Settings of the pool.
    pub config: &'a PoolConfig,
    /// Shard of this entry among the entries that dispatch for the service.
    pub shard: Shard,
    /// Data centre that the request is sent from.
    pub origin: &'a Name,
    /// Number of earlier picks of the pool, also those that found no candidate; round robin derives
    /// the turn from it.
    pub picks: u64,
    /// Mean latency over the pool, in microseconds; it starts at 0 and is too low for about the
    /// first 100 answers, so that requests then count as overdue too early.
    pub mean_latency: f64,
    /// Estimated base service time over all answers, at an idle server with a slowdown factor of 1, in
    /// microseconds.
    pub base_service_time: f64,
    /// The same for requests of this kind.
    pub service_time: f64,
    /// Time by which the request should be answered.
    pub objective: Micros,
    /// Address of the entry that sends the request; see
    /// [`PendingRequest::sender`](crate::PendingRequest::sender).
    pub sender: Option<SocketAddr>,
    /// Source of randomness.
    pub rng: &'a mut Rng,
}

impl PickContext<'_> {
    /// Returns a random candidate.
    pub fn pick_random(&mut self) -> usize {
        self.candidates[self.rng.random_range(0..self.candidates.len())]
    }

    /// Returns the candidate with the lowest score; a tie goes to a server in the data centre of
    /// the request's origin, and then to a random one.
    pub fn pick_lowest(&mut self, score: impl Fn(&Self, usize) -> f64) -> usize {
        // Score, whether the server is remote, random tie-breaker and server index.
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

    /// Returns a random one of the candidates whose score is at most `margin` above the lowest.
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
        let is_spread = self.rng.random_bool(SPREAD_SHARE);
        if let Some(sender) = self.sender.filter(|_| !is_spread) {
            // Rendezvous hashing (Thaler and Ravishankar, 1998): the order differs between senders.
            let rank = |index: &usize| {
                let address = self.states[*index].get_config().address;
                xxh3_64(format!("{sender} {address}").as_bytes())
            };
            let close = scores.iter().filter(is_close).map(|(_, index)| *index);
            return close.max_by_key(rank).unwrap_or(self.candidates[0]);
        }
        let count = scores.iter().filter(is_close).count().max(1);
        let chosen = self.rng.random_range(0..count);
        let picked = scores.iter().filter(is_close).nth(chosen);
        picked.map_or(self.candidates[0], |(_, index)| *index)
    }

    /// Returns whether a server is in another data centre than the request's origin.
    #[must_use]
    pub fn is_remote(&self, index: usize) -> bool {
        self.states[index].get_config().data_center != *self.origin
    }

    /// Returns the expected wait at a server whose slots are full with requests of this entry, in
    /// multiples of the mean latency; 0 while this entry has fewer requests there than the server
    /// has slots. Requests of other entries do not count.
    ///
    /// The slot of an overdue request is left out: a request that has run far longer than the
    /// mean will hold its slot for long.
    #[must_use]
    pub fn get_queue_wait(&self, index: usize) -> f64 {
        let state = &self.states[index];
        let slots = state.get_config().slots;
        let outstanding = state.get_outstanding();
        if outstanding < slots {
            return 0.0;
        }
        let overdue = state.get_overdue_count(
            self.now,
            Micros((self.mean_latency * OVERDUE_FACTOR) as u64),
        );
        let healthy = f64::from(slots.saturating_sub(overdue)).max(MIN_HEALTHY_SLOTS);
        f64::from(outstanding - slots + 1) / healthy
    }

    /// Returns the load of a server per slot: outstanding requests of this entry, `others`
    /// outstanding requests of other entries, and consecutive failures, each of which counts as a
    /// request.
    #[must_use]
    pub fn get_load_per_slot(&self, index: usize, others: u32) -> f64 {
        let state = &self.states[index];
        f64::from(state.get_outstanding() + others + state.consecutive_failures)
            / f64::from(state.get_config().slots.max(1))
    }
}
