use lentilcart_util::{Name, common};
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use xxhash_rust::xxh3::xxh3_128;

/// 128-bit digest of an idempotency key.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 16]);

impl Digest {
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
        pub by: Name,
        /// What is known of the request.
        pub state: ClaimState,
        /// End of the claim in milliseconds of Unix time.
        pub expires: u64,
    }
}

/// A change that an entry wants of the claims.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
    /// Changes nothing; brings what is known up to date.
    Read,
    /// Claims a key that nobody holds.
    Take {
        /// Digest of the key.
        digest: Digest,
        /// Claimant, unique for each attempt.
        by: Name,
        /// End of the claim in milliseconds of Unix time.
        expires: u64,
    },
    /// Records what became of a claimed request.
    Record {
        /// Digest of the key.
        digest: Digest,
        /// Claimant.
        by: Name,
        /// What became of it.
        state: ClaimState,
    },
    /// Gives a claim back, since its request was not run.
    Release {
        /// Digest of the key.
        digest: Digest,
        /// Claimant.
        by: Name,
    },
}

impl Op {
    /// Returns what must be stored later where it is not known whether this was: a claim whose
    /// request was refused is given back.
    pub(crate) fn get_repeat(&self) -> Option<Self> {
        match self {
            Self::Read => None,
            Self::Take { digest, by, .. } => {
                let (digest, by) = (*digest, by.clone());
                Some(Self::Release { digest, by })
            }
            Self::Record { .. } | Self::Release { .. } => Some(self.clone()),
        }
    }

    /// Returns the digest that it is about.
    #[must_use]
    pub fn get_digest(&self) -> Option<Digest> {
        match self {
            Self::Read => None,
            Self::Take { digest, .. }
            | Self::Record { digest, .. }
            | Self::Release { digest, .. } => Some(*digest),
        }
    }
}

/// What became of an [`Op`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The change is stored.
    Stored,
    /// Another attempt holds the key.
    Held(ClaimState),
    /// The platform did not answer; the change may be stored or not.
    Unavailable,
}
