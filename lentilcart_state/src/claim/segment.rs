use lentilcart_util::{Map, Name, common};

use super::op::{Claim, ClaimState, KeyDigest};

common! { message,
    /// A change of the claims as stored in the log.
    pub(super) enum Record {
        /// Claims a key for a claimant until a time in milliseconds of Unix time.
        #[serde(rename = "t")]
        Acquire(KeyDigest, Name, u64),
        /// Sets what is known of the request whose key is claimed.
        #[serde(rename = "s")]
        SetState(KeyDigest, ClaimState),
        /// Removes the claim of a key.
        #[serde(rename = "f")]
        Release(KeyDigest),
    }
}

common! { message,
    /// A part of the log, stored under one key. A sealed one never changes again, except that it is
    /// emptied once all of its claims have expired.
    #[derive(Default)]
    pub(super) struct LogSegment {
        /// Whether the segment is closed to new records.
        pub(super) sealed: bool,
        /// Changes, the oldest first.
        pub(super) records: Vec<Record>,
    }
}

common! { message,
    /// Bounds of the log, its first and its open segment, when this was written; a hint that may be
    /// out of date.
    #[derive(Default)]
    pub(super) struct LogBounds {
        /// Index of the first segment whose claims may not all have expired.
        pub(super) first: u64,
        /// Index of the open segment; written, but not read by the log.
        pub(super) open: u64,
    }
}

impl LogSegment {
    /// Applies all records to a map of claims.
    pub(super) fn apply_to(&self, claims: &mut Map<KeyDigest, Claim>) {
        for record in &self.records {
            apply(claims, record);
        }
    }

    /// Returns the latest expiry of the claims in the segment, in milliseconds of Unix time; 0
    /// where it holds none.
    pub(super) fn get_expiry(&self) -> u64 {
        let expiries = self.records.iter().map(|record| match record {
            Record::Acquire(_, _, expires) => *expires,
            Record::SetState(..) | Record::Release(_) => 0,
        });
        expiries.max().unwrap_or_default()
    }
}

/// Applies one record to a map of claims.
pub(super) fn apply(claims: &mut Map<KeyDigest, Claim>, record: &Record) {
    match record {
        Record::Acquire(digest, claimant, expires) => {
            let claim = Claim {
                claimant: claimant.clone(),
                state: ClaimState::Running,
                expires: *expires,
            };
            claims.insert(*digest, claim);
        }
        Record::SetState(digest, state) => {
            if let Some(claim) = claims.get_mut(digest) {
                claim.state = *state;
            }
        }
        Record::Release(digest) => {
            claims.remove(digest);
        }
    }
}
