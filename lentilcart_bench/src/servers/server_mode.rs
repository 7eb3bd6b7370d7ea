use serde::{Deserialize, Serialize};

/// Behaviour of a server stub, set by `PUT /mode` as JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerMode {
    /// Start of the slowdown schedule, in microseconds of Unix time; 0 for no slowdowns.
    pub epoch: u64,
    /// Seed of the slowdown schedule.
    pub seed: u64,
    /// Whether new requests are rejected as by a server that is leaving, while running ones finish.
    pub draining: bool,
    /// Whether every request is rejected at once with status 503.
    pub failing: bool,
    /// Whether the reported load is always 0, which misleads the entries.
    pub misleading: bool,
    /// Requests inside the server, running or queued; with this many inside, further ones are shed. 0
    /// for no limit.
    pub shed_at: usize,
    /// End of a cold start, in microseconds of Unix time; requests that begin earlier take 5 times as
    /// long.
    pub cold_until: u64,
}
