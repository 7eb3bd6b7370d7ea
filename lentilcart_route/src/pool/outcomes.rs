//! What the pool learns of its servers: outcomes of attempts, notices, load reports, probes and load digests.

use std::net::SocketAddr;

use lentilcart_util::{Micros, Name};

use super::server_state::PROBE_BYTES;
use super::{
    AttemptOutcome, Decision, LoadReport, NoticeSource, PendingRequest, ServerNotice, ServerPhase,
    ServerPool, ServerState,
};
use crate::policy::LoadSource;

/// Weight of the newest answer in the mean latency of the pool.
const MEAN_WEIGHT: f64 = 0.02;
/// Upper bound of the doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Number of failures that an unanswered probe of either kind counts as.
const PROBE_FAILURE_WEIGHT: u32 = 3;

impl ServerPool {
    /// Records the outcome of an attempt, and returns the decisions on queued requests that follow.
    ///
    /// An unknown attempt is ignored.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        request_id: u64,
        server: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Decision> {
        let Some(state) = self.states.get_mut(server) else {
            return Vec::new();
        };
        let Some(attempt) = state.remove_attempt(request_id) else {
            return Vec::new();
        };
        let elapsed = now - attempt.started;
        match outcome {
            AttemptOutcome::Answered { load, .. } => {
                state.record_answer(now, elapsed, load, self.config.overcommit);
                let kind = attempt.latency_objective;
                self.service_times
                    .record(kind, elapsed, attempt.latency_factor);
                self.hedger.record_latency(now, elapsed);
                self.retry_tokens.deposit(self.config.retry.ratio);
                self.mean_latency += MEAN_WEIGHT * (elapsed.0 as f64 - self.mean_latency);
                self.promote_after_answer(now, server);
            }
            AttemptOutcome::Full { load, .. } => {
                state.record_report(now, load);
                // A server that refuses requests while it has free slots has another reason than
                // load: in the failure rate, but only there, that counts as a failed attempt. Any
                // other refusal counts as one that did not fail.
                let slots = state.config.slots;
                let is_below_slots = load.is_some_and(|load| load.get_requests() < slots);
                state.update_failure_rate(now, is_below_slots);
            }
            AttemptOutcome::Failed => {
                state.update_failure_rate(now, true);
                self.record_failure(now, server, 1);
            }
            AttemptOutcome::Unreachable => {
                state.update_failure_rate(now, true);
                self.record_failure(now, server, self.config.eject.failures);
            }
            AttemptOutcome::Leaving => state.phase = ServerPhase::Leaving,
            AttemptOutcome::Cancelled => {}
        }
        if let AttemptOutcome::Answered { notice, .. } | AttemptOutcome::Full { notice, .. } =
            outcome
        {
            let source = NoticeSource::Request;
            self.record_notice(now, server, attempt.sender, notice, source);
        }
        self.dispatch_queue(now)
    }

    /// Resets the start of an attempt that is about to be sent, after the preflight probes: its
    /// start time is now, and its expected latency follows from what is known of the server now.
    /// Adds the attempt if there is none.
    pub fn reset_attempt_start(&mut self, now: Micros, request: &PendingRequest, server: usize) {
        if let Some(state) = self.states.get_mut(server) {
            let service_time = self.service_times.get_mean();
            state.start_attempt(now, request, service_time);
        }
    }

