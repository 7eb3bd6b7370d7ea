//! May a server get a request now: limits, hold-offs, phases, and the latency that a request can bear.

use std::net::SocketAddr;

use lentilcart_util::Micros;

use super::{PendingRequest, Restriction, ServerPhase, ServerPool, ServerState};
use crate::policy::LoadSource;

/// Queued requests per server of this entry's data centre above which an overload starts, so that
/// the limits of the servers are reduced.
const OVERLOAD_START: f64 = 2.5;
/// Queued requests per such server at or below which an overload ends.
const OVERLOAD_END: f64 = 0.5;
/// Smallest number of servers in this entry's data centre for which limits are reduced: among fewer
/// servers, a free slot is too often the only one.
const MIN_RESERVE_SERVERS: f64 = 8.0;

/// Share of the servers that must have room for two more requests before one starts that may as well wait:
/// with less, it would take the slots that urgent requests need soon, since it cannot be interrupted.
const SPARE_SHARE: f64 = 0.25;

impl ServerPool {
    /// Returns whether a server that is listed, neither leaving nor evacuated, is not excluded by the
    /// request and wants requests from its sender now. It may have no room.
    #[must_use]
    pub fn has_wanting_server(&self, now: Micros, request: &PendingRequest) -> bool {
        self.states.iter().any(|state| {
            state.is_open()
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
        if !self.has_rate_limits && now >= self.hold_off_end && !self.has_cold_servers(now) {
            return None;
        }
        let usable = self.states.iter().filter(|state| {
            state.get_limit(now, &self.config) > 0 && !excluded.contains(&state.config.address)
        });
        let starts = usable.map(|state| {
            let held_off = state.get_hold_off_end(sender);
            let (paced, restriction) = self.get_expected_room(now, state);
            if held_off >= paced {
                (held_off, Restriction::HoldOff)
            } else {
                (paced, restriction)
            }
        });
        let (start, restriction) = starts.min_by_key(|(start, _)| *start)?;
        (start > now && start < Micros(u64::MAX)).then_some((start - now, restriction))
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

    /// Returns whether requests that may as well wait can start now: none is queued, and of the servers that
    /// accept requests a quarter has room for another one beside it.
    #[must_use]
    pub fn has_spare_room(&self, now: Micros) -> bool {
        let usable = self
            .states
            .iter()
            .map(|state| (state, self.get_effective_limit(now, state)))
            .filter(|(_, limit)| *limit > 0);
        let (mut usable_count, mut spare_count) = (0, 0);
        for (state, limit) in usable {
            usable_count += 1;
            spare_count += u32::from(self.get_counted_requests(now, state) + 1 < limit);
        }
        self.queue.len() == 0
            && usable_count > 0
            && f64::from(spare_count) >= SPARE_SHARE * f64::from(usable_count)
    }

    /// Returns whether a server is below its limit; what is left of the limit may be reserved for
    /// requests of another data centre.
    pub(super) fn is_below_limit(&self, now: Micros, state: &ServerState) -> bool {
        self.get_counted_requests(now, state) < self.get_effective_limit(now, state)
    }

    /// Returns whether a server may get a request: it has room below its limit for the data centre
    /// of the request's origin, is not excluded, wants requests from the sender, is not on probation
    /// if the request must run at most once, and its expected latency in base service times is at
    /// most `max_factor`.
    pub(super) fn is_eligible(
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
        let reserved = self.get_reserved(state, origin);
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
    pub(super) fn get_max_latency_factor(
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
    pub(super) fn get_lowest_slowdown(&self, now: Micros) -> f64 {
        let is_usable = |state: &&ServerState| {
            self.get_effective_limit(now, state) > 0 && !state.is_held_off(now)
        };
        let states = self.states.iter().filter(is_usable);
        let slowdowns = states.map(|state| state.get_slowdown(now));
        slowdowns.fold(f64::MAX, f64::min)
    }

    /// Returns how many requests a server may have at once. In an overload, that is at most its
    /// slots less `PoolConfig::reserve`, and at least 1 if the server accepts requests. It is 0 until
    /// the next request may start by the rate limit that the server names and by its warm-up.
    pub(super) fn get_effective_limit(&self, now: Micros, state: &ServerState) -> u32 {
        let limit = state.get_limit(now, &self.config);
        let kept = state.config.slots.saturating_sub(self.config.reserve);
        match () {
            () if now < self.get_paced_start(now, state).0 => 0,
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
    pub(super) fn update_reduced_limits(&mut self) {
        let is_local = |state: &&ServerState| {
            state.listed && !state.evacuated && state.config.data_center == self.config.data_center
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
    pub(super) fn get_counted_requests(&self, now: Micros, state: &ServerState) -> u32 {
        let others = if self.config.policy.source == LoadSource::Reports {
            state
                .get_other_requests(now, self.service_times.get_mean())
                .round() as u32
        } else {
            0
        };
        state.get_outstanding() + others
    }

    pub(super) fn has_eligible_server(&self, now: Micros, request: &PendingRequest) -> bool {
        let max_factor = self.get_max_latency_factor(now, request, self.get_lowest_slowdown(now));
        (0..self.states.len()).any(|index| self.is_eligible(now, request, index, max_factor))
    }
}
