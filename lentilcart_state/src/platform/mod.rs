//! Requests to the platform's key-value service and its answers.

use lentilcart_util::{Name, common};

common! { message,
    /// A stored value and its version.
    pub struct VersionedValue {
        /// Version that the next compare-and-swap must name.
        pub version: u64,
        /// Stored text.
        pub value: String,
    }
}

common! { message,
    /// A request to the key-value service.
    pub enum KvRequest {
        /// Reads a key.
        Get {
            /// Key to read.
            key: Name,
        },
        /// Writes a key if its version is still the expected one.
        #[serde(rename = "Swap")]
        CompareAndSwap {
            /// Key to write.
            key: Name,
            /// Version that the key must have; 0 where it must not exist.
            #[serde(rename = "expect")]
            expected_version: u64,
            /// Text to store.
            value: String,
        },
    }
}

common! { message,
    /// The answer to an [`KvRequest`].
    pub enum KvReply {
        /// The key's value, if it exists.
        Value(Option<VersionedValue>),
        /// The write took effect and produced this version.
        Swapped(u64),
        /// The write did not take effect; holds what the key has instead.
        Refused(Option<VersionedValue>),
        /// No answer came. A write may have taken effect, or may still do so.
        Lost(String),
    }
}
