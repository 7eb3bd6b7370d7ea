use lentilcart_util::{Micros, Name, common};

common! { message,
    /// An item of the store.
    #[derive(Eq)]
    pub struct StoreItem {
        /// Key.
        pub key: Name,
        /// Value.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
        /// Revision of its last change.
        pub revision: u64,
    }
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The item was written.
    Written(StoreItem),
    /// The key was removed at this revision.
    Removed(Name, u64),
}

/// A key and the revision that it must have; 0 where it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Precondition {
    /// Key.
    pub key: Name,
    /// Revision.
    pub revision: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StorePut {
    /// Key.
    pub key: Name,
    /// Value.
    pub value: Vec<u8>,
    /// Lease with which the key ends; 0 for none.
    pub lease: u64,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads a page of the items under a prefix, after a key.
    List {
        /// Beginning of the keys.
        prefix: Name,
        /// Last key of the page before.
        after: Option<Name>,
    },
    /// Waits for changes under a prefix after a revision.
    Watch {
        /// Beginning of the keys.
        prefix: Name,
        /// Revision that is known.
        after: u64,
        /// Longest wait.
        max_wait: Micros,
    },
    /// Writes and deletes keys, all or none.
    Write {
        /// Conditions.
        preconditions: Vec<Precondition>,
        /// Keys to write.
        puts: Vec<StorePut>,
        /// Keys to delete.
        deletes: Vec<Name>,
    },
    /// Opens a lease.
    OpenLease(Micros),
    /// Renews a lease.
    RenewLease(u64),
    /// Ends a lease.
    EndLease(u64),
}

impl StoreCall {
    /// Returns the name of the kind of call for logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Write { .. } => "write",
            Self::OpenLease(_) => "lease",
            Self::RenewLease(_) => "renew",
            Self::EndLease(_) => "end",
        }
    }
}

/// The store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// A page of items.
    Page {
        /// Items.
        items: Vec<StoreItem>,
        /// Whether more follow.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// Changes, in order.
    Events {
        /// Changes.
        events: Vec<StoreEvent>,
        /// Revision to continue from.
        revision: u64,
    },
    /// The history asked for is no longer kept.
    Compacted,
    /// The write took effect at this revision.
    Written(u64),
    /// A condition did not hold.
    PreconditionFailed,
    /// The lease is open.
    LeaseOpened(u64),
    /// The lease was renewed or ended.
    LeaseUpdated,
    /// There is no such lease.
    LeaseNotFound,
}
