use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use lentilcart_state::{StoreCall, StoreReply};
use lentilcart_util::Micros;
use tokio::time::timeout;

use super::gateway::{Gateway, MirrorKind};
use super::listing_size::ListingSize;
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

/// Longest time for which the first listing of the entries waits for the registration of this one.
const REGISTRATION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which that is checked.
const REGISTRATION_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Longest wait of a watch that confirms another one, or of an entry that does not watch: the shortest that the store
/// knows.
const CONFIRMATION_WAIT: Micros = Micros::from_millis(1);
/// Time that the reply to a watch may take from when the store is known to be ahead of the mirror.
const REPLY_DELAY: Duration = Duration::from_millis(200);

/// Time after its first listing at which an entry lists the entries once more if it was not among them:
/// where many start for the first time, few have registered before.
const SECOND_LISTING_DELAY: Duration = Duration::from_millis(250);
/// Longest wait for the listing of the routes, whose revision shows how old a stale listing may be.
const ROUTES_WAIT: Duration = Duration::from_millis(250);

/// Keeps the mirror of a prefix current by listing and watching it in the store.
pub(crate) async fn keep_mirror(gateway: Arc<Gateway>, kind: MirrorKind) {
    let mut backoff = Backoff::default();
    let mut listing_size = ListingSize::default();
    if kind == MirrorKind::Hosts && gateway.settings.load().accounts.is_enforced() {
        wait_for_registration(&gateway).await;
    }
    let mut is_first_listing = true;
    let mut is_listing_again = false;
    // When the first page of the listing in progress was asked for.
    let mut listing_sent = Micros::ZERO;
    loop {
        // Unless this entry has to watch, one listing is enough: later changes come from other entries, or from
        // the store where these do not answer.
        let is_idle = {
            let mirror = gateway.lock_mirror(kind);
            mirror.get_revision() > 0 && !mirror.is_unconfirmed() && !is_listing_again
        };
        let has_to_watch = gateway.has_to_watch();
        if is_idle && !has_to_watch && !gateway.has_to_read_store(kind) {
            sleep_unless_stopped(&gateway, WATCH_CHECK_INTERVAL).await;
            if gateway.stop.is_cancelled() {
                return;
            }
            continue;
        }
        if confirm_listing(&gateway, kind).await {
            let is_first = std::mem::take(&mut is_first_listing);
            is_listing_again = kind == MirrorKind::Hosts && is_first;
            if is_listing_again {
                gateway.entries_listed.cancel();
                is_listing_again = list_newcomers(&gateway).await;
            }
            continue;
        }
        let max_wait = if has_to_watch {
            gateway.settings.load().store.watch_timeout
        } else {
            CONFIRMATION_WAIT
        };
        let call = gateway.lock_mirror(kind).next_call(max_wait);
        let name = call.as_str();
        let sent = gateway.clock.now();
        if !matches!(&call, StoreCall::List { after: Some(_), .. }) {
            listing_sent = sent;
        }
        let result = tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = gateway.relist.notified() => {
                gateway.lock_mirror(kind).restart_listing();
                continue;
            }
            result = call_store(&gateway, kind, call, &mut listing_size) => result,
        };
        match result {
            Ok((reply, confirmed_sent)) => {
                let sent = confirmed_sent.unwrap_or(listing_sent);
                if !record_reply(&gateway, kind, reply, sent) {
                    sleep_unless_stopped(&gateway, backoff.next_delay()).await;
                    continue;
                }
                // Several servers or entries often come or go at a time.
                let is_watching = gateway.lock_mirror(kind).is_watching();
                // A listing may still turn out to be endless.
                if is_watching {
                    backoff = Backoff::default();
                    is_listing_again = false;
                }
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
                // An entry with a listing needs no other one while the store does not answer.
                is_listing_again = false;
                {
                    // The watch that brings a stale listing up to date may have lost its reply.
                    let mut mirror = gateway.lock_mirror(kind);
                    if mirror.is_unconfirmed() {
                        mirror.restart_listing();
                    }
                }
                wait_after_failure(&gateway, kind, backoff.next_delay()).await;
            }
        }
    }
}

