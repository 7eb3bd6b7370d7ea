//! Links between entries: heartbeats, load digests, tickets, and requests for permits. `links`
//! opens links, `exchange` accepts and runs them, and `peer_permits` holds the permits that another
//! entry has requested over a link.
//!
//! Load is known from three sources:
//!
//! - a load digest in a heartbeat holds the counts of its sender's outstanding requests at the
//!   servers of a service;
//! - a load report comes from a server, in the headers of an answer;
//! - a load probe is a request for such a report.

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
