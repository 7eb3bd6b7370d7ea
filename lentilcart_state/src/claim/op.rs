use lentilcart_util::{Name, common};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_128;

/// Digest of an idempotency key: its 128-bit XXH3 hash in big-endian order.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 16]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3_128(key.as_bytes()).to_be_bytes())
    }
}

common! { message,
    /// What is known of the request whose key is claimed.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum ClaimState {
        /// The request was sent to a server, or is about to be.
        Running,
        /// A server answered the request.
        Done,
        /// The request may or may not have run.
        Unknown,
    }
}

impl ClaimState {
    /// Returns the name that is reported to a caller.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Done => "done",
            Self::Unknown => "unknown",
        }
    }
}

common! { message,
    /// Claim of an idempotency key.
    pub struct Claim {
        /// Id of the request that holds the claim, unique for each request of a caller.
        #[serde(rename = "by")]
        pub claimant: Name,
        /// What is known of the request.
        pub state: ClaimState,
        /// End of the claim, in milliseconds of Unix time.
        pub expires: u64,
    }
}

/// An operation on the claim log of a service.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOp {
    /// Changes nothing, but reads what other entries have written.
    Refresh,
    /// Claims a key that no other request holds.
    Acquire {
        /// Digest of the key.
        digest: KeyDigest,
        /// Id of the request that claims the key, unique for each request of a caller.
        claimant: Name,
        /// End of the claim, in milliseconds of Unix time.
        expires: u64,
    },
    /// Sets what is known of a claimed request.
    SetState {
        /// Digest of the key.
        digest: KeyDigest,
        /// Id of the request that holds the claim.
        claimant: Name,
        /// What is known of the request now.
        state: ClaimState,
    },
    /// Removes a claim whose request was not run, so that another one can claim the key.
    Release {
        /// Digest of the key.
        digest: KeyDigest,
        /// Id of the request that holds the claim.
        claimant: Name,
    },
}

impl ClaimOp {
    /// Returns the operation to store later where it is unknown whether this one was stored.
    ///
    /// An acquired claim is released, since the user of [`ClaimLog`](crate::ClaimLog) got the
    /// verdict [`ClaimVerdict::Unavailable`]; the other changes are stored again.
    pub(crate) fn get_compensation(&self) -> Option<Self> {
        match self {
            Self::Refresh => None,
            Self::Acquire {
                digest, claimant, ..
            } => {
                let (digest, claimant) = (*digest, claimant.clone());
                Some(Self::Release { digest, claimant })
            }
            Self::SetState { .. } | Self::Release { .. } => Some(self.clone()),
        }
    }

    /// Returns the digest of the key that is changed, `None` for [`ClaimOp::Refresh`].
    #[must_use]
    pub fn get_digest(&self) -> Option<KeyDigest> {
        match self {
            Self::Refresh => None,
            Self::Acquire { digest, .. }
            | Self::SetState { digest, .. }
            | Self::Release { digest, .. } => Some(*digest),
        }
    }
}

/// Result of a [`ClaimOp`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The operation holds: the claim is acquired, or the change is stored. Also where there was
    /// nothing to change, as for [`ClaimOp::Refresh`], or no unexpired claim to change, so that the
    /// change was dropped.
    Stored,
    /// Another request holds the key, and has this state.
    Held(ClaimState),
    /// The platform gave no usable reply; the change may be stored or not.
    Unavailable,
}
