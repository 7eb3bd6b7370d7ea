use std::net::SocketAddr;

use lentilcart_route::{AttemptOutcome, LoadReport, Rejection, ServerNotice, ShedCause};
use lentilcart_state::{CreditAsk, CreditReply, DEFAULT_WEIGHT};
use lentilcart_util::{Micros, Name, common};

const PERCENT_PER_UNIT: f64 = 100.0;

common! { message,
    /// The state that an entry sends to the others several times a second, and registers with the
    /// store.
    ///
    /// The registration is written once for each lease, so most of its fields become stale; only `name`,
    /// `data_center`, `peer`, `mirrors_operator_keys`, `has_limits`, `weight` and `lease` are read from it.
    #[derive(Eq)]
    #[expect(clippy::struct_excessive_bools, reason = "each is a field of its own on the wire")]
    pub(crate) struct GatewayHeartbeat {
        pub(crate) name: Name,
        pub(crate) data_center: Name,
        /// Address for datagrams and mirror requests of other entries.
        pub(crate) peer: SocketAddr,
        /// Version of the routes in force; 0 if the entry has none.
        #[serde(rename = "number")]
        pub(crate) routes_version: u64,
        /// Revision of the latest known change under each mirrored prefix, in the order of
        /// `MirrorKind::ALL`.
        #[serde(rename = "latest")]
        pub(crate) latest_revisions: [u64; 3],
        pub(crate) leaving: bool,
        /// Whether the entry watches the store and the store answers it.
        pub(crate) watching: bool,
        /// Whether the entry mirrors all keys of the operator, not only the routes; false from an entry of
        /// an earlier version. Only registrations say it, which saves bytes in heartbeats.
        #[serde(rename = "op", default, skip_serializing_if = "std::ops::Not::not")]
        pub(crate) mirrors_operator_keys: bool,
        /// Whether the entry enforces the limits of client accounts and has a share of them; set in the
        /// registration only. Entries of an earlier version ignore it.
        #[serde(rename = "limits", default, skip_serializing_if = "std::ops::Not::not")]
        pub(crate) has_limits: bool,
        /// Weight in the choice of owners and other duties.
        #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
        pub(crate) weight: u32,
        /// Whether the entry falls behind, so that others own its services.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub(crate) overloaded: bool,
        /// Revision up to which the mirror of the servers is complete, and its digest. Only watchers send
        /// it, once a second: it shows the others what they have missed, also a removal that this entry
        /// did not see itself.
        #[serde(rename = "content", default, skip_serializing_if = "Option::is_none")]
        pub(crate) servers_content: Option<(u64, u64)>,
        /// Time since the entry is known to have had all changes of the routes; `None` in registrations, and if that
        /// was never known. Only watchers of an earlier version send it, with `servers_content`.
        #[serde(rename = "age", default, skip_serializing_if = "Option::is_none")]
        pub(crate) routes_age: Option<Micros>,
        /// In a registration: identifier and duration of its lease. An entry that starts again soon
        /// renews that lease instead of registering anew.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(crate) lease: Option<(u64, Micros)>,
    }
}

common! { message,
    /// A server's load as read by the entry that probes it.
    ///
    /// Fields in order: IPv4 address, port, running requests, waiting requests, and slowdown factor in
    /// percent if the server reports one. It is a tuple, without field names in its encoding, since it
    /// is sent many times a second.
    #[derive(Copy, Eq)]
    pub(crate) struct LoadUpdate(u32, u16, u32, u32, Option<u16>);
}

impl LoadUpdate {
    /// Creates an update for a server; returns `None` if its address is not IPv4.
    pub(crate) fn new(server: SocketAddr, load: &LoadReport) -> Option<Self> {
        let SocketAddr::V4(server) = server else {
            return None;
        };
        let slowdown_percent = load
            .slowdown
            .map(|factor| (factor * PERCENT_PER_UNIT).round() as u16);
        let address = u32::from(*server.ip());
        Some(Self(
            address,
            server.port(),
            load.running,
            load.waiting,
            slowdown_percent,
        ))
    }

    /// Returns the server's address.
    pub(crate) fn get_server(&self) -> SocketAddr {
        SocketAddr::from((std::net::Ipv4Addr::from(self.0), self.1))
    }

    /// Returns the load report, without slots, which updates do not carry.
    pub(crate) fn get_load(&self) -> LoadReport {
        LoadReport {
            running: self.2,
            waiting: self.3,
            slots: None,
            slowdown: self.4.map(|percent| f64::from(percent) / PERCENT_PER_UNIT),
        }
    }
}

