//! Evacuated data centres: their servers get no new requests, and the queue is checked against what is left.

use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Set};

use super::{Decision, Rejection, ServerPool, ServerState};

impl ServerPool {
    /// Sets the evacuated data centres, also those of which no server is known yet, and returns the decisions
    /// on queued requests that follow.
    ///
    /// The servers of these data centres get no new requests; what runs there is finished. A queued request
    /// that the remaining servers cannot start in time is rejected at once, by the rule that applies to new
    /// requests; requests of a higher priority, and among these the older ones, keep their place. Servers that
    /// are taken back begin with a slow start of `PoolConfig::return_slow_start`.
    pub fn set_evacuated(&mut self, now: Micros, data_centers: &Set<Name>) -> Vec<Decision> {
        if self.evacuated == *data_centers {
            return Vec::new();
        }
        self.evacuated.clone_from(data_centers);
        self.mark_evacuated(now);
        if self.plans_shedding(now) {
            let mut decisions = self.dispatch_queue(now);
            decisions.extend(self.shed(now, None));
            return decisions;
        }
        let mut decisions = self.reject_unservable(now);
        decisions.extend(self.dispatch_queue(now));
        decisions
    }

    /// Updates which servers are in an evacuated data centre.
    pub(super) fn mark_evacuated(&mut self, now: Micros) {
        for state in &mut self.states {
            let evacuated = self.evacuated.contains(&state.config.data_center);
            state.set_evacuated(now, evacuated, &self.config);
        }
    }

    /// Rejects the queued requests that would not be accepted if they came now.
    fn reject_unservable(&mut self, now: Micros) -> Vec<Decision> {
        let queued = self.queue.take_all();
        let reason = if self.states.iter().any(ServerState::is_open) {
            Rejection::Overload
        } else {
            Rejection::NoServer
        };
        let mut decisions = Vec::new();
        // By priority and then by arrival, so that each request is checked with those ahead of it queued.
        for request in queued {
            if reason == Rejection::NoServer
                || !self.has_wanting_server(now, &request)
                || self.is_wait_too_long(now, &request)
            {
                decisions.push(Decision::Reject {
                    request_id: request.id,
                    reason,
                });
            } else {
                self.queue.push(request);
            }
        }
        decisions
    }

    /// Returns the part of a server's limit that is reserved for requests of its own data centre and that
    /// requests of the data centre `origin` do not get. Nothing is reserved against a data centre that is
    /// evacuated: it has no servers that its requests could use instead.
    pub(super) fn get_reserved(&self, state: &ServerState, origin: &Name) -> u32 {
        if state.config.data_center == *origin || self.evacuated.contains(origin) {
            0
        } else {
            self.config.remote_reserve
        }
    }

    /// Returns the number of listed servers in evacuated data centres.
    #[must_use]
    pub fn get_evacuated_count(&self) -> usize {
        let is_evacuated = |state: &&ServerState| state.listed && state.evacuated;
        self.states.iter().filter(is_evacuated).count()
    }

    /// Returns whether the listed server with this address is in an evacuated data centre.
    #[must_use]
    pub fn is_evacuated(&self, address: SocketAddr) -> bool {
        let server = self.get_server_index(address);
        server.is_some_and(|server| self.states[server].evacuated)
    }

    /// Returns whether no server is left because of evacuations: a server is evacuated, and all others are
    /// leaving.
    #[must_use]
    pub fn is_all_evacuated(&self) -> bool {
        self.get_evacuated_count() > 0 && !self.states.iter().any(ServerState::is_open)
    }
}
