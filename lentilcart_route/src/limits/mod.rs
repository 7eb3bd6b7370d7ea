//! Limits of retries, hedges, probes and ejections, and the token buckets that enforce them.

mod hedger;
mod settings;
mod token_bucket;

pub use self::hedger::Hedger;
pub use self::settings::{EjectLimits, ProbeBudget, RetryLimits};
pub use self::token_bucket::TokenBucket;
