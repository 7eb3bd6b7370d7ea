use std::sync::Arc;

use lentilcart_state::{Precondition, StoreCall, StorePut, StoreReply};
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
    let mut is_first = gateway.settings.load().accounts.is_enforced();
    while !gateway.stop.is_cancelled() {
        lease = match renew_or_open(&gateway, lease, &mut is_first).await {
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
    // Once the registration is gone, others use this entry's share.
    let end = gateway
        .clock
        .to_instant(gateway.account_limits.get_delegation_end());
    tokio::time::sleep_until(end.into()).await;
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
///
/// While `is_first` is true, the registration is written only if there is none, which shows that no earlier
/// process of this entry has a share of the limits of accounts.
async fn renew_or_open(
    gateway: &Gateway,
    lease: Option<u64>,
    is_first: &mut bool,
) -> Result<Option<u64>, String> {
    let call = &gateway.store.call;
    let sent = gateway.clock.now();
    // The lease lasts from when the store gets the call, which is later.
    let lease_end = sent + gateway.settings.load().store.lease_ttl;
    let Some(lease) = lease else {
        let duration = gateway.settings.load().store.lease_ttl;
        let StoreReply::LeaseOpened(lease) = call(StoreCall::OpenLease(duration)).await? else {
            return Err("the store opened no lease".to_owned());
        };
        gateway.record_store_reply();
        let has_limits = gateway.settings.load().accounts.is_enforced();
        let registration = GatewayHeartbeat {
            mirrors_operator_keys: true,
            has_limits,
            ..gateway.get_heartbeat()
        };
        let put = StorePut {
            key: get_key(gateway),
            value: registration.encode(),
            lease,
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
            limits.record_registration(revision, lease_end, !has_predecessor);
        }
        return Ok(Some(lease));
    };
    let reply = call(StoreCall::RenewLease(lease)).await?;
    gateway.record_store_reply();
    if reply == StoreReply::LeaseNotFound {
        log::info!("lease lost");
        gateway.lock_pacer_lease().record_lost();
        gateway.account_limits.record_lost_registration();
        return Ok(None);
    }
    gateway.lock_pacer_lease().record_renewed(sent);
    gateway.account_limits.record_renewal(lease_end);
    Ok(Some(lease))
}

/// Returns the key of this entry's registration.
fn get_key(gateway: &Gateway) -> Name {
    let name = gateway.settings.load().name.clone();
    format!("{}{name}", MirrorKind::Hosts.get_prefix()).into()
}
