use std::collections::VecDeque;

use lentilcart_util::{Map, Name};

use super::op::{Claim, ClaimOp, ClaimVerdict, KeyDigest};
use super::segment::{LogRoot, LogSegment, Record, apply};
use crate::accept::ProtocolStep;
use crate::platform::{KvReply, KvRequest, VersionedValue};

const BUCKET_RECORDS: usize = 256;

/// The log of a service's claims: collects changes while a write is under way and stores them
/// together by the next compare-and-swap.
///
/// Only the last bucket of the log is written. It is sealed when it is full, by the same write
/// that fills it, and the next one is begun; whoever still writes to a sealed bucket is refused by
/// its version, reads it, and goes on to the next. The key that holds the bounds of the log is
/// only a hint. Safety rests on compare-and-swap alone: a claimant's id is unique for each attempt,
/// so a write whose answer was lost is recognised when the log is read again.
#[derive(Debug)]
pub struct ClaimLog {
    name: Name,
    pending: Vec<(u64, ClaimOp)>,
    sent: Vec<(u64, ClaimOp)>,
    /// Claims of the sealed buckets.
    base: Map<KeyDigest, Claim>,
    /// Index, version and last expiry of the sealed buckets.
    sealed: VecDeque<(u64, u64, u64)>,
    open: u64,
    /// Version and content of the open bucket, as last read or written.
    bucket: Option<(u64, LogSegment)>,
    root: Option<u64>,
    bucket_records: usize,
    stage: Stage,
    serial: u64,
    verdicts: Vec<(u64, ClaimVerdict)>,
    /// The open bucket as the write under way leaves it.
    written: LogSegment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Idle,
    Root,
    Read,
    Write,
    Hint,
    Clean,
}

type Ended = ProtocolStep<Vec<(u64, ClaimVerdict)>>;

impl ClaimLog {
    /// Creates the log that is stored under keys that begin with a name.
    #[must_use]
    pub fn new(name: Name) -> Self {
        Self {
            name,
            pending: Vec::new(),
            sent: Vec::new(),
            base: Map::default(),
            sealed: VecDeque::new(),
            open: 0,
            bucket: None,
            root: None,
            bucket_records: BUCKET_RECORDS,
            stage: Stage::Idle,
            serial: 0,
            verdicts: Vec::new(),
            written: LogSegment::default(),
        }
    }

    /// Sets the number of records that fill a bucket.
    #[must_use]
    pub fn with_segment_records(mut self, records: usize) -> Self {
        self.bucket_records = records.max(1);
        self
    }

    /// Adds a change and returns the number under which its verdict is given.
    pub fn push(&mut self, op: ClaimOp) -> u64 {
        self.serial += 1;
        self.pending.push((self.serial, op));
        self.serial
    }

    /// Returns whether changes wait for the next write.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of claims known here.
    #[must_use]
    pub fn get_claim_count(&self) -> usize {
        self.base.len()
            + self
                .bucket
                .as_ref()
                .map_or(0, |(_, bucket)| bucket.records.len())
    }

    /// Returns the next request, where changes wait and none is under way; `now` is in
    /// milliseconds of Unix time.
    pub fn start(&mut self, now: u64) -> Option<KvRequest> {
        if self.stage != Stage::Idle || self.pending.is_empty() {
            return None;
        }
        self.sent = std::mem::take(&mut self.pending);
        let is_fresh =
            self.bucket.is_some() && self.sent.iter().all(|(_, op)| *op != ClaimOp::Refresh);
        Some(match self.root {
            None => self.ask(
                Stage::Root,
                KvRequest::Get {
                    key: self.name.clone(),
                },
            ),
            Some(_) if is_fresh => {
                let evaluated = self.evaluate(now);
                self.write(evaluated)
            }
            Some(_) => self.read(),
        })
    }

