//! The state that lentilcart's entries share: change tickets, claims of idempotency keys,
//! membership, routes and registered servers.
//!
//! Nothing here does I/O. Each protocol is a state machine that returns a [`KvRequest`] for the
//! platform's key-value service and processes the [`KvReply`] to it. The same code runs in the
//! daemon, in the command line and in property tests, and corresponds to the specifications in
//! `spec/`.

mod accept;
mod claim;
mod directory;
mod error;
mod member;
mod mirror;
mod parse;
mod platform;
mod routing;
mod ticket;

pub use self::accept::{
    AppliedState, CatchUp, HEAD_KEY, Head, NumberedTicket, ProtocolStep, SnapshotWriter,
    SubmissionReceipt, TicketConflict, TicketRef, TicketSubmission, diff_tickets, number_key,
    ticket_key,
};
pub use self::claim::{Claim, ClaimLog, ClaimOp, ClaimState, ClaimVerdict, KeyDigest};
pub use self::directory::{ServerDirectory, ServerRegistration};
pub use self::error::{FieldError, StateError, TicketError};
pub use self::member::{Member, MemberTable, rendezvous_rank};
pub use self::mirror::{
    Mirror, MirrorChange, MirrorSnapshot, Precondition, StoreCall, StoreEvent, StoreItem, StorePut,
    StoreReply,
};
pub use self::parse::parse_ticket;
pub use self::platform::{KvReply, KvRequest, VersionedValue};
pub use self::routing::{
    CallerLimits, HeaderNames, PathRoute, RouteTable, ServiceLimits, WeightedService,
};
pub use self::ticket::{
    EjectLimits, ProbeBudget, RequestClass, RetryLimits, Route, Server, Service, Ticket,
};
