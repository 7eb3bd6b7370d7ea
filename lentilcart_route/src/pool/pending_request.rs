use lentilcart_util::{Micros, Name, common};

/// A request that needs a server.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Number that the caller chose, unique in the pool.
    pub id: u64,
    /// Priority from 0 to 9; a higher one is served first.
    pub priority: u8,
    /// Whether the request runs at most once; such a request is not used to try a doubtful server.
    pub at_most_once: bool,
    /// When the request arrived.
    pub arrived: Micros,
    /// When its answer must be complete.
    pub deadline: Micros,
    /// When its answer is no longer prompt; the deadline where nothing else is wanted.
    pub objective: Micros,
    /// Data centre that it is sent from, where that is not the entry's own.
    pub origin: Option<Name>,
    /// Servers that it was sent to already.
    pub excluded: Vec<usize>,
}

impl PendingRequest {
    /// Creates an idempotent request of the lowest priority.
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
    /// Why a request was refused. None of them was run.
    #[non_exhaustive]
    pub enum Rejection {
        /// It could not be answered before its deadline.
        Overload,
        /// The service has no server that may be used.
        NoServer,
    }
}

common! { value,
    /// A decision on a request.
    pub enum Decision {
        /// Send it to this server.
        Start {
            /// Request.
            request_id: u64,
            /// Row of the server.
            server: usize,
        },
        /// Refuse it; it was not run.
        Reject {
            /// Request.
            request_id: u64,
            /// Reason.
            reason: Rejection,
        },
    }
}

common! { message,
    /// A server's report of its load.
    #[derive(Copy)]
    pub struct LoadReport {
        /// Requests that it runs.
        pub running: u32,
        /// Requests that wait there.
        pub waiting: u32,
        /// Requests that it runs at once, where it tells.
        pub slots: Option<u32>,
        /// How long work takes there now, as a multiple of the usual time, where it tells.
        #[serde(rename = "slowness")]
        pub slowdown: Option<f64>,
    }
}

impl LoadReport {
    /// Creates a report of requests only.
    #[must_use]
    pub const fn of_requests(requests: u32) -> Self {
        Self {
            running: requests,
            waiting: 0,
            slots: None,
            slowdown: None,
        }
    }

    /// Returns the requests running or waiting.
    #[must_use]
    pub const fn get_requests(&self) -> u32 {
        self.running + self.waiting
    }
}

common! { message,
    /// What became of an attempt.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// The server answered; holds the load that it reported.
        Answered {
            /// Load by the server's own report.
            load: Option<LoadReport>,
        },
        /// The server was full and did not run the request.
        Full {
            /// Load by the server's own report.
            load: Option<LoadReport>,
        },
        /// The server failed, or answered with a failure.
        Failed,
        /// The server could not be reached.
        Unreachable,
        /// The server said that it is leaving and did not run the request.
        Leaving,
        /// The attempt was cancelled and says nothing of the server.
        Cancelled,
    }
}

impl AttemptOutcome {
    /// Creates the outcome of an answered attempt.
    #[must_use]
    pub const fn answered(load: Option<LoadReport>) -> Self {
        Self::Answered { load }
    }
}
