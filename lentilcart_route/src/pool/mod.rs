//! The servers of a service and the requests given to them.

mod check;
mod config;
mod pending_request;
mod server_phase;
mod server_pool;
mod server_state;

pub use self::check::{MOST_ASKED, has_turned_slow};
pub use self::config::{PoolConfig, ServerConfig, Shard};
pub use self::pending_request::{AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection};
pub use self::server_phase::ServerPhase;
pub use self::server_pool::ServerPool;
pub use self::server_state::{ServerState, ServerSummary};
