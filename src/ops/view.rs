use std::net::SocketAddr;

use lentilcart_util::{Map, Name, common};

common! { message,
    /// An entry's answer to "which ticket is in force, and how sure is that?".
    pub struct StatusView {
        /// Name of the entry.
        pub entry: Name,
        /// Data centre of the entry.
        pub data_center: Name,
        /// Number of the ticket in force there.
        pub number: u64,
        /// Id of that ticket.
        pub id: Name,
        /// How long ago the platform confirmed the number, to any entry known there, in
        /// milliseconds.
        pub confirmed_ms: Option<u64>,
        /// Whether the entry takes callers.
        pub ready: bool,
        /// Whether the entry is leaving.
        pub leaving: bool,
        /// Time since the start in milliseconds.
        pub uptime_ms: u64,
        /// Requests in flight.
        pub in_flight: u64,
        /// Other entries, and the age of their last heartbeat in milliseconds.
        pub peers: Map<Name, Option<u64>>,
        /// Calls to the platform since the start, by kind.
        pub platform_calls: Map<Name, u64>,
        /// Bytes sent to other entries since the start, without requests.
        pub control_bytes: u64,
        /// Bytes sent to other entries since the start to ask for servers and to grant them.
        #[serde(default)]
        pub grant_bytes: u64,
        /// Probes of servers since the start.
        pub probes: u64,
        /// Hedges since the start.
        pub hedges: u64,
        /// Hedges that answered before the first attempt.
        pub hedges_won: u64,
    }
}

common! { message,
    /// An entry's view of every service.
    pub struct ServedView {
        /// Name of the entry.
        pub entry: Name,
        /// Number of the ticket in force there.
        pub number: u64,
        /// Services by name.
        pub services: Vec<ServiceView>,
    }
}

common! { message,
    /// An entry's view of a service.
    pub struct ServiceView {
        /// Name of the service.
        pub service: Name,
        /// Entries that dispatch for it, in that entry's view.
        pub homes: Vec<Name>,
        /// Requests that wait there.
        pub waiting: u64,
        /// Median latency of the last seconds in milliseconds.
        pub p50_ms: Option<f64>,
        /// 99th percentile of the latency of the last seconds in milliseconds.
        pub p99_ms: Option<f64>,
        /// Servers.
        pub servers: Vec<ServerView>,
    }
}

common! { message,
    /// An entry's view of a server.
    pub struct ServerView {
        /// Address of the server.
        pub address: SocketAddr,
        /// Data centre of the server.
        pub data_center: Name,
        /// Serving, ramping, ejected, probation, leaving or silent.
        pub state: Name,
        /// Requests of that entry under way there.
        pub outstanding: u32,
        /// Slots of the server.
        pub slots: u32,
        /// Answers that entry had from it.
        pub answered: u64,
        /// Failures that entry had from it.
        pub failed: u64,
        /// Mean latency in milliseconds.
        pub mean_ms: f64,
        /// Age of its last answer in milliseconds.
        pub heard_ms: Option<u64>,
        /// Load by its own report, in requests.
        pub load: Option<u32>,
    }
}
