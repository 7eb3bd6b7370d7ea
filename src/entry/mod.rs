//! The entry daemon as a library: serves callers, talks to servers, other entries and the
//! platform, and answers operators.

mod attempt;
mod borrow;
mod claimed;
mod claims;
mod control;
mod dispatcher;
#[allow(clippy::module_inception)]
mod entry;
mod failure;
mod forward;
mod grant;
mod lease;
mod outcome;
mod payload;
mod post;
mod router;
mod run;
mod serve;
mod stats;
mod tick;

pub(crate) use self::dispatcher::Dispatcher;
pub(crate) use self::entry::Entry;
pub(crate) use self::grant::grant;
pub(crate) use self::lease::Lease;
pub use self::run::{Running, start};
