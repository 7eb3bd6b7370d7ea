//! Clock and logs.

mod clock;
mod logs;

pub use self::clock::{Clock, unix_millis};
pub use self::logs::init_logs;
