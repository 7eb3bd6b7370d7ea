//! Stub of a server: its execution slots, the queue in front of them, and the ways in which a
//! server misbehaves.

mod server_mode;
mod server_stub;
mod slowdowns;

pub use self::server_mode::ServerMode;
pub use self::server_stub::{ServerStub, expected_body};
pub use self::slowdowns::Slowdowns;
