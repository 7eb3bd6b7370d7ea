use lentilcart_util::{DurationText, Micros, Name, common};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::{EjectLimits, ProbeBudget, RetryLimits, Route, Server};

/// The complete settings of a service in a ticket.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name, unique among all services.
    pub name: Name,
    /// Client account that the service belongs to.
    pub tenant: Name,
    /// Name of the load balancing policy.
    pub policy: Name,
    /// Number of entries that own the service and dispatch for it; 0 lets every entry dispatch.
    /// Every entry dispatches too where [`Service::has_direct_dispatch`] holds.
    #[serde(rename = "homes")]
    pub owners: u32,
    /// Number of requests beyond its slots that a server may be sent.
    pub overcommit: u32,
    /// Maximum number of connections that all entries together hold to each server.
    pub connections: u32,
    /// Longest wait in an entry's queue, as a share of the deadline from 0 to 1.
    #[serde(rename = "wait")]
    pub wait_share: f64,
    /// Time over which the share of a new server rises to its full value (slow start).
    #[serde_as(as = "DurationText")]
    #[serde(rename = "ramp")]
    pub slow_start: Micros,
    /// Time for which the claim of an idempotency key is kept.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "keep")]
    pub key_retention: Micros,
    /// HTTP statuses with which a server reports that it did not run a request.
    pub not_run: Vec<u16>,
    /// Budget for measuring the load of the servers. Its `entries` is the configured number of
    /// entries that share the service; `connections` is divided by the same number where every
    /// entry dispatches.
    #[serde(rename = "load")]
    pub probe_budget: ProbeBudget,
    /// Limits on retries and hedges.
    pub retry: RetryLimits,
    /// Limits on the ejection of failing servers.
    #[serde(rename = "eject")]
    pub ejection: EjectLimits,
    /// Routes, at least one.
    pub routes: Vec<Route>,
    /// Servers that the ticket lists; may be empty.
    pub servers: Vec<Server>,
}

impl Service {
    /// Returns the number of connections that one entry may hold to each server, at least 1.
    ///
    /// The connections are divided among all entries where every entry dispatches, and among the
    /// owners otherwise.
    #[must_use]
    pub fn get_connection_limit(&self) -> u32 {
        let entries = if self.has_direct_dispatch() {
            self.probe_budget.entries
        } else {
            self.owners
        };
        (self.connections / entries.max(1)).max(1)
    }

    /// Returns whether every entry sends requests to the servers itself.
    ///
    /// This is so where the service has no owners, or where each entry's share of the connections is
    /// at least the number of slots of the largest server in the ticket. It is therefore always so
    /// where the ticket lists no server.
    #[must_use]
    pub fn has_direct_dispatch(&self) -> bool {
        let slots = self.servers.iter().map(|server| server.slots).max();
        let share = self.connections / self.probe_budget.entries.max(1);
        self.owners == 0 || share >= slots.unwrap_or_default()
    }
}

common! { message,
    /// A change ticket: the complete settings of some services, and the removal of others.
    pub struct Ticket {
        /// Number of the latest accepted ticket when this one was written. The ticket is refused if
        /// a ticket accepted after that number sets or removes one of its services.
        pub base: u64,
        /// Remark of the operator.
        pub note: String,
        /// Complete settings of the services that the ticket sets.
        pub services: Vec<Service>,
        /// Names of the services that the ticket removes.
        pub removed: Vec<Name>,
    }
}

impl Ticket {
    /// Returns the names of all services that the ticket sets or removes.
    pub fn get_service_names(&self) -> impl Iterator<Item = &Name> {
        self.services.iter().map(|s| &s.name).chain(&self.removed)
    }
}
