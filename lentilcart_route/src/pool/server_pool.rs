use lentilcart_util::{Micros, Name, Rng, seeded_rng};

use super::server_state::PROBE_BYTES;
use super::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, Rejection, ServerConfig,
    ServerPhase, ServerState, ServerSummary, Shard,
};
use crate::limits::{Hedger, TokenBucket};
use crate::policy::{LoadSource, PickContext};
use crate::queue::RequestQueue;

const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Failures that an unanswered question about load counts for.
const PROBE_FAILURE_WEIGHT: u32 = 3;
/// Time of work that is reckoned with before the first answer, in microseconds.
const INITIAL_SERVICE_TIME: f64 = 50_000.0;
const MEAN_WEIGHT: f64 = 0.02;
/// Waiting requests for each server of the own data centre, from which and down to which slots are
/// reserved.
const OVERLOAD_START: f64 = 2.5;
const OVERLOAD_END: f64 = 0.5;
/// Servers of the own data centre from which slots are reserved: among fewer, a free slot is too often the
/// only one.
const MIN_RESERVE_SERVERS: f64 = 8.0;
/// Answers after which the usual time of work is known well.
const MIN_ANSWERS: u64 = 50;
/// Usual times of work that the work of a request counts for at most.
const MAX_SAMPLE_FACTOR: f64 = 2.0;
const MEDIAN: f64 = 0.5;

/// What one entry knows of a service's servers, and the requests it gave them.
#[derive(Debug)]
pub struct ServerPool {
    config: PoolConfig,
    states: Vec<ServerState>,
    queue: RequestQueue,
    retry_tokens: TokenBucket,
    hedger: Hedger,
    shard: Shard,
    mean_latency: f64,
    /// Usual time of work at the usual speed, in microseconds.
    service_time: f64,
    answers: u64,
    picks: u64,
    /// Whether requests wait for long.
    is_overloaded: bool,
    rng: Rng,
    candidates: Vec<usize>,
}

impl ServerPool {
    /// Creates a pool without servers.
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
            mean_latency: 0.0,
            service_time: INITIAL_SERVICE_TIME,
            answers: 0,
            picks: 0,
            is_overloaded: false,
            rng: seeded_rng(seed),
            candidates: Vec::new(),
            config,
        }
    }

    /// Changes the settings; servers, queue and what is known of them stay.
    pub fn set_config(&mut self, config: PoolConfig) {
        self.retry_tokens.set_rate(0.0, config.retry.burst);
        self.hedger.set_max_share(config.retry.hedge);
        self.config = config;
    }

    /// Replaces the list of servers.
    ///
    /// A server that is no longer listed gets no new request and its row stays until its last
    /// request has ended. Servers of the first list are in full use at once; later ones ramp up.
    pub fn set_servers(&mut self, now: Micros, servers: &[ServerConfig]) {
        let first = self.states.is_empty();
        for state in &mut self.states {
            state.listed = servers.iter().any(|s| s.is_same(&state.config));
        }
        for server in servers {
            let known = self
                .states
                .iter_mut()
                .find(|state| state.config.is_same(server));
            match known {
                Some(state) if state.config == *server => {}
                Some(state) => {
                    state.adaptive_limit = f64::from(server.slots);
                    state.config = server.clone();
                }
                None => {
                    let is_cold = !first && self.config.slow_start > Micros::ZERO;
                    let phase = if is_cold {
                        ServerPhase::SlowStart { since: now }
                    } else {
                        ServerPhase::Serving
                    };
                    self.add_server(ServerState::new(server.clone(), phase, now));
                }
            }
        }
    }

    /// Sets this entry's place among the entries that dispatch for the service.
    pub fn set_shard(&mut self, shard: Shard) {
        self.shard = shard;
    }

    /// Marks a server as leaving, or as staying again; returns whether that changed it.
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

/// Reflection.
impl ServerPool {
    /// Returns the settings.
    #[must_use]
    pub fn get_config(&self) -> &PoolConfig {
        &self.config
    }

    /// Returns a server's row.
    #[must_use]
    pub fn get_server_state(&self, server: usize) -> Option<&ServerState> {
        self.states.get(server)
    }

    /// Returns the row of an address.
    #[must_use]
    pub fn get_server_index(&self, address: std::net::SocketAddr) -> Option<usize> {
        self.states
            .iter()
            .position(|state| state.listed && state.config.address == address)
    }

