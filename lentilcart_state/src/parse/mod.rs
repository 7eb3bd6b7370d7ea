//! Parser of ticket files, which reports all errors of a file at once.

mod reader;
mod ticket;

pub use self::ticket::parse_ticket;
