use std::sync::Arc;

use lentilcart_util::{Map, Name, common};

use crate::error::StateError;
use crate::platform::VersionedValue;
use crate::ticket::Ticket;

/// Key of the stored [`Head`], which names the latest accepted ticket.
pub const HEAD_KEY: &str = "head";
/// Key of the stored [`TicketIndex`], the snapshot from which a new entry starts.
pub(crate) const SNAPSHOT_KEY: &str = "snapshot";
/// Size of the largest encoded ticket that is stored in the head itself, in bytes.
pub(crate) const MAX_INLINE_BYTES: usize = 65_536;
/// Number of accepted tickets between two snapshots, and the most that an entry reads one by one
/// before it starts from the snapshot instead.
pub(crate) const SNAPSHOT_INTERVAL: u64 = 64;

/// Returns the key that holds the id of the ticket with this number.
///
/// The key of the latest ticket may not exist yet; the head names that ticket.
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
    /// The latest accepted ticket, as stored under [`HEAD_KEY`].
    #[derive(Default)]
    pub struct Head {
        /// Number of the ticket, counted from 1; 0 where none was accepted yet.
        pub number: u64,
        /// Id that the submitter gave the ticket.
        pub id: Name,
        /// The ticket itself where it is small, so that whoever reads or watches the head gets
        /// it without another request.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub ticket: Option<Arc<Ticket>>,
    }
}

common! { message,
    /// Reference to an accepted ticket by its number and id.
    pub struct TicketRef {
        /// Number of the ticket.
        pub number: u64,
        /// Id of the ticket.
        pub id: Name,
    }
}

common! { message,
    /// Index from each service to the ticket that last set it, as of a number.
    #[derive(Default)]
    pub struct TicketIndex {
        /// Number of the latest ticket that the index covers.
        pub number: u64,
        /// Last ticket of each existing service, by the service's name.
        pub services: Map<Name, TicketRef>,
    }
}

impl Head {
    /// Decodes a stored head and returns it with the version of its key.
    ///
    /// Where the key is absent these are the empty head and version 0.
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

/// Decodes the stored text of a key.
///
/// # Errors
///
/// Fails with the key and the reason where the text is not of the type's format.
pub(crate) fn decode<T: serde::de::DeserializeOwned>(
    key: &str,
    text: &str,
) -> Result<T, StateError> {
    serde_json::from_str(text).map_err(|e| StateError::Corrupt(key.to_owned(), e.to_string()))
}

/// Encodes a value as it is stored.
pub(crate) fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value)
        .expect("encoding a state type as JSON does not fail: all keys are strings")
}
