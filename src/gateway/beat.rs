use std::net::SocketAddr;

use lentilcart_route::Load;
use lentilcart_util::{Name, common};

common! { message,
    /// What an entry tells the others several times a second, and registers with the store.
    #[derive(Eq)]
    pub(crate) struct Beat {
        pub(crate) name: Name,
        pub(crate) data_center: Name,
        pub(crate) peer: SocketAddr,
        /// Number of the routes in force.
        pub(crate) number: u64,
        /// Newest revision known under each mirrored prefix.
        pub(crate) latest: [u64; 3],
        pub(crate) leaving: bool,
    }
}

common! { message,
    /// A server's load, as its owner heard it.
    pub(crate) struct LoadNews {
        pub(crate) service: Name,
        pub(crate) server: SocketAddr,
        pub(crate) load: Load,
    }
}

common! { message,
    /// A datagram between entries.
    pub(crate) enum Gram {
        Beat(Beat),
        Loads(Vec<LoadNews>),
    }
}

impl Beat {
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, String> {
        ciborium::from_reader(bytes).map_err(|e| e.to_string())
    }
}

impl Gram {
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
