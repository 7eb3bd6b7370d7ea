use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use lentilcart_state::RequestClass;
use lentilcart_util::Name;

/// Counters of a daemon that are not kept by service.
#[derive(Debug, Default)]
pub(crate) struct Stats {
    control_bytes: AtomicU64,
    permit_bytes: AtomicU64,
    probes: AtomicU64,
    in_flight: AtomicU64,
    hedges: AtomicU64,
    hedges_won: AtomicU64,
}

impl Stats {
    /// Counts bytes of a peer link, for a request or for control.
    pub(crate) fn add_link_bytes(&self, bytes: usize, is_per_request: bool) {
        let counter = if is_per_request {
            &self.permit_bytes
        } else {
            &self.control_bytes
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn get_permit_bytes(&self) -> u64 {
        self.permit_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn add_probe(&self) {
        self.probes.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("lentilcart_probes_total").increment(1);
    }

    pub(crate) fn add_hedge(&self) {
        self.hedges.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_hedge_won(&self) {
        self.hedges_won.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the hedges sent and those that answered first.
    pub(crate) fn get_hedges(&self) -> (u64, u64) {
        (
            self.hedges.load(Ordering::Relaxed),
            self.hedges_won.load(Ordering::Relaxed),
        )
    }

    pub(crate) fn begin_request(&self) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn end_request(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(crate) fn get_in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn get_control_bytes(&self) -> u64 {
        self.control_bytes.load(Ordering::Relaxed)
    }

    pub(crate) fn get_probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }
}

/// Records the end of a request in the metrics of its tenant and class.
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
