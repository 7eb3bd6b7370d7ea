use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Condvar, LazyLock, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::sync::oneshot;

struct Entry(Instant, u64, oneshot::Sender<()>);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Default)]
struct Timer {
    entries: Mutex<(BinaryHeap<Reverse<Entry>>, u64)>,
    changed: Condvar,
}

static TIMER: LazyLock<&'static Timer> = LazyLock::new(|| {
    let timer: &'static Timer = Box::leak(Box::default());
    std::thread::spawn(move || timer.run());
    timer
});

/// Sleeps until an instant, to about 0.1 ms, where the runtime's own timer has a step of 1 ms.
pub async fn sleep_until(at: Instant) {
    if at <= Instant::now() {
        return;
    }
    let (sender, done) = oneshot::channel();
    {
        let mut entries = TIMER.entries.lock().expect("no panic under lock");
        entries.1 += 1;
        let serial = entries.1;
        entries.0.push(Reverse(Entry(at, serial, sender)));
    }
    TIMER.changed.notify_one();
    done.await.ok();
}

/// Returns the Unix time in microseconds.
#[must_use]
pub fn unix_micros() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |age| age.as_micros() as u64)
}

impl Timer {
    fn run(&self) {
        let mut entries = self.entries.lock().expect("no panic under lock");
        loop {
            let now = Instant::now();
            let next = entries.0.peek().map(|Reverse(entry)| entry.0);
            let wait = match next {
                Some(at) if at <= now => {
                    if let Some(Reverse(entry)) = entries.0.pop() {
                        entry.2.send(()).ok();
                    }
                    continue;
                }
                Some(at) => at - now,
                None => Duration::from_secs(1),
            };
            let waited = self.changed.wait_timeout(entries, wait);
            entries = waited.expect("no panic under lock").0;
        }
    }
}