    /// Takes the answer to the last request; ends with the verdicts of the changes sent.
    pub fn step(&mut self, reply: KvReply, now: u64) -> Ended {
        match (self.stage, reply) {
            (Stage::Root, KvReply::Value(value)) => self.take_root(value),
            (Stage::Read, KvReply::Value(value)) | (Stage::Write, KvReply::Refused(value)) => {
                self.take_bucket(value, now)
            }
            (Stage::Write, KvReply::Swapped(version)) => self.written(version, now),
            // The write may have taken effect; reading again tells.
            (Stage::Write, KvReply::Lost(_)) => {
                self.bucket = None;
                ProtocolStep::Request(self.read())
            }
            (Stage::Hint, reply) => self.hinted(&reply, now),
            (Stage::Clean, _) => self.finish(),
            _ => self.give_up(),
        }
    }

    fn take_root(&mut self, value: Option<VersionedValue>) -> Ended {
        match decode::<LogRoot>(value) {
            Some((version, root)) => {
                self.root = Some(version);
                self.open = root.first;
                ProtocolStep::Request(self.read())
            }
            None => self.give_up(),
        }
    }

    /// Takes what the platform holds of the open bucket; goes on to the next one if it is sealed.
    fn take_bucket(&mut self, value: Option<VersionedValue>, now: u64) -> Ended {
        match decode::<LogSegment>(value) {
            None => self.give_up(),
            Some((version, bucket)) if bucket.sealed => {
                self.seal(version, &bucket, now);
                ProtocolStep::Request(self.read())
            }
            Some(stored) => {
                self.bucket = Some(stored);
                match self.evaluate(now) {
                    (verdicts, records) if records.is_empty() => {
                        self.verdicts = verdicts;
                        self.finish()
                    }
                    evaluated => ProtocolStep::Request(self.write(evaluated)),
                }
            }
        }
    }

    fn written(&mut self, version: u64, now: u64) -> Ended {
        let bucket = std::mem::take(&mut self.written);
        if !bucket.sealed {
            self.bucket = Some((version, bucket));
            return self.finish();
        }
        self.seal(version, &bucket, now);
        self.bucket = Some((0, LogSegment::default()));
        let first = self.sealed.iter().find(|(_, _, expiry)| *expiry > now);
        let first = first.map_or(self.open, |(index, ..)| *index);
        let root = LogRoot {
            first,
            open: self.open,
        };
        let ask = KvRequest::CompareAndSwap {
            key: self.name.clone(),
            expected_version: self.root.unwrap_or_default(),
            value: encode(&root),
        };
        ProtocolStep::Request(self.ask(Stage::Hint, ask))
    }

    /// After the hint: empties the oldest bucket if all of its claims have expired.
    fn hinted(&mut self, reply: &KvReply, now: u64) -> Ended {
        self.root = match reply {
            KvReply::Swapped(version) => Some(*version),
            KvReply::Refused(Some(stored)) => Some(stored.version),
            _ => self.root,
        };
        match self.sealed.front().copied() {
            Some((index, version, expiry)) if expiry <= now => {
                self.sealed.pop_front();
                let empty = LogSegment {
                    sealed: true,
                    records: Vec::new(),
                };
                let key = self.key(index);
                let ask = KvRequest::CompareAndSwap {
                    key,
                    expected_version: version,
                    value: encode(&empty),
                };
                ProtocolStep::Request(self.ask(Stage::Clean, ask))
            }
            _ => self.finish(),
        }
    }

    fn finish(&mut self) -> Ended {
        self.stage = Stage::Idle;
        self.sent.clear();
        ProtocolStep::Done(std::mem::take(&mut self.verdicts))
    }

    /// Ends the changes sent without a verdict; the next start reads the open bucket again, and
    /// gives back the claims that may have been stored.
    fn give_up(&mut self) -> Ended {
        self.stage = Stage::Idle;
        self.bucket = None;
        self.verdicts.clear();
        let sent = std::mem::take(&mut self.sent);
        self.pending.extend(
            sent.iter()
                .filter_map(|(_, op)| Some((0, op.get_compensation()?))),
        );
        ProtocolStep::Done(
            sent.into_iter()
                .map(|(serial, _)| (serial, ClaimVerdict::Unavailable))
                .collect(),
        )
    }

    fn seal(&mut self, version: u64, bucket: &LogSegment, now: u64) {
        bucket.fold(&mut self.base);
        self.base.retain(|_, claim| claim.expires > now);
        self.sealed
            .push_back((self.open, version, bucket.get_expiry()));
        self.open += 1;
        self.bucket = None;
    }

