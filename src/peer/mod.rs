//! Links between entries: heartbeats, digests, the spread of tickets, and asks for servers.

mod exchange;
mod links;
mod message;
mod peer_permits;

pub(crate) use self::exchange::serve_link;
pub(crate) use self::links::maintain_links;
pub(crate) use self::message::{
    AttemptKind, ClaimRequest, EntryPermitReply, EntryPermitRequest, Heartbeat, LoadDigest,
    Message, PermitRejection,
};
