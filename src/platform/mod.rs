//! Clients of two back ends: the ticket platform ([`PlatformClient`]: key-value store, leases, watches
//! and host list) and the store of the users' platform ([`StoreClient`]).
//!
//! [`PlatformClient`] and [`StoreClient`] are structs of functions, so that an embedder can supply
//! any implementation. `transport` makes the HTTP calls of both: `http_platform` speaks the
//! protocol of the platform stub in `lentilcart_bench`, `store_client` that of the users' platform,
//! whose formats are in the crate `lentilcart_platform`. Entries that take their services from change
//! tickets and the command line use the first, gateways the second.

mod host_list;
mod http_platform;
mod platform_client;
mod run_protocol;
mod store_client;
mod transport;

pub use self::host_list::{HostInfo, HostList, HostRole, WatchOutcome};
pub use self::http_platform::{create_platform_client, parse_platform_address};
pub use self::platform_client::{CallCounters, PlatformClient};
pub use self::run_protocol::run_protocol;
pub use self::store_client::{StoreClient, create_store_client};