    /// Returns the addresses of the servers to send a report probe to while requests are queued:
    /// those below their limit whose load report is at least as old as `min_age`, or that have
    /// none. Only servers in the data centre of this entry are returned.
    ///
    /// The report goes to [`record_load_report`](Self::record_load_report) with the server index
    /// from [`get_server_index`](Self::get_server_index).
    #[must_use]
    pub fn get_servers_to_refresh(&self, now: Micros, min_age: Micros) -> Vec<SocketAddr> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let is_stale = |state: &&ServerState| {
            state.listed
                && state.config.data_center == self.config.data_center
                && self.is_below_limit(now, state)
                && !state.is_held_off(now)
                && state.get_report_age(now).is_none_or(|age| age >= min_age)
        };
        let states = self.states.iter().filter(is_stale);
        states.map(|state| state.config.address).collect()
    }

    /// Returns the indices of the servers to send a load probe to now, and takes the budget of
    /// these probes.
    pub fn take_due_probes(&mut self, now: Micros) -> Vec<usize> {
        if self.config.policy.source != LoadSource::Probes {
            return Vec::new();
        }
        let budget = self.config.probe_budget;
        let entries = f64::from(budget.entries.max(1));
        let mut due = Vec::new();
        for (index, state) in self
            .states
            .iter_mut()
            .enumerate()
            .filter(|(_, state)| state.listed)
        {
            state.probe_tokens.set_limits(budget.probes / entries, 1.0);
            state
                .byte_tokens
                .set_limits(budget.bytes / entries, 2.0 * PROBE_BYTES);
            state.probe_tokens.refill(now);
            state.byte_tokens.refill(now);
            let is_affordable = state.probe_tokens.get_tokens() >= 1.0
                && state.byte_tokens.get_tokens() >= PROBE_BYTES;
            if is_affordable
                && state.probe_tokens.try_take(1.0)
                && state.byte_tokens.try_take(PROBE_BYTES)
            {
                due.push(index);
            }
        }
        due
    }

    /// Records the answer to a load probe, and charges the bytes beyond the 300 already charged; a
    /// probe of fewer bytes is charged 300 all the same.
    ///
    /// `requests` is the number of requests at the server, `latency` that of the probe and
    /// `probe_bytes` the bytes of the probe and its answer.
    pub fn record_load_probe(
        &mut self,
        now: Micros,
        server: usize,
        requests: u32,
        latency: Micros,
        probe_bytes: f64,
    ) {
        if let Some(state) = self.states.get_mut(server) {
            state.probe = Some((requests, latency, now));
            state
                .byte_tokens
                .force_take((probe_bytes - PROBE_BYTES).max(0.0));
        }
    }

    /// Records a load report that did not come with the outcome of an attempt.
    pub fn record_load_report(&mut self, now: Micros, server: usize, load: LoadReport) {
        if let Some(state) = self.states.get_mut(server) {
            state.record_report(now, Some(load));
        }
    }

    /// Records the outcome of an attempt of this entry under a permit of another entry. A permit is
    /// the permission to send one attempt to one server.
    ///
    /// An answer counts for the latency quantiles, the budgets of retries and hedges and the base
    /// service time, but not for the mean latency. Any other outcome is ignored: the state of the
    /// server is kept by the other entry.
    pub fn record_permit_outcome(
        &mut self,
        now: Micros,
        elapsed: Micros,
        latency_objective: Option<Micros>,
        outcome: &AttemptOutcome,
    ) {
        if let AttemptOutcome::Answered { load, .. } = outcome {
            self.hedger.record_latency(now, elapsed);
            self.retry_tokens.deposit(self.config.retry.ratio);
            // The reported slowdown stands for the whole expected latency here: what a busy or full
            // server adds to it is left out.
            let reported = load.and_then(|load| load.slowdown);
            self.service_times
                .record(latency_objective, elapsed, reported.unwrap_or(1.0));
        }
    }

    /// Records what a server says of itself in an answer to the entry with the address `sender`, and
    /// returns whether that is new. For an attempt of this pool, the outcome may carry it instead.
    pub fn record_notice(
        &mut self,
        now: Micros,
        server: usize,
        sender: Option<SocketAddr>,
        notice: ServerNotice,
        source: NoticeSource,
    ) -> bool {
        let Some(state) = self.states.get_mut(server) else {
            return false;
        };
        if let (Some(time), true) = (notice.warmup, self.warmup.is_some()) {
            self.cold_end = self.cold_end.max(now + time);
            state.record_warmup(now, time);
        }
        let has_limit_changed = state.pacer.record_limit(notice.rate_limit, source);
        let is_leaving = notice.leaving && state.phase != ServerPhase::Leaving;
        if is_leaving {
            state.phase = ServerPhase::Leaving;
        }
        let is_held_off = notice.retry_after.is_some_and(|time| {
            self.hold_off_end = self.hold_off_end.max(now + time);
            state.hold_off(now, sender, time)
        });
        if has_limit_changed {
            self.has_rate_limits = self.get_rate_limited_count() > 0;
        }
        has_limit_changed || is_leaving || is_held_off
    }

    /// Records that a server did not answer a probe of either kind.
    pub fn record_probe_failure(&mut self, now: Micros, server: usize) {
        if let Some(state) = self.states.get_mut(server) {
            state.update_failure_rate(now, true);
            self.record_failure(now, server, PROBE_FAILURE_WEIGHT);
        }
    }

    /// Records the load digest of another entry: the address of each server, and the number of the
    /// entry's outstanding requests there.
    ///
    /// A count goes to the first state with the address, listed or not: while the old instance of a
    /// restarted server has outstanding attempts, this may be the old instance.
    pub fn record_load_digest(
        &mut self,
        now: Micros,
        entry: &Name,
        digest: impl IntoIterator<Item = (SocketAddr, u32)>,
    ) {
        for (address, count) in digest {
            let state = self
                .states
                .iter_mut()
                .find(|state| state.config.address == address);
            if let Some(state) = state {
                state.digests.insert(entry.clone(), (count, now));
            }
        }
    }

    /// Records a failure that counts as `weight` failures.
    ///
    /// The server is ejected after too many consecutive failures, unless too large a share of the
    /// servers is ejected or on probation already. A failure on probation ejects it again, for
    /// twice as long.
    fn record_failure(&mut self, now: Micros, server: usize, weight: u32) {
        let limits = self.config.eject;
        let listed = self.states.iter().filter(|state| state.listed).count();
        let is_out = |state: &&ServerState| {
            matches!(
                state.phase,
                ServerPhase::Ejected { .. } | ServerPhase::Probation
            )
        };
        let others = self
            .states
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != server);
        let ejected = others
            .filter(|(_, state)| state.listed && is_out(state))
            .count();
        let may_eject = (ejected + 1) as f64 <= limits.share * listed as f64;
        let state = &mut self.states[server];
        state.failed += 1;
        state.consecutive_failures += weight;
        let must_eject = match state.phase {
            ServerPhase::Probation => true,
            ServerPhase::Serving | ServerPhase::SlowStart { .. } => {
                state.consecutive_failures >= limits.failures && may_eject
            }
            ServerPhase::Ejected { .. } | ServerPhase::Leaving => false,
        };
        if must_eject {
            let doublings = state.ejections.min(MAX_EJECTION_DOUBLINGS);
            let ejection_time = limits.probation.scaled(f64::from(1 << doublings));
            state.ejections += 1;
            state.phase = ServerPhase::Ejected {
                until: now + ejection_time,
            };
        }
    }

    /// Updates the phase of a server that answered a request: on probation, it begins a slow start;
    /// while `Serving`, its next ejection is as short as the first.
    fn promote_after_answer(&mut self, now: Micros, server: usize) {
        let state = &mut self.states[server];
        state.phase = match state.phase {
            ServerPhase::Probation => {
                state.return_ramp = None;
                ServerPhase::SlowStart { since: now }
            }
            ServerPhase::Serving => {
                state.ejections = 0;
                ServerPhase::Serving
            }
            phase => phase,
        };
    }
}
