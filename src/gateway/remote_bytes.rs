//! Counts the bytes that pass between data centres, which cost more than those within one.

use std::net::IpAddr;

use hyper::HeaderMap;
use hyper::body::Body;
use lentilcart_util::Name;

use super::gateway::Gateway;

/// What the bytes are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemoteTraffic {
    Heartbeats,
    LoadUpdates,
    Mirrors,
    /// Requests to servers, heads and bodies.
    Requests,
    /// Answers of servers, heads and bodies, as far as the length of a body is known beforehand.
    Answers,
}

impl RemoteTraffic {
    /// Returns the value of the metric's label `kind`.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Heartbeats => "heartbeats",
            Self::LoadUpdates => "load-updates",
            Self::Mirrors => "mirrors",
            Self::Requests => "requests",
            Self::Answers => "answers",
        }
    }
}

/// Counts bytes sent to, or received from, another data centre in the metric
/// `lentilcart_remote_bytes_total`.
pub(crate) fn count_remote_bytes(traffic: RemoteTraffic, bytes: usize) {
    metrics::counter!("lentilcart_remote_bytes_total", "kind" => traffic.as_str())
        .increment(bytes as u64);
}

impl Gateway {
    /// Returns whether the known entry at an address is in another data centre.
    pub(crate) fn is_remote_entry(&self, ip: IpAddr) -> bool {
        let data_center = self.settings.load().data_center.clone();
        let members = self.lock_members();
        let mut known = members.iter().map(|(_, member)| member);
        known.any(|member| member.peer_address.ip() == ip && member.data_center != data_center)
    }

    /// Counts the head and body of a request to a server or of its answer, if the server is in another
    /// data centre.
    pub(crate) fn count_server_bytes(
        &self,
        traffic: RemoteTraffic,
        server: &Name,
        headers: &HeaderMap,
        body: &impl Body,
    ) {
        let is_remote = {
            let data_center = &self.settings.load().data_center;
            let directory = self.lock_directory();
            let registration = directory.get(server);
            registration.is_some_and(|registration| registration.data_center != *data_center)
        };
        if is_remote {
            let lines = headers.iter();
            let head: usize = lines
                .map(|(name, value)| name.as_str().len() + value.len() + 4)
                .sum();
            count_remote_bytes(traffic, head + body.size_hint().lower() as usize);
        }
    }
}
