use std::net::SocketAddr;

use lentilcart_util::{Name, common};

common! { message,
    /// What a host does.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum HostRole {
        /// Runs an entry daemon.
        Entry,
        /// Runs a server.
        Server,
    }
}

common! { message,
    /// A host of the platform's list.
    pub struct HostInfo {
        /// Unique name.
        pub name: Name,
        /// What it does.
        pub role: HostRole,
        /// Data centre that it stands in.
        pub data_center: Name,
        /// Address for callers, or for requests to a server.
        pub address: SocketAddr,
        /// Address for other entries.
        pub peer: Option<SocketAddr>,
        /// Address for operators.
        pub ops: Option<SocketAddr>,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

common! { message,
    /// The platform's list of live and leaving hosts.
    #[derive(Default)]
    pub struct HostList {
        /// Version of the list.
        pub version: u64,
        /// Hosts.
        pub hosts: Vec<HostInfo>,
    }
}

/// The end of a watch.
#[derive(Debug, Clone, PartialEq)]
pub enum WatchOutcome<T> {
    /// The value has changed.
    Changed(T),
    /// The time has passed without a change.
    Unchanged,
    /// The platform did not answer.
    Failed(String),
}
