//! How soon a request can start: the wait that the queue and the rate limits of the servers impose, and the
//! longest one allowed.

use lentilcart_util::Micros;

use super::{Decision, PendingRequest, Rejection, ServerPool, ServerState};

const MEDIAN: f64 = 0.5;

impl ServerPool {
    /// Returns the time by which a queued request must start: the end of its longest wait, or the
    /// deadline less the `median` latency if that is earlier.
    fn get_latest_start(&self, request: &PendingRequest, median: Micros) -> Micros {
        let max_wait = (request.deadline - request.arrived).scaled(self.config.wait_share);
        (request.arrived + max_wait).min(request.deadline - median)
    }

    /// Returns the median latency; zero while it is not known, so that only
    /// `PoolConfig::wait_share` and the deadline itself bound the wait.
    fn get_median_latency(&self) -> Micros {
        self.hedger.get_quantile(MEDIAN).unwrap_or_default()
    }

    /// Returns whether the queued requests ahead of a new one will take longer than it can wait, or its
    /// turn by the rate limits of the servers will come too late.
    pub(super) fn is_wait_too_long(&self, now: Micros, request: &PendingRequest) -> bool {
        let ahead = self.queue.get_ahead_count(request);
        let paced_wait = self.get_paced_wait(now, request, ahead);
        if ahead == 0 && paced_wait == Micros::ZERO {
            return false;
        }
        let limit = |state: &ServerState| self.get_effective_limit(now, state);
        let total_limit: u32 = self.states.iter().map(limit).sum();
        let wait =
            Micros((ahead as f64 * self.mean_latency / f64::from(total_limit.max(1))) as u64);
        now + wait.max(paced_wait) > self.get_latest_start(request, self.get_median_latency())
    }

    /// Returns how long a request with a number of queued requests `ahead` of it waits at least because
    /// all servers that it may get name rate limits or are cold; zero if one does not, or if there is none.
    fn get_paced_wait(&self, now: Micros, request: &PendingRequest, ahead: usize) -> Micros {
        if !self.has_rate_limits && !self.has_cold_servers(now) {
            return Micros::ZERO;
        }
        let mut next_start = Micros(u64::MAX);
        let mut total_rate = 0.0;
        let mut has_server = false;
        // Time from which no server is cold, so that warm-ups restrict requests no more.
        let mut warm_at = Micros::ZERO;
        for state in &self.states {
            if state.get_limit(now, &self.config) == 0
                || request.excluded.contains(&state.config.address)
            {
                continue;
            }
            let Some(rate) = self.get_paced_rate(now, state) else {
                return Micros::ZERO;
            };
            has_server = true;
            total_rate += rate;
            warm_at = warm_at.max(state.get_warm_time());
            next_start = next_start.min(self.get_paced_start(now, state).0);
        }
        match () {
            () if !has_server => Micros::ZERO,
            () if total_rate <= 0.0 => next_start - now,
            () => {
                let turn = next_start + Micros::from_secs(ahead as f64 / total_rate);
                turn.min(warm_at) - now
            }
        }
    }

    /// Rejects queued requests that can no longer start in time.
    pub(super) fn reject_expired(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let median = self.get_median_latency();
        while let Some(request) =
            self.remove_first(|pool, request| pool.get_latest_start(request, median) < now)
        {
            decisions.push(Decision::Reject {
                request_id: request.id,
                reason: Rejection::Overload,
            });
        }
        decisions
    }
}
