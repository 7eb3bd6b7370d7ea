//! Clock, logs, backoff between retries, the attempts of a stop, and the memory that the system shows.

mod attempt_window;
mod backoff;
mod clock;
mod host_memory;
mod log_sink;
mod logs;

pub(crate) use self::attempt_window::AttemptWindow;
pub(crate) use self::backoff::Backoff;
pub use self::clock::{Clock, unix_millis};
pub(crate) use self::host_memory::get_visible_memory;
pub use self::log_sink::{LogSink, LogWriter};
pub use self::logs::{init_logs, init_logs_to};
