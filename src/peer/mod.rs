//! Links between entries: heartbeats, load digests, tickets, and requests for permits. `links`
//! opens links, `exchange` accepts and runs them, and `peer_permits` holds the permits that another
//! entry has requested over a link.
//!
//! Three things tell of load. A load digest in a heartbeat holds the outstanding requests of its
//! sender at the servers of a service. A load report comes from a server, in the headers of an
//! answer. A load probe is a request for such a report.

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
