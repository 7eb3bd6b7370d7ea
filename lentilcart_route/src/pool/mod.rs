//! The servers of a service and the requests given to them.

mod check;
mod config;
mod pending_request;
#[allow(clippy::module_inception)]
mod pool;
mod server_phase;
mod server_state;

pub use self::check::{MOST_ASKED, has_turned_slow};
pub use self::config::{PoolConfig, ServerConfig, Share};
pub use self::pending_request::{AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection};
pub use self::pool::Pool;
pub use self::server_phase::ServerPhase;
pub use self::server_state::{ServerState, ServerSummary};
