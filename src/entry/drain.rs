use std::time::Duration;

use lentilcart_util::Micros;
use tokio::time::Instant;

use crate::settings::EntrySettings;

/// The drain time divided by this number is reserved, at its end, for the requests that servers are running.
/// In it, requests without a permit are rejected, since an attempt that began would not end in time.
const ATTEMPT_RESERVE_DIVISOR: u32 = 5;
/// Time after the drain within which the callers of requests that are still running get an answer of this
/// entry.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The times of an entry's stop, counted from its beginning. Those of a gateway's are in
/// `gateway::drain`, with the same rule for attempts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainSchedule {
    /// When the listener for callers closes.
    pub(crate) listener_end: Instant,
    /// From when a request that arrives completely is sent to a server only if its deadline is not after
    /// [`requests_end`](Self::requests_end).
    late_after: Instant,
    /// When the open connections of callers get no more requests, and the drain begins.
    pub(crate) connections_end: Instant,
    /// From when no attempt begins: requests without a permit are rejected.
    pub(crate) attempts_end: Instant,
    /// When requests that servers are still running are answered by this entry instead.
    pub(crate) requests_end: Instant,
    /// When the answers of this entry must have been written.
    pub(crate) answers_end: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a stop that begins now.
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let listener_end = Instant::now() + settings.lame_duck;
        let connections_end = listener_end + settings.lame_duck / 2;
        let requests_end = connections_end + settings.drain_timeout;
        Self {
            listener_end,
            // The platform's balancer sends nothing more; callers send over connections that are open.
            late_after: listener_end,
            connections_end,
            attempts_end: requests_end - settings.drain_timeout / ATTEMPT_RESERVE_DIVISOR,
            requests_end,
            answers_end: requests_end + ANSWER_TIMEOUT,
        }
    }

    /// Returns whether an attempt that begins now may be sent, for a request that arrived completely at
    /// `received` and is given up at `deadline`. It must end before the drain does: for certain if the
    /// request arrived late, or else if it takes no more than the `expected` service time.
    pub(crate) fn may_begin_attempt(
        &self,
        received: Instant,
        deadline: Instant,
        expected: Micros,
    ) -> bool {
        let is_late = received >= self.late_after;
        let expected_end = Instant::now() + Duration::from(expected);
        deadline <= self.requests_end || !is_late && expected_end <= self.requests_end
    }
}
