//! Claims of idempotency keys, kept in a log of the platform's service.

mod log;
mod op;
mod segment;

pub use self::log::ClaimLog;
pub use self::op::{Claim, ClaimOp, ClaimState, ClaimVerdict, KeyDigest};
