//! Reading of ticket files, which reports every fault at once.

mod reader;
mod ticket;

pub use self::ticket::parse_ticket;
