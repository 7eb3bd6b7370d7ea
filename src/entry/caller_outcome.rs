use lentilcart_util::common;

common! { value,
    /// What a caller is told about a request that a server did not answer.
    pub(crate) enum CallerOutcome {
        /// It was not run.
        NotRun,
        /// It may have run.
        Unknown,
        /// An earlier request with its key is under way.
        Running,
        /// An earlier request with its key was answered.
        Done,
    }
}

impl CallerOutcome {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Running => "running",
            Self::Done => "done",
        }
    }
}
