use std::collections::VecDeque;

use lentilcart_util::{Map, Name};

use super::op::{Claim, ClaimOp, ClaimVerdict, KeyDigest};
use super::segment::{LogRoot, LogSegment, Record, apply};
use crate::accept::ProtocolStep;
use crate::platform::{KvReply, KvRequest, VersionedValue};

/// Number of records at which a segment is sealed.
const SEGMENT_RECORDS: usize = 256;

/// The log of a service's claims.
///
/// Changes that arrive while a write is in progress are collected and stored together by the next
/// compare-and-swap.
///
/// Only the last segment of the log, the open one, is written. The write that fills it also seals
/// it, and the next write begins a new segment. An entry that still writes to a sealed segment is
/// refused by its version, reads it, and continues with the next one. The key that holds the bounds
/// of the log is only a hint: safety depends on compare-and-swap alone. The id of a claimant is
/// unique for each attempt, so that a write whose answer was lost is recognised when the log is
/// read again.
#[derive(Debug)]
pub struct ClaimLog {
    /// Beginning of the keys; by itself the key of the log's bounds.
    name: Name,
    /// Operations for the next write, each with its serial number.
    pending: Vec<(u64, ClaimOp)>,
    /// Operations of the write in progress, each with its serial number.
    sent: Vec<(u64, ClaimOp)>,
    /// Claims of the sealed segments; expired ones are dropped whenever a segment is sealed.
    sealed_claims: Map<KeyDigest, Claim>,
    /// Index, version and latest expiry in milliseconds of Unix time of each sealed segment, the
    /// oldest first.
    sealed: VecDeque<(u64, u64, u64)>,
    /// Index of the open segment.
    open_index: u64,
    /// Version and content of the open segment as last read or written; `None` where it must be
    /// read.
    open_segment: Option<(u64, LogSegment)>,
    /// Version of the key of the log's bounds; `None` before it is read.
    root_version: Option<u64>,
    /// Number of records at which a segment is sealed.
    segment_records: usize,
    stage: Stage,
    /// Serial number of the last operation.
    serial: u64,
    /// Verdicts of the write in progress, by serial number.
    verdicts: Vec<(u64, ClaimVerdict)>,
    /// The open segment as it is after the write in progress.
    written: LogSegment,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No request is in progress.
    Idle,
    /// The bounds of the log were requested.
    Root,
    /// The open segment was requested.
    Read,
    /// The open segment is written.
    Write,
    /// The bounds of the log are written after a segment was sealed.
    Hint,
    /// An expired segment is emptied.
    Clean,
}

type LogStep = ProtocolStep<Vec<(u64, ClaimVerdict)>>;

impl ClaimLog {
    /// Creates the log that is stored under keys that begin with a name; nothing is read yet.
    #[must_use]
    pub fn new(name: Name) -> Self {
        Self {
            name,
            pending: Vec::new(),
            sent: Vec::new(),
            sealed_claims: Map::default(),
            sealed: VecDeque::new(),
            open_index: 0,
            open_segment: None,
            root_version: None,
            segment_records: SEGMENT_RECORDS,
            stage: Stage::Idle,
            serial: 0,
            verdicts: Vec::new(),
            written: LogSegment::default(),
        }
    }

    /// Sets the number of records at which a segment is sealed, at least 1.
    #[must_use]
    pub fn with_segment_records(mut self, records: usize) -> Self {
        self.segment_records = records.max(1);
        self
    }

    /// Adds an operation to the next write and returns the serial number of its verdict.
    pub fn push(&mut self, op: ClaimOp) -> u64 {
        self.serial += 1;
        self.pending.push((self.serial, op));
        self.serial
    }

    /// Returns whether operations wait for the next write.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of claims kept of the sealed segments plus that of records in the open
    /// segment, an upper bound of the claims known here.
    #[must_use]
    pub fn get_claim_count(&self) -> usize {
        self.sealed_claims.len()
            + self
                .open_segment
                .as_ref()
                .map_or(0, |(_, segment)| segment.records.len())
    }

    /// Starts a write of the pending operations and returns its first request.
    ///
    /// Returns `None` where no operation is pending or a write is in progress. `now` is in
    /// milliseconds of Unix time.
    pub fn start(&mut self, now: u64) -> Option<KvRequest> {
        if self.stage != Stage::Idle || self.pending.is_empty() {
            return None;
        }
        self.sent = std::mem::take(&mut self.pending);
        let is_fresh =
            self.open_segment.is_some() && self.sent.iter().all(|(_, op)| *op != ClaimOp::Refresh);
        Some(match self.root_version {
            None => self.enter(
                Stage::Root,
                KvRequest::Get {
                    key: self.name.clone(),
                },
            ),
            Some(_) if is_fresh => {
                let evaluated = self.evaluate(now);
                self.request_write(evaluated)
            }
            Some(_) => self.request_segment(),
        })
    }

