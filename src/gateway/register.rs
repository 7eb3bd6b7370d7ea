use std::sync::Arc;
use std::time::Duration;

use lentilcart_state::{
    Precondition, StoreCall, StorePut, StoreReply, get_lease_duration, get_renewal_interval,
};
use lentilcart_util::{Micros, Name};
use rand::RngExt;

use super::datagram::GatewayHeartbeat;
use super::gateway::{Gateway, MirrorKind};
use super::mirror::sleep_unless_stopped;

/// Longest wait for the listing of the entries, which may show a lease of this entry to renew.
const LISTING_WAIT: Duration = Duration::from_millis(400);

/// Longest delay before an entry registers anew after the store has lost what was written last, so that not all do at
/// once.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(800);

/// The lease under which this entry is registered.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    id: u64,
    duration: Micros,
    /// Whether an earlier process of this entry has opened it.
    is_adopted: bool,
}

/// Keeps this entry registered in the store under a lease, so that other entries find it.
///
/// The renewals also show whether the store answers while the watches wait for changes. An entry that
/// starts again before its lease has expired renews it, which costs less than a lease and a write.
pub(crate) async fn keep_registered(gateway: Arc<Gateway>) {
    let is_exact = gateway.settings.load().needs_exact_entries();
    let mut is_first = gateway.settings.load().accounts.is_enforced();
    let mut lease = None;
    if !is_exact {
        // Without the listing, this entry registers anew.
        tokio::select! {
            () = gateway.entries_listed.cancelled() => {}
            () = sleep_unless_stopped(&gateway, LISTING_WAIT) => {}
        }
        lease = find_own_lease(&gateway);
    }
    while !gateway.stop.is_cancelled() {
        let mut failed = false;
        lease = match renew_or_open(&gateway, lease, &mut is_first).await {
            Ok(next) => next,
            Err(reason) => {
                // The log says `renew` also if opening the lease or writing the registration failed.
                gateway.record_store_failure("renew", &reason);
                failed = true;
                lease
            }
        };
        let interval = get_interval(&gateway, lease, failed);
        tokio::select! {
            () = sleep_unless_stopped(&gateway, interval.into()) => {}
            () = gateway.registration_lost.notified() => {
                let delay = MAX_REGISTRATION_DELAY.mul_f64(rand::rng().random_range(0.0..1.0));
                sleep_unless_stopped(&gateway, delay).await;
                lease = None;
            }
        }
    }
    gateway.lock_pacer_lease().record_lost();
    // Once the registration is gone, others use this entry's share.
    let end = gateway
        .clock
        .to_instant(gateway.account_limits.get_delegation_end());
    tokio::time::sleep_until(end.into()).await;
    if let Some(lease) = lease
        && let Err(reason) = (gateway.store.call)(StoreCall::EndLease(lease.id)).await
    {
        log::info!(reason; "lease not ended; it expires by itself");
    }
}

/// Returns the lease of this entry's registration as it is listed, if its data centre and address are
/// unchanged.
fn find_own_lease(gateway: &Gateway) -> Option<HeldLease> {
    let settings = gateway.settings.load();
    let registered = {
        let mirror = gateway.lock_mirror(MirrorKind::Hosts);
        GatewayHeartbeat::decode(&mirror.get(&get_key(gateway))?.value).ok()?
    };
    let is_same =
        registered.data_center == settings.data_center && registered.peer == settings.listen.peer;
    let (id, duration) = registered.lease.filter(|_| is_same)?;
    Some(HeldLease {
        id,
        duration,
        is_adopted: true,
    })
}

/// Returns the interval until the next renewal: entries that watch the store renew often, since that lets
/// them detect an outage; the others renew in time for their lease.
fn get_interval(gateway: &Gateway, lease: Option<HeldLease>, failed: bool) -> Micros {
    let store = &gateway.settings.load().store;
    let is_watching = gateway.has_to_watch() && !gateway.has_last_store_call_failed();
    if gateway.is_preferred_watcher() || is_watching {
        return store.renew_interval;
    }
    // A registration that was not written is tried again as a renewal that failed.
    let duration = lease.map_or(store.lease_ttl, |lease| lease.duration);
    get_renewal_interval(duration, failed || lease.is_none()).max(store.renew_interval)
}

