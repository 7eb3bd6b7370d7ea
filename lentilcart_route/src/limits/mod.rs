//! Limits of retries, hedges, probes and ejections, and the token buckets that enforce them.

mod hedger;
mod rate_pacer;
mod settings;
mod token_bucket;

pub use self::hedger::Hedger;
pub(crate) use self::rate_pacer::RatePacer;
pub use self::settings::{EjectLimits, ProbeBudget, RetryLimits};
pub use self::token_bucket::TokenBucket;
