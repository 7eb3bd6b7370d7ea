use std::collections::BTreeSet;
use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// How the stand-in misbehaves.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call is cut without an effect.
    pub outage: bool,
    /// Time that each call waits before it takes effect, in milliseconds.
    pub delay_ms: u64,
    /// Number of swaps to come that take effect while their answer is cut.
    pub lose_swaps: u32,
    /// Callers whose calls are cut.
    pub cut: BTreeSet<IpAddr>,
}
