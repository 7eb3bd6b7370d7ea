use lentilcart_util::{Micros, Name, common};

common! { message,
    /// An item of the store.
    #[derive(Eq)]
    pub struct Item {
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
    Written(Item),
    /// The key was removed at this revision.
    Removed(Name, u64),
}

/// A key and the revision that it must have; 0 where it must not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Key.
    pub key: Name,
    /// Revision.
    pub revision: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Put {
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
        wait: Micros,
    },
    /// Writes and deletes keys, all or none.
    Write {
        /// Conditions.
        expect: Vec<Expect>,
        /// Keys to write.
        puts: Vec<Put>,
        /// Keys to delete.
        deletes: Vec<Name>,
    },
    /// Opens a lease.
    Lease(Micros),
    /// Renews a lease.
    Renew(u64),
    /// Ends a lease.
    End(u64),
}

impl StoreCall {
    /// Returns the name of the kind of call for logs and metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::List { .. } => "list",
            Self::Watch { .. } => "watch",
            Self::Write { .. } => "write",
            Self::Lease(_) => "lease",
            Self::Renew(_) => "renew",
            Self::End(_) => "end",
        }
    }
}

/// The store's answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// A page of items.
    Page {
        /// Items.
        items: Vec<Item>,
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
    Conflict,
    /// The lease is open.
    Leased(u64),
    /// The lease was renewed or ended.
    Done,
    /// There is no such lease.
    NoLease,
}
