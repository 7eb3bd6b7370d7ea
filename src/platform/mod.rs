//! The platform's service: key-value store, leases, watches and host list.
//!
//! [`Platform`] is a struct of functions, so that an embedder can put any client behind it.
//! `http` is the one module that speaks a protocol; the platform's real one is not known yet, so
//! it speaks HTTP and JSON as the stand-in of `lentilcart_bench` does.

mod drive;
mod http;
mod model;
#[allow(clippy::module_inception)]
mod platform;

pub use self::drive::drive;
pub use self::http::{dial, parse_address};
pub use self::model::{Host, Hosts, Role, Watched};
pub use self::platform::{Calls, Platform};
