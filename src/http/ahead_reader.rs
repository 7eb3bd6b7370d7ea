use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use super::ahead_state::AheadState;
use super::chunked_body::{ChunkedBody, ChunkedProgress};
use super::request_head::{BodyLength, ParsedHead, build_request, may_end_head, parse_head};

/// Largest number of bytes that wait behind the request that is served: many times the header sections of
/// [`MAX_EARLY`](super::ahead_state::MAX_EARLY) requests of usual size.
pub(super) const MAX_WAITING_BYTES: usize = 16 * 1024;
/// Largest header section of a request that runs before its turn, in bytes: hyper accepts one of this size
/// whatever the limit, which is at least 8192, so that what is behind it is answered, too.
const MAX_EARLY_HEAD: usize = 4 * 1024;
/// Largest number of arrival times that are kept for the bytes that wait.
const MAX_ARRIVALS: usize = 32;
/// Memory that is kept for header sections between the requests of a connection, in bytes, unless the last one
/// was larger.
const MAX_KEPT_HEAD: usize = 2 * 1024;

/// What the next byte that is passed on belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Position {
    /// A header section.
    Head,
    /// A body, of which this number of bytes is missing; at least 1.
    Body(u64),
    /// A body that tells its end itself.
    Chunked(ChunkedBody),
    /// Not known; all bytes are passed on.
    Unknown,
}

/// Divides the bytes of a connection into requests, passes them on one request at a time, and starts requests
/// among those that wait. It does no I/O.
pub(super) struct AheadReader {
    state: Arc<AheadState>,
    position: Position,
    /// What has been passed on of the last header section.
    head: Vec<u8>,
    /// Whether the request of `head` may run together with others; `None` if that was not asked yet, or the
    /// header section is not complete.
    may_overlap: Option<bool>,
    /// Whether `head` is a complete header section.
    is_complete: bool,
    /// Bytes that have been read and not passed on.
    waiting: Vec<u8>,
    /// Number of bytes before the first one of `waiting`.
    passed: u64,
    /// Number of bytes of `waiting` that belong to requests that run.
    started: usize,
    /// Number of bytes of `waiting` in which no end of the next header section has been found.
    searched: usize,
    /// Whether the request behind those that run has to wait for its turn.
    is_blocked: bool,
    /// Numbers of bytes, counted from the first one of the connection, and when the last of them arrived.
    arrivals: VecDeque<(u64, Instant)>,
}

impl AheadReader {
    /// Creates a reader for a connection on which nothing has been read.
    pub(super) fn new(state: Arc<AheadState>) -> Self {
        Self {
            state,
            position: Position::Head,
            head: Vec::new(),
            may_overlap: None,
            is_complete: false,
            waiting: Vec::new(),
            passed: 0,
            started: 0,
            searched: 0,
            is_blocked: false,
            arrivals: VecDeque::new(),
        }
    }

    /// Returns whether the next bytes may be passed on: they do not belong to a request behind the one that
    /// is served.
    pub(super) fn may_pass(&self) -> bool {
        self.position != Position::Head || self.state.is_waiting()
    }

    /// Returns whether bytes wait.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns how many more bytes may wait.
    pub(super) fn get_room(&self) -> usize {
        MAX_WAITING_BYTES.saturating_sub(self.waiting.len())
    }

    /// Returns the state that it shares with the service.
    pub(super) fn get_state(&self) -> &AheadState {
        &self.state
    }

    /// Adds bytes that have been read behind those that wait.
    pub(super) fn add_waiting(&mut self, bytes: &[u8], now: Instant) {
        self.waiting.extend_from_slice(bytes);
        let end = self.passed + self.waiting.len() as u64;
        if self.arrivals.len() == MAX_ARRIVALS {
            // Bytes seem to have arrived later, so that no deadline is too early.
            self.arrivals.pop_back();
        }
        self.arrivals.push_back((end, now));
    }

    /// Takes the bytes that are passed on next from those that wait, at most `max`.
    pub(super) fn take_waiting(&mut self, max: usize) -> Vec<u8> {
        let mut waiting = std::mem::take(&mut self.waiting);
        let candidates = &waiting[..max.min(waiting.len())];
        let count = self.advance(candidates, true);
        self.waiting = waiting.split_off(count);
        self.started = self.started.saturating_sub(count);
        self.searched = self.searched.saturating_sub(count);
        while self
            .arrivals
            .front()
            .is_some_and(|(end, _)| *end <= self.passed)
        {
            self.arrivals.pop_front();
        }
        waiting
    }

