//! Claims of idempotency keys, kept in a log in the platform's key-value service.
//!
//! A claim lets one attempt at a request run and makes others with the same key find out what
//! became of it.

mod log;
mod op;
mod segment;

pub use self::log::ClaimLog;
pub use self::op::{Claim, ClaimOp, ClaimState, ClaimVerdict, KeyDigest};
