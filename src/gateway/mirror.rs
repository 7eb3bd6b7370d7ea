use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::gateway::{Gateway, MirrorKind};
use crate::util::Backoff;

/// Interval at which an entry checks whether it has to watch the store, and at which a mirror that waits
/// for the store to answer another call checks that.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Factor on the backoff after a failed call of an entry that is not a preferred watcher: during an
/// outage of the store a few entries suffice to notice its return.
const STANDBY_BACKOFF_FACTOR: u32 = 4;
/// Delay before the next watch of the servers, in which changes gather to save calls.
const SERVER_BATCH_DELAY: Duration = Duration::from_millis(150);
/// Delay before the next watch of the entries. When many start at a time, each change would otherwise
/// cost a call, a heartbeat to every entry and a fetch by it.
const HOST_BATCH_DELAY: Duration = Duration::from_secs(1);

/// Number of entries of a data centre that list the servers soon after they start, if none of the others
/// has them.
const FIRST_LISTERS: usize = 2;
/// Time that these entries wait for the servers from another entry of the data centre.
const FIRST_LISTER_WAIT: Duration = Duration::from_millis(30);
/// Time that the others wait, and that all wait for the list of entries.
const FIRST_LISTING_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a first listing checks what it waits for.
const FIRST_LISTING_POLL: Duration = Duration::from_millis(5);

/// Waits until another entry of the data centre has brought the servers, or until it is time for this
/// entry to list them itself: where many start at a time, a listing by each would be most of the calls to
/// the store. Entries that have just started exchange heartbeats as soon as they know each other.
async fn wait_for_servers_of_peer(gateway: &Gateway) {
    let started = Instant::now();
    let has = |kind| gateway.lock_mirror(kind).get_revision() > 0;
    while !gateway.stop.is_cancelled() && !has(MirrorKind::Servers) {
        let wait = match gateway.lock_members().get_local_rank("list") {
            _ if !has(MirrorKind::Hosts) => FIRST_LISTING_WAIT,
            (_, 1) => Duration::ZERO,
            (rank, _) if rank < FIRST_LISTERS => FIRST_LISTER_WAIT,
            _ => FIRST_LISTING_WAIT,
        };
        let is_fetching = gateway.is_fetching[MirrorKind::Servers as usize].load(Ordering::Relaxed);
        if started.elapsed() >= wait && !is_fetching {
            return;
        }
        tokio::time::sleep(FIRST_LISTING_POLL).await;
    }
}

/// Keeps the mirror of a prefix current by listing and watching it in the store.
pub(crate) async fn keep_mirror(gateway: Arc<Gateway>, kind: MirrorKind) {
    let mut backoff = Backoff::default();
    if kind == MirrorKind::Servers {
        wait_for_servers_of_peer(&gateway).await;
    }
    loop {
        // Unless this entry has to watch, one listing is enough: later changes come from other entries.
        let has_listed = gateway.lock_mirror(kind).get_revision() > 0;
        if has_listed && !gateway.has_to_watch() {
            sleep_unless_stopped(&gateway, WATCH_CHECK_INTERVAL).await;
            if gateway.stop.is_cancelled() {
                return;
            }
            continue;
        }
        let max_wait = gateway.settings.load().store.watch_timeout;
        let call = gateway.lock_mirror(kind).next_call(max_wait);
        let name = call.as_str();
        let result = tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = gateway.relist.notified() => {
                gateway.lock_mirror(kind).restart_listing();
                continue;
            }
            result = (gateway.store.call)(call) => result,
        };
        match result {
            Ok(reply) => {
                backoff = Backoff::default();
                gateway.record_store_reply();
                let changes = gateway.lock_mirror(kind).record_reply(reply);
                gateway.apply_changes(kind, changes, false);
                // Several servers or entries often come or go at a time.
                let is_watching = gateway.lock_mirror(kind).is_watching();
                match kind {
                    MirrorKind::Servers if is_watching => {
                        sleep_unless_stopped(&gateway, SERVER_BATCH_DELAY).await;
                    }
                    MirrorKind::Hosts if is_watching => {
                        sleep_unless_stopped(&gateway, HOST_BATCH_DELAY).await;
                    }
                    _ => {}
                }
            }
            Err(reason) => {
                gateway.record_store_failure(name, &reason);
                let delay = backoff.next_delay();
                if gateway.is_preferred_watcher() {
                    sleep_unless_stopped(&gateway, delay).await;
                } else {
                    sleep_unless_stopped(&gateway, delay * STANDBY_BACKOFF_FACTOR).await;
                }
                // During an outage only one of this entry's mirrors calls the store, that of the
                // routes; the others wait for it, or for a renewal of the lease, to succeed.
                while kind != MirrorKind::Routes && gateway.has_last_store_call_failed() {
                    sleep_unless_stopped(&gateway, WATCH_CHECK_INTERVAL).await;
                    if gateway.stop.is_cancelled() {
                        return;
                    }
                }
            }
        }
    }
}

/// Sleeps for a time, or until the gateway stops.
pub(super) async fn sleep_unless_stopped(gateway: &Gateway, delay: Duration) {
    tokio::select! {
        () = gateway.stop.cancelled() => {}
        () = tokio::time::sleep(delay) => {}
    }
}
