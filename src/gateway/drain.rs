use std::time::Duration;

use tokio::time::Instant;

use crate::util::AttemptWindow;

/// The grace period divided by this number is reserved at its end for the exit of the process: in this
/// last sixth the platform no longer counts on responses. The listeners and background tasks get the
/// first half of the reserved time to end.
const EXIT_RESERVE_DIVISOR: u32 = 6;
/// The grace period divided by this number is reserved for the requests that servers are running, before
/// the time reserved for the exit. In it, requests that wait for a server are rejected, since an attempt
/// that began would not end in time.
const ATTEMPT_RESERVE_DIVISOR: u32 = 6;
/// The grace period divided by this number is the part in which the platform may still send requests that
/// outlast the stop. A request that arrives later must end in time.
const LATE_DIVISOR: u32 = 2;
/// Time by which this process may learn of its stop late, so that its grace period ends sooner than it
/// expects.
const SIGNAL_DELAY: Duration = Duration::from_millis(200);

/// The times of a stop, counted from its beginning.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DrainSchedule {
    /// When the listener for callers closes.
    pub(crate) listener_end: Instant,
    /// When attempts may begin.
    pub(crate) window: AttemptWindow,
    /// From when no attempt begins: requests without a server are rejected.
    pub(crate) attempts_end: Instant,
    /// When the answers of this entry must have been written.
    pub(crate) answers_end: Instant,
    /// When the listeners and background tasks must have ended.
    pub(crate) tasks_end: Instant,
}

impl DrainSchedule {
    /// Creates the schedule of a stop that begins now, with the times after which the platform kills the
    /// process and after which the listener closes.
    pub(crate) fn new(grace: Duration, notice: Duration) -> Self {
        let started = Instant::now();
        let exit_reserve = grace / EXIT_RESERVE_DIVISOR;
        let requests_end = started + grace - exit_reserve;
        let attempts_end = requests_end - grace / ATTEMPT_RESERVE_DIVISOR;
        Self {
            // Requests that wait must get their answers in time, however long the notice period is.
            listener_end: attempts_end.min(started + notice),
            window: AttemptWindow {
                late_after: started + (grace / LATE_DIVISOR).saturating_sub(SIGNAL_DELAY),
                requests_end,
            },
            attempts_end,
            answers_end: requests_end + exit_reserve / 4,
            tasks_end: requests_end + exit_reserve / 2,
        }
    }
}
