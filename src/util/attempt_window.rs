use std::time::Duration;

use lentilcart_util::Micros;
use tokio::time::Instant;

use super::clock::Clock;

/// The part of a stop in which attempts may begin.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptWindow {
    /// From when a request that arrives completely is sent to a server only if its deadline is not after
    /// [`requests_end`](Self::requests_end).
    pub(crate) late_after: Instant,
    /// When requests that servers are still running are answered by this process instead.
    pub(crate) requests_end: Instant,
}

impl AttemptWindow {
    /// Returns whether an attempt that begins now may be sent, for a request that arrived completely at
    /// `received` and is given up at `deadline`, both by `clock`. It must end before the window does: for
    /// certain if the request arrived late, or else if it takes no more than the `expected` service time,
    /// 0 where that is not known.
    pub(crate) fn may_begin_attempt(
        &self,
        clock: &Clock,
        received: Micros,
        deadline: Micros,
        expected: Option<Micros>,
    ) -> bool {
        let to_instant = |time| Instant::from_std(clock.to_instant(time));
        let is_late = to_instant(received) >= self.late_after;
        let expected_end = Instant::now() + Duration::from(expected.unwrap_or_default());
        to_instant(deadline) <= self.requests_end || !is_late && expected_end <= self.requests_end
    }
}
