use lentilcart_util::{DurationText, Micros, common};
use serde_with::serde_as;

common! { message,
    /// What measuring a server's load may cost, all entries together.
    #[derive(Copy)]
    pub struct ProbeBudget {
        /// Probes a second for each server.
        pub probes: f64,
        /// Bytes of probes a second for each server.
        pub bytes: f64,
        /// Largest number of entries that share the budget.
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
    /// Limits of retries and hedges of a service.
    #[derive(Copy)]
    pub struct RetryLimits {
        /// Retries allowed for each success.
        pub ratio: f64,
        /// Retries that may be saved up.
        pub burst: f64,
        /// Largest share of requests that may be hedged; 0 turns hedges off.
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
    /// Failures in a row that eject a server.
    pub failures: u32,
    /// Largest share of a service's servers that may be ejected.
    pub share: f64,
    /// Time until an ejected server is tried again.
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
