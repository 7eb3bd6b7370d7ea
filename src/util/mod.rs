//! Clock, logs and pauses between tries.

mod backoff;
mod clock;
mod logs;
mod sink;

pub(crate) use self::backoff::Backoff;
pub use self::clock::{Clock, unix_millis};
pub use self::logs::{init_logs, init_logs_to};
pub use self::sink::{LogSink, LogWriter};
