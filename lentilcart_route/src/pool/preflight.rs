//! Preflight probes: a server with an old load report is probed right before a request is sent to
//! it.

/// Largest number of servers that are probed for one request; after that many, the last one gets
/// it.
pub const MAX_PREFLIGHT_PROBES: u32 = 12;
/// Expected latency after the probe, as a multiple of that before it, above which another server is
/// picked.
const MAX_LATENCY_RATIO: f64 = 1.25;

/// Returns whether the expected latency at a server rose by more than 25 % with the answer to the
/// probe, so that another server should be picked. It also rises if the server has more requests.
///
/// `before` and `after` are the expected latencies of the request before and after the server was
/// probed, in the same unit; see
/// [`ServerPool::get_current_latency_factor`](crate::ServerPool::get_current_latency_factor).
#[must_use]
pub fn is_latency_much_higher(before: f64, after: f64) -> bool {
    after > before * MAX_LATENCY_RATIO
}
