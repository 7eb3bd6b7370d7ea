use std::net::SocketAddr;

use lentilcart_util::{Micros, Name};

/// Registration of one incarnation of a server, as the server writes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRegistration {
    /// Identifier of the server; a restarted one may use it again.
    pub id: Name,
    /// Service that the server belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the server.
    pub data_center: Name,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server is leaving: it accepts no new requests and finishes those it has.
    pub leaving: bool,
    /// Remaining duration, at the time of the registration, of the server's own warm-up, in which
    /// it is slow. The `slow_start` of a [`Service`](crate::Service) is a setting of the balancer
    /// instead.
    pub warmup_remaining: Micros,
    /// Start of the incarnation, in milliseconds of Unix time; tells a restarted server from its
    /// predecessor with the same identifier.
    pub started_ms: u64,
    /// Number of this write among those of the incarnation; `None` if the registration has none.
    pub sequence: Option<u64>,
}

impl ServerRegistration {
    /// Returns whether this was written before another registration of the same incarnation. That is not
    /// known where one of them has no start or no sequence number.
    #[must_use]
    pub fn is_older_write(&self, other: &Self) -> bool {
        let is_same_start = self.started_ms > 0 && self.started_ms == other.started_ms;
        let numbers = self.sequence.zip(other.sequence);
        self.id == other.id && is_same_start && numbers.is_some_and(|(own, other)| own < other)
    }

    /// Returns whether another registration is of the same incarnation.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.started_ms == other.started_ms && self.address == other.address
    }
}
