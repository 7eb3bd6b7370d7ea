use lentilcart_util::{Name, common};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_128;

/// 128-bit digest of an idempotency key.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 16]);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(xxh3_128(key.as_bytes()).to_be_bytes())
    }
}

common! { message,
    /// What is known of a claimed request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "lowercase")]
    pub enum ClaimState {
        /// It was handed to a server, or is about to be.
        Running,
        /// A server answered it.
        Done,
        /// It may or may not have run.
        Unknown,
    }
}

impl ClaimState {
    /// Returns the word that a caller is told.
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
    /// A stored claim.
    pub struct Claim {
        /// Claimant, unique for each attempt.
        #[serde(rename = "by")]
        pub claimant: Name,
        /// What is known of the request.
        pub state: ClaimState,
        /// End of the claim in milliseconds of Unix time.
        pub expires: u64,
    }
}

/// A change that an entry wants of the claims.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimOp {
    /// Changes nothing; brings what is known up to date.
    Refresh,
    /// Claims a key that nobody holds.
    Acquire {
        /// Digest of the key.
        digest: KeyDigest,
        /// Claimant, unique for each attempt.
        claimant: Name,
        /// End of the claim in milliseconds of Unix time.
        expires: u64,
    },
    /// Records what became of a claimed request.
    SetState {
        /// Digest of the key.
        digest: KeyDigest,
        /// Claimant.
        claimant: Name,
        /// What became of it.
        state: ClaimState,
    },
    /// Gives a claim back, since its request was not run.
    Release {
        /// Digest of the key.
        digest: KeyDigest,
        /// Claimant.
        claimant: Name,
    },
}

impl ClaimOp {
    /// Returns what must be stored later where it is not known whether this was: a claim whose
    /// request was refused is given back.
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

    /// Returns the digest that it is about.
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

/// What became of an [`ClaimOp`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The change is stored.
    Stored,
    /// Another attempt holds the key.
    Held(ClaimState),
    /// The platform did not answer; the change may be stored or not.
    Unavailable,
}
