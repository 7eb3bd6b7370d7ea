//! Rules that choose a server.

mod choice;
#[allow(clippy::module_inception)]
mod policy;
mod rules;

pub use self::choice::Choice;
pub use self::policy::{POLICIES, Policy, Source, get_policy, get_policy_names};
