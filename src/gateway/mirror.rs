use std::sync::Arc;
use std::time::Duration;

use super::gateway::{Gateway, MirrorKind};
use crate::util::Backoff;

/// Time between two looks at who watches.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How many times longer an entry that only stepped in waits after a failed call: in an outage of the
/// store few have to find out when it is back.
const STANDBY_BACKOFF_FACTOR: u32 = 4;
/// Time in which changes gather before the next watch, to save calls.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// Keeps the mirror of a prefix current by watches.
pub(crate) async fn keep_mirror(gateway: Arc<Gateway>, kind: MirrorKind) {
    let mut backoff = Backoff::default();
    loop {
        // An entry that has read everything once leaves the watching to a few.
        let has_listed = gateway.lock_mirror(kind).get_revision() > 0;
        if has_listed && !gateway.is_watcher() {
            sleep_unless_stopped(&gateway, ROLE_CHECK_INTERVAL).await;
            if gateway.stop.is_cancelled() {
                return;
            }
            continue;
        }
        let max_wait = gateway.settings.load().store.watch;
        let call = gateway.lock_mirror(kind).next_call(max_wait);
        let name = call.as_str();
        let result = tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = gateway.relist.notified() => {
                gateway.lock_mirror(kind).restart_listing();
                continue;
            }
            result = (gateway.store.ask)(call) => result,
        };
        match result {
            Ok(reply) => {
                backoff = Backoff::default();
                gateway.record_store_reply();
                let changes = gateway.lock_mirror(kind).record_reply(reply);
                gateway.apply_changes(kind, changes, false);
                // Servers often come and go several at a time.
                let is_watching = gateway.lock_mirror(kind).is_watching();
                if kind == MirrorKind::Servers && is_watching {
                    sleep_unless_stopped(&gateway, BATCH_DELAY).await;
                }
            }
            Err(reason) => {
                gateway.record_store_failure(name, &reason);
                let delay = backoff.next();
                if gateway.is_first_watcher() {
                    sleep_unless_stopped(&gateway, delay).await;
                } else {
                    sleep_unless_stopped(&gateway, delay * STANDBY_BACKOFF_FACTOR).await;
                }
                // One mirror finds out for all when the store is back.
                while kind != MirrorKind::Routes && gateway.is_store_lost() {
                    sleep_unless_stopped(&gateway, ROLE_CHECK_INTERVAL).await;
                    if gateway.stop.is_cancelled() {
                        return;
                    }
                }
            }
        }
    }
}

pub(super) async fn sleep_unless_stopped(gateway: &Gateway, delay: Duration) {
    tokio::select! {
        () = gateway.stop.cancelled() => {}
        () = tokio::time::sleep(delay) => {}
    }
}
