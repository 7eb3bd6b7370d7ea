//! Clock, logs, and backoff between retries.

mod backoff;
mod clock;
mod log_sink;
mod logs;

pub(crate) use self::backoff::Backoff;
pub use self::clock::{Clock, unix_millis};
pub use self::log_sink::{LogSink, LogWriter};
pub use self::logs::{init_logs, init_logs_to};
