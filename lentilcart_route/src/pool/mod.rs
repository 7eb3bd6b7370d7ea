//! The servers of a service and the requests given to them.

mod check;
mod config;
mod pending_request;
mod phase;
#[allow(clippy::module_inception)]
mod pool;
mod row;

pub use self::check::{MOST_ASKED, has_turned_slow};
pub use self::config::{PoolConfig, ServerConfig, Share};
pub use self::pending_request::{AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection};
pub use self::phase::Phase;
pub use self::pool::Pool;
pub use self::row::{Row, RowView};
