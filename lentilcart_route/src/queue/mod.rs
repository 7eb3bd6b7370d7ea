//! Queue of requests that wait for a server, by priority and then by arrival.

use std::collections::VecDeque;

use lentilcart_util::Micros;

use crate::pool::PendingRequest;

/// Number of priorities; the highest, 9, is served first.
pub(crate) const PRIORITIES: usize = 10;

/// Slack that the oldest request must have to go first, as a share of the time from its arrival to
/// its objective.
const MIN_SLACK_SHARE: f64 = 0.2;

/// Queued requests, one queue for each priority.
#[derive(Debug, Default)]
pub(crate) struct RequestQueue {
    /// Queued requests by priority, each level in order of arrival.
    levels: [VecDeque<PendingRequest>; PRIORITIES],
    len: usize,
}

impl RequestQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds a request at its place by arrival time; a request that is queued again returns to the
    /// place that it had.
    pub(crate) fn push(&mut self, request: PendingRequest) {
        self.len += 1;
        let level = &mut self.levels[usize::from(request.priority).min(PRIORITIES - 1)];
        let earlier = level
            .iter()
            .rposition(|other| other.arrived <= request.arrived);
        level.insert(earlier.map_or(0, |index| index + 1), request);
    }

    /// Returns how many queued requests have this priority or a higher one.
    pub(crate) fn get_ahead_count(&self, priority: u8) -> usize {
        self.levels[usize::from(priority).min(PRIORITIES - 1)..]
            .iter()
            .map(VecDeque::len)
            .sum()
    }

    /// Removes and returns the first request that `is_wanted` accepts, by priority and then by
    /// arrival.
    pub(crate) fn pop(
        &mut self,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        for level in self.levels.iter_mut().rev() {
            if let Some(index) = level.iter().position(&mut is_wanted) {
                self.len -= 1;
                return level.remove(index);
            }
        }
        None
    }

    /// Removes and returns the next request that `is_wanted` accepts. A request that can still be
    /// answered before its objective goes before every one that cannot, whatever their priorities;
    /// among each of the two, the highest priority goes first.
    ///
    /// `get_service_time` returns the base service time of a request, zero where it is not known. Slack
    /// is what remains until the objective after a service time.
    ///
    /// Among the requests of one priority that can still be answered in time, the oldest goes first
    /// while its slack is more than 20 % of its time from arrival to objective. Otherwise, as when
    /// requests arrive faster than they are answered, the newest does, since only the newest is
    /// sure to be answered in time (adaptive LIFO, after Maurer, "Fail at Scale", ACM Queue, 2015).
    pub(crate) fn pop_by_objective(
        &mut self,
        now: Micros,
        get_service_time: impl Fn(&PendingRequest) -> Micros,
        mut is_wanted: impl FnMut(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        for level in self.levels.iter_mut().rev() {
            let slack =
                |request: &PendingRequest| request.objective - (now + get_service_time(request));
            let has_time = |request: &PendingRequest| slack(request) > Micros::ZERO;
            let oldest = level
                .iter()
                .position(|request| has_time(request) && is_wanted(request));
            let Some(oldest) = oldest else {
                continue;
            };
            let total = level[oldest].objective - level[oldest].arrived;
            let index = if slack(&level[oldest]) > total.scaled(MIN_SLACK_SHARE) {
                oldest
            } else {
                let newest = level
                    .iter()
                    .rposition(|request| has_time(request) && is_wanted(request));
                newest.unwrap_or(oldest)
            };
            self.len -= 1;
            return level.remove(index);
        }
        self.pop(is_wanted)
    }

    /// Removes a request by its id, and returns whether it was queued.
    pub(crate) fn remove(&mut self, request_id: u64) -> bool {
        self.pop(|queued| queued.id == request_id).is_some()
    }
}