/// Applies the reply of the store to a call of a mirror, which was sent at a time. The reply to a watch may have been
/// on its way for long, so that only the state when it was sent is known to be complete.
///
/// Returns `false` if it ends a listing that the mirror is ahead of, which changes and confirms nothing: another entry's
/// mirror was merged meanwhile, or the store has come back older than it was.
fn record_reply(gateway: &Gateway, kind: MirrorKind, reply: StoreReply, sent: Micros) -> bool {
    let listed = match &reply {
        StoreReply::Page { revision, .. } => Some(*revision),
        _ => None,
    };
    gateway.record_place(listed.unwrap_or_default());
    gateway.record_store_reply();
    if let (MirrorKind::Routes, StoreReply::Page { revision, .. }) = (kind, &reply) {
        let revision = *revision;
        gateway.store_revision.send_if_modified(|known| {
            let is_newer = revision > *known;
            *known = revision.max(*known);
            is_newer
        });
    }
    let (changes, is_watching, own) = {
        let mut mirror = gateway.lock_mirror(kind);
        let changes = mirror.record_reply(reply);
        (changes, mirror.is_watching(), mirror.get_revision())
    };
    gateway.apply_changes(kind, changes, false);
    if is_watching && listed.is_some_and(|listed| listed < own) {
        log::warn!(kind:? = kind, own, listed; "listing older than the mirror");
        return false;
    }
    if is_watching {
        gateway.record_store_state(kind, sent);
        if kind == MirrorKind::Routes {
            gateway.record_routes_confirmed(sent);
        }
    }
    true
}

/// Waits after a failed call: for `delay`, or longer if this entry is not a preferred watcher.
async fn wait_after_failure(gateway: &Gateway, kind: MirrorKind, delay: Duration) {
    if gateway.is_preferred_watcher() {
        sleep_unless_stopped(gateway, delay).await;
    } else {
        wait_as_standby(gateway, kind, delay).await;
    }
    // During an outage only one of this entry's mirrors calls the store, that of the
    // routes; the others wait for it, or for a renewal of the lease, to succeed.
    while kind != MirrorKind::Routes
        && gateway.has_last_store_call_failed()
        && !gateway.has_to_read_store(kind)
    {
        sleep_unless_stopped(gateway, WATCH_CHECK_INTERVAL).await;
        if gateway.stop.is_cancelled() {
            return;
        }
    }
}

/// Waits before an entry that is not a preferred watcher calls the store again after a failure: for a multiple of
/// `delay`, or from then on until it has been behind for long. In an outage the age of the routes grows at all entries,
/// and a few of them suffice to notice its end.
async fn wait_as_standby(gateway: &Gateway, kind: MirrorKind, delay: Duration) {
    let start = tokio::time::Instant::now();
    let (early, end) = (start + delay, start + delay * STANDBY_BACKOFF_FACTOR);
    loop {
        let now = tokio::time::Instant::now();
        if now >= end || now >= early && gateway.is_behind_for_long(kind) {
            return;
        }
        sleep_unless_stopped(gateway, WATCH_CHECK_INTERVAL.min(end - now)).await;
        if gateway.stop.is_cancelled() {
            return;
        }
    }
}

/// Waits for the registration of this entry, for a limited time: a listing after it shows all entries that
/// may have a share of the limits of accounts, so that this one can use its share at once.
async fn wait_for_registration(gateway: &Gateway) {
    let end = tokio::time::Instant::now() + REGISTRATION_TIMEOUT;
    while !gateway.account_limits.is_registered() && tokio::time::Instant::now() < end {
        sleep_unless_stopped(gateway, REGISTRATION_CHECK_INTERVAL).await;
    }
}

/// Makes the entries be listed once more if the first listing does not include this entry, which has
/// registered meanwhile; returns whether it does.
async fn list_newcomers(gateway: &Gateway) -> bool {
    if gateway.is_listed() {
        return false;
    }
    sleep_unless_stopped(gateway, SECOND_LISTING_DELAY).await;
    let is_missing = !gateway.is_listed();
    if is_missing {
        let mut mirror = gateway.lock_mirror(MirrorKind::Hosts);
        mirror.restart_stale_listing();
    }
    is_missing
}

