use lentilcart_util::{Micros, Name, common};

/// A request that needs a server, for its first attempt or a further one.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Id chosen by the user of the pool, unique among the outstanding requests of the pool.
    pub id: u64,
    /// Priority from 0 to 9; a higher priority is served first.
    pub priority: u8,
    /// Whether the request must run at most once; such a request is not sent to a server on
    /// probation.
    pub at_most_once: bool,
    /// Time of arrival, which decides the place in the queue.
    pub arrived: Micros,
    /// Time by which its answer must be complete.
    pub deadline: Micros,
    /// Time by which it should be answered (its latency objective); the deadline where the service
    /// has none.
    pub objective: Micros,
    /// Data centre of the entry that sends it; `None` for the data centre of this entry.
    pub origin: Option<Name>,
    /// Indices of the servers that must not get it, such as those that it was sent to before.
    pub excluded: Vec<usize>,
}

impl PendingRequest {
    /// Creates a request of the lowest priority that may run more than once, whose objective is the
    /// deadline.
    #[must_use]
    pub fn new(id: u64, arrived: Micros, deadline: Micros) -> Self {
        Self {
            id,
            priority: 0,
            at_most_once: false,
            arrived,
            deadline,
            objective: deadline,
            origin: None,
            excluded: Vec::new(),
        }
    }
}

common! { value,
    /// Reason why a request was rejected; it was not run in any case.
    #[non_exhaustive]
    pub enum Rejection {
        /// It would wait too long in the queue to be answered before its deadline.
        Overload,
        /// The service has no server, or all its servers are leaving.
        NoServer,
    }
}

common! { value,
    /// A decision on a request.
    pub enum Decision {
        /// Send the request to this server.
        Start {
            /// Id of the request.
            request_id: u64,
            /// Index of the server in the pool.
            server: usize,
        },
        /// Reject the request, which was not run.
        Reject {
            /// Id of the request.
            request_id: u64,
            /// Reason of the rejection.
            reason: Rejection,
        },
    }
}

common! { message,
    /// Load report of a server.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Number of requests that the server runs.
        pub running: u32,
        /// Number of requests in the queue of the server.
        pub waiting: u32,
        /// Number of requests that it runs at once; `None` if not reported.
        pub slots: Option<u32>,
        /// Slowdown factor: current service time as a multiple of the usual one; `None` if not
        /// reported.
        #[serde(rename = "slowness")]
        pub slowdown: Option<f64>,
    }
}

impl LoadReport {
    /// Creates a report that holds only a number of requests, all of them running.
    #[must_use]
    pub const fn of_requests(requests: u32) -> Self {
        Self {
            running: requests,
            waiting: 0,
            slots: None,
            slowdown: None,
        }
    }

    /// Returns the number of requests that run or wait at the server.
    #[must_use]
    pub const fn get_requests(&self) -> u32 {
        self.running + self.waiting
    }
}

common! { message,
    /// Outcome of an attempt: one sending of a request to a server.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// The server answered.
        Answered {
        /// Load report that came with the answer.
            load: Option<LoadReport>,
        },
        /// The server rejected the request because it is full, and did not run it.
        Full {
        /// Load report that came with the rejection.
            load: Option<LoadReport>,
        },
        /// The connection failed, or the server answered with an error.
        Failed,
        /// No connection to the server could be made.
        Unreachable,
        /// The server is leaving and did not run the request.
        Leaving,
        /// The attempt was cancelled, which says nothing about the server.
        Cancelled,
    }
}

impl AttemptOutcome {
    /// Creates the outcome of an attempt that the server answered.
    #[must_use]
    pub const fn answered(load: Option<LoadReport>) -> Self {
        Self::Answered { load }
    }
}
