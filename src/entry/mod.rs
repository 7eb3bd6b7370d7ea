//! The entry daemon as a library: serves callers, talks to servers, other entries and the
//! platform, and answers operators.

mod attempt;
mod caller_outcome;
mod claim_guard;
mod claims;
mod control;
mod dispatcher;
#[allow(clippy::module_inception)]
mod entry;
mod forward;
mod grant;
mod handle;
mod owner_list;
mod payload;
mod peer_links;
mod permit;
mod request_error;
mod router;
mod serve;
mod stats;
mod tick;

pub(crate) use self::dispatcher::Dispatcher;
pub(crate) use self::entry::Entry;
pub(crate) use self::grant::grant_permit;
pub use self::handle::{EntryHandle, start_entry};
pub(crate) use self::permit::Permit;
