use std::net::SocketAddr;

use lentilcart_util::{Name, common};

common! { message,
    /// The process that a host runs.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum HostRole {
        /// An entry of the balancer.
        Entry,
        /// A server of some service.
        Server,
    }
}

common! { message,
    /// A host in the list of the platform.
    pub struct HostInfo {
        /// Unique name of the host.
        pub name: Name,
        /// The process that it runs.
        pub role: HostRole,
        /// Data centre of the host.
        pub data_center: Name,
        /// Address that takes requests: from callers at an entry, from entries at a server.
        pub address: SocketAddr,
        /// Address for other entries; `None` for a server.
        pub peer: Option<SocketAddr>,
        /// Address for operators; `None` for a server.
        pub ops: Option<SocketAddr>,
        /// Whether the host is about to shut down.
        pub leaving: bool,
    }
}

common! { message,
    /// The platform's list of hosts that are live or leaving.
    #[derive(Default)]
    pub struct HostList {
        /// Version of the list; it grows with each change.
        pub version: u64,
        /// The hosts.
        pub hosts: Vec<HostInfo>,
    }
}

/// Result of waiting for a change.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome<T> {
    /// The value has changed; holds the new one.
    Changed(T),
    /// The value did not change within the longest wait, or it does not exist.
    Unchanged,
    /// The platform gave no usable answer; holds the reason.
    Failed(String),
}
