//! Policies that pick a server for a request.

mod pick_context;
mod pick_functions;
#[allow(clippy::module_inception)]
mod policy;

pub use self::pick_context::PickContext;
pub use self::policy::{LoadSource, POLICIES, Policy, get_policy, get_policy_names};
