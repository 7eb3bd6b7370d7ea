//! The platform's service: key-value store, leases, watches and host list.
//!
//! [`PlatformClient`] and [`StoreClient`] are structs of functions, so that an embedder can put any client
//! behind them. `transport` makes the calls of both: `http` speaks the protocol of the stand-in of
//! `lentilcart_bench`, `store` that of the users' platform, whose formats are in the crate
//! `lentilcart_platform`.

mod http;
mod model;
mod platform_client;
mod run_protocol;
mod store_client;
mod transport;

pub use self::http::{create_platform_client, parse_platform_address};
pub use self::model::{HostInfo, HostList, HostRole, WatchOutcome};
pub use self::platform_client::{CallCounters, PlatformClient};
pub use self::run_protocol::run_protocol;
pub use self::store_client::{StoreClient, create_store_client};
