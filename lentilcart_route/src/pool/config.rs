use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, common};

use crate::limits::{EjectLimits, ProbeBudget, RetryLimits};
use crate::policy::{POLICIES, Policy};

/// Settings of a pool.
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// Rule that chooses a server.
    pub policy: &'static Policy,
    /// Data centre of this entry; its servers win ties.
    pub data_center: Name,
    /// Requests beyond its slots that a server may be given.
    pub overcommit: u32,
    /// Slots of each server that are left free while requests wait for long, since servers slow down when
    /// they are nearly full.
    pub reserve: u32,
    /// Slots of each server in another data centre that are left to the requests of that one (trunk
    /// reservation): in an overload, requests would otherwise only change places.
    pub remote_reserve: u32,
    /// Cost of a server in another data centre, as a probability of a late answer.
    pub remote_cost: f64,
    /// Connections to each server that this entry may hold.
    pub max_connections: u32,
    /// Longest wait in the queue as a share of the deadline.
    pub wait_share: f64,
    /// Time over which a new server comes to its full share.
    pub slow_start: Micros,
    /// Retries that a new pool has before it has seen a success.
    pub initial_retries: f64,
    /// Budget of load measurement.
    pub probe_budget: ProbeBudget,
    /// Limits of retries and hedges.
    pub retry: RetryLimits,
    /// Limits of ejection.
    pub eject: EjectLimits,
}

impl Default for PoolConfig {
    fn default() -> Self {
        Self {
            policy: &POLICIES[0],
            data_center: Name::default(),
            overcommit: 2,
            reserve: 0,
            remote_reserve: 0,
            remote_cost: 0.0,
            max_connections: 40,
            wait_share: 0.5,
            slow_start: Micros::ZERO,
            initial_retries: 10.0,
            probe_budget: ProbeBudget::default(),
            retry: RetryLimits::default(),
            eject: EjectLimits::default(),
        }
    }
}

/// Settings of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerConfig {
    /// Address that identifies the server, with its incarnation.
    pub address: SocketAddr,
    /// Identifier that the server answers to; empty where it has none.
    pub id: Name,
    /// Start of this incarnation, in Unix milliseconds; 0 where it is not known.
    pub started_ms: u64,
    /// Until when the server is slow after its start.
    pub warmup_until: Micros,
    /// Data centre of the server.
    pub data_center: Name,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl ServerConfig {
    /// Creates the settings of a server in no named data centre.
    #[must_use]
    pub fn new(address: SocketAddr, slots: u32) -> Self {
        Self {
            address,
            id: Name::default(),
            started_ms: 0,
            warmup_until: Micros::ZERO,
            data_center: Name::default(),
            slots,
        }
    }

    /// Returns whether both name the same incarnation of a server.
    #[must_use]
    pub fn is_same(&self, other: &Self) -> bool {
        self.address == other.address && self.id == other.id && self.started_ms == other.started_ms
    }
}

common! { value,
    /// This entry's place among the entries that dispatch for a service.
    pub struct Shard {
        /// Place, counted from 0.
        pub index: u32,
        /// Number of entries.
        pub count: u32,
    }
}

impl Default for Shard {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
