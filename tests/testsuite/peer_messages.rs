//! Messages between entries, for tests that play an entry.

use std::net::SocketAddr;

use lentilcart::state::NumberedTicket;
use serde::{Deserialize, Serialize};

/// Messages of the protocol between entries that tests send or expect.
#[derive(Debug, Serialize, Deserialize)]
pub enum PeerMessage {
    #[serde(rename = "b")]
    Heartbeat(Heartbeat),
    /// Request for the tickets after a number.
    #[serde(rename = "w")]
    TicketsRequest(u64),
    #[serde(rename = "n")]
    Tickets(Vec<NumberedTicket>),
}

/// A heartbeat, with the fields that are required.
#[derive(Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "n")]
    pub name: String,
    #[serde(rename = "d")]
    pub data_center: String,
    #[serde(rename = "p")]
    pub peer_address: SocketAddr,
    #[serde(rename = "t")]
    pub ticket_number: u64,
    #[serde(rename = "c")]
    pub platform_answer_age_ms: Option<u64>,
    #[serde(rename = "l")]
    pub leaving: bool,
}

impl Heartbeat {
    /// Creates the heartbeat of an entry that has never had an answer of the platform.
    pub fn new(
        name: &str,
        data_center: &str,
        peer_address: SocketAddr,
        ticket_number: u64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            data_center: data_center.to_owned(),
            peer_address,
            ticket_number,
            platform_answer_age_ms: None,
            leaving: false,
        }
    }
}
