//! Asks a server about its load right before it gets a request.
//!
//! How long work takes at a server is settled as it begins, and may have changed since its last
//! report: a question that is answered at once costs less than a request that starts at a slow server.

use std::sync::Arc;

use lentilcart_route::{
    AttemptOutcome, MAX_PREFLIGHT_PROBES, PendingRequest, Rejection, has_slowed_down,
};
use lentilcart_util::Name;

use super::gateway::Gateway;
use super::probe::{ProbeTarget, probe};
use crate::entry::{Dispatcher, Permit};

/// Gets a server of this entry's own dispatcher; one whose last report is old is asked first.
pub(crate) async fn acquire_local(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    mut request: PendingRequest,
) -> Result<Permit, Rejection> {
    let mut permit = dispatcher.acquire(request.clone()).await?;
    let path = {
        let routes = gateway.get_active_routes();
        let limits = routes.table.services.get(&dispatcher.service);
        limits.map(|limits| limits.health_path.clone())
    };
    let Some(path) = path else {
        return Ok(permit);
    };
    for _ in 0..MAX_PREFLIGHT_PROBES {
        let settings = gateway.settings.load();
        let (max_age, timeout) = (settings.servers.check_age, settings.servers.check_wait);
        let Some(server) = permit.get_server_index() else {
            break;
        };
        if !dispatcher.is_load_stale(permit.address, max_age) {
            break;
        }
        let before =
            dispatcher.read_pool(|pool| pool.get_expected_latency(dispatcher.get_now(), server));
        let target = ProbeTarget {
            dispatcher: dispatcher.clone(),
            address: permit.address,
            path: path.clone(),
        };
        let is_unresponsive = is_unresponsive(gateway, target, timeout.into()).await;
        let after =
            dispatcher.read_pool(|pool| pool.get_expected_latency(dispatcher.get_now(), server));
        if is_unresponsive {
            request.excluded.push(server);
            // Where no server says anything, requests may fare better than questions.
            if !dispatcher.read_pool(|pool| pool.has_alternative(dispatcher.get_now(), &request)) {
                break;
            }
        }
        if is_unresponsive || has_slowed_down(before, after) {
            // The request goes back to its place in the queue, and gets the best server then.
            permit.release(AttemptOutcome::Cancelled);
            permit = dispatcher.acquire(request.clone()).await?;
        }
    }
    if let Some(server) = permit.get_server_index() {
        dispatcher.with_pool(|pool, now| pool.restart_attempt(now, request.id, server));
    }
    Ok(permit)
}

/// Asks the servers that waiting requests might get, since they may have become fast.
pub(crate) fn probe_stale_servers(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    path: &Name,
) {
    let settings = gateway.settings.load();
    let (max_age, timeout) = (settings.servers.wait_check, settings.servers.probe_wait);
    for address in
        dispatcher.read_pool(|pool| pool.get_stale_servers(dispatcher.get_now(), max_age))
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

/// Asks a server; the answer of one that takes longer than `wait` is awaited by another task.
async fn is_unresponsive(
    gateway: &Arc<Gateway>,
    target: ProbeTarget,
    timeout: std::time::Duration,
) -> bool {
    let shared = gateway.clone();
    let probe_timeout = gateway.settings.load().servers.probe_wait;
    let probing = gateway
        .tasks
        .spawn(async move { probe(&shared, &target, probe_timeout).await });
    tokio::time::timeout(timeout, probing).await.is_err()
}
