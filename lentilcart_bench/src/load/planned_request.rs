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
    /// Index in [`CallerSettings::addresses`](super::CallerSettings::addresses) of the entry that it is
    /// planned for.
    pub entry: usize,
    /// Service time of its first execution.
    pub service_time: Micros,
    /// Service time of any further execution, such as a hedge or a retry.
    pub rerun_time: Micros,
    /// Whether it is a straggler, with a multiple of the usual service time.
    pub straggler: bool,
    /// Size of its response after the checksum and the colon, in bytes; see
    /// [`expected_body`](crate::servers::expected_body).
    pub response_bytes: usize,
    /// Whether it must run at most once (class `once`); otherwise it is idempotent.
    pub once: bool,
}

/// Outcome of a request, as its caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The complete response to this request came.
    Answered,
    /// A complete response without an outcome header came whose status is not 200 or whose body is not
    /// the expected one.
    Wrong,
    /// The caller was told that the request has not run, or no entry could be reached.
    NotRun,
    /// The response had an outcome header other than `not-run`, the connection was cut, or no complete
    /// response came within the timeout of the caller.
    Unknown,
}

/// Outcome and latency of a request, as its caller saw them.
#[derive(Debug, Clone, Copy)]
pub struct RequestObservation {
    /// Outcome.
    pub outcome: RequestOutcome,
    /// Time from the planned arrival to the outcome, so that late sending counts as well.
    pub latency: Micros,
    /// Latency less the time inside the server that answered, its queue included; the whole latency if
    /// no complete response said how long that was.
    pub overhead: Micros,
}