    /// Processes the reply to the last request; ends with the verdicts of the operations sent, each
    /// with its serial number.
    ///
    /// `now` is in milliseconds of Unix time.
    pub fn step(&mut self, reply: KvReply, now: u64) -> LogStep {
        match (self.stage, reply) {
            (Stage::Root, KvReply::Value(value)) => self.record_root(value),
            (Stage::Read, KvReply::Value(value)) | (Stage::Write, KvReply::Refused(value)) => {
                self.record_segment(value, now)
            }
            (Stage::Write, KvReply::Swapped(version)) => self.record_write(version, now),
            // The write may have taken effect; reading the segment again shows whether it did.
            (Stage::Write, KvReply::Lost(_)) => {
                self.open_segment = None;
                ProtocolStep::Request(self.request_segment())
            }
            (Stage::Hint, reply) => self.record_hint(&reply, now),
            (Stage::Clean, _) => self.finish(),
            _ => self.fail(),
        }
    }

    /// Records the stored bounds of the log and reads the segment that they name first.
    fn record_root(&mut self, value: Option<VersionedValue>) -> LogStep {
        match decode::<LogRoot>(value) {
            Some((version, root)) => {
                self.root_version = Some(version);
                self.open_index = root.first;
                ProtocolStep::Request(self.request_segment())
            }
            None => self.fail(),
        }
    }

    /// Records the stored content of the open segment and writes to it; goes on to the next segment
    /// if this one is sealed.
    fn record_segment(&mut self, value: Option<VersionedValue>, now: u64) -> LogStep {
        match decode::<LogSegment>(value) {
            None => self.fail(),
            Some((version, segment)) if segment.sealed => {
                self.seal(version, &segment, now);
                ProtocolStep::Request(self.request_segment())
            }
            Some(stored) => {
                self.open_segment = Some(stored);
                match self.evaluate(now) {
                    (verdicts, records) if records.is_empty() => {
                        self.verdicts = verdicts;
                        self.finish()
                    }
                    evaluated => ProtocolStep::Request(self.request_write(evaluated)),
                }
            }
        }
    }

    /// Records that the write took effect; where it sealed the segment, writes the log's new
    /// bounds.
    fn record_write(&mut self, version: u64, now: u64) -> LogStep {
        let segment = std::mem::take(&mut self.written);
        if !segment.sealed {
            self.open_segment = Some((version, segment));
            return self.finish();
        }
        self.seal(version, &segment, now);
        self.open_segment = Some((0, LogSegment::default()));
        let first = self.sealed.iter().find(|(_, _, expiry)| *expiry > now);
        let first = first.map_or(self.open_index, |(index, ..)| *index);
        let root = LogRoot {
            first,
            open: self.open_index,
        };
        let request = KvRequest::CompareAndSwap {
            key: self.name.clone(),
            expected_version: self.root_version.unwrap_or_default(),
            value: encode(&root),
        };
        ProtocolStep::Request(self.enter(Stage::Hint, request))
    }

    /// Records the reply to the write of the bounds; empties the oldest sealed segment if all of
    /// its claims have expired.
    fn record_hint(&mut self, reply: &KvReply, now: u64) -> LogStep {
        self.root_version = match reply {
            KvReply::Swapped(version) => Some(*version),
            KvReply::Refused(Some(stored)) => Some(stored.version),
            _ => self.root_version,
        };
        match self.sealed.front().copied() {
            Some((index, version, expiry)) if expiry <= now => {
                self.sealed.pop_front();
                let empty = LogSegment {
                    sealed: true,
                    records: Vec::new(),
                };
                let key = self.get_key(index);
                let request = KvRequest::CompareAndSwap {
                    key,
                    expected_version: version,
                    value: encode(&empty),
                };
                ProtocolStep::Request(self.enter(Stage::Clean, request))
            }
            _ => self.finish(),
        }
    }

    /// Ends the write with its verdicts.
    fn finish(&mut self) -> LogStep {
        self.stage = Stage::Idle;
        self.sent.clear();
        ProtocolStep::Done(std::mem::take(&mut self.verdicts))
    }

