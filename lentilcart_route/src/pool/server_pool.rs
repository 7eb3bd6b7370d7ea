use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Rng, seeded_rng};

use super::server_state::PROBE_BYTES;
use super::service_times::ServiceTimes;
use super::{
    AttemptOutcome, Decision, LoadReport, NoticeSource, PendingRequest, PoolConfig, Rejection,
    Restriction, ServerConfig, ServerNotice, ServerPhase, ServerState, ServerSummary, Shard,
};
use crate::limits::{Hedger, TokenBucket};
use crate::policy::{LoadSource, PickContext};
use crate::queue::RequestQueue;

/// Upper bound of the doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 5;
/// Number of failures that an unanswered probe of either kind counts as.
const PROBE_FAILURE_WEIGHT: u32 = 3;
/// Weight of the newest answer in the mean latency of the pool.
const MEAN_WEIGHT: f64 = 0.02;
/// Queued requests per server of this entry's data centre above which an overload starts, so that
/// the limits of the servers are reduced.
const OVERLOAD_START: f64 = 2.5;
/// Queued requests per such server at or below which an overload ends.
const OVERLOAD_END: f64 = 0.5;
/// Smallest number of servers in this entry's data centre for which limits are reduced: among fewer
/// servers, a free slot is too often the only one.
const MIN_RESERVE_SERVERS: f64 = 8.0;
const MEDIAN: f64 = 0.5;

/// Servers of one service as one entry knows them, the requests that it sent them, and the queue of
/// requests that wait for a server.
#[derive(Debug)]
pub struct ServerPool {
    config: PoolConfig,
    /// States of the servers; the position is the server index, which stays while a server is
    /// listed or has outstanding attempts.
    states: Vec<ServerState>,
    queue: RequestQueue,
    retry_tokens: TokenBucket,
    hedger: Hedger,
    shard: Shard,
    /// This entry's share, from 0 to 1, of the rate limits that servers name.
    rate_share: f64,
    /// Whether a listed server names a rate limit.
    has_rate_limits: bool,
    /// Latest time until which a server wants no requests from a sender.
    hold_off_end: Micros,
    /// Moving average of the latency of all servers, in microseconds.
    ///
    /// It starts at 0 and moves by `MEAN_WEIGHT` of the difference with each answer, so that it is
    /// too low for about the first 100 answers: too few requests are rejected for their wait, and
    /// outstanding requests count as overdue too early.
    mean_latency: f64,
    /// Estimated base service times, at an idle server with a slowdown factor of 1.
    service_times: ServiceTimes,
    /// Number of earlier picks, also those that found no candidate.
    picks: u64,
    /// Whether the limit of each server is at most its slots less `PoolConfig::reserve`, since
    /// many requests are queued for each local server (an overload). Never set with fewer than 8
    /// local servers. A request that waits too long is rejected whether or not this is set.
    has_reduced_limits: bool,
    rng: Rng,
    /// Buffer of the indices of candidate servers, kept to save allocations.
    candidates: Vec<usize>,
}