/// Puts a stale listing in force if that is safe without a further call; returns whether it was.
///
/// The servers may include one that has left, so that the listing must be as new as that of the routes,
/// which is not stale. Which entries are live is known from their heartbeats, so that theirs may be old.
async fn confirm_listing(gateway: &Gateway, kind: MirrorKind) -> bool {
    if !gateway.lock_mirror(kind).is_unconfirmed() {
        return false;
    }
    let revision = match kind {
        MirrorKind::Hosts => 0,
        MirrorKind::Routes | MirrorKind::Servers => {
            let mut listed = gateway.store_revision.subscribe();
            let listed = timeout(ROUTES_WAIT, listed.wait_for(|revision| *revision > 0)).await;
            // Without it, the watch that follows shows what has changed since.
            listed.map_or(u64::MAX, |listed| {
                listed.map_or(u64::MAX, |revision| *revision)
            })
        }
    };
    let (changes, is_unconfirmed) = {
        let mut mirror = gateway.lock_mirror(kind);
        (mirror.confirm(revision), mirror.is_unconfirmed())
    };
    gateway.apply_changes(kind, changes, false);
    !is_unconfirmed
}

/// Makes a call to the store; a watch is confirmed while it waits. A listing that is too large is begun anew,
/// and the call fails. Returns the reply and, if it is one to a confirmation, when that was sent.
async fn call_store(
    gateway: &Gateway,
    kind: MirrorKind,
    call: StoreCall,
    listing_size: &mut ListingSize,
) -> Result<(StoreReply, Option<Micros>), String> {
    if let StoreCall::Watch { .. } = &call {
        return confirm_watch(gateway, kind, (gateway.store.call)(call)).await;
    }
    let reply = (gateway.store.call)(call.clone()).await?;
    if let Err(reason) = listing_size.add(&call, &reply) {
        gateway.lock_mirror(kind).restart_listing();
        return Err(reason);
    }
    Ok((reply, None))
}

/// Waits for the reply to a watch, and confirms it meanwhile by watches that do not wait: if one of them has
/// changes, the reply to the first has been lost, and the changes are returned in its place, with the time at which the
/// confirmation was sent.
async fn confirm_watch(
    gateway: &Gateway,
    kind: MirrorKind,
    mut watch: BoxFuture<'static, Result<StoreReply, String>>,
) -> Result<(StoreReply, Option<Micros>), String> {
    loop {
        tokio::select! {
            result = &mut watch => return result.map(|reply| (reply, None)),
            () = wait_for_confirmation(gateway, kind) => {}
        }
        // The changes may be on their way, unless it is only time for a confirmation.
        let is_regular = kind == MirrorKind::Routes && gateway.has_to_confirm_routes();
        if !is_regular && let Ok(result) = timeout(REPLY_DELAY, &mut watch).await {
            return result.map(|reply| (reply, None));
        }
        let confirmation = gateway.lock_mirror(kind).next_call(CONFIRMATION_WAIT);
        let sent = gateway.clock.now();
        let reply = (gateway.store.call)(confirmation).await?;
        gateway.record_store_reply();
        match reply {
            StoreReply::Events { events, revision } if events.is_empty() => {
                let reply = StoreReply::Events { events, revision };
                gateway.lock_mirror(kind).record_reply(reply);
                gateway.record_store_state(kind, sent);
                if kind == MirrorKind::Routes {
                    gateway.record_routes_confirmed(sent);
                    gateway.store_revision.send_replace(revision);
                }
            }
            reply => {
                log::warn!(prefix = kind.get_prefix(); "reply to a watch lost");
                return Ok((reply, Some(sent)));
            }
        }
    }
}

/// Waits until a watch that waits has to be confirmed by this entry: that of the routes when the knowledge of them is
/// too old, the others when the store is ahead of their mirror.
async fn wait_for_confirmation(gateway: &Gateway, kind: MirrorKind) {
    match kind {
        MirrorKind::Routes => wait_until_behind(gateway, kind).await,
        kind => {
            let mut revision = gateway.store_revision.subscribe();
            let is_ahead = |revision: &u64| *revision > gateway.lock_mirror(kind).get_revision();
            tokio::select! {
                // The sender lives as long as the gateway, so that this does not fail.
                _ = revision.wait_for(is_ahead) => {}
                () = wait_until_behind(gateway, kind) => {}
            }
        }
    }
}

/// Waits until this entry has to read the store itself.
async fn wait_until_behind(gateway: &Gateway, kind: MirrorKind) {
    while !gateway.has_to_read_store(kind) {
        tokio::time::sleep(WATCH_CHECK_INTERVAL).await;
    }
}

/// Sleeps for a time, or until the gateway stops.
pub(super) async fn sleep_unless_stopped(gateway: &Gateway, delay: Duration) {
    tokio::select! {
        () = gateway.stop.cancelled() => {}
        () = tokio::time::sleep(delay) => {}
    }
}
