use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, LazyLock, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::oneshot;

/// A task that sleeps: its deadline, a serial number that orders equal deadlines, and the channel
/// that wakes it.
struct Sleeper(Instant, u64, oneshot::Sender<()>);

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Timer thread that wakes sleeping tasks.
#[derive(Default)]
struct Timer {
    /// Sleepers by deadline, and the last serial number given.
    sleepers: Mutex<(BinaryHeap<Reverse<Sleeper>>, u64)>,
    changed: Condvar,
}

static TIMER: LazyLock<&'static Timer> = LazyLock::new(|| {
    let timer: &'static Timer = Box::leak(Box::default());
    std::thread::spawn(move || timer.run());
    timer
});

/// Sleeps until an instant, precise to about 0.1 ms by a timer thread of its own; the timer of the
/// tokio runtime has steps of 1 ms.
pub async fn sleep_until(deadline: Instant) {
    if deadline <= Instant::now() {
        return;
    }
    let (sender, woken) = oneshot::channel();
    {
        let mut sleepers = TIMER.sleepers.lock().expect("no panic under lock");
        sleepers.1 += 1;
        let serial = sleepers.1;
        sleepers.0.push(Reverse(Sleeper(deadline, serial, sender)));
    }
    TIMER.changed.notify_one();
    woken.await.ok();
}

/// Returns the Unix time in microseconds, 0 for a clock before 1970.
#[must_use]
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_micros() as u64)
}

impl Timer {
    /// Wakes each sleeper at its deadline; never returns.
    fn run(&self) {
        let mut sleepers = self.sleepers.lock().expect("no panic under lock");
        loop {
            let now = Instant::now();
            let next = sleepers.0.peek().map(|Reverse(sleeper)| sleeper.0);
            let timeout = match next {
                Some(deadline) if deadline <= now => {
                    if let Some(Reverse(sleeper)) = sleepers.0.pop() {
                        sleeper.2.send(()).ok();
                    }
                    continue;
                }
                Some(deadline) => deadline - now,
                None => Duration::from_secs(1),
            };
            let waited = self.changed.wait_timeout(sleepers, timeout);
            sleepers = waited.expect("no panic under lock").0;
        }
    }
}
