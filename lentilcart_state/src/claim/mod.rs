//! Claims of idempotency keys, kept in a log of the platform's service.

mod bucket;
mod log;
mod op;

pub use self::log::ClaimLog;
pub use self::op::{Claim, ClaimState, Digest, Op, Verdict};
