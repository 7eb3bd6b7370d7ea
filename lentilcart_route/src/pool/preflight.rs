//! Whether a server that was asked about its load, right before it gets a request, still gets it.

/// Servers that are asked for one request at most; after that, the last one is taken.
pub const MAX_PREFLIGHT_PROBES: u32 = 12;
/// How many times longer than expected the work at a server has to be, for another to be taken.
const SLOWER: f64 = 1.25;

/// Returns whether another server is better taken, by the time that a request was expected to take before
/// its server was asked, and by the one that is expected since then.
#[must_use]
pub fn has_slowed_down(before: f64, after: f64) -> bool {
    after > before * SLOWER
}
