use std::sync::Arc;
use std::time::Duration;

use lentilcart_state::{StoreCall, StorePut, StoreReply, get_lease_duration, get_renewal_interval};
use lentilcart_util::{Micros, Name};

use super::datagram::GatewayHeartbeat;
use super::gateway::{Gateway, MirrorKind};
use super::mirror::sleep_unless_stopped;

/// Longest wait for the listing of the entries, which may show a lease of this entry to renew.
const LISTING_WAIT: Duration = Duration::from_millis(400);

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
    // Without the listing, this entry registers anew.
    tokio::select! {
        () = gateway.entries_listed.cancelled() => {}
        () = sleep_unless_stopped(&gateway, LISTING_WAIT) => {}
    }
    let mut lease = find_own_lease(&gateway);
    while !gateway.stop.is_cancelled() {
        let mut failed = false;
        lease = match renew_or_open(&gateway, lease).await {
            Ok(next) => next,
            Err(reason) => {
                // The log says `renew` also if opening the lease or writing the registration failed.
                gateway.record_store_failure("renew", &reason);
                failed = true;
                lease
            }
        };
        sleep_unless_stopped(&gateway, get_interval(&gateway, lease, failed).into()).await;
    }
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
async fn renew_or_open(
    gateway: &Gateway,
    lease: Option<HeldLease>,
) -> Result<Option<HeldLease>, String> {
    let Some(lease) = lease else {
        return open_lease(gateway).await;
    };
    let reply = (gateway.store.call)(StoreCall::RenewLease(lease.id)).await?;
    gateway.record_store_reply();
    match reply {
        StoreReply::LeaseNotFound => {
            log::info!("lease lost");
            open_lease(gateway).await
        }
        // The listing that showed the lease may have been too old: a later process of this entry had
        // registered under another one.
        _ if lease.is_adopted
            && find_own_lease(gateway).is_none_or(|listed| listed.id != lease.id) =>
        {
            log::info!("lease replaced");
            open_lease(gateway).await
        }
        _ => Ok(Some(lease)),
    }
}

/// Opens a lease and registers this entry under it; returns `None` if the registration was not written.
async fn open_lease(gateway: &Gateway) -> Result<Option<HeldLease>, String> {
    let call = &gateway.store.call;
    let entries = gateway.lock_members().iter().count();
    let duration = get_lease_duration(gateway.settings.load().store.lease_ttl, entries);
    let StoreReply::LeaseOpened(id) = call(StoreCall::OpenLease(duration)).await? else {
        return Err("the store opened no lease".to_owned());
    };
    gateway.record_store_reply();
    let registration = GatewayHeartbeat {
        lease: Some((id, duration)),
        ..gateway.get_heartbeat()
    };
    let put = StorePut {
        key: get_key(gateway),
        value: registration.encode(),
        lease: id,
    };
    let write = StoreCall::Write {
        preconditions: Vec::new(),
        puts: vec![put],
        deletes: Vec::new(),
    };
    let lease = HeldLease {
        id,
        duration,
        is_adopted: false,
    };
    let reply = call(write).await?;
    Ok(matches!(reply, StoreReply::Written(_)).then_some(lease))
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
