use lentilcart_util::{Micros, common};

common! { value,
    /// Phase of a server, which decides how many requests it gets.
    pub enum ServerPhase {
        /// Gets requests up to its limit.
        Serving,
        /// New, or back from probation or from leaving; its limit grows with time (slow start). The
        /// warm-up of a server that has just started is independent of it.
        SlowStart {
            /// Start of the slow start.
            since: Micros,
        },
        /// Gets no requests after consecutive failures.
        Ejected {
            /// End of the ejection, when probation begins.
            until: Micros,
        },
        /// Gets one request at a time after an ejection, until one is answered or fails.
        Probation,
        /// Gets no new requests; outstanding ones are finished.
        Leaving,
    }
}

impl ServerPhase {
    /// Returns the name that is shown to operators; a slow start is shown as `ramping`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Serving => "serving",
            Self::SlowStart { .. } => "ramping",
            Self::Ejected { .. } => "ejected",
            Self::Probation => "probation",
            Self::Leaving => "leaving",
        }
    }
}
