//! Claims of idempotency keys, kept in sharded values of the platform's service.

mod op;
mod shard;

pub use self::op::{Claim, ClaimState, Digest, Op, Verdict};
pub use self::shard::ClaimShard;
