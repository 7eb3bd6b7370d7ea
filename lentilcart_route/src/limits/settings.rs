use lentilcart_util::{DurationText, Micros, common};
use serde_with::serde_as;

common! { message,
    /// Budget of load probes, for all entries together.
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
    /// Budget of the retries and hedges of a service.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Retries that each success earns.
        pub ratio: f64,
        /// Retries that may be saved up.
        pub burst: f64,
        /// Largest share of requests that may be hedged, from 0 to 1; 0 turns hedges off.
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
    /// Consecutive failures that eject a server.
    pub failures: u32,
    /// Largest share of a service's servers that may be ejected at once, from 0 to 1.
    pub share: f64,
    /// Time from the first ejection of a server until it is on probation; each further ejection
    /// doubles it, up to a limit.
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
