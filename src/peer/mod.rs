//! Links between entries: heartbeats, digests and the spread of tickets.

mod exchange;
mod links;
mod message;

pub(crate) use self::exchange::serve_link;
pub(crate) use self::links::keep_links;
pub(crate) use self::message::{Beat, Digest, Message};