impl ServerPool {
    /// Creates a pool without servers; `seed` is that of its random decisions.
    #[must_use]
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        let mut retry_tokens = TokenBucket::new(0.0, config.retry.burst, Micros::ZERO);
        retry_tokens.deposit(config.initial_retries);
        Self {
            states: Vec::new(),
            queue: RequestQueue::default(),
            retry_tokens,
            hedger: Hedger::new(config.retry.hedge, Micros::ZERO),
            shard: Shard::default(),
            rate_share: 1.0,
            has_rate_limits: false,
            hold_off_end: Micros::ZERO,
            mean_latency: 0.0,
            service_times: ServiceTimes::new(),
            picks: 0,
            has_reduced_limits: false,
            rng: seeded_rng(seed),
            candidates: Vec::new(),
            config,
        }
    }

    /// Changes the settings; the servers, their states and the queue stay.
    pub fn set_config(&mut self, config: PoolConfig) {
        self.retry_tokens.set_limits(0.0, config.retry.burst);
        self.hedger.set_max_share(config.retry.hedge);
        self.config = config;
    }

    /// Replaces the list of servers.
    ///
    /// A server that is no longer listed gets no new requests. Once its last attempt has ended, a
    /// new server may take its index; until then its state is kept. Outstanding probes do not keep an
    /// index: they then count for the new server.
    ///
    /// The servers of the first list are `Serving` at once; those added later begin with a slow
    /// start. If any setting of a listed server changes, the estimate of its slots starts again at
    /// the configured ones.
    pub fn set_servers(&mut self, now: Micros, servers: &[ServerConfig]) {
        let is_first = self.states.is_empty();
        for state in &mut self.states {
            state.listed = servers.iter().any(|s| s.is_same_instance(&state.config));
        }
        for server in servers {
            let known = self
                .states
                .iter_mut()
                .find(|state| state.config.is_same_instance(server));
            match known {
                Some(state) if state.config == *server => {}
                Some(state) => {
                    state.estimated_slots = f64::from(server.slots);
                    state.config = server.clone();
                }
                None => {
                    let is_cold = !is_first && self.config.slow_start > Micros::ZERO;
                    let phase = if is_cold {
                        ServerPhase::SlowStart { since: now }
                    } else {
                        ServerPhase::Serving
                    };
                    self.add_server(ServerState::new(server.clone(), phase, now));
                }
            }
        }
        self.has_rate_limits = self.get_rate_limited_count() > 0;
    }

    /// Sets the shard of this entry among the entries that dispatch for the service.
    pub fn set_shard(&mut self, shard: Shard) {
        self.shard = shard;
    }

    /// Sets this entry's share, from 0 to 1, of the rate limits that servers name; 1 in a new pool. The
    /// shares of all entries must not add up to more than 1.
    pub fn set_rate_share(&mut self, share: f64) {
        self.rate_share = share;
    }

    /// Marks a server as leaving or as no longer leaving, and returns whether that changed it.
    ///
    /// A server that is no longer leaving begins with a slow start, also if it was ejected or on
    /// probation before it was marked as leaving.
    pub fn set_leaving(&mut self, now: Micros, server: usize, leaving: bool) -> bool {
        let Some(state) = self.states.get_mut(server) else {
            return false;
        };
        let is_leaving = state.phase == ServerPhase::Leaving;
        if leaving != is_leaving {
            state.phase = if leaving {
                ServerPhase::Leaving
            } else {
                ServerPhase::SlowStart { since: now }
            };
        }
        leaving != is_leaving
    }
}

/// Getters.
impl ServerPool {
    /// Returns the settings.
    #[must_use]
    pub fn get_config(&self) -> &PoolConfig {
        &self.config
    }

    /// Returns the state of a server by its index.
    #[must_use]
    pub fn get_server_state(&self, server: usize) -> Option<&ServerState> {
        self.states.get(server)
    }

    /// Returns the index of the listed server with this address. While a restarted server is listed as two
    /// instances, this is the one that has started last, which answers there.
    #[must_use]
    pub fn get_server_index(&self, address: SocketAddr) -> Option<usize> {
        let states = self.states.iter().enumerate();
        let at_address =
            states.filter(|(_, state)| state.listed && state.config.address == address);
        let newest = at_address.max_by_key(|(_, state)| state.config.started_ms);
        newest.map(|(index, _)| index)
    }

    /// Returns a summary of every listed server, for operators.
    #[must_use]
    pub fn get_summaries(&self) -> Vec<ServerSummary> {
        self.states
            .iter()
            .filter(|state| state.listed)
            .map(ServerState::summarize)
            .collect()
    }

    /// Returns the addresses of the listed servers that want no requests from a sender now.
    #[must_use]
    pub fn get_held_off_servers(&self, now: Micros, sender: Option<SocketAddr>) -> Vec<SocketAddr> {
        if now >= self.hold_off_end {
            return Vec::new();
        }
        let is_held_off =
            |state: &&ServerState| state.listed && state.get_hold_off_end(sender) > now;
        let states = self.states.iter().filter(is_held_off);
        states.map(|state| state.config.address).collect()
    }

