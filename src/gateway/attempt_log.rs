use std::net::SocketAddr;

use lentilcart_platform::HEADER_NAMES;
use lentilcart_util::Name;

use crate::entry::Permit;
use crate::http::{ConnectionUse, ServerResponse};

/// What the log lines of an attempt have in common.
pub(crate) struct AttemptLog {
    request_id: Name,
    /// Number of the attempt, counted like the attempts of its request.
    attempt: u32,
    server: Name,
    address: SocketAddr,
}

impl AttemptLog {
    /// Describes an attempt at the server of a permit.
    pub(crate) fn new(request_id: &Name, attempt: u32, permit: &Permit) -> Self {
        Self {
            request_id: request_id.clone(),
            attempt,
            server: permit.server_id.clone(),
            address: permit.address,
        }
    }

    /// Logs that nothing was sent.
    pub(crate) fn write_not_sent(&self, reason: &str) {
        log::info!(
            request:% = self.request_id, attempt = self.attempt, server:% = self.server,
            address:% = self.address, reason;
            "server unreachable"
        );
    }

    /// Logs that no response came over a connection.
    pub(crate) fn write_no_response(&self, reason: &str, connection: ConnectionUse) {
        log::info!(
            request:% = self.request_id, attempt = self.attempt, server:% = self.server,
            address:% = self.address, connection = connection.number,
            answers_before = connection.responses, reason;
            "no response received"
        );
    }

    /// Logs a response that is not passed on, with the identifiers of the requests that it names. `event`
    /// says what was made of it.
    pub(crate) fn write_not_passed_on(&self, event: &str, reason: &str, received: &ServerResponse) {
        let connection = received.get_connection_use();
        let names = received.response.headers().get_all(HEADER_NAMES.request_id);
        let names: Vec<_> = names
            .iter()
            .map(|name| String::from_utf8_lossy(name.as_bytes()))
            .collect();
        log::info!(
            request:% = self.request_id, attempt = self.attempt, server:% = self.server,
            address:% = self.address, connection = connection.number,
            answers_before = connection.responses, status = received.response.status().as_u16(),
            named = names.join(",").as_str(), reason;
            "{event}"
        );
    }
}
