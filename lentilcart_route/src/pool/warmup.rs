//! Cold servers: who may send them requests, and how fast.
//!
//! One entry at a time paces the requests of the cold servers of a data centre (a *term*), and no other entry
//! sends them any. Who that is the user of the pool decides, by [`ServerPool::set_warmup_term`].

use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Set};

use super::{Restriction, ServerPool, ServerState};
use crate::limits::{MAX_SEND_DELAY, WarmthSource, WarmupRules};

/// Data centres whose cold servers this entry may send requests to, and until when.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WarmupTerm {
    /// The data centres; empty if it may send none.
    pub data_centers: Vec<Name>,
    /// End of the term, unless it is renewed.
    pub until: Micros,
}

/// A server that has become cold, or is no longer cold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WarmthChange {
    /// Identifier of the server.
    pub server: Name,
    /// Time for which the server is still cold; zero if it is not.
    pub remaining: Micros,
    /// How this entry learned of it.
    pub source: WarmthSource,
}

/// Age of the last answer to a probe from which a server with a limit for its warm-up is probed before it gets a
/// request, however fresh its load report is. Reports also come with answers to requests, which need not say that
/// the server is cold; a server of 3 slots starts at most one or two requests in this time.
const MIN_PROBE_AGE: Micros = Micros::from_millis(50);

impl ServerState {
    /// Records for how long the server is cold, by its own word.
    pub(super) fn record_warmup(&mut self, now: Micros, time: Micros) {
        if time > Micros::ZERO {
            self.warmth
                .record_cold(now, now + time, WarmthSource::Notice);
        } else {
            self.warmth.record_warm(now);
        }
    }

    /// Returns from when the server has no limit by its warm-up; `Micros(u64::MAX)` if it names a rate limit.
    pub(super) fn get_warm_time(&self) -> Micros {
        match self.pacer.get_limit() {
            Some(_) => Micros(u64::MAX),
            None => self.warmth.get_end(),
        }
    }
}

/// Settings.
impl ServerPool {
    /// Sets the limit on the requests of cold servers; without one, cold servers get requests as others do.
    pub fn set_warmup(&mut self, now: Micros, rules: Option<WarmupRules>) {
        self.warmup = rules;
        self.record_registered_warmups(now);
    }

    /// Sets which cold servers this entry may send requests to. A new pool may send them none.
    ///
    /// A term that begins, also anew after it has ended, waits for one interval before the first request.
    pub fn set_warmup_term(&mut self, now: Micros, term: WarmupTerm) {
        let has_ended = now >= self.warmup_term.until;
        for state in &mut self.states {
            let is_paced = term.data_centers.contains(&state.config.data_center);
            state.warmth.set_paced(now, is_paced, has_ended);
        }
        self.warmup_term = term;
    }

    /// Records that a server was added to those that are known: it may have been started just now, so that it
    /// is taken as cold until it says otherwise.
    pub(super) fn record_added(&mut self, now: Micros, state: &mut ServerState) {
        if let Some(rules) = &self.warmup {
            let until = now + rules.get_duration();
            self.cold_end = self.cold_end.max(until);
            state.warmth.record_cold(now, until, WarmthSource::Start);
        }
    }

    /// Records the warm-ups that the registrations of the servers name, and applies the term to new servers.
    pub(super) fn record_registered_warmups(&mut self, now: Micros) {
        if self.warmup.is_none() {
            return;
        }
        for state in self.states.iter_mut().filter(|state| state.listed) {
            let until = state.config.warmup_until;
            self.cold_end = self.cold_end.max(until);
            state.warmth.record_registration(now, until);
            let data_centers = &self.warmup_term.data_centers;
            let is_paced = data_centers.contains(&state.config.data_center);
            state.warmth.set_paced(now, is_paced, false);
        }
    }
}

/// Getters.
impl ServerPool {
    /// Returns whether a server may be cold.
    #[must_use]
    pub fn has_cold_servers(&self, now: Micros) -> bool {
        self.warmup.is_some() && now < self.cold_end
    }

    /// Returns whether there is a limit on the requests of cold servers.
    #[must_use]
    pub fn limits_cold_servers(&self) -> bool {
        self.warmup.is_some()
    }

    /// Returns the number of listed servers that are cold.
    #[must_use]
    pub fn get_cold_count(&self, now: Micros) -> usize {
        self.states
            .iter()
            .filter(|state| state.listed && self.is_cold_state(now, state))
            .count()
    }

    /// Returns the data centres that have cold servers.
    #[must_use]
    pub fn get_cold_data_centers(&self, now: Micros) -> Set<Name> {
        if !self.has_cold_servers(now) {
            return Set::default();
        }
        let cold = self
            .states
            .iter()
            .filter(|state| state.listed && self.is_cold_state(now, state));
        cold.map(|state| state.config.data_center.clone()).collect()
    }

    /// Returns whether the listed server with this address is cold.
    #[must_use]
    pub fn is_cold(&self, now: Micros, address: SocketAddr) -> bool {
        let index = self.get_server_index(address);
        index.is_some_and(|index| self.is_cold_state(now, &self.states[index]))
    }

