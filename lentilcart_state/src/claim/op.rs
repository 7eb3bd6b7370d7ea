use lentilcart_util::{Name, common};
use xxhash_rust::xxh3::xxh3_128;

common! { value,
    /// 128-bit digest of a service and an idempotency key.
    pub struct Digest(pub u128);
}

impl Digest {
    /// Digests a key of a service.
    #[must_use]
    pub fn of(service: &str, key: &str) -> Self {
        Self(xxh3_128(format!("{service}\0{key}").as_bytes()))
    }

    /// Returns the shard that holds the digest.
    #[must_use]
    pub fn get_shard(self, shards: u32) -> u32 {
        (self.0 % u128::from(shards)) as u32
    }

    pub(crate) fn to_text(self) -> Name {
        format!("{:032x}", self.0).into()
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

/// A change that an entry wants of a shard.
#[derive(Debug, Clone, PartialEq)]
pub enum Op {
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
