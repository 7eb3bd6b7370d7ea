//! Limits of retries, hedges, probes, ejections and memory, and the token buckets that enforce rates.

mod byte_budget;
mod hedger;
mod rate_pacer;
mod settings;
mod token_bucket;
mod warmth;

pub use self::byte_budget::{ByteBudget, ByteClaim};
pub use self::hedger::Hedger;
pub(crate) use self::rate_pacer::RatePacer;
pub use self::settings::{EjectLimits, ProbeBudget, RetryLimits};
pub use self::token_bucket::TokenBucket;
pub(crate) use self::warmth::Warmth;
pub use self::warmth::{MAX_SEND_DELAY, WarmthSource, WarmupRules};
