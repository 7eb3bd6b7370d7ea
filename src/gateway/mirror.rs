use std::sync::Arc;
use std::time::Duration;

use super::gateway::{Gateway, MirrorKind};
use crate::util::Backoff;

/// Time between two looks at who watches.
const ROLE_EVERY: Duration = Duration::from_millis(100);
/// How many times longer an entry that only stepped in waits after a failed call: in an outage of the
/// store few have to find out when it is back.
const PATIENCE: u32 = 4;
/// Time in which changes gather before the next watch, to save calls.
const GATHER: Duration = Duration::from_millis(150);

/// Keeps the mirror of a prefix current by watches.
pub(crate) async fn keep_mirror(gateway: Arc<Gateway>, kind: MirrorKind) {
    let mut backoff = Backoff::default();
    loop {
        // An entry that has read everything once leaves the watching to a few.
        let has_all = gateway.mirror(kind).get_revision() > 0;
        if has_all && !gateway.is_watcher() {
            rest(&gateway, ROLE_EVERY).await;
            if gateway.stop.is_cancelled() {
                return;
            }
            continue;
        }
        let wait = gateway.settings.load().store.watch;
        let call = gateway.mirror(kind).next_call(wait);
        let name = call.as_str();
        let answer = tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = gateway.relist.notified() => {
                gateway.mirror(kind).restart_listing();
                continue;
            }
            answer = (gateway.store.ask)(call) => answer,
        };
        match answer {
            Ok(reply) => {
                backoff = Backoff::default();
                gateway.record_store_reply();
                let changes = gateway.mirror(kind).record_reply(reply);
                gateway.apply_changes(kind, changes, false);
                // Servers often come and go several at a time.
                let is_watching = gateway.mirror(kind).is_watching();
                if kind == MirrorKind::Servers && is_watching {
                    rest(&gateway, GATHER).await;
                }
            }
            Err(reason) => {
                gateway.record_store_failure(name, &reason);
                let pause = backoff.next();
                if gateway.is_first_watcher() {
                    rest(&gateway, pause).await;
                } else {
                    rest(&gateway, pause * PATIENCE).await;
                }
                // One mirror finds out for all when the store is back.
                while kind != MirrorKind::Routes && gateway.is_store_lost() {
                    rest(&gateway, ROLE_EVERY).await;
                    if gateway.stop.is_cancelled() {
                        return;
                    }
                }
            }
        }
    }
}

pub(super) async fn rest(gateway: &Gateway, pause: Duration) {
    tokio::select! {
        () = gateway.stop.cancelled() => {}
        () = tokio::time::sleep(pause) => {}
    }
}