    /// Returns whether a server that is listed and not leaving is not excluded by the request and wants
    /// requests from its sender now. It may have no room.
    #[must_use]
    pub fn has_wanting_server(&self, now: Micros, request: &PendingRequest) -> bool {
        self.states.iter().any(|state| {
            state.listed
                && state.phase != ServerPhase::Leaving
                && !request.excluded.contains(&state.config.address)
                && state.get_hold_off_end(request.sender) <= now
        })
    }

    /// Returns how long a request of the entry with the address `sender` waits at least because of what the
    /// servers that are not `excluded` say of themselves, and how they restrict it. Returns `None` if one of
    /// them does not, or if that time is not known.
    #[must_use]
    pub fn get_restriction(
        &self,
        now: Micros,
        sender: Option<SocketAddr>,
        excluded: &[SocketAddr],
    ) -> Option<(Micros, Restriction)> {
        if !self.has_rate_limits && now >= self.hold_off_end {
            return None;
        }
        let usable = self.states.iter().filter(|state| {
            state.get_limit(now, &self.config) > 0 && !excluded.contains(&state.config.address)
        });
        let starts = usable.map(|state| {
            let held_off = state.get_hold_off_end(sender);
            let paced = state.pacer.get_next_start(self.rate_share);
            if held_off >= paced {
                (held_off, Restriction::HoldOff)
            } else {
                (paced, Restriction::RateLimit)
            }
        });
        let (start, restriction) = starts.min_by_key(|(start, _)| *start)?;
        (start > now && start < Micros(u64::MAX)).then_some((start - now, restriction))
    }

    /// Returns whether a listed server names a rate limit.
    #[must_use]
    pub fn has_rate_limits(&self) -> bool {
        self.has_rate_limits
    }

    /// Returns the number of listed servers that name a rate limit.
    #[must_use]
    pub fn get_rate_limited_count(&self) -> usize {
        let is_limited = |state: &&ServerState| state.listed && state.pacer.get_limit().is_some();
        self.states.iter().filter(is_limited).count()
    }

    /// Returns the number of queued requests.
    #[must_use]
    pub fn get_queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the load digest of this entry: the address of each listed server, and the number of
    /// this entry's outstanding requests there.
    pub fn get_load_digest(&self) -> impl Iterator<Item = (SocketAddr, u32)> {
        let listed = self.states.iter().filter(|state| state.listed);
        listed.map(|state| (state.config.address, state.get_outstanding()))
    }

    /// Returns a latency quantile of the last answers, however old they are; `quantile` is between
    /// 0 and 1.
    ///
    /// Returns `None` while neither of the last two windows of at least 3 s holds 50 answers: at
    /// first, and with steadily fewer than about 17 answers per second.
    #[must_use]
    pub fn get_latency_quantile(&self, quantile: f64) -> Option<Micros> {
        self.hedger.get_quantile(quantile)
    }

    /// Returns the estimated base service time over all answers, at an idle server with a slowdown
    /// factor of 1; `None` before the first answer.
    #[must_use]
    pub fn get_base_service_time(&self) -> Option<Micros> {
        (self.service_times.get_answer_count() > 0)
            .then_some(Micros(self.service_times.get_mean() as u64))
    }

    /// Returns the latency that is expected now of a request that is already outstanding at the
    /// server, in base service times; 0 for an unknown server. Without an outstanding request, it is
    /// that of the first one.
    #[must_use]
    pub fn get_current_latency_factor(&self, now: Micros, server: usize) -> f64 {
        let state = self.states.get(server);
        state.map_or(0.0, |state| {
            state.get_current_latency_factor(now, self.service_times.get_mean())
        })
    }

    /// Returns whether any server that the request does not exclude accepts requests, that is, has
    /// a limit above 0. The server may be full now, and one on probation counts even if the request
    /// must run at most once.
    #[must_use]
    pub fn has_usable_server(&self, now: Micros, request: &PendingRequest) -> bool {
        self.states.iter().any(|state| {
            self.get_effective_limit(now, state) > 0
                && !request.excluded.contains(&state.config.address)
        })
    }

