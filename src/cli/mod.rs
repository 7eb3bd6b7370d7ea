//! The operators' command line: submits and compares change tickets, and reads back what is in
//! force and what is being served.

mod context;
mod error;
mod explain;
mod help;
#[allow(clippy::module_inception)]
mod main;
mod read_back;
mod template;
mod tickets;

pub use self::error::CliError;
pub use self::explain::tell;
pub use self::main::main;