    /// Returns what an operator is shown of every listed server.
    #[must_use]
    pub fn get_summaries(&self) -> Vec<ServerSummary> {
        self.states
            .iter()
            .filter(|state| state.listed)
            .map(ServerState::summarize)
            .collect()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn get_queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns this entry's outstanding requests at each listed server.
    pub fn get_load_digest(&self) -> impl Iterator<Item = (std::net::SocketAddr, u32)> {
        let listed = self.states.iter().filter(|state| state.listed);
        listed.map(|state| (state.config.address, state.get_outstanding()))
    }

    /// Returns a latency quantile of the last seconds.
    #[must_use]
    pub fn get_latency_quantile(&self, quantile: f64) -> Option<Micros> {
        self.hedger.get_quantile(quantile)
    }

    /// Returns the usual time of work at a server at its usual speed, once there was an answer.
    #[must_use]
    pub fn get_service_time(&self) -> Option<Micros> {
        (self.answers > 0).then_some(Micros(self.service_time as u64))
    }

    /// Returns the time that a request which was started at a server is expected to take there, in
    /// microseconds.
    #[must_use]
    pub fn get_expected_latency(&self, now: Micros, server: usize) -> f64 {
        let state = self.states.get(server);
        let latency_factor = state.map_or(0.0, |state| {
            state.get_last_latency_factor(now, self.service_time)
        });
        latency_factor * self.service_time
    }

    /// Returns whether there is a server in use that a request was not sent to.
    #[must_use]
    pub fn has_alternative(&self, now: Micros, request: &PendingRequest) -> bool {
        let mut states = self.states.iter().enumerate();
        states.any(|(at, state)| self.get_limit(now, state) > 0 && !request.excluded.contains(&at))
    }

    /// Returns how long to wait for an answer before asking for a hedge.
    #[must_use]
    pub fn get_hedge_delay(&self) -> Option<Micros> {
        self.hedger.get_delay()
    }
}

/// Decisions on requests.
impl ServerPool {
    /// Takes a request: starts it, queues it or refuses it.
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
            () if self.is_wait_too_long(now, &request) => {
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

    /// Ends an attempt and starts the requests that waited for it.
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
            AttemptOutcome::Answered { load } => {
                state.record_answer(now, elapsed, load, self.config.overcommit);
                self.update_service_time(elapsed, attempt.latency_factor);
                self.hedger.record(now, elapsed);
                self.retry_tokens.deposit(self.config.retry.ratio);
                self.mean_latency += MEAN_WEIGHT * (elapsed.0 as f64 - self.mean_latency);
                self.end_probation(now, server);
            }
            AttemptOutcome::Full { load } => {
                state.record_report(now, load);
                // A server that sheds with free slots has another reason than load.
                let slots = state.config.slots;
                let has_free_slot = load.is_some_and(|load| load.get_requests() < slots);
                state.record_result(now, has_free_slot);
            }
            AttemptOutcome::Failed => {
                state.record_result(now, true);
                self.record_failure(now, server, 1);
            }
            AttemptOutcome::Unreachable => {
                state.record_result(now, true);
                self.record_failure(now, server, self.config.eject.failures);
            }
            AttemptOutcome::Leaving => state.phase = ServerPhase::Leaving,
            AttemptOutcome::Cancelled => {}
        }
        self.dispatch_queue(now)
    }

    /// Begins a request anew that is about to be sent, by what is known of its server now.
    pub fn restart_attempt(&mut self, now: Micros, request_id: u64, server: usize) {
        if let Some(state) = self.states.get_mut(server) {
            state.start_attempt(now, request_id, self.service_time);
        }
    }

    /// Withdraws a request that still waits; returns whether it did.
    pub fn cancel_queued(&mut self, request_id: u64) -> bool {
        self.queue.remove(request_id)
    }

    /// Takes the budget of one retry; returns whether there was enough.
    pub fn take_retry_token(&mut self) -> bool {
        self.retry_tokens.try_take(1.0)
    }

