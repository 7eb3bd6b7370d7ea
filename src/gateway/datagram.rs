use std::net::SocketAddr;

use lentilcart_route::{AttemptOutcome, LoadReport};
use lentilcart_util::{Micros, Name, common};

const PERCENT: f64 = 100.0;

common! { message,
    /// What an entry tells the others several times a second, and registers with the store.
    #[derive(Eq)]
    pub(crate) struct GatewayHeartbeat {
        pub(crate) name: Name,
        pub(crate) data_center: Name,
        pub(crate) peer: SocketAddr,
        /// Number of the routes in force.
        #[serde(rename = "number")]
        pub(crate) routes_number: u64,
        /// Newest revision known under each mirrored prefix.
        #[serde(rename = "latest")]
        pub(crate) latest_revisions: [u64; 3],
        pub(crate) leaving: bool,
        /// Whether it watches the store, and the store answers it.
        pub(crate) watching: bool,
    }
}

common! { message,
    /// A server's load, as its owner heard it: address, requests running and waiting, and slowness
    /// in percent. A tuple, since it is sent many times a second.
    #[derive(Copy, Eq)]
    pub(crate) struct LoadUpdate(u32, u16, u32, u32, Option<u16>);
}

impl LoadUpdate {
    /// Creates news of a server; `None` for addresses that are not IPv4.
    pub(crate) fn new(server: SocketAddr, load: &LoadReport) -> Option<Self> {
        let SocketAddr::V4(server) = server else {
            return None;
        };
        let slowness = load
            .slowdown
            .map(|factor| (factor * PERCENT).round() as u16);
        let address = u32::from(*server.ip());
        Some(Self(
            address,
            server.port(),
            load.running,
            load.waiting,
            slowness,
        ))
    }

    pub(crate) fn get_server(&self) -> SocketAddr {
        SocketAddr::from((std::net::Ipv4Addr::from(self.0), self.1))
    }

    pub(crate) fn get_load(&self) -> LoadReport {
        LoadReport {
            running: self.2,
            waiting: self.3,
            slots: None,
            slowdown: self.4.map(|percent| f64::from(percent) / PERCENT),
        }
    }
}

common! { message,
    /// A datagram between entries.
    pub(crate) enum Datagram {
        #[serde(rename = "Beat")]
        Heartbeat(GatewayHeartbeat),
        #[serde(rename = "Loads")]
        LoadUpdates(Vec<LoadUpdate>),
        /// Asks for a server.
        #[serde(rename = "Ask")]
        PermitRequest(PermitRequest),
        /// The request waits for a server.
        Queued(u64),
        /// The request gets this server.
        Grant {
            id: u64,
            address: SocketAddr,
            instance: Name,
            hedge_after: Option<Micros>,
        },
        /// The request gets no server, since the service has none, or none in time.
        Deny { id: u64, no_server: bool },
        /// The request needs no server any more.
        #[serde(rename = "Settle")]
        Release(u64, AttemptOutcome),
    }
}

common! { message,
    /// A request for a server of a service.
    pub(crate) struct PermitRequest {
        /// Number that the asking entry chose.
        pub(crate) id: u64,
        pub(crate) service: Name,
        pub(crate) priority: u8,
        #[serde(rename = "once")]
        pub(crate) at_most_once: bool,
        /// Time since the request arrived.
        pub(crate) age: Micros,
        /// Time until its answer is no longer prompt, and until its deadline.
        #[serde(rename = "prompt")]
        pub(crate) until_objective: Micros,
        #[serde(rename = "left")]
        pub(crate) remaining: Micros,
        #[serde(rename = "tried")]
        pub(crate) excluded: Vec<SocketAddr>,
    }
}

impl GatewayHeartbeat {
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|e| e.to_string())
    }
}

impl Datagram {
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|e| e.to_string())
    }
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a vector takes all bytes");
    bytes
}
