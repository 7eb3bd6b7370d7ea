//! Probes servers on demand: right before they get a request, and while requests wait.
//!
//! The slowdown factor that a server has at the start of a request applies to the whole request, and it
//! may have changed since the server's last load report. A probe that is answered at once costs less
//! than a request that starts on a slow server.
//!
//! The settings of `servers` that control these probes, with their names in the settings file:
//! `preflight_age` (`check-age`) and `preflight_timeout` (`check-wait`) apply right before a request,
//! `queued_age` (`wait-check`) applies while requests wait, and `probe_timeout` (`probe-wait`) is the
//! timeout of any probe. A probe right before a request is also called a preflight probe.

use std::net::SocketAddr;
use std::sync::Arc;

use lentilcart_route::{
    AttemptOutcome, MAX_PREFLIGHT_PROBES, PendingRequest, Rejection, is_latency_much_higher,
};
use lentilcart_util::Name;

use super::gateway::Gateway;
use super::permit_table::is_serving;
use super::probe::{ProbeTarget, probe};
use super::warmup::count_held_back;
use crate::entry::{Dispatcher, Permit};

/// Gets a permit from this entry's own dispatcher, for a server that is serving after the probes.
///
/// # Errors
///
/// Returns the pool's rejection.
pub(crate) async fn acquire_local_permit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    mut request: PendingRequest,
) -> Result<Permit, Rejection> {
    loop {
        let permit = acquire_probed_permit(gateway, dispatcher, &mut request).await?;
        if !gateway.is_within_warmup(dispatcher, &permit) {
            // The probe has shown that the server is cold. The request may have its turn there later.
            count_held_back(dispatcher);
            permit.release(AttemptOutcome::Cancelled);
            continue;
        }
        if is_serving(gateway, &permit.server_id) {
            return Ok(permit);
        }
        // The server was removed, or said that it is leaving, while it was probed.
        request.excluded.push(permit.address);
        permit.release(AttemptOutcome::Cancelled);
    }
}

/// Gets a permit, then probes its server if the last load report is older than `preflight_age`.
///
/// If the probe does not end within `preflight_timeout`, or the server has slowed down, the permit is
/// given back for another one, up to [`MAX_PREFLIGHT_PROBES`] times.
///
/// # Errors
///
/// Returns the pool's rejection.
async fn acquire_probed_permit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: &mut PendingRequest,
) -> Result<Permit, Rejection> {
    let mut permit = dispatcher.acquire(request.clone()).await?;
    let Some(path) = gateway.get_health_path(&dispatcher.service) else {
        return Ok(permit);
    };
    for _ in 0..MAX_PREFLIGHT_PROBES {
        // The data centre of the server may have been evacuated since the permit was granted.
        if dispatcher.is_evacuated(permit.address) {
            break;
        }
        let settings = gateway.settings.load();
        let (max_age, timeout) = (
            settings.servers.preflight_age,
            settings.servers.preflight_timeout,
        );
        let Some(server) = permit.get_server_index() else {
            break;
        };
        if !dispatcher.is_load_stale(permit.address, max_age) {
            break;
        }
        let before = dispatcher
            .read_pool(|pool| pool.get_current_latency_factor(dispatcher.get_now(), server));
        let target = ProbeTarget {
            dispatcher: dispatcher.clone(),
            address: permit.address,
            path: path.clone(),
        };
        let timed_out = probe_times_out(gateway, target, timeout.into()).await;
        let after = dispatcher
            .read_pool(|pool| pool.get_current_latency_factor(dispatcher.get_now(), server));
        if timed_out {
            request.excluded.push(permit.address);
            // If no server answers probes, requests may still succeed, so this permit is kept.
            if !dispatcher.read_pool(|pool| pool.has_usable_server(dispatcher.get_now(), request)) {
                break;
            }
        }
        if timed_out || is_latency_much_higher(before, after) {
            // The request returns to its place in the queue and gets the best server of that time.
            permit.release(AttemptOutcome::Cancelled);
            permit = dispatcher.acquire(request.clone()).await?;
        }
    }
    if let Some(server) = permit.get_server_index() {
        // The attempt starts now, after the probes.
        dispatcher.update_pool(|pool, now| pool.reset_attempt_start(now, request, server));
    }
    Ok(permit)
}

/// Probes a server right before it gets a request that its owner has not granted a permit for, if its load
/// report is older than `preflight_age`. Returns whether the report is fresh then.
pub(crate) async fn preflight(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    address: SocketAddr,
) -> bool {
    let settings = gateway.settings.load_full();
    let max_age = settings.servers.preflight_age;
    if !dispatcher.is_load_stale(address, max_age) {
        return true;
    }
    let Some(path) = gateway.get_health_path(&dispatcher.service) else {
        return false;
    };
    let target = ProbeTarget {
        dispatcher: dispatcher.clone(),
        address,
        path,
    };
    !probe_times_out(gateway, target, settings.servers.preflight_timeout.into()).await
}

/// Probes servers with load reports older than `queued_age` that waiting requests might get, since
/// they may have become fast. `path` is the path of the service's health endpoint.
pub(crate) fn probe_stale_servers(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    path: &Name,
) {
    let settings = gateway.settings.load();
    let (max_age, timeout) = (settings.servers.queued_age, settings.servers.probe_timeout);
    for address in
        dispatcher.read_pool(|pool| pool.get_servers_to_refresh(dispatcher.get_now(), max_age))
    {
        let target = ProbeTarget {
            dispatcher: dispatcher.clone(),
            address,
            path: path.clone(),
        };
        let shared = gateway.clone();
        gateway
            .tasks
            .spawn(async move { probe(&shared, &target, timeout).await });
    }
}

/// Probes a server and returns whether the probe takes longer than `timeout`. A probe that fails
/// sooner, such as on a refused connection, has ended, so the result is false; the failure is
/// recorded in the pool.
///
/// A probe that takes longer goes on in another task, up to `probe_timeout`, and records its reply.
async fn probe_times_out(
    gateway: &Arc<Gateway>,
    target: ProbeTarget,
    timeout: std::time::Duration,
) -> bool {
    let shared = gateway.clone();
    let probe_timeout = gateway.settings.load().servers.probe_timeout;
    let probing = gateway
        .tasks
        .spawn(async move { probe(&shared, &target, probe_timeout).await });
    tokio::time::timeout(timeout, probing).await.is_err()
}
