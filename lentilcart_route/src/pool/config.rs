use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, common};

use crate::limits::{EjectLimits, ProbeBudget, RetryLimits};
use crate::policy::{POLICIES, Policy};
use crate::shed::{SHED_RULES, ShedRule};

/// Settings of a server pool.
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// Load balancing policy.
    pub policy: &'static Policy,
    /// Data centre of this entry, and the origin of requests that name none. It decides which
    /// servers are local for [`reserve`](Self::reserve) and
    /// [`ServerPool::get_servers_to_refresh`](crate::ServerPool::get_servers_to_refresh).
    /// [`remote_reserve`](Self::remote_reserve) goes by the origin of a request; but a queued
    /// request of another origin starts only if a server that it may get also has room for a
    /// request of this data centre.
    pub data_center: Name,
    /// Requests beyond its slots that a server may be sent, with a late-binding policy and outside
    /// an overload.
    pub overcommit: u32,
    /// Slots of each server that are left free in an overload, since servers take longer for a
    /// request when they are nearly full. The limit of a server is then at most `slots - reserve`,
    /// and at least 1. This holds with every policy, and also if `reserve` is 0: the limit is then
    /// at most `slots`, without overcommit.
    ///
    /// An overload needs at least 8 servers in this entry's data centre. It starts with more than
    /// 2.5 queued requests per such server, and ends with at most 0.5.
    pub reserve: u32,
    /// Part of the limit of each server in another data centre than a request's origin that the
    /// request does not get (trunk reservation). The limit contains the overcommit, so that outside
    /// an overload remote requests may occupy all slots if `overcommit` is at least this. It is
    /// always reserved, unless the origin is evacuated; this matters in an overload, when data centres
    /// would otherwise only swap requests.
    pub remote_reserve: u32,
    /// Cost of a server in another data centre, as a probability from 0 to 1 that the objective is
    /// missed; only policy `late-paced` reads it.
    pub remote_cost: f64,
    /// Connections to each server that this entry may hold; bounds its outstanding requests there.
    pub max_connections: u32,
    /// Longest wait in the queue, as a share of the time from arrival to deadline.
    pub wait_share: f64,
    /// Rule of load shedding.
    pub shedding: &'static ShedRule,
    /// Whether the accounts with queued requests of one priority take turns by their weights, and whether an
    /// account or kind of request is served at least a quarter as often as all.
    pub fair_shares: bool,
    /// Duration of the slow start, in which the pool limits the requests of a server. If zero, a
    /// new server begins in phase `Serving`; a server back from probation or from leaving is in
    /// slow start until the next tick. The warm-up, in which the server itself is slow, is
    /// independent of the slow start.
    pub slow_start: Micros,
    /// Duration of the slow start of a server whose data centre was evacuated and is taken back.
    pub return_slow_start: Micros,
    /// Retry tokens of a new pool, before the first answer.
    pub initial_retries: f64,
    /// Budget of the load probes of policy `probe-pool`.
    pub probe_budget: ProbeBudget,
    /// Budget of retries and hedges.
    pub retry: RetryLimits,
    /// Limits of the ejection of failing servers.
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
            shedding: &SHED_RULES[0],
            fair_shares: false,
            slow_start: Micros::ZERO,
            return_slow_start: Micros::ZERO,
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
    /// Address that requests are sent to; identifies the server together with `id` and
    /// `started_ms`.
    pub address: SocketAddr,
    /// Id that the server expects in requests; empty if it has none.
    pub id: Name,
    /// Start of the server process, in Unix milliseconds; 0 if unknown.
    pub started_ms: u64,
    /// End of the warm-up, until which the server itself is expected to be slow after its start, as
    /// an instant of the pool's time (not Unix time); zero if it is not warming up. Independent of
    /// the slow start, in which the pool limits its requests.
    pub warmup_until: Micros,
    /// Data centre of the server.
    pub data_center: Name,
    /// Number of requests that the server can run at once.
    pub slots: u32,
}

impl ServerConfig {
    /// Creates the settings of a server without an id, a start time and a data centre.
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

    /// Returns whether both describe the same instance of a server: a server that was restarted at
    /// the same address is another instance.
    #[must_use]
    pub fn is_same_instance(&self, other: &Self) -> bool {
        self.address == other.address && self.id == other.id && self.started_ms == other.started_ms
    }
}

common! { value,
    /// Shard of one entry among the entries that dispatch for a service: the slots of the servers
    /// are dealt out to the `count` entries in turn. Only policy `late-shares` uses it.
    pub struct Shard {
        /// Position of the entry, from 0 to `count` - 1.
        pub index: u32,
        /// Number of entries that dispatch for the service.
        pub count: u32,
    }
}

impl Default for Shard {
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}
