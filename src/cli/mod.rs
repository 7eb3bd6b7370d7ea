//! The command line of operators: submits and compares change tickets, and shows the state in force
//! and the state of the servers.

mod context;
mod error;
mod explain;
mod help;
#[allow(clippy::module_inception)]
mod main;
mod status;
mod template;
mod tickets;

pub use self::error::CliError;
pub use self::explain::explain_request;
pub use self::main::main;
