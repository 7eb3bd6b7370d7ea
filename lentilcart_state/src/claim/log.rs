use std::collections::VecDeque;

use lentilcart_util::{Map, Name};

use super::op::{Claim, ClaimOp, ClaimVerdict, KeyDigest};
use super::segment::{LogBounds, LogSegment, Record, apply};
use crate::accept::ProtocolStep;
use crate::platform::{KvReply, KvRequest, VersionedValue};

/// Number of records at which a segment is sealed.
const SEGMENT_RECORDS: usize = 256;

/// The log of a service's claims.
///
/// Operations that arrive while a round of requests is in progress are collected and stored together
/// by the compare-and-swap of the next round.
///
/// Only the last segment of the log, the open one, is written. The write that fills it also seals
/// it, and the next write begins a new segment. A write to a segment that was sealed
/// meanwhile fails its version check; the entry then reads that segment and goes on to the next one.
/// The stored bounds of the log are only a hint: safety depends on compare-and-swap alone. The id of
/// a claimant is unique for each request, so that a write whose reply was lost is recognised when
/// the log is read again.
#[derive(Debug)]
pub struct ClaimLog {
    /// Key of the log's bounds, and prefix of its segments' keys (`<prefix>/<index>`).
    key_prefix: Name,
    /// Operations for the next round, each with its serial number.
    pending: Vec<(u64, ClaimOp)>,
    /// Operations of the round in progress, each with its serial number.
    batch: Vec<(u64, ClaimOp)>,
    /// Claims of the sealed segments; expired ones are dropped whenever a segment is sealed.
    sealed_claims: Map<KeyDigest, Claim>,
    /// Index, version and latest expiry in milliseconds of Unix time of each sealed segment, the
    /// oldest first.
    sealed_segments: VecDeque<(u64, u64, u64)>,
    /// Index of the open segment.
    open_index: u64,
    /// Version and content of the open segment as last read or written; `None` where it must be
    /// read.
    open_segment: Option<(u64, LogSegment)>,
    /// Version of the key of the log's bounds; `None` before it is read.
    bounds_version: Option<u64>,
    /// Number of records at which a segment is sealed.
    segment_records: usize,
    stage: Stage,
    /// Serial number of the last operation.
    serial: u64,
    /// Verdicts of the round in progress, by serial number.
    verdicts: Vec<(u64, ClaimVerdict)>,
    /// Content of the open segment once the write in progress has taken effect.
    written: LogSegment,
}

/// Request in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// No round is in progress.
    Idle,
    /// Reading the bounds of the log.
    ReadBounds,
    /// Reading the open segment.
    ReadSegment,
    /// Writing the open segment.
    WriteSegment,
    /// Writing the bounds of the log after a segment was sealed.
    WriteBounds,
    /// Emptying an expired segment.
    EmptySegment,
}

type LogStep = ProtocolStep<Vec<(u64, ClaimVerdict)>>;

