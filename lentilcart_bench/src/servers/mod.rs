//! Stand-in of a server: slots, a queue behind them, and the ways in which a server misbehaves.

mod mode;
mod server;
mod slowdown;

pub use self::mode::Mode;
pub use self::server::{ServerStub, body_of};
pub use self::slowdown::Slowdowns;
