//! The state that lentilcart's entries, the processes of the balancer, share: change tickets, claims
//! of idempotency keys, membership, routes and registered servers. A caller is who sends requests to
//! the balancer.
//!
//! Nothing here does I/O. The platform, the environment in which the entries run, offers two
//! services:
//!
//! - The key-value service has keys with versions, read one by one and written by compare-and-swap.
//!   The ticket and claim protocols are state machines that return a [`KvRequest`] for it and
//!   process the [`KvReply`].
//! - The store has items with revisions, listings, watches, transactions and leases. [`Mirror`]
//!   returns a [`StoreCall`] for it and processes the [`StoreReply`].
//!
//! The other types make no requests; the code that holds them updates them: [`ServerDirectory`],
//! [`MemberTable`], [`RouteTable`], [`EvacuationTable`].
//!
//! Entries that take their services from change tickets use [`Ticket`] with [`Route`] and
//! [`Service`]. Gateways, the entries that take routes and servers from the store, use
//! [`RouteTable`] with [`PathRoute`] and [`ServiceLimits`], and [`ServerDirectory`].
//!
//! The same code runs in the daemon, in the command-line tool and in property tests, and corresponds to
//! the specifications in `spec/`: `tickets.pml` to the acceptance of tickets, `spread.pml` to their
//! distribution, and `claims.pml` to the claims.

mod accept;
mod claim;
mod credit;
mod directory;
mod error;
mod evacuation;
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
pub use self::credit::{
    ASK_INTERVAL, CREDIT_TTL, CreditAsk, CreditAskItem, CreditExchange, CreditHolder, CreditOwner,
    CreditReply, CreditReplyItem, CreditRules, CreditTake, DELEGATION_TTL, GROUP_COUNT, GroupSet,
    OwnerPlan, OwnerStamp, ShareKeeper, get_group,
};
pub use self::directory::{ServerDirectory, ServerRegistration};
pub use self::error::{FieldError, StateError, TicketFileError};
pub use self::evacuation::{Evacuation, EvacuationChange, EvacuationSource, EvacuationTable};
pub use self::member::{
    AnnouncementBudget, DEFAULT_WEIGHT, LagGauge, Member, MemberTable, PacerLease,
    get_lease_duration, get_renewal_interval, get_weight, rendezvous_rank, weighted_rank,
};
pub use self::mirror::{
    FetchOutcome, FetchPlan, FetchSource, FetchStep, Freshness, FreshnessLimits, FreshnessStage,
    Mirror, MirrorChange, MirrorSnapshot, MissingChanges, Place, Precondition, StoreCall,
    StoreEvent, StoreItem, StorePut, StoreReply,
};
pub use self::parse::parse_ticket;
pub use self::platform::{KvReply, KvRequest, VersionedValue};
pub use self::routing::{
    Account, AccountKey, AccountLimit, AccountTable, CallerLimits, HeaderNames, KeyState,
    PathRoute, RouteTable, ServiceLimits, WarmupLimit, WeightedService,
};
pub use self::ticket::{
    EjectLimits, ProbeBudget, RequestClass, RetryLimits, Route, Server, Service, Ticket,
};
