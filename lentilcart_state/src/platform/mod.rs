//! Requests to the platform's key-value service and the replies to them.

use lentilcart_util::{Name, common};

common! { message,
    /// A stored value with its version.
    pub struct VersionedValue {
        /// Version of the key, which the next compare-and-swap must expect.
        pub version: u64,
        /// Stored text.
        pub value: String,
    }
}

common! { message,
    /// A request to the key-value service.
    pub enum KvRequest {
        /// Reads the value of a key.
        Get {
            /// Key to read.
            key: Name,
        },
        /// Writes a key if its version is the expected one.
        #[serde(rename = "Swap")]
        CompareAndSwap {
            /// Key to write.
            key: Name,
            /// Version that the key must have; 0 where the key must not exist.
            #[serde(rename = "expect")]
            expected_version: u64,
            /// Text to store.
            value: String,
        },
    }
}

common! { message,
    /// Reply to a [`KvRequest`].
    pub enum KvReply {
        /// The value of the key that was read; `None` where the key does not exist.
        Value(Option<VersionedValue>),
        /// The write took effect, and the key has this version now.
        Swapped(u64),
        /// The write did not take effect, since the version did not match; holds the value that the
        /// key has instead, `None` where it does not exist.
        Refused(Option<VersionedValue>),
        /// No usable reply arrived, for this reason. A write may have taken effect, or may still
        /// do so.
        Lost(String),
    }
}
