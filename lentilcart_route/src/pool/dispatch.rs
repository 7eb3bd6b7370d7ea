//! Which request starts next, and at which server.

use lentilcart_util::Micros;

use super::{Decision, PendingRequest, Rejection, ServerPool, ServerState};
use crate::policy::{LoadSource, PickContext};

impl ServerPool {
    /// Offers a request to the pool, which starts, queues or rejects it.
    ///
    /// Returns the decisions that follow, also on other requests; no decision on this request means
    /// that it is queued.
    pub fn offer(&mut self, now: Micros, request: PendingRequest) -> Vec<Decision> {
        self.queue.record_asked(now, &request);
        let has_server = self.states.iter().any(ServerState::is_open);
        match () {
            () if !has_server => vec![Decision::Reject {
                request_id: request.id,
                reason: Rejection::NoServer,
            }],
            () if self.plans_shedding(now) && self.has_wanting_server(now, &request) => {
                let arrival = request.id;
                self.queue.push(request);
                let mut decisions = self.dispatch_queue(now);
                decisions.extend(self.shed(now, Some(arrival)));
                decisions
            }
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

    /// Starts a hedge at a server below its limit that the request does not exclude, and returns
    /// the index of the server.
    ///
    /// Returns `None` if requests are queued, no server is eligible or the budget of hedges is
    /// spent. It does not check `at_most_once`: the user of the pool must not hedge a request that
    /// must run at most once.
    pub fn start_hedge(&mut self, now: Micros, request: &PendingRequest) -> Option<usize> {
        if self.queue.len() > 0
            || !self.is_within_share(request)
            || !self.has_eligible_server(now, request)
            || !self.hedger.try_take()
        {
            return None;
        }
        self.assign_server(now, request)
    }

    /// Starts the queued requests that can be started now.
    ///
    /// It is for use after [`set_config`](Self::set_config), [`set_servers`](Self::set_servers),
    /// [`set_leaving`](Self::set_leaving) or [`record_load_report`](Self::record_load_report),
    /// which start no requests; otherwise the next [`tick`](Self::tick) starts them.
    pub fn dispatch(&mut self, now: Micros) -> Vec<Decision> {
        self.dispatch_queue(now)
    }

    /// Updates whether the limits are reduced, and starts queued requests while a server is below
    /// its limit.
    pub(super) fn dispatch_queue(&mut self, now: Micros) -> Vec<Decision> {
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
            let reserved = self.get_reserved(state, &self.config.data_center);
            self.get_counted_requests(now, state) + reserved < self.get_effective_limit(now, state)
        });
        available
            .map(|(index, state)| {
                let service_time = self.service_times.get_mean();
                (index, state.get_latency_factor(now, service_time))
            })
            .collect()
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
                && pool.is_within_share(request)
                && available_servers
                    .any(|&(index, _)| pool.is_eligible(now, request, index, max_factor))
        };
        if self.plans_shedding(now) {
            let next = self.find_by_rule(now, |request| has_eligible_server(self, request))?;
            return self.pop_by_rule(now, next);
        }
        if self.config.policy.source != LoadSource::Reports {
            let mut queue = std::mem::take(&mut self.queue);
            let request = queue.pop(|request| has_eligible_server(self, request));
            self.queue = queue;
            return request;
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

    /// Removes and returns the first queued request that `is_wanted` accepts, which is not started.
    pub(super) fn remove_first(
        &mut self,
        is_wanted: impl Fn(&Self, &PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let mut queue = std::mem::take(&mut self.queue);
        let request = queue.remove_first(|request| is_wanted(self, request));
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

    /// Removes a request from the queue, and returns whether it was queued.
    pub fn cancel_queued(&mut self, request_id: u64) -> bool {
        self.expected_waits.remove(&request_id);
        self.queue.remove(request_id)
    }
}
