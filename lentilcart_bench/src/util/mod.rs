//! Addresses, HTTP serving and timing that the stubs share.

mod addresses;
mod http_server;
mod timer;

pub use self::addresses::{data_center_of, host_address};
pub use self::http_server::{ConnectionOptions, json_response, serve, text_response};
pub use self::timer::{sleep_until, unix_micros};
