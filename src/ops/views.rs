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
        /// Time since the platform last answered this entry, or another one whose heartbeat said
        /// so, in milliseconds; `None` before the first answer.
        #[serde(rename = "confirmed_ms")]
        pub confirmed_age_ms: Option<u64>,
        /// Whether the readiness check succeeds: a ticket is in force and the entry is not shutting
        /// down. An entry that is shutting down still serves callers until its listener closes.
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
        /// Bytes sent to other entries since the start in messages that concern one request:
        /// permit requests, permits, results of hedges and updates of claims of idempotency keys.
        #[serde(default, rename = "grant_bytes")]
        pub permit_bytes: u64,
        /// Number of probes of servers since the start.
        pub probes: u64,
        /// Number of hedges since the start: second attempts that were sent before the first was
        /// answered.
        pub hedges: u64,
        /// Number of hedges that were answered before the first attempt, or after it had failed.
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
        /// Median latency of the last answers, however old they are, in milliseconds; `None` if
        /// there are too few answers (fewer than 50).
        pub p50_ms: Option<f64>,
        /// 99th percentile of the latency of the same answers, in milliseconds; `None` if there are
        /// too few answers.
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
        /// State of the server:
        ///
        /// - `serving`: gets requests up to its limit.
        /// - `ramping`: in slow start, where its limit grows with time.
        /// - `ejected`: gets no requests after consecutive failures.
        /// - `probation`: gets one request at a time after an ejection.
        /// - `leaving`: gets no new requests, and finishes the outstanding ones.
        /// - `silent`: has outstanding requests, and its last answer is more than 3 s old. It
        ///   replaces the other states.
        pub state: Name,
        /// Number of requests that the entry has outstanding at the server.
        pub outstanding: u32,
        /// Number of slots of the server: requests that it runs at once.
        pub slots: u32,
        /// Number of answers that the entry has received from the server since the server was added.
        pub answered: u64,
        /// Number of attempts of the entry that failed there, and of unanswered probes, since the
        /// server was added.
        pub failed: u64,
        /// Moving average of the latency, in milliseconds; 0 before the first answer.
        pub mean_ms: f64,
        /// Age of its last answer, in milliseconds; `None` if there was none.
        #[serde(rename = "heard_ms")]
        pub answer_age_ms: Option<u64>,
        /// Load in its last load report, in requests; `None` if there was none.
        pub load: Option<u32>,
    }
}