common! { message,
    /// A datagram between entries, encoded as CBOR. Variants and fields keep the names of earlier
    /// versions in the encoding.
    pub(crate) enum Datagram {
        /// The state of the sender.
        #[serde(rename = "Beat")]
        Heartbeat(GatewayHeartbeat),
        /// Loads of servers that the sender probes.
        #[serde(rename = "Loads")]
        LoadUpdates(Vec<LoadUpdate>),
        /// Requests a permit from the owner of a service, the entry that grants the permits for it.
        #[serde(rename = "Ask")]
        PermitRequest(PermitRequest),
        /// The owner has queued the permit request of this identifier.
        Queued(u64),
        /// The owner grants a permit for one attempt at this server; a hedge is due after
        /// `hedge_after`, or none if that is `None`. `id` is the identifier of the permit request.
        Grant {
            id: u64,
            address: SocketAddr,
            #[serde(rename = "instance")]
            server_id: Name,
            hedge_after: Option<Micros>,
            /// Whether the server was known to be cold: the request must be sent soon.
            #[serde(default, skip_serializing_if = "std::ops::Not::not")]
            paced: bool,
        },
        /// The owner rejects a permit request: `no_server` is true if the owner knows no server of the
        /// service or does not know the service, and false if no server would be free in time.
        Deny {
            id: u64,
            no_server: bool,
            /// Why load shedding refuses the request, and when its caller should come back; `None` if it does not,
            /// and from an entry of an earlier version.
            #[serde(default, skip_serializing_if = "Option::is_none")]
            shed: Option<ShedReply>,
        },
        /// The requester no longer needs the permit, or withdraws its permit request; holds the
        /// identifier of the permit request and the outcome of the attempt.
        #[serde(rename = "Settle")]
        Release(u64, AttemptOutcome),
        /// Tells the owner of a service what one of its servers says of itself, if it says anything. The
        /// outcome of an attempt tells it too, but for answers to probes and those that count as failures.
        /// Entries of an earlier version ignore it and log a warning.
        Notice(Name, SocketAddr, ServerNotice),
        /// Asks the owner of client accounts for credit, and delegates a share of their limits to it. Sent
        /// only where accounts have limits; entries of an earlier version ignore it and log a warning.
        #[serde(rename = "Ca")]
        CreditAsk(CreditAsk),
        /// The reply to [`Self::CreditAsk`].
        #[serde(rename = "Cr")]
        CreditReply(CreditReply),
    }
}

common! { message,
    /// A refusal by load shedding.
    #[derive(Copy)]
    pub(crate) struct ShedReply {
        /// Time after which the caller should come back.
        pub(crate) room_after: Micros,
        /// Id of the request that took the room of this one; `None` if it would have been too late.
        pub(crate) displaced_by: Option<u64>,
    }
}

impl ShedReply {
    /// Returns the refusal of a rejection; `None` if it has another reason.
    pub(crate) fn from_rejection(rejection: Rejection) -> Option<Self> {
        let Rejection::Shed { room_after, cause } = rejection else {
            return None;
        };
        let displaced_by = match cause {
            ShedCause::TooLate => None,
            ShedCause::Displaced(id) => Some(id),
        };
        Some(Self {
            room_after,
            displaced_by,
        })
    }

    /// Returns the rejection that this was made from.
    pub(crate) fn to_rejection(self) -> Rejection {
        Rejection::Shed {
            room_after: self.room_after,
            cause: self
                .displaced_by
                .map_or(ShedCause::TooLate, ShedCause::Displaced),
        }
    }
}

common! { message,
    /// A request for a permit to send one attempt to a server of a service.
    pub(crate) struct PermitRequest {
        /// Identifier that the requesting entry chose; unique within that entry.
        pub(crate) id: u64,
        pub(crate) service: Name,
        /// Priority in the queue; higher numbers are dispatched first.
        pub(crate) priority: u8,
        /// Whether the request must not run more than once.
        #[serde(rename = "once")]
        pub(crate) at_most_once: bool,
        /// Time since the request arrived.
        pub(crate) age: Micros,
        /// Time until the route's latency objective is missed; 0 if it has been missed.
        #[serde(rename = "prompt")]
        pub(crate) until_objective: Micros,
        /// The route's latency objective; 0 from an entry of an earlier version.
        #[serde(rename = "aim", default)]
        pub(crate) latency_objective: Micros,
        /// Time until the request's deadline.
        #[serde(rename = "left")]
        pub(crate) remaining: Micros,
        /// Servers that were tried before, also those that could not be reached; they are not to be
        /// chosen again.
        #[serde(rename = "tried")]
        pub(crate) excluded: Vec<SocketAddr>,
        /// Client account; `None` for none, and from an entry of an earlier version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(crate) account: Option<Name>,
        /// Limit of the account, in requests a second; `None` for no limit, and from an entry of an earlier
        /// version.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub(crate) weight: Option<f64>,
    }
}

/// Weight of an entry of an earlier version, or without a share of a core.
const fn default_weight() -> u32 {
    DEFAULT_WEIGHT
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_default_weight(weight: &u32) -> bool {
    *weight == DEFAULT_WEIGHT
}

impl GatewayHeartbeat {
    /// Encodes the heartbeat as CBOR.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a heartbeat from CBOR; fails with the decoder's message.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|e| e.to_string())
    }
}

impl Datagram {
    /// Encodes the datagram as CBOR.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a datagram from CBOR; fails with the decoder's message.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|e| e.to_string())
    }
}

/// Encodes a value as CBOR.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a vector takes all bytes");
    bytes
}
