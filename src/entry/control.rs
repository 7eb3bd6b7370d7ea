use std::sync::Arc;
use std::time::Duration;

use lentilcart_state::{CatchUp, HEAD_KEY, VersionedValue};

use super::entry::Entry;
use crate::platform::{Watched, drive};
use crate::util::Backoff;

const WATCH_FOR: Duration = Duration::from_millis(500);
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Brings the state up to the platform's head; returns whether the platform answered.
pub(crate) async fn follow(entry: &Entry, head: Option<VersionedValue>) -> bool {
    let started = entry.clock.now();
    let mut follow = CatchUp::new(entry.get_active_tickets().state.clone(), head);
    match drive(&entry.platform, |reply| follow.step(reply)).await {
        Ok((state, tickets)) => {
            entry.apply(&tickets);
            entry.replace(state);
            entry.confirm(started);
            entry.awake.send_replace(true);
            true
        }
        Err(error) => {
            log::warn!("cannot follow the tickets: {error}");
            false
        }
    }
}

/// Watches the head of the tickets while this entry is one of the watchers.
pub(crate) async fn watch_head(entry: Arc<Entry>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    while !entry.stop.is_cancelled() {
        let pause = match entry.is_watcher() {
            false => IDLE_PAUSE,
            true if watch_head_once(&entry, &mut version).await => {
                backoff = Backoff::default();
                Duration::ZERO
            }
            true => backoff.next(),
        };
        rest(&entry, pause).await;
    }
}

/// Watches the head once; returns whether the platform answered.
async fn watch_head_once(entry: &Entry, version: &mut u64) -> bool {
    let started = entry.clock.now();
    match (entry.platform.watch)((HEAD_KEY.into(), *version, WATCH_FOR)).await {
        Watched::Lost(_) => false,
        Watched::Same => {
            entry.confirm(started);
            true
        }
        Watched::Changed(stored) => {
            let next = stored.version;
            let followed = follow(entry, Some(stored)).await;
            if followed {
                *version = next;
            }
            followed
        }
    }
}

/// Watches the host list while this entry is one of the watchers.
pub(crate) async fn watch_hosts(entry: Arc<Entry>) {
    let mut version = 0;
    let mut backoff = Backoff::default();
    while !entry.stop.is_cancelled() {
        if version > 0 && !entry.is_watcher() {
            rest(&entry, IDLE_PAUSE).await;
            continue;
        }
        let pause = match (entry.platform.hosts)((version, WATCH_FOR)).await {
            Watched::Lost(_) => backoff.next(),
            Watched::Same => Duration::ZERO,
            Watched::Changed(list) => {
                version = list.version;
                backoff = Backoff::default();
                entry.take_hosts(&list);
                Duration::ZERO
            }
        };
        rest(&entry, pause).await;
    }
}

async fn rest(entry: &Entry, pause: Duration) {
    tokio::select! {
        () = entry.stop.cancelled() => {}
        () = tokio::time::sleep(pause) => {}
    }
}
