use std::time::Duration;

use tokio::time::Instant;

use crate::settings::EntrySettings;
use crate::util::AttemptWindow;

/// The drain time divided by this number is reserved, at its end, for the requests that servers are running.
/// In it, requests without a permit are rejected, since an attempt that began would not end in time.
const ATTEMPT_RESERVE_DIVISOR: u32 = 5;
/// Time after the drain within which the callers of requests that are still running get an answer of this
/// entry.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// The times of an entry's stop, counted from its beginning.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainSchedule {
    /// When the listener for callers closes.
    pub(crate) listener_end: Instant,
    /// When attempts may begin.
    pub(crate) window: AttemptWindow,
    /// When the open connections of callers get no more requests, and the drain begins.
    pub(crate) connections_end: Instant,
    /// From when no attempt begins: requests without a permit are rejected.
    pub(crate) attempts_end: Instant,
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
            window: AttemptWindow {
                // The platform's balancer sends nothing more; callers send over connections that are open.
                late_after: listener_end,
                requests_end,
            },
            connections_end,
            attempts_end: requests_end - settings.drain_timeout / ATTEMPT_RESERVE_DIVISOR,
            answers_end: requests_end + ANSWER_TIMEOUT,
        }
    }
}
