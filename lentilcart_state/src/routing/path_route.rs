use std::sync::atomic::{AtomicU32, Ordering};

use lentilcart_util::{Micros, Name};

use crate::ticket::RequestClass;

/// Fractional part of the golden ratio: its multiples modulo 1 fill the unit interval evenly
/// (Weyl sequence), so that shares are met over short runs without randomness.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A service and its share of a rule's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// Service.
    pub service: Name,
    /// Weight among the parts.
    pub weight: f64,
}

/// What happens to requests whose path begins with a prefix.
#[derive(Debug)]
pub struct PathRoute {
    /// Name for logs and metrics.
    pub name: Name,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: Name,
    /// Whether requests may run more than once.
    pub class: RequestClass,
    /// Longest time that a caller is kept waiting.
    pub timeout: Micros,
    /// Time within which an answer is prompt.
    pub latency_objective: Micros,
    /// Rank among requests; 0 goes first.
    pub rank: u8,
    /// Servers that one request may be sent to at most.
    pub max_attempts: u32,
    /// Services that serve the requests; never empty.
    pub services: Vec<WeightedService>,
    /// Requests whose service was drawn.
    pub pick_count: AtomicU32,
}

impl PathRoute {
    /// Draws the service of the next request, so that each part gets its share.
    #[must_use]
    pub fn pick_service(&self) -> &Name {
        let turn = self.pick_count.fetch_add(1, Ordering::Relaxed);
        let total: f64 = self.services.iter().map(|part| part.weight).sum();
        let mut point = (f64::from(turn) * GOLDEN).fract() * total;
        let drawn = self.services.iter().find(|part| {
            point -= part.weight;
            point < 0.0
        });
        let last = self.services.iter().rev().find(|part| part.weight > 0.0);
        &drawn.or(last).unwrap_or(&self.services[0]).service
    }
}
