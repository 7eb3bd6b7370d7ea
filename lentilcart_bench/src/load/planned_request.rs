use lentilcart_util::Micros;

/// A request of the plan, drawn before the run.
#[derive(Debug, Clone)]
pub struct PlannedRequest {
    /// Number in the plan, in order of arrival.
    pub id: u64,
    /// Planned arrival, since the start of the run.
    pub arrival: Micros,
    /// Index of its service in the firm.
    pub service: usize,
    /// Number of the entry that it is sent to.
    pub entry: usize,
    /// Service time of its first execution.
    pub service_time: Micros,
    /// Service time of any further execution, such as a hedge or a retry.
    pub rerun_time: Micros,
    /// Whether it is a straggler, with a multiple of the usual service time.
    pub straggler: bool,
    /// Size of its response, in bytes.
    pub response_bytes: usize,
    /// Whether it must run at most once (class `once`); otherwise it is idempotent.
    pub once: bool,
}

/// Outcome of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response to this request came.
    Answered,
    /// A response came that was incomplete or belonged to another request.
    Wrong,
    /// The caller was told that the request has not run.
    NotRun,
    /// The caller was told that the request may have run, or the connection was cut.
    Unknown,
}

/// Outcome and latency of a request, as its caller saw them.
#[derive(Debug, Clone, Copy)]
pub struct RequestObservation {
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Time from the planned arrival to the outcome, so that late sending counts as well.
    pub latency: Micros,
    /// Part of the latency that was not spent inside a server.
    pub overhead: Micros,
}
