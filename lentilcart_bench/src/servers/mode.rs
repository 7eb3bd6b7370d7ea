use serde::{Deserialize, Serialize};

/// How a server behaves; set by `PUT /mode`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Mode {
    /// Start of the slowdowns, in microseconds of Unix time; 0 for none.
    pub epoch: u64,
    /// Seed of the slowdowns.
    pub seed: u64,
    /// Whether new requests are rejected while those under way finish.
    pub draining: bool,
    /// Whether every request is rejected at once.
    pub failing: bool,
    /// Whether the reported load is always 0.
    pub misleading: bool,
    /// Longest queue; a longer one sheds. 0 for no limit.
    pub shed_at: usize,
    /// End of a cold start, in microseconds of Unix time, until which work takes longer.
    pub cold_until: u64,
}
