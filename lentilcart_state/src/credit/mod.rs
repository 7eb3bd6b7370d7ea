//! Limits of client accounts that hold across all entries: shares, delegations and credit.
//!
//! Each registered entry has an equal share of every account's limit. It delegates its share for a short
//! time to the owner of a group of accounts, which grants credit out of the shares that it holds. A share
//! is at one entry at any time, so that no agreement on the owner is needed for the limit to hold.
//! `docs/design/account-limits.md` has the reasons.

mod exchange;
mod holder;
mod message;
mod owner;
mod rules;
mod share;

pub use self::exchange::CreditExchange;
pub use self::holder::{CreditHolder, CreditTake};
pub use self::message::{CreditAsk, CreditAskItem, CreditReply, CreditReplyItem, OwnerStamp};
pub use self::owner::CreditOwner;
pub use self::rules::{
    ASK_INTERVAL, CREDIT_TTL, CreditRules, DELEGATION_TTL, GROUP_COUNT, GroupSet, get_group,
};
pub use self::share::{OwnerPlan, ShareKeeper};
