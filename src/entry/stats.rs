use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lentilcart_state::RequestClass;
use lentilcart_util::Name;

/// Counters of an entry over all services.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    /// Total of bytes sent over peer links in messages that concern no single request: heartbeats,
    /// tickets and states.
    control_bytes: AtomicU64,
    /// Total of bytes sent over peer links in messages that each concern one request: permits,
    /// results of hedges and updates of claims.
    per_request_bytes: AtomicU64,
    /// Load probes sent to servers.
    probes: AtomicU64,
    /// Requests whose response has not been sent to its end.
    in_flight: AtomicU64,
    /// Hedges sent.
    hedges: AtomicU64,
    /// Hedges that won: those that answered before the hedged attempt, or after it had failed.
    hedges_won: AtomicU64,
}

impl Stats {
    /// Counts bytes sent over a peer link; `is_about_request` is true if their message concerns
    /// one request.
    pub(crate) fn add_link_bytes(&self, bytes: usize, is_about_request: bool) {
        let counter = if is_about_request {
            &self.per_request_bytes
        } else {
            &self.control_bytes
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the total of bytes sent over peer links in messages that each concern one request.
    pub(crate) fn get_per_request_bytes(&self) -> u64 {
        self.per_request_bytes.load(Ordering::Relaxed)
    }

    /// Counts a load probe.
    pub(crate) fn add_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("lentilcart_probes_total").increment(1);
    }

    /// Counts a hedge that is sent.
    pub(crate) fn add_hedge(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a hedge that won.
    pub(crate) fn add_hedge_won(&self) {
        self.hedges_won.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of hedges sent, and of those that won.
    pub(crate) fn get_hedges(&self) -> (u64, u64) {
        (
            self.hedges.load(Ordering::Relaxed),
            self.hedges_won.load(Ordering::Relaxed),
        )
    }

    /// Counts a request as in flight.
    pub(crate) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request as no longer in flight.
    pub(crate) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the number of requests in flight.
    pub(crate) fn get_in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent over peer links in messages that concern no single request.
    pub(crate) fn get_control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of load probes sent.
    pub(crate) fn get_probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }
}

/// Records the metrics of a finished request: its duration by tenant and class, and its
/// outcome by service and class.
pub(crate) fn record_request(
    service: &Name,
    tenant: &Name,
    class: RequestClass,
    outcome: &'static str,
    elapsed: Duration,
) {
    let labels = [
        ("tenant", tenant.to_string()),
        ("class", class.as_str().to_owned()),
    ];
    metrics::histogram!("lentilcart_request_seconds", &labels).record(elapsed.as_secs_f64());
    let labels = [
        ("service", service.to_string()),
        ("class", class.as_str().to_owned()),
        ("outcome", outcome.to_owned()),
    ];
    metrics::counter!("lentilcart_requests_total", &labels).increment(1);
}