    /// Returns how long to wait for an answer before a hedge is sent; `None` while hedges are off
    /// or [`get_latency_quantile`](Self::get_latency_quantile) has too few answers.
    #[must_use]
    pub fn get_hedge_delay(&self) -> Option<Micros> {
        self.hedger.get_delay()
    }
}

/// Decisions on requests.
impl ServerPool {
    /// Offers a request to the pool, which starts, queues or rejects it.
    ///
    /// Returns the decisions that follow, also on other requests; no decision on this request means
    /// that it is queued.
    pub fn offer(&mut self, now: Micros, request: PendingRequest) -> Vec<Decision> {
        let has_server = self
            .states
            .iter()
            .any(|state| state.listed && state.phase != ServerPhase::Leaving);
        match () {
            () if !has_server => vec![Decision::Reject {
                request_id: request.id,
                reason: Rejection::NoServer,
            }],
            () if !self.has_wanting_server(now, &request)
                || self.is_wait_too_long(now, &request) =>
            {
                vec![Decision::Reject {
                    request_id: request.id,
                    reason: Rejection::Overload,
                }]
            }
            () => {
                self.queue.push(request);
                self.dispatch_queue(now)
            }
        }
    }

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

    /// Returns the token of a retry that was not made.
    pub fn return_retry_token(&mut self) {
        self.retry_tokens.deposit(1.0);
    }

    /// Removes a request from the queue, and returns whether it was queued.
    pub fn cancel_queued(&mut self, request_id: u64) -> bool {
        self.queue.remove(request_id)
    }

    /// Takes the token of one retry if there is one, and returns whether it did.
    pub fn take_retry_token(&mut self) -> bool {
        self.retry_tokens.try_take(1.0)
    }

    /// Starts a hedge at a server below its limit that the request does not exclude, and returns
    /// the index of the server.
    ///
    /// Returns `None` if requests are queued, no server is eligible or the budget of hedges is
    /// spent. It does not check `at_most_once`: the user of the pool must not hedge a request that
    /// must run at most once.
    pub fn start_hedge(&mut self, now: Micros, request: &PendingRequest) -> Option<usize> {
        if self.queue.len() > 0
            || !self.has_eligible_server(now, request)
            || !self.hedger.try_take()
        {
            return None;
        }
        self.assign_server(now, request)
    }

    /// Records whether a hedge was answered before the first attempt.
    pub fn record_hedge(&mut self, won: bool) {
        self.hedger.record_hedge(won);
    }

    /// Ends ejections and slow starts that are due, rejects requests that have waited too long, and
    /// dispatches queued requests.
    ///
    /// It is meant to be called every few milliseconds: an ejection or a slow start ends, and a
    /// request that has waited too long is rejected, only in this call, up to one interval late.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        for state in &mut self.states {
            state.phase = match state.phase {
                ServerPhase::Ejected { until } if now >= until => ServerPhase::Probation,
                ServerPhase::SlowStart { since } if now - since >= self.config.slow_start => {
                    ServerPhase::Serving
                }
                phase => phase,
            };
        }
        let mut decisions = self.reject_expired(now);
        decisions.extend(self.dispatch_queue(now));
        decisions
    }
}

/// Load reports, probes and load digests.
impl ServerPool {
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
}

