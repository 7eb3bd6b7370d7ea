//! Links between entries: heartbeats, load digests, tickets, and requests for permits.

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
