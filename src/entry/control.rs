//! Follows the platform: watches the head of the tickets and the host list.

use std::sync::Arc;
use std::time::Duration;

use lentilcart_state::{CatchUp, HEAD_KEY, VersionedValue};

use super::entry::Entry;
use crate::platform::{WatchOutcome, run_protocol};
use crate::util::Backoff;

/// Longest time for which the platform holds a watch open before it answers that nothing has
/// changed.
const WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after which an entry that does not watch the platform checks again whether it should.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Applies all tickets up to the newest one, the head. `head` is the value stored under
/// [`HEAD_KEY`] if it was read already. Returns whether the platform answered.
pub(crate) async fn catch_up(entry: &Entry, head: Option<VersionedValue>) -> bool {
    let started = entry.clock.now();
    let mut protocol = CatchUp::new(entry.get_active_config().state.clone(), head);
    match run_protocol(&entry.platform, |reply| protocol.step(reply)).await {
        Ok((state, tickets)) => {
            // Applied tickets are kept to answer other entries. The state takes effect only if it
            // is newer than what the tickets led to.
            entry.apply_tickets(&tickets);
            entry.apply_state(state);
            entry.record_platform_answer(started);
            entry.is_ticket_confirmed.send_replace(true);
            true
        }
        Err(error) => {
            log::warn!("cannot read newer tickets from the platform: {error}");
            false
        }
    }
}

/// Watches the head of the tickets while this entry is one of the watchers, until it stops.
pub(crate) async fn watch_head(entry: Arc<Entry>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    while !entry.stop.is_cancelled() {
        let delay = match entry.is_watcher() {
            false => WATCHER_CHECK_INTERVAL,
            true if watch_head_once(&entry, &mut version).await => {
                backoff = Backoff::default();
                Duration::ZERO
            }
            true => backoff.next_delay(),
        };
        sleep_unless_stopped(&entry, delay).await;
    }
}

/// Waits once for a head that is newer than `version`, and applies it; returns whether the platform
/// answered.
async fn watch_head_once(entry: &Entry, version: &mut u64) -> bool {
    let started = entry.clock.now();
    match (entry.platform.watch_key)((HEAD_KEY.into(), *version, WATCH_TIMEOUT)).await {
        WatchOutcome::Failed(_) => false,
        WatchOutcome::Unchanged => {
            entry.record_platform_answer(started);
            true
        }
        WatchOutcome::Changed(stored) => {
            let next = stored.version;
            let caught_up = catch_up(entry, Some(stored)).await;
            if caught_up {
                *version = next;
            }
            caught_up
        }
    }
}

/// Watches the host list while this entry is one of the watchers, until it stops. Every entry reads
/// the list at least once.
pub(crate) async fn watch_hosts(entry: Arc<Entry>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    while !entry.stop.is_cancelled() {
        if version > 0 && !entry.is_watcher() {
            sleep_unless_stopped(&entry, WATCHER_CHECK_INTERVAL).await;
            continue;
        }
        let delay = match (entry.platform.watch_hosts)((version, WATCH_TIMEOUT)).await {
            WatchOutcome::Failed(_) => backoff.next_delay(),
            WatchOutcome::Unchanged => Duration::ZERO,
            WatchOutcome::Changed(list) => {
                version = list.version;
                backoff = Backoff::default();
                entry.apply_hosts(&list);
                Duration::ZERO
            }
        };
        sleep_unless_stopped(&entry, delay).await;
    }
}

/// Sleeps for a time, or until the entry stops.
async fn sleep_unless_stopped(entry: &Entry, delay: Duration) {
    tokio::select! {
        () = entry.stop.cancelled() => {}
        () = tokio::time::sleep(delay) => {}
    }
}
