use std::net::SocketAddr;

use lentilcart_util::{Map, Name, common};

common! { message,
    /// Response of `/status`: the ticket in force at an entry, and the state of the entry.
    pub struct StatusView {
        /// Name of the entry.
        pub entry: Name,
        /// Data centre of the entry.
        pub data_center: Name,
        /// Number of the ticket in force at the entry.
        pub number: u64,
        /// Id of that ticket.
        pub id: Name,
        /// Time since the platform last confirmed the number to this entry or to an entry that it
        /// knows, in milliseconds; `None` if it never did.
        #[serde(rename = "confirmed_ms")]
        pub confirmed_age_ms: Option<u64>,
        /// Whether the entry accepts requests of callers.
        pub ready: bool,
        /// Whether the entry is shutting down.
        pub leaving: bool,
        /// Time since the start of the entry, in milliseconds.
        pub uptime_ms: u64,
        /// Number of requests in flight.
        pub in_flight: u64,
        /// Other entries, by name, and the age of their last heartbeat in milliseconds; `None` if
        /// none has arrived.
        pub peers: Map<Name, Option<u64>>,
        /// Number of calls to the platform since the start, by kind.
        pub platform_calls: Map<Name, u64>,
        /// Bytes sent to other entries since the start in messages that concern no single request.
        pub control_bytes: u64,
        /// Bytes of permit requests and permits sent to other entries since the start.
        #[serde(default, rename = "grant_bytes")]
        pub permit_bytes: u64,
        /// Number of probes of servers since the start.
        pub probes: u64,
        /// Number of hedges since the start.
        pub hedges: u64,
        /// Number of hedges that answered before the first attempt.
        pub hedges_won: u64,
    }
}

common! { message,
    /// Response of `/served`: what an entry knows of every service.
    pub struct ServedView {
        /// Name of the entry.
        pub entry: Name,
        /// Number of the ticket in force at the entry.
        pub number: u64,
        /// Services, sorted by name.
        pub services: Vec<ServiceView>,
    }
}

common! { message,
    /// What an entry knows of a service.
    pub struct ServiceView {
        /// Name of the service.
        pub service: Name,
        /// Owners of the service, as far as the entry knows.
        #[serde(rename = "homes")]
        pub owners: Vec<Name>,
        /// Number of requests queued at the entry.
        #[serde(rename = "waiting")]
        pub queued: u64,
        /// Median latency of the last seconds, in milliseconds.
        pub p50_ms: Option<f64>,
        /// 99th percentile of the latency of the last seconds, in milliseconds.
        pub p99_ms: Option<f64>,
        /// Servers of the service.
        pub servers: Vec<ServerView>,
    }
}

common! { message,
    /// What an entry knows of a server.
    pub struct ServerView {
        /// Address of the server.
        pub address: SocketAddr,
        /// Data centre of the server.
        pub data_center: Name,
        /// State of the server: `serving`, `ramping`, `ejected`, `probation`, `leaving` or `silent`.
        pub state: Name,
        /// Number of requests that the entry has outstanding at the server.
        pub outstanding: u32,
        /// Number of slots of the server.
        pub slots: u32,
        /// Number of answers that the entry has received from it.
        pub answered: u64,
        /// Number of attempts of the entry that failed there.
        pub failed: u64,
        /// Mean latency, in milliseconds.
        pub mean_ms: f64,
        /// Age of its last answer, in milliseconds; `None` if there was none.
        #[serde(rename = "heard_ms")]
        pub answer_age_ms: Option<u64>,
        /// Load in its last load report, in requests; `None` if there was none.
        pub load: Option<u32>,
    }
}
