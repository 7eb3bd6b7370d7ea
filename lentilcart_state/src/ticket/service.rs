use lentilcart_util::{DurationText, Micros, Name, common};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{EjectLimits, ProbeBudget, RetryLimits, Route, Server};

/// The whole state of a service.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique among services.
    pub name: Name,
    /// Firm that the service belongs to.
    pub tenant: Name,
    /// Routing policy.
    pub policy: Name,
    /// Entries that dispatch for the service; 0 lets every entry dispatch.
    #[serde(rename = "homes")]
    pub owners: u32,
    /// Requests beyond its slots that a server may be given.
    pub overcommit: u32,
    /// Connections to each server, all entries together.
    pub connections: u32,
    /// Longest wait in an entry's queue, as a share of the deadline.
    #[serde(rename = "wait")]
    pub wait_share: f64,
    /// Time over which a new server comes to its full share.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "ramp")]
    pub slow_start: Micros,
    /// Time for which an idempotency key is kept.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "keep")]
    pub key_retention: Micros,
    /// Statuses by which a server says that a request was not run.
    pub not_run: Vec<u16>,
    /// Budget of load measurement.
    #[serde(rename = "load")]
    pub probe_budget: ProbeBudget,
    /// Limits of retries and hedges.
    pub retry: RetryLimits,
    /// Limits of ejection.
    #[serde(rename = "eject")]
    pub ejection: EjectLimits,
    /// Routes, at least one.
    pub routes: Vec<Route>,
    /// Servers.
    pub servers: Vec<Server>,
}

impl Service {
    /// Returns the connections that one entry may hold to each server: its share among all entries
    /// where that is one a slot, and among the homes otherwise.
    #[must_use]
    pub fn get_connection_limit(&self) -> u32 {
        let sharing = if self.has_direct_dispatch() {
            self.probe_budget.entries
        } else {
            self.owners
        };
        (self.connections / sharing.max(1)).max(1)
    }

    /// Returns whether every entry may hold a connection for each slot of a server, so that
    /// requests go straight to the servers.
    #[must_use]
    pub fn has_direct_dispatch(&self) -> bool {
        let slots = self.servers.iter().map(|server| server.slots).max();
        let share = self.connections / self.probe_budget.entries.max(1);
        self.owners == 0 || share >= slots.unwrap_or_default()
    }
}

common! { message,
    /// A change ticket.
    pub struct Ticket {
        /// Number of the ticket that this one was written against.
        pub base: u64,
        /// Operator's remark.
        pub note: String,
        /// Whole state of the services that the ticket sets.
        pub services: Vec<Service>,
        /// Services that the ticket removes.
        pub removed: Vec<Name>,
    }
}

impl Ticket {
    /// Returns the names of all services that the ticket sets or removes.
    pub fn get_service_names(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().map(|s| &s.name).chain(&self.removed)
    }
}
