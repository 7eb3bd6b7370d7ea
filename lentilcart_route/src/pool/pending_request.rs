use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, common};

use super::ServerNotice;
use crate::queue::DEFAULT_WEIGHT;
use crate::shed::ShedCause;

/// A request that needs a server, for its first attempt or a further one.
#[derive(Debug, Clone)]
pub struct PendingRequest {
    /// Id chosen by the user of the pool, unique among the queued requests and, at each server,
    /// among the outstanding attempts: an attempt is found by this id and its server. A hedge may
    /// have the id of the first attempt if it excludes the server of that attempt.
    pub id: u64,
    /// Priority from 0 to 9; a higher priority is served first.
    pub priority: u8,
    /// Whether the request must run at most once, that is, whether it is not idempotent; such a
    /// request is not sent to a server on probation. The pool does not keep it from being retried
    /// or hedged: its user must not ask for that.
    pub at_most_once: bool,
    /// Time of arrival, which decides the place in the queue.
    pub arrived: Micros,
    /// Time by which its answer must be complete.
    pub deadline: Micros,
    /// Time by which it should be answered (its latency objective); the deadline where the service
    /// has none.
    pub objective: Micros,
    /// Latency objective of its kind of request, counted from the arrival; `None` for none. Requests
    /// with the same one are taken to have the same base service time.
    pub latency_objective: Option<Micros>,
    /// Data centre of the entry that sends it to the server, which may be another entry than that
    /// of the pool; `None` for the data centre of this entry.
    pub origin: Option<Name>,
    /// Address of the entry that sends it to the server, which may be another entry than that of the
    /// pool. Among servers that are as good, requests of one entry prefer the same ones, so that its
    /// connections are used again; `None` spreads them at random.
    pub sender: Option<SocketAddr>,
    /// Addresses of the servers that must not get it, such as those that it was sent to before. An address
    /// excludes every instance that is listed there, also one that is added while the request waits.
    pub excluded: Vec<SocketAddr>,
    /// Largest number of attempts that this pool has outstanding once it starts, such as
    /// [`ServerPool::get_slot_share`](super::ServerPool::get_slot_share); `None` for no limit.
    pub max_outstanding: Option<u32>,
    /// Client account; `None` for none. Accounts take turns where [`PoolConfig::fair_shares`] is set.
    ///
    /// [`PoolConfig::fair_shares`]: crate::PoolConfig::fair_shares
    pub account: Option<Name>,
    /// Limit of the account, in requests a second, by which it shares the service; `None` for no limit.
    pub weight: Option<f64>,
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
            latency_objective: None,
            origin: None,
            sender: None,
            excluded: Vec::new(),
            max_outstanding: None,
            account: None,
            weight: None,
        }
    }

    /// Returns the weight by which the request's account shares the service. A limit that is not a positive
    /// number, as from a faulty sender, counts as none.
    pub(crate) fn get_weight(&self) -> f64 {
        let weight = self
            .weight
            .filter(|weight| *weight > 0.0 && weight.is_finite());
        weight.unwrap_or(DEFAULT_WEIGHT)
    }
}

common! { value,
    /// Reason why a request was rejected. This attempt is not started; earlier attempts of the
    /// request may have run.
    #[non_exhaustive]
    pub enum Rejection {
        /// It has waited, or would wait, longer in the queue than
        /// [`PoolConfig::wait_share`](crate::PoolConfig::wait_share) allows, or so long that no
        /// time is left for an answer before its deadline. Also the reason while all servers are
        /// ejected.
        Overload,
        /// The service has no server, or all its servers are leaving or evacuated.
        NoServer,
        /// It was refused by a rule of load shedding that plans ahead.
        Shed {
            /// Time after which its caller should come back.
            room_after: Micros,
            /// Why.
            cause: ShedCause,
        },
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
        /// Reject the request without this attempt; earlier attempts of it may have run.
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
        /// Number of requests that the server can run at once; `None` if not reported. The pool
        /// ignores it and uses [`ServerConfig::slots`](crate::ServerConfig::slots).
        pub slots: Option<u32>,
        /// Slowdown factor: current service time as a multiple of the base service time, which is
        /// that of an idle server that nothing slows down; `None` if not reported. The pool assumes
        /// that the load of the server's own requests is not in it, and multiplies it by a factor
        /// for that load.
        #[serde(rename = "slowness")]
        pub slowdown: Option<f64>,
    }
}

impl LoadReport {
    /// Creates a report of a number of running requests, without a queue, slots or a slowdown.
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
        /// The server answered, and its answer does not count as a failure.
        Answered {
            /// Load report that came with the answer.
            load: Option<LoadReport>,
            /// What the server says of itself in the answer; empty from an entry of an earlier version.
            #[serde(default, skip_serializing_if = "ServerNotice::is_empty")]
            notice: ServerNotice,
        },
        /// The server refused the request and did not run it, normally because it is full. If its
        /// load report shows free slots, this counts as a failure in the failure rate, but never
        /// for ejections.
        Full {
            /// Load report that came with the refusal.
            load: Option<LoadReport>,
            /// What the server says of itself in the refusal; empty from an entry of an earlier version.
            #[serde(default, skip_serializing_if = "ServerNotice::is_empty")]
            notice: ServerNotice,
        },
        /// The connection failed after it was made, or the answer counts as a failure, such as a
        /// server error.
        Failed,
        /// No connection to the server could be made; counts as
        /// [`EjectLimits::failures`](crate::EjectLimits::failures) consecutive failures.
        Unreachable,
        /// The server is leaving and did not run the request.
        Leaving,
        /// The attempt was cancelled, which says nothing about the server.
        Cancelled,
    }
}

impl AttemptOutcome {
    /// Creates the outcome of an attempt that the server answered without a notice.
    #[must_use]
    pub const fn answered(load: Option<LoadReport>) -> Self {
        let notice = ServerNotice::EMPTY;
        Self::Answered { load, notice }
    }

    /// Returns what the server says of itself in its answer; empty if the outcome carries no notice.
    #[must_use]
    pub const fn get_notice(&self) -> ServerNotice {
        match self {
            Self::Answered { notice, .. } | Self::Full { notice, .. } => *notice,
            Self::Failed | Self::Unreachable | Self::Leaving | Self::Cancelled => {
                ServerNotice::EMPTY
            }
        }
    }
}
