use std::net::SocketAddr;

use lentilcart_util::{Micros, Name};

/// One incarnation of a server, by its own account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRegistration {
    /// Identifier that the server answers to.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre that it stands in.
    pub data_center: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// How much longer it is slow after its start.
    pub warmup_remaining: Micros,
    /// Start of the incarnation, in Unix milliseconds; tells a restart under the same identifier.
    pub started_ms: u64,
}

impl ServerRegistration {
    /// Returns whether another account is of the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms && self.address == other.address
    }
}
