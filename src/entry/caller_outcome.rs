use lentilcart_util::common;

common! { value,
    /// What an error response tells the caller about whether its request, or an earlier one with
    /// its idempotency key, was run.
    pub(crate) enum CallerOutcome {
        /// No server ran the request, so that it can safely be sent again.
        NotRun,
        /// A server may have run the request, or an earlier one with its idempotency key.
        Unknown,
        /// An earlier request with its idempotency key is in progress.
        Running,
        /// An earlier request with its idempotency key was answered.
        Done,
    }
}

impl CallerOutcome {
    /// Returns the value of the outcome header and of the metric label.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Running => "running",
            Self::Done => "done",
        }
    }
}
