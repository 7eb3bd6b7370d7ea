//! Messages between entries and their encoding. `common! { message, ... }` derives `Debug`,
//! `Clone`, `PartialEq` and the serde traits.

use std::net::SocketAddr;

use lentilcart_route::AttemptOutcome;
use lentilcart_state::{AppliedState, ClaimState, KeyDigest, NumberedTicket};
use lentilcart_util::{Micros, Name, common};

use crate::http::BoxError;

common! { message,
    /// An entry's outstanding requests at the servers of one service.
    pub(crate) struct LoadDigest {
        pub(crate) service: Name,
        /// Pairs of a server's address and the number of outstanding requests there.
        pub(crate) counts: Vec<(SocketAddr, u32)>,
    }
}

common! { message,
    /// A heartbeat. The dialling side of a link sends it at fixed intervals, and at once when the
    /// ticket in force, the leaving state or the leaving servers change or the process was paused;
    /// the accepting side sends it once.
    pub(crate) struct Heartbeat {
        /// Name of the sender.
        #[serde(rename = "n")]
        pub(crate) name: Name,
        /// Data centre of the sender.
        #[serde(rename = "d")]
        pub(crate) data_center: Name,
        /// Address under which other entries reach the sender.
        #[serde(rename = "p")]
        pub(crate) peer_address: SocketAddr,
        /// Number of the ticket in force at the sender.
        #[serde(rename = "t")]
        pub(crate) ticket_number: u64,
        /// Time in milliseconds since the platform last answered any entry, as far as the sender
        /// knows; `None` before the first answer.
        #[serde(rename = "c")]
        pub(crate) platform_answer_age_ms: Option<u64>,
        /// Whether the sender is being stopped.
        #[serde(rename = "l")]
        pub(crate) leaving: bool,
        /// Addresses of the servers that the sender saw leaving within the last second
        /// (`LEAVING_REPORT_PERIOD` in `entry`).
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) leaving_servers: Vec<SocketAddr>,
        /// Outstanding requests of the sender, for services whose policy uses load digests.
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) digests: Vec<LoadDigest>,
    }
}

common! { message,
    /// Identifies a claim of an idempotency key: sent with the request for the first permit to
    /// store the claim, and in updates of it.
    pub(crate) struct ClaimRequest {
        /// Digest of the idempotency key.
        #[serde(rename = "d")]
        pub(crate) digest: KeyDigest,
        /// Identifier of the claimant, unique among the requests of all entries.
        #[serde(rename = "b")]
        pub(crate) claimant: Name,
        /// Time for which the claim is kept.
        #[serde(rename = "k")]
        pub(crate) retention: Micros,
    }
}

common! { message,
    /// What a permit is requested for.
    #[derive(Copy, Eq)]
    pub(crate) enum AttemptKind {
        /// A first attempt; waits for a free slot.
        #[serde(rename = "f")]
        First,
        /// A retry; needs retry budget and waits for a free slot.
        #[serde(rename = "r")]
        Retry,
        /// A hedge, sent while the attempt that it hedges is outstanding; needs hedge budget and a
        /// slot that is free now.
        #[serde(rename = "h")]
        Hedge,
    }
}

common! { message,
    /// A request for a permit for one attempt.
    pub(crate) struct EntryPermitRequest {
        #[serde(rename = "s")]
        pub(crate) service: Name,
        #[serde(rename = "k")]
        pub(crate) kind: AttemptKind,
        /// Priority of the request's route, from 0 to 9; a higher priority is served first.
        #[serde(rename = "p")]
        pub(crate) priority: u8,
        /// Whether the request must run at most once.
        #[serde(rename = "o")]
        pub(crate) at_most_once: bool,
        /// Time since the sender began to prepare the request, from which its deadline counts.
        /// Times are sent as durations, since the clocks of two entries differ.
        #[serde(rename = "a")]
        pub(crate) age: Micros,
        /// Remaining time until its deadline.
        #[serde(rename = "l")]
        pub(crate) remaining: Micros,
        /// Addresses of the servers that had an attempt already and are not to be selected.
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) excluded: Vec<SocketAddr>,
        /// Claim to store before the permit is granted.
        #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
        pub(crate) claim: Option<ClaimRequest>,
    }
}

common! { message,
    /// The reply to a request for a permit.
    pub(crate) enum EntryPermitReply {
        /// The attempt may be sent to the server with this address. The second part is the time
        /// from the start of the attempt after which a hedge is due; `None` if none is.
        #[serde(rename = "s")]
        Granted(SocketAddr, Option<Micros>),
        /// No permit is granted.
        #[serde(rename = "d")]
        Rejected(PermitRejection),
    }
}

common! { message,
    /// Why no permit was granted.
    #[derive(Copy)]
    pub(crate) enum PermitRejection {
        /// The service is overloaded, or the deadline has passed.
        Overload,
        /// The service has no server in use, or the entry that was asked does not know the service.
        NoServer,
        /// The budget of retries or hedges is spent; or, for a hedge, no slot is free or other
        /// requests are queued.
        NoBudget,
        /// An earlier request holds the idempotency key; holds the state of that request's claim.
        Claimed(ClaimState),
        /// The claim cannot be stored, since the platform does not answer, or not before the
        /// deadline.
        #[serde(rename = "NoClaim")]
        ClaimUnavailable,
    }
}

common! { message,
    /// A message between two entries.
    pub(crate) enum Message {
        /// Requests a permit, under an id that is unique at the sender.
        #[serde(rename = "a")]
        PermitRequest(u64, EntryPermitRequest),
        /// Replies to the request for a permit with this id.
        #[serde(rename = "g")]
        PermitReply(u64, EntryPermitReply),
        /// Releases the permit with the id of its request, with the outcome of the attempt;
        /// withdraws the request if it has no reply yet.
        #[serde(rename = "e")]
        PermitRelease(u64, AttemptOutcome),
        /// Reports the result of a hedge of a service: true if it answered before the hedged
        /// attempt, or after that had failed.
        #[serde(rename = "h")]
        HedgeResult(Name, bool),
        /// Records the state of a claimed request of a service; `None` releases the claim.
        #[serde(rename = "c")]
        ClaimUpdate(Name, ClaimRequest, Option<ClaimState>),
        /// Heartbeat.
        #[serde(rename = "b")]
        Heartbeat(Heartbeat),
        /// Requests the tickets after a number.
        #[serde(rename = "w")]
        TicketsRequest(u64),
        /// Replies with the tickets in the order of their numbers; empty if there is none.
        #[serde(rename = "n")]
        Tickets(Vec<NumberedTicket>),
        /// Replies with the whole state, if the replying entry no longer has all tickets after the
        /// number.
        #[serde(rename = "i")]
        State(Box<AppliedState>),
    }
}

/// Encodes a message as CBOR (RFC 8949).
pub(crate) fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages can be written to memory");
    bytes
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the bytes are not the CBOR of a message.
pub(crate) fn decode(bytes: &[u8]) -> Result<Message, BoxError> {
    Ok(ciborium::from_reader(bytes)?)
}

impl Message {
    /// Returns whether the message concerns one request; heartbeats and tickets concern none.
    pub(crate) fn is_about_request(&self) -> bool {
        matches!(
            self,
            Self::PermitRequest(..)
                | Self::PermitReply(..)
                | Self::PermitRelease(..)
                | Self::HedgeResult(..)
                | Self::ClaimUpdate(..)
        )
    }
}