    /// Starts a hedge at another server with a free slot, if the budget allows one and nobody
    /// waits.
    pub fn start_hedge(&mut self, now: Micros, request: &PendingRequest) -> Option<usize> {
        if self.queue.len() > 0
            || !self.has_eligible_server(now, request)
            || !self.hedger.try_take()
        {
            return None;
        }
        self.assign_server(now, request)
    }

    /// Records whether a hedge answered before the first attempt.
    pub fn record_hedge(&mut self, won: bool) {
        self.hedger.update_win_rate(won);
    }

    /// Refuses requests that have waited too long, moves ejected servers on, and starts what can
    /// be started.
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

/// Load measurement.
impl ServerPool {
    /// Returns the servers to ask about their load since requests wait: those with room whose report is
    /// older than `age`. Only servers of the own data centre are asked.
    #[must_use]
    pub fn get_stale_servers(&self, now: Micros, age: Micros) -> Vec<std::net::SocketAddr> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let is_stale = |state: &&ServerState| {
            state.listed
                && state.config.data_center == self.config.data_center
                && self.has_free_slot(now, state)
                && state.get_report_age(now).is_none_or(|old| old >= age)
        };
        let states = self.states.iter().filter(is_stale);
        states.map(|state| state.config.address).collect()
    }

    /// Returns the servers to probe now; each call spends the budget of the probes it returns.
    pub fn take_due_probes(&mut self, now: Micros) -> Vec<usize> {
        if self.config.policy.source != LoadSource::Probes {
            return Vec::new();
        }
        let load = self.config.probe_budget;
        let entries = f64::from(load.entries.max(1));
        let mut due = Vec::new();
        for (index, state) in self
            .states
            .iter_mut()
            .enumerate()
            .filter(|(_, state)| state.listed)
        {
            state.probe_tokens.set_rate(load.probes / entries, 1.0);
            state
                .byte_tokens
                .set_rate(load.bytes / entries, 2.0 * PROBE_BYTES);
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

    /// Records the answer to a probe and charges the bytes beyond the usual size.
    pub fn record_probe(
        &mut self,
        now: Micros,
        server: usize,
        load: u32,
        elapsed: Micros,
        size: f64,
    ) {
        if let Some(state) = self.states.get_mut(server) {
            state.probe = Some((load, elapsed, now));
            state.byte_tokens.force_take((size - PROBE_BYTES).max(0.0));
        }
    }

    /// Takes a server's report of its load that came by another way than an answer.
    pub fn record_load_report(&mut self, now: Micros, server: usize, load: LoadReport) {
        if let Some(state) = self.states.get_mut(server) {
            state.record_report(now, Some(load));
        }
    }

    /// Learns from an answer to a request of this entry that another one had given its server.
    pub fn record_permit_outcome(
        &mut self,
        now: Micros,
        elapsed: Micros,
        outcome: &AttemptOutcome,
    ) {
        if let AttemptOutcome::Answered { load } = outcome {
            self.hedger.record(now, elapsed);
            self.retry_tokens.deposit(self.config.retry.ratio);
            let reported = load.and_then(|load| load.slowdown);
            self.update_service_time(elapsed, reported.unwrap_or(1.0).max(1.0));
        }
    }

    /// Learns how long work takes at an idle server of the usual speed, from an answer that was expected to
    /// take some times as long.
    fn update_service_time(&mut self, elapsed: Micros, latency_factor: f64) {
        self.answers += 1;
        // A plain mean until there are enough answers; then a straggler counts as a slow answer.
        let weight = MEAN_WEIGHT.max(1.0 / self.answers as f64);
        let max_sample = if self.answers > MIN_ANSWERS {
            self.service_time * MAX_SAMPLE_FACTOR
        } else {
            f64::MAX
        };
        let sample = (elapsed.0 as f64 / latency_factor.max(1.0)).min(max_sample);
        self.service_time += weight * (sample - self.service_time);
    }

    /// Records that a server did not answer a question about its load.
    pub fn record_probe_failure(&mut self, now: Micros, server: usize) {
        if let Some(state) = self.states.get_mut(server) {
            state.record_result(now, true);
            self.record_failure(now, server, PROBE_FAILURE_WEIGHT);
        }
    }

    /// Records another entry's outstanding requests.
    pub fn record_load_digest(
        &mut self,
        now: Micros,
        entry: &Name,
        digest: impl IntoIterator<Item = (std::net::SocketAddr, u32)>,
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

/// Internals.
impl ServerPool {
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

    /// Returns when a waiting request must have started, given the usual latency.
    fn get_latest_start(&self, request: &PendingRequest, median: Micros) -> Micros {
        let max_wait = (request.deadline - request.arrived).scaled(self.config.wait_share);
        (request.arrived + max_wait).min(request.deadline - median)
    }

    fn get_median_latency(&self) -> Micros {
        self.hedger.get_quantile(MEDIAN).unwrap_or_default()
    }

    /// Returns whether the requests ahead of a new one will take longer than it can wait.
    fn is_wait_too_long(&self, now: Micros, request: &PendingRequest) -> bool {
        let ahead = self.queue.get_ahead(request.priority);
        if ahead == 0 {
            return false;
        }
        let limit = |state: &ServerState| self.get_limit(now, state);
        let slots: u32 = self.states.iter().map(limit).sum();
        let wait = Micros((ahead as f64 * self.mean_latency / f64::from(slots.max(1))) as u64);
        now + wait > self.get_latest_start(request, self.get_median_latency())
    }

    /// Starts waiting requests while a server has room.
    fn dispatch_queue(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        self.update_overload();
        if self.queue.len() == 0 {
            return decisions;
        }
        let mut free_servers = self.get_free_servers(now);
        while self.queue.len() > 0 && !free_servers.is_empty() {
            let Some(request) = self.pop_dispatchable(now, &free_servers) else {
                break;
            };
            decisions.extend(self.dispatch_request(now, &request));
            free_servers = self.get_free_servers(now);
        }
        decisions
    }

    /// Returns the servers that have room, with the time that one more request would take there in
    /// microseconds: in an overload many requests are looked at for few of them.
    fn get_free_servers(&self, now: Micros) -> Vec<(usize, f64)> {
        let states = self.states.iter().enumerate();
        let available = states.filter(|(_, state)| {
            let is_local = state.config.data_center == self.config.data_center;
            let reserved = if is_local {
                0
            } else {
                self.config.remote_reserve
            };
            self.get_occupied_slots(now, state) + reserved < self.get_limit(now, state)
        });
        available
            .map(|(index, state)| {
                (
                    index,
                    state.get_latency_factor(now, self.service_time) * self.service_time,
                )
            })
            .collect()
    }

    /// Starts waiting requests that can be started now.
    pub fn dispatch(&mut self, now: Micros) -> Vec<Decision> {
        self.dispatch_queue(now)
    }

    /// Refuses requests that have waited too long.
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

    /// Removes and returns the next request that one of some servers may take.
    fn pop_dispatchable(
        &mut self,
        now: Micros,
        free_servers: &[(usize, f64)],
    ) -> Option<PendingRequest> {
        let min_latency = self.get_min_latency(now);
        let fastest = free_servers
            .iter()
            .map(|(_, latency)| *latency)
            .fold(f64::MAX, f64::min);
        let has_eligible_server = |pool: &Self, request: &PendingRequest| {
            let max_latency = pool.get_max_latency(now, request, min_latency);
            let mut free_servers = free_servers.iter();
            fastest <= max_latency
                && free_servers.any(|&(at, _)| pool.is_eligible(now, request, at, max_latency))
        };
        if self.config.policy.source != LoadSource::Reports {
            return self.pop(has_eligible_server);
        }
        let is_known = self.answers > MIN_ANSWERS;
        let expected = Micros(if is_known {
            self.service_time as u64
        } else {
            0
        });
        let mut queue = std::mem::take(&mut self.queue);
        let request =
            queue.pop_by_objective(now, expected, |request| has_eligible_server(self, request));
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

    fn has_free_slot(&self, now: Micros, state: &ServerState) -> bool {
        self.get_occupied_slots(now, state) < self.get_limit(now, state)
    }

    fn is_eligible(
        &self,
        now: Micros,
        request: &PendingRequest,
        index: usize,
        max_latency: f64,
    ) -> bool {
        let state = &self.states[index];
        let is_allowed = !request.excluded.contains(&index);
        let is_trusted = !request.at_most_once || state.phase != ServerPhase::Probation;
        let origin = request.origin.as_ref().unwrap_or(&self.config.data_center);
        let reserved = if state.config.data_center == *origin {
            0
        } else {
            self.config.remote_reserve
        };
        let has_free_slot =
            self.get_occupied_slots(now, state) + reserved < self.get_limit(now, state);
        let is_fast =
            || state.get_latency_factor(now, self.service_time) * self.service_time <= max_latency;
        has_free_slot && is_allowed && is_trusted && is_fast()
    }

    /// Returns the longest time that a server may take for a request, in microseconds; the request is kept
    /// for a faster one otherwise. `least` is the time at the fastest server, free or not.
    ///
    /// How long work takes is settled as it begins, so that a request at a slow server is late and
    /// takes a slot for several times as long: in an overload, such requests take most slots.
    fn get_max_latency(&self, now: Micros, request: &PendingRequest, min_latency: f64) -> f64 {
        let remaining = (request.objective - now).0 as f64;
        let total = (request.objective - request.arrived).0 as f64;
        match () {
            () if self.config.policy.source != LoadSource::Reports => f64::MAX,
            () if min_latency < remaining => remaining,
            // It is late already, and must not make others late.
            () if min_latency <= total => total,
            () => f64::MAX,
        }
    }

    /// Returns the time that a request would take at the fastest server if that had nothing else to do, in
    /// microseconds.
    fn get_min_latency(&self, now: Micros) -> f64 {
        let is_usable = |state: &&ServerState| self.get_limit(now, state) > 0;
        let states = self.states.iter().filter(is_usable);
        let slowdowns = states.map(|state| state.get_slowdown(now));
        slowdowns.fold(f64::MAX, f64::min) * self.service_time
    }

    /// Returns how many requests a server may have at once.
    fn get_limit(&self, now: Micros, state: &ServerState) -> u32 {
        let limit = state.get_limit(now, &self.config);
        if self.is_overloaded {
            let kept = state.config.slots.saturating_sub(self.config.reserve);
            limit.min(kept.max(1))
        } else {
            limit
        }
    }

    /// Notices whether requests wait for long: servers answer more of them when a slot stays free, since
    /// they slow down when they are nearly full, while the last slot answers a few of them sooner.
    fn update_overload(&mut self) {
        let is_local = |state: &&ServerState| {
            state.listed && state.config.data_center == self.config.data_center
        };
        let servers = self.states.iter().filter(is_local).count() as f64;
        let waiting = self.queue.len() as f64;
        let threshold = if self.is_overloaded {
            OVERLOAD_END
        } else {
            OVERLOAD_START
        };
        self.is_overloaded = servers >= MIN_RESERVE_SERVERS && waiting > servers * threshold;
    }

    /// Returns the requests at a server that count against its limit.
    fn get_occupied_slots(&self, now: Micros, state: &ServerState) -> u32 {
        let others = if self.config.policy.source == LoadSource::Reports {
            state.get_other_requests(now, self.service_time).round() as u32
        } else {
            0
        };
        state.get_outstanding() + others
    }

    fn has_eligible_server(&self, now: Micros, request: &PendingRequest) -> bool {
        let max_latency = self.get_max_latency(now, request, self.get_min_latency(now));
        (0..self.states.len()).any(|index| self.is_eligible(now, request, index, max_latency))
    }

    fn assign_server(&mut self, now: Micros, request: &PendingRequest) -> Option<usize> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        let max_latency = self.get_max_latency(now, request, self.get_min_latency(now));
        let states = 0..self.states.len();
        candidates
            .extend(states.filter(|&index| self.is_eligible(now, request, index, max_latency)));
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
                service_time: self.service_time,
                objective: request.objective,
                rng: &mut self.rng,
            };
            (self.config.policy.pick)(&mut context)
        });
        self.candidates = candidates;
        self.picks += 1;
        if let Some(server) = picked {
            self.states[server].start_attempt(now, request.id, self.service_time);
        }
        picked
    }

    /// Counts a failure of some weight, and ejects the server after too many in a row unless too many are
    /// ejected already.
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
            let doublings = state.ejections.min(MAX_BACKOFF_DOUBLINGS);
            let backoff = limits.probation.scaled(f64::from(1 << doublings));
            state.ejections += 1;
            state.phase = ServerPhase::Ejected {
                until: now + backoff,
            };
        }
    }

    /// Lets a server that answered on probation ramp up.
    fn end_probation(&mut self, now: Micros, server: usize) {
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
