use std::net::SocketAddr;

use lentilcart_util::{Map, Micros, Name, Rng, Set, seeded_rng};

use super::service_times::ServiceTimes;
use super::{
    Decision, PoolConfig, ServerConfig, ServerPhase, ServerState, ServerSummary, Shard, ShedTally,
    WarmupTerm,
};
use crate::limits::{Hedger, TokenBucket, WarmupRules};
use crate::queue::RequestQueue;
use crate::shed::ReturnTimes;

/// Servers of one service as one entry knows them, the requests that it sent them, and the queue of
/// requests that wait for a server.
#[derive(Debug)]
pub struct ServerPool {
    pub(super) config: PoolConfig,
    /// States of the servers; the position is the server index, which stays while a server is
    /// listed or has outstanding attempts.
    pub(super) states: Vec<ServerState>,
    pub(super) queue: RequestQueue,
    /// Names of the evacuated data centres, whose servers get no new requests.
    pub(super) evacuated: Set<Name>,
    pub(super) retry_tokens: TokenBucket,
    pub(super) hedger: Hedger,
    pub(super) shard: Shard,
    /// This entry's share, from 0 to 1, of the rate limits that servers name.
    pub(super) rate_share: f64,
    /// Whether a listed server names a rate limit.
    pub(super) has_rate_limits: bool,
    /// Latest time until which a server wants no requests from a sender.
    pub(super) hold_off_end: Micros,
    /// Limit on the requests of cold servers; `None` for no limit.
    pub(super) warmup: Option<WarmupRules>,
    /// Which cold servers this entry may send requests to.
    pub(super) warmup_term: WarmupTerm,
    /// Latest time until which a server is cold.
    pub(super) cold_end: Micros,
    /// Moving average of the latency of all servers, in microseconds.
    ///
    /// It starts at 0 and moves by `MEAN_WEIGHT` of the difference with each answer, so that it is
    /// too low for about the first 100 answers: too few requests are rejected for their wait, and
    /// outstanding requests count as overdue too early.
    pub(super) mean_latency: f64,
    /// Estimated base service times, at an idle server with a slowdown factor of 1.
    pub(super) service_times: ServiceTimes,
    /// Number of earlier picks, also those that found no candidate.
    pub(super) picks: u64,
    /// Whether the limit of each server is at most its slots less `PoolConfig::reserve`, since
    /// many requests are queued for each local server (an overload). Never set with fewer than 8
    /// local servers. A request that waits too long is rejected whether or not this is set.
    pub(super) has_reduced_limits: bool,
    /// When the callers of requests that are shed come back.
    pub(super) return_times: ReturnTimes,
    /// Time since which requests have been waiting without a break; `None` while none waits.
    pub(super) queued_since: Option<Micros>,
    pub(super) shed_tally: ShedTally,
    /// When each queued request was queued, and the wait that was expected then, by its id; empty unless the rule of
    /// load shedding plans ahead.
    pub(super) expected_waits: Map<u64, (Micros, Micros)>,
    pub(super) rng: Rng,
    /// Buffer of the indices of candidate servers, kept to save allocations.
    pub(super) candidates: Vec<usize>,
}

impl ServerPool {
    /// Creates a pool without servers; `seed` is that of its random decisions.
    #[must_use]
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        let mut retry_tokens = TokenBucket::new(0.0, config.retry.burst, Micros::ZERO);
        retry_tokens.deposit(config.initial_retries);
        let mut queue = RequestQueue::default();
        queue.set_fair(config.fair_shares);
        Self {
            states: Vec::new(),
            queue,
            evacuated: Set::default(),
            retry_tokens,
            hedger: Hedger::new(config.retry.hedge, Micros::ZERO),
            shard: Shard::default(),
            rate_share: 1.0,
            has_rate_limits: false,
            hold_off_end: Micros::ZERO,
            warmup: None,
            warmup_term: WarmupTerm::default(),
            cold_end: Micros::ZERO,
            mean_latency: 0.0,
            service_times: ServiceTimes::new(),
            picks: 0,
            has_reduced_limits: false,
            return_times: ReturnTimes::default(),
            queued_since: None,
            shed_tally: ShedTally::default(),
            expected_waits: Map::default(),
            rng: seeded_rng(seed),
            candidates: Vec::new(),
            config,
        }
    }

    /// Changes the settings; the servers, their states and the queue stay.
    pub fn set_config(&mut self, config: PoolConfig) {
        self.retry_tokens.set_limits(0.0, config.retry.burst);
        self.hedger.set_max_share(config.retry.hedge);
        self.queue.set_fair(config.fair_shares);
        self.config = config;
    }

    /// Sets whether accounts take turns, which leaves the other settings as they are.
    pub fn set_fair_shares(&mut self, fair: bool) {
        self.config.fair_shares = fair;
        self.queue.set_fair(fair);
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
                    let mut state = ServerState::new(server.clone(), phase, now);
                    if !is_first {
                        self.record_added(now, &mut state);
                    }
                    self.add_server(state);
                }
            }
        }
        self.has_rate_limits = self.get_rate_limited_count() > 0;
        self.mark_evacuated(now);
        self.record_registered_warmups(now);
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
                state.return_ramp = None;
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

    /// Returns the number of accounts whose turns are kept, counted for each priority; 0 while nothing is queued.
    #[must_use]
    pub fn get_account_count(&self) -> usize {
        self.queue.get_account_count()
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

    /// Returns how long to wait for an answer before a hedge is sent; `None` while hedges are off
    /// or [`get_latency_quantile`](Self::get_latency_quantile) has too few answers, and while requests are queued
    /// if the rule of load shedding plans ahead: a hedge earns less than one of these.
    #[must_use]
    pub fn get_hedge_delay(&self) -> Option<Micros> {
        let has_waiting = self.config.shedding.plans && self.queue.len() > 0;
        self.hedger.get_delay().filter(|_| !has_waiting)
    }
}

/// Decisions on requests.
impl ServerPool {
    /// Returns the token of a retry that was not made.
    pub fn return_retry_token(&mut self) {
        self.retry_tokens.deposit(1.0);
    }

    /// Takes the token of one retry if there is one, and returns whether it did.
    pub fn take_retry_token(&mut self) -> bool {
        self.retry_tokens.try_take(1.0)
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
                ServerPhase::SlowStart { since }
                    if now - since >= state.get_slow_start(&self.config) =>
                {
                    state.return_ramp = None;
                    ServerPhase::Serving
                }
                phase => phase,
            };
        }
        if self.plans_shedding(now) {
            let mut decisions = self.dispatch_queue(now);
            decisions.extend(self.shed(now, None));
            return decisions;
        }
        let mut decisions = self.reject_expired(now);
        decisions.extend(self.dispatch_queue(now));
        decisions
    }
}

/// Dispatch of queued requests, and the steps of the decisions.
impl ServerPool {
    /// Adds a server, in the place of one that is neither listed nor has outstanding attempts.
    pub(super) fn add_server(&mut self, state: ServerState) {
        let free = self
            .states
            .iter_mut()
            .find(|state| !state.listed && state.attempts.is_empty());
        match free {
            Some(slot) => *slot = state,
            None => self.states.push(state),
        }
    }
}
