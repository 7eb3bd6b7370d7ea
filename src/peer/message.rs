use std::net::SocketAddr;

use lentilcart_state::{InForce, Numbered};
use lentilcart_util::{Name, common};

use crate::http::BoxError;

common! { message,
    /// An entry's outstanding requests at the servers of one service.
    pub(crate) struct Digest {
        pub(crate) service: Name,
        pub(crate) counts: Vec<(SocketAddr, u32)>,
    }
}

common! { message,
    /// A heartbeat, sent at fixed times and when something in it has changed.
    pub(crate) struct Beat {
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
        pub(crate) confirmed: Option<u64>,
        #[serde(rename = "l")]
        pub(crate) leaving: bool,
        /// Servers that the sender lately saw leaving.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) servers: Vec<SocketAddr>,
        #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
        pub(crate) digests: Vec<Digest>,
    }
}

common! { message,
    /// A message between two entries.
    pub(crate) enum Message {
        /// Heartbeat.
        #[serde(rename = "b")]
        Beat(Beat),
        /// Asks for the tickets after a number.
        #[serde(rename = "w")]
        Want(u64),
        /// Tickets in the order of their numbers; empty where there is none.
        #[serde(rename = "n")]
        Tickets(Vec<Numbered>),
        /// The whole state, for an entry that is far behind.
        #[serde(rename = "i")]
        State(Box<InForce>),
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
