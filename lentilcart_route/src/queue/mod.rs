//! Requests that wait for a server, by priority and then by arrival.

use std::collections::VecDeque;

use lentilcart_util::Micros;

use crate::pool::PendingRequest;

/// Number of priorities; 9 is served first.
pub(crate) const PRIORITIES: usize = 10;

/// Share of the time until its objective that the oldest request must have to spare, to go first.
const MIN_SLACK_SHARE: f64 = 0.2;

/// Waiting requests.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    levels: [VecDeque<PendingRequest>; PRIORITIES],
    len: usize,
}

impl RequestQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request at its place by arrival; one that comes back keeps the place that it had.
    pub(crate) fn push(&mut self, request: PendingRequest) {
        self.len += 1;
        let level = &mut self.levels[usize::from(request.priority).min(PRIORITIES - 1)];
        let earlier = level
            .iter()
            .rposition(|other| other.arrived <= request.arrived);
        level.insert(earlier.map_or(0, |at| at + 1), request);
    }

    /// Returns how many requests are served before one of this priority.
    pub(crate) fn get_ahead(&self, priority: u8) -> usize {
        self.levels[usize::from(priority).min(PRIORITIES - 1)..]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    /// Removes and returns the first request, in serving order, that `is_wanted` accepts.
    pub(crate) fn pop(
        &mut self,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        for level in self.levels.iter_mut().rev() {
            if let Some(at) = level.iter().position(&mut is_wanted) {
                self.len -= 1;
                return level.remove(at);
            }
        }
        None
    }

    /// Removes and returns the request that is served next where answers have an objective: those
    /// that can still meet it come first, by priority.
    ///
    /// The oldest goes first while it has time to spare. In an overload the newest does, since it
    /// alone is sure to be answered in time (adaptive LIFO, after Maurer, "Fail at Scale", ACM
    /// Queue, 2015).
    pub(crate) fn pop_by_objective(
        &mut self,
        now: Micros,
        service_time: Micros,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        for level in self.levels.iter_mut().rev() {
            let slack = |request: &PendingRequest| request.objective - (now + service_time);
            let has_time = |request: &PendingRequest| slack(request) > Micros::ZERO;
            let oldest = level
                .iter()
                .position(|request| has_time(request) && is_wanted(request));
            let Some(oldest) = oldest else {
                continue;
            };
            let total = level[oldest].objective - level[oldest].arrived;
            let at = if slack(&level[oldest]) > total.scaled(MIN_SLACK_SHARE) {
                oldest
            } else {
                let newest = level
                    .iter()
                    .rposition(|request| has_time(request) && is_wanted(request));
                newest.unwrap_or(oldest)
            };
            self.len -= 1;
            return level.remove(at);
        }
        self.pop(is_wanted)
    }

    /// Removes a request by its number.
    pub(crate) fn remove(&mut self, request_id: u64) -> bool {
        self.pop(|waiting| waiting.id == request_id).is_some()
    }
}
