//! The platform's service: key-value store, leases, watches and host list.
//!
//! [`Platform`] and [`Store`] are structs of functions, so that an embedder can put any client
//! behind them. `transport` makes the calls of both: `http` speaks the protocol of the stand-in of
//! `lentilcart_bench`, `store` that of the users' platform, whose formats are in the crate
//! `lentilcart_platform`.

mod drive;
mod http;
mod model;
#[allow(clippy::module_inception)]
mod platform;
mod store;
mod transport;

pub use self::drive::drive;
pub use self::http::{dial, parse_address};
pub use self::model::{Host, Hosts, Role, Watched};
pub use self::platform::{Calls, Platform};
pub use self::store::{Store, open_store};