    /// Records that a server has answered a probe, in which it would have said that it is cold.
    pub fn record_probe_answer(&mut self, now: Micros, server: usize) {
        if let Some(state) = self.states.get_mut(server) {
            state.warmth.probed = Some(now);
        }
    }

    /// Returns whether it is not known whether a server is cold, since it has answered no probe for `max_age`, or
    /// for 50 ms if that is less. It is known where there is no limit on the requests of cold servers.
    #[must_use]
    pub fn is_warmth_stale(&self, now: Micros, server: usize, max_age: Micros) -> bool {
        let max_age = max_age.max(MIN_PROBE_AGE);
        self.warmup.is_some()
            && self.states.get(server).is_some_and(|state| {
                let probed = state.warmth.probed;
                probed.is_none_or(|probed| now - probed >= max_age)
            })
    }

    /// Returns whether the attempt of a request may still be sent: it started after its server was known to
    /// be cold, or the server is not.
    #[must_use]
    pub fn may_send(&self, now: Micros, request_id: u64, server: usize) -> bool {
        let Some(state) = self.states.get(server) else {
            return true;
        };
        !self.is_cold_state(now, state) || self.get_send_limit(request_id, server).is_some()
    }

    /// Returns the time by which an attempt at a server that was known to be cold must be sent; `None` for any
    /// other attempt.
    #[must_use]
    pub fn get_send_limit(&self, request_id: u64, server: usize) -> Option<Micros> {
        let attempts = &self.states.get(server)?.attempts;
        let is_paced = |attempt: &&super::server_state::Attempt| {
            attempt.request_id == request_id && attempt.is_paced
        };
        let attempt = attempts.iter().find(is_paced)?;
        Some(attempt.started + MAX_SEND_DELAY)
    }

    /// Returns the listed servers that have become cold or warm since the last call.
    pub fn take_warmth_changes(&mut self, now: Micros) -> Vec<WarmthChange> {
        if self.warmup.is_none() {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for state in self.states.iter_mut().filter(|state| state.listed) {
            if let Some(is_cold) = state.warmth.take_change(now) {
                let source = match state.warmth.source {
                    source if is_cold => source,
                    // What was assumed was ended by a notice before its time.
                    WarmthSource::Notice if state.warmth.has_ended_early() => WarmthSource::Notice,
                    _ => WarmthSource::Time,
                };
                changes.push(WarmthChange {
                    server: state.config.id.clone(),
                    remaining: state.warmth.get_end() - now,
                    source,
                });
            }
        }
        changes
    }
}

/// The pace.
impl ServerPool {
    fn is_cold_state(&self, now: Micros, state: &ServerState) -> bool {
        self.warmup.is_some() && state.warmth.is_cold(now)
    }

    /// Returns the earliest start of the next request at a server by its rate limit and its warm-up, and which
    /// of them restricts it.
    pub(super) fn get_paced_start(
        &self,
        now: Micros,
        state: &ServerState,
    ) -> (Micros, Restriction) {
        let limited = state.pacer.get_next_start(self.rate_share);
        let warmup = match &self.warmup {
            Some(_) if !state.warmth.is_cold(now) => Micros::ZERO,
            Some(rules) if now < self.warmup_term.until => {
                let last_start = state.pacer.get_last_start();
                state.warmth.get_next_start(now, rules, last_start)
            }
            Some(_) => state.warmth.get_end(),
            None => Micros::ZERO,
        };
        if warmup > limited {
            (warmup, Restriction::Warmup)
        } else {
            (limited, Restriction::RateLimit)
        }
    }

    /// Returns when a server is expected to have room for a request of this data centre, by its rate limit and
    /// its warm-up, and which of them restricts it. Another entry may pace its requests.
    pub(super) fn get_expected_room(
        &self,
        now: Micros,
        state: &ServerState,
    ) -> (Micros, Restriction) {
        let is_paced_elsewhere = state.config.data_center == self.config.data_center
            && !self
                .warmup_term
                .data_centers
                .contains(&state.config.data_center);
        match (self.get_paced_start(now, state), &self.warmup) {
            ((start, Restriction::Warmup), Some(rules)) if is_paced_elsewhere => {
                let interval = Micros::from_secs(1.0 / rules.get_pace());
                (start.min(now + interval), Restriction::Warmup)
            }
            (start, _) => start,
        }
    }

    /// Returns the requests a second that this entry may start at a server by its rate limit and its warm-up;
    /// `None` for no limit.
    pub(super) fn get_paced_rate(&self, now: Micros, state: &ServerState) -> Option<f64> {
        let limited = state.pacer.get_rate(self.rate_share);
        let warmup = match &self.warmup {
            Some(rules) if state.warmth.is_cold(now) => Some(if now < self.warmup_term.until {
                state.warmth.get_pace(now, rules)
            } else {
                0.0
            }),
            _ => None,
        };
        limited.into_iter().chain(warmup).reduce(f64::min)
    }
}
