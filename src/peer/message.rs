use std::net::SocketAddr;

use lentilcart_route::AttemptOutcome;
use lentilcart_state::{AppliedState, ClaimState, KeyDigest, NumberedTicket};
use lentilcart_util::{Micros, Name, common};

use crate::http::BoxError;

common! { message,
    /// An entry's outstanding requests at the servers of one service.
    pub(crate) struct LoadDigest {
        pub(crate) service: Name,
        pub(crate) counts: Vec<(SocketAddr, u32)>,
    }
}

common! { message,
    /// A heartbeat, sent at fixed times and when something in it has changed.
    pub(crate) struct Heartbeat {
        #[serde(rename = "n")]
        pub(crate) name: Name,
        #[serde(rename = "d")]
        pub(crate) data_center: Name,
        #[serde(rename = "p")]
        pub(crate) peer: SocketAddr,
        /// Number of the ticket in force at the sender.
        #[serde(rename = "t")]
        pub(crate) number: u64,
        /// Age of the sender's last contact with the platform, direct or by other entries, in
        /// milliseconds.
        #[serde(rename = "c")]
        pub(crate) confirmed_ms: Option<u64>,
        #[serde(rename = "l")]
        pub(crate) leaving: bool,
        /// Servers that the sender lately saw leaving.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) leaving_servers: Vec<SocketAddr>,
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) digests: Vec<LoadDigest>,
    }
}

common! { message,
    /// A claim of an idempotency key that an ask brings with it.
    pub(crate) struct ClaimRequest {
        #[serde(rename = "d")]
        pub(crate) digest: KeyDigest,
        #[serde(rename = "b")]
        pub(crate) holder: Name,
        #[serde(rename = "k")]
        pub(crate) retention: Micros,
    }
}

common! { message,
    /// Why a server is asked for.
    #[derive(Copy, Eq)]
    pub(crate) enum AttemptKind {
        /// First attempt; waits for a free slot.
        #[serde(rename = "f")]
        First,
        /// Another attempt; needs retry budget and waits for a free slot.
        #[serde(rename = "r")]
        Retry,
        /// Second attempt beside the first; needs hedge budget and a slot that is free now.
        #[serde(rename = "h")]
        Hedge,
    }
}

common! { message,
    /// Asks for a server for one attempt of a request.
    pub(crate) struct EntryPermitRequest {
        #[serde(rename = "s")]
        pub(crate) service: Name,
        #[serde(rename = "k")]
        pub(crate) kind: AttemptKind,
        #[serde(rename = "p")]
        pub(crate) priority: u8,
        #[serde(rename = "o")]
        pub(crate) once: bool,
        /// Time since the request arrived.
        #[serde(rename = "a")]
        pub(crate) age: Micros,
        /// Time left until its deadline.
        #[serde(rename = "l")]
        pub(crate) remaining: Micros,
        #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) excluded: Vec<SocketAddr>,
        #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
        pub(crate) claim: Option<ClaimRequest>,
    }
}

common! { message,
    /// The answer to an ask.
    pub(crate) enum EntryPermitReply {
        /// The attempt may be sent to this server; a hedge is due after the given time.
        #[serde(rename = "s")]
        Granted(SocketAddr, Option<Micros>),
        /// The request was refused.
        #[serde(rename = "d")]
        Rejected(PermitRejection),
    }
}

common! { message,
    /// Why no server was given.
    #[derive(Copy)]
    pub(crate) enum PermitRejection {
        /// The service is overloaded, or the deadline has passed.
        Overload,
        /// The service has no server in use.
        NoServer,
        /// The budget of retries or hedges is spent.
        NoBudget,
        /// An earlier request holds the key.
        Claimed(ClaimState),
        /// The claim cannot be stored.
        #[serde(rename = "NoClaim")]
        ClaimUnavailable,
    }
}

common! { message,
    /// A message between two entries.
    pub(crate) enum Message {
        /// Asks for a server, under a number of the asking entry.
        #[serde(rename = "a")]
        PermitRequest(u64, EntryPermitRequest),
        /// Answers an ask.
        #[serde(rename = "g")]
        PermitReply(u64, EntryPermitReply),
        /// Ends an attempt, or withdraws an ask that was not answered yet.
        #[serde(rename = "e")]
        PermitRelease(u64, AttemptOutcome),
        /// Tells whether a hedge answered first.
        #[serde(rename = "h")]
        HedgeResult(Name, bool),
        /// Records what became of a claimed request; `None` gives the key back.
        #[serde(rename = "c")]
        ClaimUpdate(Name, ClaimRequest, Option<ClaimState>),
        /// Heartbeat.
        #[serde(rename = "b")]
        Heartbeat(Heartbeat),
        /// Asks for the tickets after a number.
        #[serde(rename = "w")]
        TicketsRequest(u64),
        /// Tickets in the order of their numbers; empty where there is none.
        #[serde(rename = "n")]
        Tickets(Vec<NumberedTicket>),
        /// The whole state, for an entry that is far behind.
        #[serde(rename = "i")]
        State(Box<AppliedState>),
    }
}

pub(crate) fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("messages can be written to memory");
    bytes
}

pub(crate) fn decode(bytes: &[u8]) -> Result<Message, BoxError> {
    Ok(ciborium::from_reader(bytes)?)
}

impl Message {
    /// Returns whether the message belongs to one request rather than to control.
    pub(crate) fn is_per_request(&self) -> bool {
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
