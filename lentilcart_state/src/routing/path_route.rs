use std::sync::atomic::{AtomicU32, Ordering};

use lentilcart_util::{Micros, Name};

use crate::ticket::RequestClass;

/// Fractional part of the golden ratio. Its multiples modulo 1 (a Weyl sequence) fill the unit
/// interval evenly, so that weights are met over short runs without randomness.
const GOLDEN_FRACTION: f64 = 0.618_033_988_749_894_9;

/// A service with its weight among the services of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight of at least 0; a service gets the share of requests that its weight has in the sum of
    /// all weights.
    pub weight: f64,
}

/// Route of a [`RouteTable`](crate::RouteTable): the requests whose path begins with a prefix.
#[derive(Debug)]
pub struct PathRoute {
    /// Name of the route for logs and metrics.
    pub name: Name,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may run more than once.
    pub class: RequestClass,
    /// Longest time that a caller waits for the response.
    pub timeout: Micros,
    /// Time within which a request should be answered.
    pub latency_objective: Micros,
    /// Dispatch rank of the requests, from 0; rank 0 is dispatched first. Runs opposite to the
    /// priority of [`Route`](crate::Route), where 9 is dispatched first.
    pub rank: u8,
    /// Whether requests need no key of a client account, also where there are accounts.
    pub public: bool,
    /// Maximum number of times that a request is sent to a server, retries and hedges included.
    pub max_attempts: u32,
    /// Services that serve the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Place in the sequence by which [`PathRoute::pick_service`] chooses, one further with each call. Entries
    /// begin at different places; see [`RouteTable::spread_picks`](crate::RouteTable::spread_picks).
    pub pick_count: AtomicU32,
}

impl PathRoute {
    /// Returns the service for the next request, so that each service gets the share of its weight.
    #[must_use]
    pub fn pick_service(&self) -> &Name {
        let pick = self.pick_count.fetch_add(1, Ordering::Relaxed);
        let total: f64 = self.services.iter().map(|candidate| candidate.weight).sum();
        let mut point = (f64::from(pick) * GOLDEN_FRACTION).fract() * total;
        let picked = self.services.iter().find(|candidate| {
            point -= candidate.weight;
            point < 0.0
        });
        let last_weighted = self
            .services
            .iter()
            .rev()
            .find(|candidate| candidate.weight > 0.0);
        &picked
            .or(last_weighted)
            .unwrap_or(&self.services[0])
            .service
    }
}
