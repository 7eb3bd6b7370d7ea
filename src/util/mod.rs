//! Clock, logs and pauses between tries.

mod backoff;
mod clock;
mod logs;

pub(crate) use self::backoff::Backoff;
pub use self::clock::{Clock, unix_millis};
pub use self::logs::init_logs;
