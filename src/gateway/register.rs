use std::sync::Arc;

use lentilcart_state::{StoreCall, StorePut, StoreReply};
use lentilcart_util::{Micros, Name};

use super::datagram::GatewayHeartbeat;
use super::gateway::{Gateway, MirrorKind};
use super::mirror::sleep_unless_stopped;

/// Share of a lease's duration after which an entry that is not a preferred watcher renews it; at
/// least the `renew_interval`.
const RENEW_SHARE: f64 = 0.4;

/// Keeps this entry registered in the store under a lease, so that other entries find it.
///
/// The renewals also show whether the store answers while the watches wait for changes.
pub(crate) async fn keep_registered(gateway: Arc<Gateway>) {
    let mut lease = None;
    while !gateway.stop.is_cancelled() {
        lease = match renew_or_open(&gateway, lease).await {
            Ok(next) => next,
            Err(reason) => {
                // The log says `renew` also if opening the lease or writing the registration failed.
                gateway.record_store_failure("renew", &reason);
                lease
            }
        };
        sleep_unless_stopped(&gateway, get_renewal_interval(&gateway).into()).await;
    }
    gateway.lock_pacer_lease().record_lost();
    if let Some(lease) = lease
        && let Err(reason) = (gateway.store.call)(StoreCall::EndLease(lease)).await
    {
        log::info!(reason; "lease not ended; it expires by itself");
    }
}

/// Returns the interval between renewals: preferred watchers renew often, since that lets them detect
/// an outage of the store; the others renew just in time, also if they have taken over the watch.
fn get_renewal_interval(gateway: &Gateway) -> Micros {
    let store = &gateway.settings.load().store;
    if gateway.is_preferred_watcher() {
        store.renew_interval
    } else {
        (store.lease_ttl.scaled(RENEW_SHARE)).max(store.renew_interval)
    }
}

/// Renews the lease, or opens one and registers this entry under it. Returns the lease that is held
/// then, or `None` if it was lost or the registration was not written.
async fn renew_or_open(gateway: &Gateway, lease: Option<u64>) -> Result<Option<u64>, String> {
    let call = &gateway.store.call;
    let sent = gateway.clock.now();
    let Some(lease) = lease else {
        let duration = gateway.settings.load().store.lease_ttl;
        let StoreReply::LeaseOpened(lease) = call(StoreCall::OpenLease(duration)).await? else {
            return Err("the store opened no lease".to_owned());
        };
        gateway.record_store_reply();
        let registration = GatewayHeartbeat {
            mirrors_operator_keys: true,
            ..gateway.get_heartbeat()
        };
        let put = StorePut {
            key: get_key(gateway),
            value: registration.encode(),
            lease,
        };
        let write = StoreCall::Write {
            preconditions: Vec::new(),
            puts: vec![put],
            deletes: Vec::new(),
        };
        return match call(write).await? {
            StoreReply::Written(revision) => {
                let now = gateway.clock.now();
                gateway
                    .lock_pacer_lease()
                    .record_written(now, sent, revision);
                Ok(Some(lease))
            }
            _ => Ok(None),
        };
    };
    let reply = call(StoreCall::RenewLease(lease)).await?;
    gateway.record_store_reply();
    if reply == StoreReply::LeaseNotFound {
        log::info!("lease lost");
        gateway.lock_pacer_lease().record_lost();
        return Ok(None);
    }
    gateway.lock_pacer_lease().record_renewed(sent);
    Ok(Some(lease))
}

/// Returns the key of this entry's registration.
fn get_key(gateway: &Gateway) -> Name {
    let name = gateway.settings.load().name.clone();
    format!("{}{name}", MirrorKind::Hosts.get_prefix()).into()
}