/// Dispatch of queued requests, and the steps of the decisions.
impl ServerPool {
    /// Adds a server, in the place of one that is neither listed nor has outstanding attempts.
    fn add_server(&mut self, state: ServerState) {
        let free = self
            .states
            .iter_mut()
            .find(|state| !state.listed && state.attempts.is_empty());
        match free {
            Some(slot) => *slot = state,
            None => self.states.push(state),
        }
    }

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
    fn is_wait_too_long(&self, now: Micros, request: &PendingRequest) -> bool {
        let ahead = self.queue.get_ahead_count(request.priority);
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
    /// all servers that it may get name rate limits; zero if one does not, or if there is none.
    fn get_paced_wait(&self, now: Micros, request: &PendingRequest, ahead: usize) -> Micros {
        if !self.has_rate_limits {
            return Micros::ZERO;
        }
        let mut next_start = Micros(u64::MAX);
        let mut total_rate = 0.0;
        let mut has_server = false;
        for state in &self.states {
            if state.get_limit(now, &self.config) == 0
                || request.excluded.contains(&state.config.address)
            {
                continue;
            }
            let Some(rate) = state.pacer.get_rate(self.rate_share) else {
                return Micros::ZERO;
            };
            has_server = true;
            total_rate += rate;
            next_start = next_start.min(state.pacer.get_next_start(self.rate_share));
        }
        match () {
            () if !has_server => Micros::ZERO,
            () if total_rate <= 0.0 => Micros(u64::MAX),
            () => (next_start - now) + Micros::from_secs(ahead as f64 / total_rate),
        }
    }

    /// Updates whether the limits are reduced, and starts queued requests while a server is below
    /// its limit.
    fn dispatch_queue(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.update_reduced_limits();
        if self.queue.len() == 0 {
            return decisions;
        }
        let mut available_servers = self.get_available_servers(now);
        while self.queue.len() > 0 && !available_servers.is_empty() {
            let Some(request) = self.pop_dispatchable(now, &available_servers) else {
                break;
            };
            decisions.extend(self.dispatch_request(now, &request));
            available_servers = self.get_available_servers(now);
        }
        decisions
    }

    /// Returns the index of each server with room below its limit for a request of this entry's
    /// data centre, and the expected latency of one more request there in base service times.
    ///
    /// This is a cheap first filter, computed once per pick, since many queued requests may be
    /// considered for few servers with room: a request is skipped without a check of each server if
    /// even the lowest of these latencies is too high for it. [`is_eligible`](Self::is_eligible)
    /// then checks the listed servers with the data centre of the request's origin.
    fn get_available_servers(&self, now: Micros) -> Vec<(usize, f64)> {
        let states = self.states.iter().enumerate();
        let available = states.filter(|(_, state)| {
            let is_local = state.config.data_center == self.config.data_center;
            let reserved = if is_local {
                0
            } else {
                self.config.remote_reserve
            };
            self.get_counted_requests(now, state) + reserved < self.get_effective_limit(now, state)
        });
        available
            .map(|(index, state)| {
                let service_time = self.service_times.get_mean();
                (index, state.get_latency_factor(now, service_time))
            })
            .collect()
    }

    /// Starts the queued requests that can be started now.
    ///
    /// It is for use after [`set_config`](Self::set_config), [`set_servers`](Self::set_servers),
    /// [`set_leaving`](Self::set_leaving) or [`record_load_report`](Self::record_load_report),
    /// which start no requests; otherwise the next [`tick`](Self::tick) starts them.
    pub fn dispatch(&mut self, now: Micros) -> Vec<Decision> {
        self.dispatch_queue(now)
    }

    /// Rejects queued requests that can no longer start in time.
    fn reject_expired(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        let median = self.get_median_latency();
        while let Some(request) =
            self.pop(|pool, request| pool.get_latest_start(request, median) < now)
        {
            decisions.push(Decision::Reject {
                request_id: request.id,
                reason: Rejection::Overload,
            });
        }
        decisions
    }

    /// Removes and returns the next request that one of the `available_servers` may get, which
    /// holds their indices and expected latencies in base service times.
    fn pop_dispatchable(
        &mut self,
        now: Micros,
        available_servers: &[(usize, f64)],
    ) -> Option<PendingRequest> {
        let lowest_slowdown = self.get_lowest_slowdown(now);
        let fastest = available_servers
            .iter()
            .map(|(_, latency_factor)| *latency_factor)
            .fold(f64::MAX, f64::min);
        let has_eligible_server = |pool: &Self, request: &PendingRequest| {
            let max_factor = pool.get_max_latency_factor(now, request, lowest_slowdown);
            let mut available_servers = available_servers.iter();
            fastest <= max_factor
                && available_servers
                    .any(|&(index, _)| pool.is_eligible(now, request, index, max_factor))
        };
        if self.config.policy.source != LoadSource::Reports {
            return self.pop(has_eligible_server);
        }
        let service_times = &self.service_times;
        let get_service_time = |request: &PendingRequest| {
            service_times.get_reliable_estimate(request.latency_objective)
        };
        let mut queue = std::mem::take(&mut self.queue);
        let request = queue.pop_by_objective(now, get_service_time, |request| {
            has_eligible_server(self, request)
        });
        self.queue = queue;
        request
    }

    fn pop(
        &mut self,
        is_wanted: impl Fn(&Self, &PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let mut queue = std::mem::take(&mut self.queue);
        let request = queue.pop(|request| is_wanted(self, request));
        self.queue = queue;
        request
    }

    fn dispatch_request(&mut self, now: Micros, request: &PendingRequest) -> Option<Decision> {
        self.assign_server(now, request)
            .map(|server| Decision::Start {
                request_id: request.id,
                server,
            })
    }

    /// Returns whether a server is below its limit; what is left of the limit may be reserved for
    /// requests of another data centre.
    fn is_below_limit(&self, now: Micros, state: &ServerState) -> bool {
        self.get_counted_requests(now, state) < self.get_effective_limit(now, state)
    }

    /// Returns whether a server may get a request: it has room below its limit for the data centre
    /// of the request's origin, is not excluded, wants requests from the sender, is not on probation
    /// if the request must run at most once, and its expected latency in base service times is at
    /// most `max_factor`.
    fn is_eligible(
        &self,
        now: Micros,
        request: &PendingRequest,
        index: usize,
        max_factor: f64,
    ) -> bool {
        let state = &self.states[index];
        let is_allowed = !request.excluded.contains(&state.config.address)
            && state.get_hold_off_end(request.sender) <= now;
        let is_trusted = !request.at_most_once || state.phase != ServerPhase::Probation;
        let origin = request.origin.as_ref().unwrap_or(&self.config.data_center);
        let reserved = if state.config.data_center == *origin {
            0
        } else {
            self.config.remote_reserve
        };
        let has_room =
            self.get_counted_requests(now, state) + reserved < self.get_effective_limit(now, state);
        let is_fast = || state.get_latency_factor(now, self.service_times.get_mean()) <= max_factor;
        has_room && is_allowed && is_trusted && is_fast()
    }

    /// Returns the largest expected latency with which a server may get a request, in base service times
    /// of its kind; otherwise the request is kept for a faster server. `lowest_slowdown` is the slowdown
    /// factor of the fastest server, which is the expected latency there if it were idle. The result is:
    ///
    /// - the time left until the objective, if it is longer than `lowest_slowdown`;
    /// - otherwise the time from arrival to the objective, if it is at least `lowest_slowdown`;
    /// - no bound, if no server is that fast or the policy has no load reports.
    ///
    /// A request is assumed to keep the slowdown that the server has when the request begins, so
    /// that a request at a slow server is late and occupies a slot for several times as long: when
    /// many requests are queued, such requests would occupy most slots.
    fn get_max_latency_factor(
        &self,
        now: Micros,
        request: &PendingRequest,
        lowest_slowdown: f64,
    ) -> f64 {
        let service_time = self.service_times.get_estimate(request.latency_objective);
        let to_factor = |time: Micros| time.0 as f64 / service_time;
        let remaining = to_factor(request.objective - now);
        let total = to_factor(request.objective - request.arrived);
        match () {
            () if self.config.policy.source != LoadSource::Reports => f64::MAX,
            // A service that takes no time is fast enough anywhere.
            () if service_time <= 0.0 => f64::MAX,
            () if lowest_slowdown < remaining => remaining,
            // The request misses its objective in any case, and must not make others miss theirs.
            () if lowest_slowdown <= total => total,
            () => f64::MAX,
        }
    }

    /// Returns the slowdown factor of the fastest server that accepts requests of every sender.
    fn get_lowest_slowdown(&self, now: Micros) -> f64 {
        let is_usable = |state: &&ServerState| {
            self.get_effective_limit(now, state) > 0 && !state.is_held_off(now)
        };
        let states = self.states.iter().filter(is_usable);
        let slowdowns = states.map(|state| state.get_slowdown(now));
        slowdowns.fold(f64::MAX, f64::min)
    }

    /// Returns how many requests a server may have at once. In an overload, that is at most its
    /// slots less `PoolConfig::reserve`, and at least 1 if the server accepts requests. It is 0 until
    /// the next request may start by the rate limit that the server names.
    fn get_effective_limit(&self, now: Micros, state: &ServerState) -> u32 {
        let limit = state.get_limit(now, &self.config);
        let kept = state.config.slots.saturating_sub(self.config.reserve);
        match () {
            () if now < state.pacer.get_next_start(self.rate_share) => 0,
            () if self.has_reduced_limits => limit.min(kept.max(1)),
            () => limit,
        }
    }

    /// Updates whether the limits of the servers are reduced, as they are in an overload.
    ///
    /// An overload starts and ends at different queue lengths, so that the state does not flap. In
    /// an overload, servers answer more requests when a slot stays free, since they take longer for
    /// a request when they are nearly full; otherwise, a few requests are answered sooner if the
    /// last slot is used too.
    fn update_reduced_limits(&mut self) {
        let is_local = |state: &&ServerState| {
            state.listed && state.config.data_center == self.config.data_center
        };
        let servers = self.states.iter().filter(is_local).count() as f64;
        let queued = self.queue.len() as f64;
        let threshold = if self.has_reduced_limits {
            OVERLOAD_END
        } else {
            OVERLOAD_START
        };
        self.has_reduced_limits = servers >= MIN_RESERVE_SERVERS && queued > servers * threshold;
    }

    /// Returns the number of requests at a server that count against its limit: those of this entry
    /// and, by load reports, those of others.
    fn get_counted_requests(&self, now: Micros, state: &ServerState) -> u32 {
        let others = if self.config.policy.source == LoadSource::Reports {
            state
                .get_other_requests(now, self.service_times.get_mean())
                .round() as u32
        } else {
            0
        };
        state.get_outstanding() + others
    }

    fn has_eligible_server(&self, now: Micros, request: &PendingRequest) -> bool {
        let max_factor = self.get_max_latency_factor(now, request, self.get_lowest_slowdown(now));
        (0..self.states.len()).any(|index| self.is_eligible(now, request, index, max_factor))
    }

    /// Picks a server by the policy among those that are eligible, and adds the attempt to its
    /// state.
    fn assign_server(&mut self, now: Micros, request: &PendingRequest) -> Option<usize> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let max_factor = self.get_max_latency_factor(now, request, self.get_lowest_slowdown(now));
        let states = 0..self.states.len();
        candidates
            .extend(states.filter(|&index| self.is_eligible(now, request, index, max_factor)));
        let picked = (!candidates.is_empty()).then(|| {
            let mut context = PickContext {
                states: &self.states,
                candidates: &candidates,
                now,
                origin: request.origin.as_ref().unwrap_or(&self.config.data_center),
                config: &self.config,
                shard: self.shard,
                picks: self.picks,
                mean_latency: self.mean_latency,
                base_service_time: self.service_times.get_mean(),
                service_time: self.service_times.get_estimate(request.latency_objective),
                objective: request.objective,
                sender: request.sender,
                rng: &mut self.rng,
            };
            (self.config.policy.pick)(&mut context)
        });
        self.candidates = candidates;
        self.picks += 1;
        if let Some(server) = picked {
            let service_time = self.service_times.get_mean();
            self.states[server].start_attempt(now, request, service_time);
        }
        picked
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
            ServerPhase::Probation => ServerPhase::SlowStart { since: now },
            ServerPhase::Serving => {
                state.ejections = 0;
                ServerPhase::Serving
            }
            phase => phase,
        };
    }
}
