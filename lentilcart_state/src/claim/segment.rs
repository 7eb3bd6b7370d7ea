use lentilcart_util::{Map, Name, common};

use super::op::{Claim, ClaimState, KeyDigest};

common! { message,
    /// A stored change of the claims.
    pub(super) enum Record {
        /// Takes a key for a claimant until a time.
        #[serde(rename = "t")]
        Take(KeyDigest, Name, u64),
        /// Sets what is known of the request.
        #[serde(rename = "s")]
        State(KeyDigest, ClaimState),
        /// Gives the key back.
        #[serde(rename = "f")]
        Free(KeyDigest),
    }
}

common! { message,
    /// A part of the log. A sealed one never changes again.
    #[derive(Default)]
    pub(super) struct LogSegment {
        pub(super) sealed: bool,
        pub(super) records: Vec<Record>,
    }
}

common! { message,
    /// Where the log begins and where it is written, as of some time.
    #[derive(Default)]
    pub(super) struct LogRoot {
        pub(super) first: u64,
        pub(super) open: u64,
    }
}

impl LogSegment {
    /// Applies the records to claims.
    pub(super) fn fold(&self, claims: &mut Map<KeyDigest, Claim>) {
        for record in &self.records {
            apply(claims, record);
        }
    }

    /// Returns the end of the last claim that the bucket takes.
    pub(super) fn get_expiry(&self) -> u64 {
        let ends = self.records.iter().map(|record| match record {
            Record::Take(_, _, expires) => *expires,
            Record::State(..) | Record::Free(_) => 0,
        });
        ends.max().unwrap_or_default()
    }
}

pub(super) fn apply(claims: &mut Map<KeyDigest, Claim>, record: &Record) {
    match record {
        Record::Take(digest, claimant, expires) => {
            let claim = Claim {
                claimant: claimant.clone(),
                state: ClaimState::Running,
                expires: *expires,
            };
            claims.insert(*digest, claim);
        }
        Record::State(digest, state) => {
            if let Some(claim) = claims.get_mut(digest) {
                claim.state = *state;
            }
        }
        Record::Free(digest) => {
            claims.remove(digest);
        }
    }
}
