//! The entry daemon as a library: serves callers, talks to servers, other entries and the
//! platform, and answers operators.

mod attempt;
mod claims;
mod control;
mod desk;
#[allow(clippy::module_inception)]
mod entry;
mod failure;
mod forward;
mod outcome;
mod payload;
mod router;
mod run;
mod serve;
mod stats;
mod tick;

pub(crate) use self::entry::Entry;
pub use self::run::{Running, start};
