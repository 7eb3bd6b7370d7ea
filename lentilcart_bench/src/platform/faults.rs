use std::collections::BTreeSet;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Faults that the platform stub injects, set by `PUT /faults` as JSON.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the connection of every call is cut before the call takes effect.
    pub outage: bool,
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of further swaps (compare-and-swap) whose response is lost: each is processed, then its
    /// connection is cut.
    pub lose_swaps: u32,
    /// Addresses of the clients, in practice entries, whose connections are cut.
    pub cut: BTreeSet<IpAddr>,
}
