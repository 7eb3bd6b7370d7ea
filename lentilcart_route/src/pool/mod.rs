//! The servers of a service and the requests given to them.

mod config;
mod job;
mod phase;
#[allow(clippy::module_inception)]
mod pool;
mod row;

pub use self::config::{PoolConfig, ServerConfig, Share};
pub use self::job::{Job, Load, Outcome, Refusal, Step};
pub use self::phase::Phase;
pub use self::pool::Pool;
pub use self::row::{Row, RowView};