    /// Records bytes that are passed on as they are read. Returns how many may be passed on; the rest waits.
    pub(super) fn pass_on(&mut self, bytes: &[u8], now: impl FnOnce() -> Instant) -> usize {
        let count = self.advance(bytes, false);
        if count < bytes.len() {
            self.add_waiting(&bytes[count..], now());
        }
        count
    }

    /// Returns how many of `bytes` belong to the request that hyper reads, and records them as passed on.
    fn advance(&mut self, bytes: &[u8], has_waited: bool) -> usize {
        let count = match self.position {
            Position::Head => self.advance_head(bytes, has_waited),
            Position::Body(missing) => {
                let count = missing.min(bytes.len() as u64);
                self.position = match missing - count {
                    0 => Position::Head,
                    missing => Position::Body(missing),
                };
                count as usize
            }
            Position::Chunked(mut body) => match body.advance(bytes) {
                ChunkedProgress::Unfinished => {
                    self.position = Position::Chunked(body);
                    bytes.len()
                }
                ChunkedProgress::Ended(count) => {
                    self.position = Position::Head;
                    count
                }
                ChunkedProgress::Unclear => {
                    self.become_transparent();
                    bytes.len()
                }
            },
            Position::Unknown => bytes.len(),
        };
        self.passed += count as u64;
        count
    }

    fn advance_head(&mut self, bytes: &[u8], has_waited: bool) -> usize {
        if self.is_complete {
            self.is_complete = false;
            self.may_overlap = None;
            self.head.clear();
        }
        let before = self.head.len();
        self.head.extend_from_slice(bytes);
        if !may_end_head(&self.head, before) {
            return bytes.len();
        }
        let head = match parse_head(&self.head) {
            ParsedHead::Partial => return bytes.len(),
            ParsedHead::Invalid => {
                self.become_transparent();
                return bytes.len();
            }
            ParsedHead::Complete(head) => head,
        };
        let count = head.length - before;
        let end = self.passed + count as u64;
        self.head.truncate(head.length);
        self.head.shrink_to(MAX_KEPT_HEAD);
        self.is_complete = true;
        self.may_overlap = (!head.is_plain).then_some(false);
        if self.started == 0 {
            // The request that had to wait for its turn is passed on.
            self.is_blocked = false;
        }
        let arrived = has_waited.then(|| self.find_arrival(end)).flatten();
        self.state.record_head(arrived);
        match head.body {
            BodyLength::Known(0) => count,
            BodyLength::Known(length) => {
                self.position = Position::Body(length);
                count
            }
            BodyLength::Chunked => {
                self.position = Position::Chunked(ChunkedBody::new());
                count
            }
            BodyLength::Unknown => {
                self.become_transparent();
                bytes.len()
            }
        }
    }

    /// Passes on all further bytes, since it is not known what they belong to.
    fn become_transparent(&mut self) {
        self.position = Position::Unknown;
        self.head = Vec::new();
    }

    /// Starts requests that wait, as long as they may run before their turn.
    pub(super) fn look_ahead(&mut self) {
        while !self.is_blocked && self.started < self.waiting.len() && self.state.has_room() {
            let next = &self.waiting[self.started..];
            if !may_end_head(next, self.searched.saturating_sub(self.started)) {
                self.searched = self.waiting.len();
                return;
            }
            let head = parse_head(next);
            match head {
                ParsedHead::Partial => {
                    self.searched = self.waiting.len();
                    return;
                }
                ParsedHead::Complete(head)
                    if head.is_plain
                        && head.length <= MAX_EARLY_HEAD
                        && self.start_next(head.length) =>
                {
                    self.started += head.length;
                }
                ParsedHead::Complete(_) | ParsedHead::Invalid => self.is_blocked = true,
            }
        }
    }

    /// Starts the request behind those that run, whose header section has a length; returns false if it has
    /// to wait for its turn.
    fn start_next(&mut self, length: usize) -> bool {
        let may_overlap = self.may_overlap.unwrap_or_else(|| {
            build_request(&self.head).is_some_and(|request| self.state.may_overlap(&request))
        });
        self.may_overlap = Some(may_overlap);
        let end = self.started + length;
        let request = build_request(&self.waiting[self.started..end]);
        let arrived = self.find_arrival(self.passed + end as u64);
        match (request, arrived) {
            (Some(request), Some(arrived)) if may_overlap => self.state.start(request, arrived),
            _ => false,
        }
    }

    /// Returns when the byte before the one with this number, counted from the first one of the connection,
    /// arrived, if it has waited.
    fn find_arrival(&self, end: u64) -> Option<Instant> {
        let mut arrivals = self.arrivals.iter();
        let arrived = arrivals.find(|(arrived_end, _)| *arrived_end >= end);
        arrived.map(|(_, time)| *time)
    }
}
