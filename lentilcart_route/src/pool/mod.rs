//! Pool of the servers of a service, and the requests that were sent to them.
//!
//! There are two kinds of probes. A *load probe* of policy `probe-pool` asks a server for its
//! number of requests within the probe budget ([`ServerPool::take_due_probes`],
//! [`ServerPool::record_load_probe`]). A *report probe* asks for a fresh load report without a
//! budget: while requests are queued ([`ServerPool::get_servers_to_refresh`]) or right before a
//! request is sent (a preflight probe, see [`is_latency_much_higher`]); its answer goes to
//! [`ServerPool::record_load_report`]. [`ServerPool::record_probe_failure`] is for both.
//!
//! The *base service time* is the service time at an idle server with a slowdown factor of 1.

mod config;
mod dispatch;
mod eligibility;
mod evacuation;
mod outcomes;
mod pending_request;
mod preflight;
mod queue_wait;
mod server_notice;
mod server_phase;
mod server_pool;
mod server_state;
mod service_times;
mod shedding;
mod slot_share;
mod warmup;

pub use self::config::{PoolConfig, ServerConfig, Shard};
pub use self::pending_request::{AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection};
pub use self::preflight::{MAX_PREFLIGHT_PROBES, is_latency_much_higher};
pub use self::server_notice::{NoticeSource, Restriction, ServerNotice};
pub use self::server_phase::ServerPhase;
pub use self::server_pool::ServerPool;
pub use self::server_state::{ServerState, ServerSummary};
pub use self::shedding::ShedTally;
pub use self::warmup::{WarmthChange, WarmupTerm};
