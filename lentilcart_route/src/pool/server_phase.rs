use lentilcart_util::{Micros, common};

common! { value,
    /// Whether and how far a server is used.
    pub enum ServerPhase {
        /// In full use.
        Serving,
        /// New, or back from ejection; its limit grows with time.
        SlowStart {
            /// Start of the ramp.
            since: Micros,
        },
        /// Not used after failures.
        Ejected {
            /// When it is tried again.
            until: Micros,
        },
        /// Tried with one request at a time.
        Probation,
        /// Gets no new request; those under way finish.
        Leaving,
    }
}

impl ServerPhase {
    /// Returns the name shown to operators.
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