    fn read(&mut self) -> KvRequest {
        let key = self.key(self.open);
        self.ask(Stage::Read, KvRequest::Get { key })
    }

    /// Writes the open bucket with the records that were decided on. Their verdicts are kept as
    /// they were then: a claim may expire before the answer comes.
    fn write(&mut self, (verdicts, records): (Vec<(u64, ClaimVerdict)>, Vec<Record>)) -> KvRequest {
        let (expected_version, mut bucket) = self.bucket.clone().unwrap_or_default();
        bucket.records.extend(records);
        bucket.sealed = bucket.records.len() >= self.bucket_records;
        let value = encode(&bucket);
        self.verdicts = verdicts;
        self.written = bucket;
        let key = self.key(self.open);
        self.ask(
            Stage::Write,
            KvRequest::CompareAndSwap {
                key,
                expected_version,
                value,
            },
        )
    }

    fn ask(&mut self, stage: Stage, ask: KvRequest) -> KvRequest {
        self.stage = stage;
        ask
    }

    fn key(&self, index: u64) -> Name {
        format!("{}/{index}", self.name).into()
    }

    /// Returns the verdicts of the changes sent, in their order, and the records that they add.
    fn evaluate(&self, now: u64) -> (Vec<(u64, ClaimVerdict)>, Vec<Record>) {
        let mut recent: Map<KeyDigest, Claim> = Map::default();
        for (_, op) in &self.sent {
            if let Some(digest) = op.get_digest()
                && let Some(claim) = self.base.get(&digest)
            {
                recent.insert(digest, claim.clone());
            }
        }
        if let Some((_, bucket)) = &self.bucket {
            bucket.fold(&mut recent);
        }
        let mut records = Vec::new();
        let mut verdicts = Vec::new();
        for (serial, op) in &self.sent {
            let (verdict, record) = decide(&recent, op, now);
            verdicts.push((*serial, verdict));
            if let Some(record) = record {
                apply(&mut recent, &record);
                records.push(record);
            }
        }
        (verdicts, records)
    }
}

fn decide(
    claims: &Map<KeyDigest, Claim>,
    op: &ClaimOp,
    now: u64,
) -> (ClaimVerdict, Option<Record>) {
    let digest = op.get_digest();
    let held = digest
        .and_then(|digest| claims.get(&digest))
        .filter(|c| c.expires > now);
    match (op, held) {
        (ClaimOp::Refresh, _) | (ClaimOp::SetState { .. } | ClaimOp::Release { .. }, None) => {
            (ClaimVerdict::Stored, None)
        }
        (ClaimOp::Acquire { claimant, .. }, Some(held)) if held.claimant == *claimant => {
            (ClaimVerdict::Stored, None)
        }
        (ClaimOp::Acquire { .. }, Some(held)) => (ClaimVerdict::Held(held.state), None),
        (
            ClaimOp::Acquire {
                digest,
                claimant,
                expires,
            },
            None,
        ) => (
            ClaimVerdict::Stored,
            Some(Record::Take(*digest, claimant.clone(), *expires)),
        ),
        (ClaimOp::SetState { claimant, .. } | ClaimOp::Release { claimant, .. }, Some(held))
            if held.claimant != *claimant =>
        {
            (ClaimVerdict::Held(held.state), None)
        }
        (ClaimOp::SetState { digest, state, .. }, Some(_)) => {
            (ClaimVerdict::Stored, Some(Record::State(*digest, *state)))
        }
        (ClaimOp::Release { digest, .. }, Some(_)) => {
            (ClaimVerdict::Stored, Some(Record::Free(*digest)))
        }
    }
}

/// Reads a stored value; an absent one is the default of version 0.
fn decode<T: Default + serde::de::DeserializeOwned>(
    value: Option<VersionedValue>,
) -> Option<(u64, T)> {
    match value {
        None => Some((0, T::default())),
        Some(stored) => Some((stored.version, serde_json::from_str(&stored.value).ok()?)),
    }
}

fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("claims have text keys")
}
