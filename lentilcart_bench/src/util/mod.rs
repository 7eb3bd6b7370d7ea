//! Helpers of the stand-ins.

mod addresses;
mod http_server;
mod timer;

pub use self::addresses::{center_of, host};
pub use self::http_server::{Conn, json, serve, text};
pub use self::timer::{sleep_until, unix_micros};
