use lentilcart_util::{DurationText, Micros, common};
use serde_with::serde_as;

common! { message,
    /// Budget of the load probes of policy `probe-pool`, for all entries together; each pool uses
    /// its part, the budget divided by `entries`.
    #[derive(Copy)]
    pub struct ProbeBudget {
        /// Probes per second and server.
        pub probes: f64,
        /// Bytes of probes and their answers per second and server.
        pub bytes: f64,
        /// Number of entries that the budget is divided among.
        pub entries: u32,
    }
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            probes: 10.0,
            bytes: 4096.0,
            entries: 8,
        }
    }
}

common! { message,
    /// Budget of the retries and hedges of one pool.
    ///
    /// The pool does not divide it. Where several entries have a pool for a service, their bursts
    /// add up unless the settings of each pool hold a part of the burst.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Retries that each answered attempt earns, also one under a permit of another entry.
        pub ratio: f64,
        /// Retries that may be saved up.
        pub burst: f64,
        /// Largest share of a hedge that each answered attempt earns, from 0 to 1; 0 turns hedges
        /// off.
        pub hedge: f64,
    }
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 50.0,
            hedge: 0.05,
        }
    }
}

#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize, serde::Deserialize)]
/// Limits of the ejection of failing servers.
pub struct EjectLimits {
    /// Consecutive failures that eject a server. A failed connect counts as this many, an
    /// unanswered probe as 3; a single failure on probation ejects again.
    pub failures: u32,
    /// Largest share of a service's servers that may be ejected or on probation at once, from 0 to
    /// 1; a failure on probation ejects regardless of it. With the default of 0.34, no server is
    /// ejected among fewer than 3.
    pub share: f64,
    /// Duration of the first ejection of a server, after which it is on probation; each further
    /// ejection takes twice as long, up to 32 times the first.
    #[serde_as(as = "DurationText")]
    pub probation: Micros,
}

impl Default for EjectLimits {
    fn default() -> Self {
        Self {
            failures: 5,
            share: 0.34,
            probation: Micros::from_millis(1000),
        }
    }
}
