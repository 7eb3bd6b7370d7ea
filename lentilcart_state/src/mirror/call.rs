use std::fmt;

use lentilcart_util::{Micros, Name};
use serde::{Deserialize, Serialize};

/// A key of the store with its value. The debug output has only the length of the value, which may hold the keys
/// of client accounts.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreItem {
    /// Key.
    pub key: Name,
    /// Value.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
    /// Revision of the store at which the key was last written.
    pub revision: u64,
}

impl fmt::Debug for StoreItem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreItem")
            .field("key", &self.key)
            .field("value", &format_args!("{} bytes", self.value.len()))
            .field("revision", &self.revision)
            .finish()
    }
}

/// A change of a key that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written; holds its new value.
    Written(StoreItem),
    /// This key was removed, at this revision of the store.
    Removed(Name, u64),
}

/// Condition of a write: the revision that a key must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// Key.
    pub key: Name,
    /// Revision of the key's last change; 0 where the key must not exist.
    pub revision: u64,
}

/// A key to write, with its new value. The debug output has only the length of the value, as that of
/// [`StoreItem`].
#[derive(Clone, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: Name,
    /// Value.
    pub value: Vec<u8>,
    /// Id of the lease with which the key expires; 0 for none.
    pub lease: u64,
}

impl fmt::Debug for StorePut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StorePut")
            .field("key", &self.key)
            .field("value", &format_args!("{} bytes", self.value.len()))
            .field("lease", &self.lease)
            .finish()
    }
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a page of the items under a prefix, in the order of their keys.
    List {
        /// Prefix of the keys.
        prefix: Name,
        /// Last key of the previous page; `None` for the first page.
        after: Option<Name>,
        /// Whether the store may answer with a state that is up to some seconds old, at the revision
        /// that the page names. Such a read is cheap, and does not count toward the store's rate limit.
        stale: bool,
    },
    /// Waits for changes under a prefix.
    Watch {
        /// Prefix of the keys.
        prefix: Name,
        /// Revision of the store after which changes are reported.
        after: u64,
        /// Time after which the store replies even without a change.
        max_wait: Micros,
    },
    /// Writes and removes keys in one transaction.
    Write {
        /// Conditions; nothing is changed unless all of them hold.
        preconditions: Vec<Precondition>,
        /// Keys to write.
        puts: Vec<StorePut>,
        /// Keys to remove.
        deletes: Vec<Name>,
    },
    /// Opens a lease that expires after this time unless it is renewed.
    OpenLease(Micros),
    /// Renews the lease with this id.
    RenewLease(u64),
    /// Ends the lease with this id.
    EndLease(u64),
}

impl StoreCall {
    /// Returns the name of this kind of call, for logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::List { stale: true, .. } => "stale-list",
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Write { .. } => "write",
            Self::OpenLease(_) => "lease",
            Self::RenewLease(_) => "renew",
            Self::EndLease(_) => "end",
        }
    }
}

/// The store's reply to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// A page of items, the reply to [`StoreCall::List`].
    Page {
        /// Items.
        items: Vec<StoreItem>,
        /// Whether another page follows.
        more: bool,
        /// Revision of the store at which the page was read.
        revision: u64,
    },
    /// Changes, the reply to [`StoreCall::Watch`].
    Events {
        /// Changes in the order in which they were made; empty where there were none in time.
        events: Vec<StoreEvent>,
        /// Revision of the store to pass as `after` to the next watch.
        revision: u64,
    },
    /// The history after the watch's revision is no longer kept.
    Compacted,
    /// The transaction, [`StoreCall::Write`], took effect at this revision of the store.
    Written(u64),
    /// The transaction changed nothing, since a condition did not hold.
    PreconditionFailed,
    /// The lease was opened with this id.
    LeaseOpened(u64),
    /// The lease was renewed or ended.
    LeaseUpdated,
    /// The lease does not exist, or exists no longer.
    LeaseNotFound,
}
