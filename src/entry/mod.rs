//! An entry: a process of the balancer that serves callers and takes its services from change
//! tickets. The platform is the system outside that holds the tickets and the claim logs in a
//! key-value store and lists the hosts.
//!
//! `serve` passes a request to `attempt` or, if an owner of its service must send it, to
//! `forward`, which sends it to the `serve` of that owner; if no owner answers, the request is
//! passed to `attempt` here. `attempt` gets a permit for each attempt through `owner_list`: from
//! this entry's `dispatcher` by `grant`, or from the owner of the service by `peer_links`. `claims`
//! stores claims of idempotency keys, `control` follows the platform, `tick` does what is due
//! at fixed times, and `drain` has the times of a stop.

mod attempt;
mod caller_outcome;
mod claim_guard;
mod claims;
mod control;
mod dispatcher;
mod drain;
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