    /// Ends the write with the verdict that the platform is unavailable. The next write reads the
    /// open segment again and releases the claims that may have been stored.
    fn fail(&mut self) -> LogStep {
        self.stage = Stage::Idle;
        self.open_segment = None;
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

    /// Records that the open segment is sealed and makes the next one the open segment.
    fn seal(&mut self, version: u64, segment: &LogSegment, now: u64) {
        segment.apply_to(&mut self.sealed_claims);
        self.sealed_claims.retain(|_, claim| claim.expires > now);
        self.sealed
            .push_back((self.open_index, version, segment.get_expiry()));
        self.open_index += 1;
        self.open_segment = None;
    }

    /// Returns the request that reads the open segment.
    fn request_segment(&mut self) -> KvRequest {
        let key = self.get_key(self.open_index);
        self.enter(Stage::Read, KvRequest::Get { key })
    }

    /// Returns the request that writes the open segment with new records. Their verdicts are kept
    /// as evaluated now, since a claim may expire before the answer arrives.
    fn request_write(
        &mut self,
        (verdicts, records): (Vec<(u64, ClaimVerdict)>, Vec<Record>),
    ) -> KvRequest {
        let (expected_version, mut segment) = self.open_segment.clone().unwrap_or_default();
        segment.records.extend(records);
        segment.sealed = segment.records.len() >= self.segment_records;
        let value = encode(&segment);
        self.verdicts = verdicts;
        self.written = segment;
        let key = self.get_key(self.open_index);
        self.enter(
            Stage::Write,
            KvRequest::CompareAndSwap {
                key,
                expected_version,
                value,
            },
        )
    }

    /// Enters a stage with its request.
    fn enter(&mut self, stage: Stage, request: KvRequest) -> KvRequest {
        self.stage = stage;
        request
    }

    /// Returns the key of the segment with an index.
    fn get_key(&self, index: u64) -> Name {
        format!("{}/{index}", self.name).into()
    }

    /// Returns the verdicts of the operations sent, in their order, and the records that they add.
    fn evaluate(&self, now: u64) -> (Vec<(u64, ClaimVerdict)>, Vec<Record>) {
        let mut claims: Map<KeyDigest, Claim> = Map::default();
        for (_, op) in &self.sent {
            if let Some(digest) = op.get_digest()
                && let Some(claim) = self.sealed_claims.get(&digest)
            {
                claims.insert(digest, claim.clone());
            }
        }
        if let Some((_, segment)) = &self.open_segment {
            segment.apply_to(&mut claims);
        }
        let mut records = Vec::new();
        let mut verdicts = Vec::new();
        for (serial, op) in &self.sent {
            let (verdict, record) = decide(&claims, op, now);
            verdicts.push((*serial, verdict));
            if let Some(record) = record {
                apply(&mut claims, &record);
                records.push(record);
            }
        }
        (verdicts, records)
    }
}

/// Returns the verdict of an operation and the record that it adds, `None` where it changes
/// nothing.
fn decide(
    claims: &Map<KeyDigest, Claim>,
    op: &ClaimOp,
    now: u64,
) -> (ClaimVerdict, Option<Record>) {
    let digest = op.get_digest();
    let current = digest
        .and_then(|digest| claims.get(&digest))
        .filter(|c| c.expires > now);
    match (op, current) {
        (ClaimOp::Refresh, _) | (ClaimOp::SetState { .. } | ClaimOp::Release { .. }, None) => {
            (ClaimVerdict::Stored, None)
        }
        (ClaimOp::Acquire { claimant, .. }, Some(current)) if current.claimant == *claimant => {
            (ClaimVerdict::Stored, None)
        }
        (ClaimOp::Acquire { .. }, Some(current)) => (ClaimVerdict::Held(current.state), None),
        (
            ClaimOp::Acquire {
                digest,
                claimant,
                expires,
            },
            None,
        ) => (
            ClaimVerdict::Stored,
            Some(Record::Acquire(*digest, claimant.clone(), *expires)),
        ),
        (ClaimOp::SetState { claimant, .. } | ClaimOp::Release { claimant, .. }, Some(current))
            if current.claimant != *claimant =>
        {
            (ClaimVerdict::Held(current.state), None)
        }
        (ClaimOp::SetState { digest, state, .. }, Some(_)) => (
            ClaimVerdict::Stored,
            Some(Record::SetState(*digest, *state)),
        ),
        (ClaimOp::Release { digest, .. }, Some(_)) => {
            (ClaimVerdict::Stored, Some(Record::Release(*digest)))
        }
    }
}

/// Decodes a stored value and returns it with its version; an absent value is the default with
/// version 0. Returns `None` where the value cannot be decoded.
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
