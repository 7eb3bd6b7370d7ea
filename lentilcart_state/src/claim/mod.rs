//! Claims of idempotency keys, kept in a log in the platform's key-value service.
//!
//! A claim lets one request with a key run and makes the other requests with the same key find out
//! what became of it. The requests of one key are a caller's tries of the same operation; sending a
//! claimed request to a server again takes no claim of its own.

mod log;
mod op;
mod segment;

pub use self::log::ClaimLog;
pub use self::op::{Claim, ClaimOp, ClaimState, ClaimVerdict, KeyDigest};
