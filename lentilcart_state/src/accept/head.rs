use std::sync::Arc;

use lentilcart_util::{Map, Name, common};

use crate::error::StateError;
use crate::platform::VersionedValue;
use crate::ticket::Ticket;

/// Key of the latest accepted ticket.
pub const HEAD_KEY: &str = "head";
/// Key of the index from service to its last ticket.
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";
/// Largest ticket that the head itself holds, in bytes.
pub(crate) const MAX_INLINE_BYTES: usize = 65_536;
/// Tickets between two snapshots.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 64;

/// Returns the key that holds the id of the ticket with this number.
#[must_use]
pub fn number_key(number: u64) -> Name {
    format!("number/{number}").into()
}

/// Returns the key that holds the body of the ticket with this id.
#[must_use]
pub fn ticket_key(id: &str) -> Name {
    format!("ticket/{id}").into()
}

common! { message,
    /// Names the latest accepted ticket.
    #[derive(Default)]
    pub struct Head {
        /// Number, counted from 1; 0 where no ticket was accepted yet.
        pub number: u64,
        /// Submitter's id of the ticket.
        pub id: Name,
        /// The ticket itself where it is small, so that a watch brings it at once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub ticket: Option<Arc<Ticket>>,
    }
}

common! { message,
    /// The last ticket that touched a service.
    pub struct TicketRef {
        /// Number of the ticket.
        pub number: u64,
        /// Id of the ticket.
        pub id: Name,
    }
}

common! { message,
    /// The last ticket of each service, as of a number.
    #[derive(Default)]
    pub struct TicketIndex {
        /// Number that the index describes.
        pub number: u64,
        /// Last ticket of each service that exists.
        pub services: Map<Name, TicketRef>,
    }
}

impl Head {
    /// Reads a stored head; an absent one is the empty head of version 0.
    ///
    /// # Errors
    ///
    /// Fails where the stored text is not a head.
    pub fn from_stored(stored: Option<&VersionedValue>) -> Result<(Self, u64), StateError> {
        match stored {
            Some(stored) => Ok((decode(HEAD_KEY, &stored.value)?, stored.version)),
            None => Ok((Self::default(), 0)),
        }
    }
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(
    key: &str,
    text: &str,
) -> Result<T, StateError> {
    serde_json::from_str(text).map_err(|e| StateError::Corrupt(key.to_owned(), e.to_string()))
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("state types have text keys")
}