/// Renews the lease, or opens one and registers this entry under it. Returns the lease that is held
/// then, or `None` if it was lost or the registration was not written.
///
/// While `is_first` is true, the registration is written only if there is none, which shows that no earlier
/// process of this entry has a share of the limits of accounts.
async fn renew_or_open(
    gateway: &Gateway,
    lease: Option<HeldLease>,
    is_first: &mut bool,
) -> Result<Option<HeldLease>, String> {
    let Some(lease) = lease else {
        return open_lease(gateway, is_first).await;
    };
    let sent = gateway.clock.now();
    let reply = (gateway.store.call)(StoreCall::RenewLease(lease.id)).await?;
    gateway.record_store_reply();
    match reply {
        StoreReply::LeaseNotFound => {
            log::info!("lease lost");
            gateway.lock_pacer_lease().record_lost();
            gateway.account_limits.record_lost_registration();
            open_lease(gateway, is_first).await
        }
        // The listing that showed the lease may have been too old: a later process of this entry had
        // registered under another one.
        _ if lease.is_adopted
            && find_own_lease(gateway).is_none_or(|listed| listed.id != lease.id) =>
        {
            log::info!("lease replaced");
            open_lease(gateway, is_first).await
        }
        _ => {
            gateway.lock_pacer_lease().record_renewed(sent);
            // The lease lasts from when the store gets the call, which is later.
            let lease_end = sent + lease.duration;
            gateway.account_limits.record_renewal(lease_end);
            Ok(Some(lease))
        }
    }
}

/// Opens a lease and registers this entry under it; returns `None` if the registration was not written.
async fn open_lease(gateway: &Gateway, is_first: &mut bool) -> Result<Option<HeldLease>, String> {
    let call = &gateway.store.call;
    let sent = gateway.clock.now();
    let duration = get_duration(gateway);
    let StoreReply::LeaseOpened(id) = call(StoreCall::OpenLease(duration)).await? else {
        return Err("the store opened no lease".to_owned());
    };
    gateway.record_store_reply();
    let has_limits = gateway.settings.load().accounts.is_enforced();
    let registration = GatewayHeartbeat {
        mirrors_operator_keys: true,
        has_limits,
        lease: Some((id, duration)),
        ..gateway.get_heartbeat()
    };
    let put = StorePut {
        key: get_key(gateway),
        value: registration.encode(),
        lease: id,
    };
    let absent = Precondition {
        key: put.key.clone(),
        revision: 0,
    };
    let write = |preconditions| StoreCall::Write {
        preconditions,
        puts: vec![put.clone()],
        deletes: Vec::new(),
    };
    let was_first = std::mem::take(is_first);
    let preconditions = if was_first { vec![absent] } else { Vec::new() };
    let mut reply = call(write(preconditions)).await?;
    let is_refused = reply == StoreReply::PreconditionFailed;
    if is_refused {
        reply = call(write(Vec::new())).await?;
    }
    let StoreReply::Written(revision) = reply else {
        return Ok(None);
    };
    let now = gateway.clock.now();
    gateway
        .lock_pacer_lease()
        .record_written(now, sent, revision);
    let has_predecessor = !was_first || is_refused;
    if has_limits {
        let limits = &gateway.account_limits;
        limits.record_registration(revision, sent + duration, !has_predecessor);
    }
    Ok(Some(HeldLease {
        id,
        duration,
        is_adopted: false,
    }))
}

/// Returns the duration of this entry's lease. Where the right to send requests ends with it, it is the
/// configured one, so that the right of a lost entry passes on soon.
fn get_duration(gateway: &Gateway) -> Micros {
    let settings = gateway.settings.load();
    if settings.needs_exact_entries() {
        return settings.store.lease_ttl;
    }
    let entries = gateway.lock_members().iter().count();
    get_lease_duration(settings.store.lease_ttl, entries)
}

impl Gateway {
    /// Returns whether the listing of the entries includes this one.
    pub(super) fn is_listed(&self) -> bool {
        let mirror = self.lock_mirror(MirrorKind::Hosts);
        mirror.get(&get_key(self)).is_some()
    }
}

/// Returns the key of this entry's registration.
fn get_key(gateway: &Gateway) -> Name {
    let name = gateway.settings.load().name.clone();
    format!("{}{name}", MirrorKind::Hosts.get_prefix()).into()
}