impl ClaimLog {
    /// Creates the log that is stored under keys that begin with `key_prefix`; nothing is read yet.
    #[must_use]
    pub fn new(key_prefix: Name) -> Self {
        Self {
            key_prefix,
            pending: Vec::new(),
            batch: Vec::new(),
            sealed_claims: Map::default(),
            sealed_segments: VecDeque::new(),
            open_index: 0,
            open_segment: None,
            bounds_version: None,
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

    /// Adds an operation to the next round and returns the serial number of its verdict, from 1.
    pub fn push(&mut self, op: ClaimOp) -> u64 {
        self.serial += 1;
        self.pending.push((self.serial, op));
        self.serial
    }

    /// Returns whether operations wait for the next round.
    #[must_use]
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns an upper bound of the number of claims known here: the claims kept of the sealed
    /// segments, and each record of the open segment counted once.
    #[must_use]
    pub fn get_claim_count(&self) -> usize {
        self.sealed_claims.len()
            + self
                .open_segment
                .as_ref()
                .map_or(0, |(_, segment)| segment.records.len())
    }

    /// Starts a round of requests for the pending operations and returns the first one.
    ///
    /// Returns `None` where no operation is pending or a round is in progress. `now_ms` is in
    /// milliseconds of Unix time.
    pub fn start(&mut self, now_ms: u64) -> Option<KvRequest> {
        if self.stage != Stage::Idle || self.pending.is_empty() {
            return None;
        }
        self.batch = std::mem::take(&mut self.pending);
        // The version check of the write shows whether the known segment is current, so the write is
        // made even without new records.
        let can_skip_read =
            self.open_segment.is_some() && self.batch.iter().all(|(_, op)| *op != ClaimOp::Refresh);
        Some(match self.bounds_version {
            None => self.enter(
                Stage::ReadBounds,
                KvRequest::Get {
                    key: self.key_prefix.clone(),
                },
            ),
            Some(_) if can_skip_read => {
                let evaluated = self.evaluate(now_ms);
                self.request_write(evaluated)
            }
            Some(_) => self.request_segment(),
        })
    }

    /// Processes the reply to the last request; the round ends with the verdicts of its operations,
    /// each with its serial number.
    ///
    /// Verdicts with the serial number 0 belong to operations that the log adds by itself after a
    /// failed round, to undo or repeat the operations of that round; the user of the log ignores
    /// them.
    ///
    /// Never returns [`ProtocolStep::Wait`].
    ///
    /// `now_ms` is in milliseconds of Unix time.
    pub fn step(&mut self, reply: KvReply, now_ms: u64) -> LogStep {
        match (self.stage, reply) {
            (Stage::ReadBounds, KvReply::Value(value)) => self.handle_bounds(value),
            (Stage::ReadSegment, KvReply::Value(value))
            | (Stage::WriteSegment, KvReply::Refused(value)) => self.handle_segment(value, now_ms),
            (Stage::WriteSegment, KvReply::Swapped(version)) => {
                self.handle_written(version, now_ms)
            }
            // The write may have taken effect; reading the segment again shows whether it did.
            (Stage::WriteSegment, KvReply::Lost(_)) => {
                self.open_segment = None;
                ProtocolStep::Request(self.request_segment())
            }
            (Stage::WriteBounds, reply) => self.handle_bounds_reply(&reply, now_ms),
            (Stage::EmptySegment, _) => self.finish(),
            _ => self.fail(),
        }
    }

    /// Takes over the stored bounds of the log and reads the first segment that they name.
    fn handle_bounds(&mut self, value: Option<VersionedValue>) -> LogStep {
        match decode::<LogBounds>(value) {
            Some((version, bounds)) => {
                self.bounds_version = Some(version);
                self.open_index = bounds.first;
                ProtocolStep::Request(self.request_segment())
            }
            None => self.fail(),
        }
    }

    /// Takes over the stored content of the open segment and writes to it; goes on to the next segment
    /// if this one is sealed.
    fn handle_segment(&mut self, value: Option<VersionedValue>, now_ms: u64) -> LogStep {
        match decode::<LogSegment>(value) {
            None => self.fail(),
            Some((version, segment)) if segment.sealed => {
                self.seal(version, &segment, now_ms);
                ProtocolStep::Request(self.request_segment())
            }
            Some(stored) => {
                self.open_segment = Some(stored);
                match self.evaluate(now_ms) {
                    (verdicts, records) if records.is_empty() => {
                        self.verdicts = verdicts;
                        self.finish()
                    }
                    evaluated => ProtocolStep::Request(self.request_write(evaluated)),
                }
            }
        }
    }

    /// Takes over the written segment; where the write sealed the segment, writes the log's new
    /// bounds.
    fn handle_written(&mut self, version: u64, now_ms: u64) -> LogStep {
        let segment = std::mem::take(&mut self.written);
        if !segment.sealed {
            self.open_segment = Some((version, segment));
            return self.finish();
        }
        self.seal(version, &segment, now_ms);
        self.open_segment = Some((0, LogSegment::default()));
        let first = self
            .sealed_segments
            .iter()
            .find(|(_, _, expiry)| *expiry > now_ms);
        let first = first.map_or(self.open_index, |(index, ..)| *index);
        let bounds = LogBounds {
            first,
            open: self.open_index,
        };
        let request = KvRequest::CompareAndSwap {
            key: self.key_prefix.clone(),
            expected_version: self.bounds_version.unwrap_or_default(),
            value: encode(&bounds),
        };
        ProtocolStep::Request(self.enter(Stage::WriteBounds, request))
    }

    /// Processes the reply to the write of the bounds; empties the oldest sealed segment if all of
    /// its claims have expired.
    fn handle_bounds_reply(&mut self, reply: &KvReply, now_ms: u64) -> LogStep {
        self.bounds_version = match reply {
            KvReply::Swapped(version) => Some(*version),
            KvReply::Refused(Some(stored)) => Some(stored.version),
            _ => self.bounds_version,
        };
        match self.sealed_segments.front().copied() {
            Some((index, version, expiry)) if expiry <= now_ms => {
                self.sealed_segments.pop_front();
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
                ProtocolStep::Request(self.enter(Stage::EmptySegment, request))
            }
            _ => self.finish(),
        }
    }

    /// Ends the round with its verdicts.
    fn finish(&mut self) -> LogStep {
        self.stage = Stage::Idle;
        self.batch.clear();
        ProtocolStep::Done(std::mem::take(&mut self.verdicts))
    }

    /// Ends the round with the verdict that the platform is unavailable for each operation.
    ///
    /// The next round reads the open segment again and stores the compensating operations, with the
    /// serial number 0: claims that may have been acquired are released, and other changes are
    /// repeated.
    fn fail(&mut self) -> LogStep {
        self.stage = Stage::Idle;
        self.open_segment = None;
        self.verdicts.clear();
        let batch = std::mem::take(&mut self.batch);
        self.pending.extend(
            batch
                .iter()
                .filter_map(|(_, op)| Some((0, op.get_compensation()?))),
        );
        ProtocolStep::Done(
            batch
                .into_iter()
                .map(|(serial, _)| (serial, ClaimVerdict::Unavailable))
                .collect(),
        )
    }

    /// Records that the open segment is sealed and makes the next one the open segment.
    fn seal(&mut self, version: u64, segment: &LogSegment, now_ms: u64) {
        segment.apply_to(&mut self.sealed_claims);
        self.sealed_claims.retain(|_, claim| claim.expires > now_ms);
        self.sealed_segments
            .push_back((self.open_index, version, segment.get_expiry()));
        self.open_index += 1;
        self.open_segment = None;
    }

    /// Returns the request that reads the open segment.
    fn request_segment(&mut self) -> KvRequest {
        let key = self.get_key(self.open_index);
        self.enter(Stage::ReadSegment, KvRequest::Get { key })
    }

    /// Returns the request that writes the open segment with new records. Their verdicts are kept
    /// as evaluated here, since a claim may expire before the reply arrives.
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
            Stage::WriteSegment,
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
        format!("{}/{index}", self.key_prefix).into()
    }

    /// Returns the verdicts of the round's operations, in their order, and the records that they add.
    fn evaluate(&self, now_ms: u64) -> (Vec<(u64, ClaimVerdict)>, Vec<Record>) {
        let mut claims: Map<KeyDigest, Claim> = Map::default();
        for (_, op) in &self.batch {
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
        for (serial, op) in &self.batch {
            let (verdict, record) = decide(&claims, op, now_ms);
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
    now_ms: u64,
) -> (ClaimVerdict, Option<Record>) {
    let digest = op.get_digest();
    let current = digest
        .and_then(|digest| claims.get(&digest))
        .filter(|c| c.expires > now_ms);
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
    serde_json::to_string(value)
        .expect("encoding claims as JSON does not fail: all keys are strings")
}
