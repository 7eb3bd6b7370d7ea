//! Pool of the servers of a service, and the requests that were sent to them.

mod config;
mod pending_request;
mod preflight;
mod server_phase;
mod server_pool;
mod server_state;

pub use self::config::{PoolConfig, ServerConfig, Shard};
pub use self::pending_request::{AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection};
pub use self::preflight::{MAX_PREFLIGHT_PROBES, has_slowed_down};
pub use self::server_phase::ServerPhase;
pub use self::server_pool::ServerPool;
pub use self::server_state::{ServerState, ServerSummary};
