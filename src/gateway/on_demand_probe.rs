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

/// Gets a server of this entry's own desk; one whose last report is old is asked first.
pub(crate) async fn acquire_local(
    gateway: &Arc<Gateway>,
    desk: &Arc<Dispatcher>,
    mut job: PendingRequest,
) -> Result<Permit, Rejection> {
    let mut lease = desk.acquire(job.clone()).await?;
    let path = {
        let view = gateway.get_routes();
        let rules = view.table.services.get(&desk.service);
        rules.map(|rules| rules.health_path.clone())
    };
    let Some(path) = path else {
        return Ok(lease);
    };
    for _ in 0..MAX_PREFLIGHT_PROBES {
        let settings = gateway.settings.load();
        let (age, wait) = (settings.servers.check_age, settings.servers.check_wait);
        let Some(server) = lease.get_server_index() else {
            break;
        };
        if !desk.is_load_stale(lease.address, age) {
            break;
        }
        let before = desk.read_pool(|pool| pool.get_expected_latency(desk.get_now(), server));
        let asked = ProbeTarget {
            desk: desk.clone(),
            address: lease.address,
            path: path.clone(),
        };
        let is_silent = is_silent(gateway, asked, wait.into()).await;
        let after = desk.read_pool(|pool| pool.get_expected_latency(desk.get_now(), server));
        if is_silent {
            job.excluded.push(server);
            // Where no server says anything, requests may fare better than questions.
            if !desk.read_pool(|pool| pool.has_alternative(desk.get_now(), &job)) {
                break;
            }
        }
        if is_silent || has_slowed_down(before, after) {
            // The request goes back to its place in the queue, and gets the best server then.
            lease.release(AttemptOutcome::Cancelled);
            lease = desk.acquire(job.clone()).await?;
        }
    }
    if let Some(server) = lease.get_server_index() {
        desk.with_pool(|pool, now| pool.restart_attempt(now, job.id, server));
    }
    Ok(lease)
}

/// Asks the servers that waiting requests might get, since they may have become fast.
pub(crate) fn probe_suspected(gateway: &Arc<Gateway>, desk: &Arc<Dispatcher>, path: &Name) {
    let settings = gateway.settings.load();
    let (age, wait) = (settings.servers.wait_check, settings.servers.probe_wait);
    for address in desk.read_pool(|pool| pool.get_stale_servers(desk.get_now(), age)) {
        let asked = ProbeTarget {
            desk: desk.clone(),
            address,
            path: path.clone(),
        };
        let shared = gateway.clone();
        gateway
            .tasks
            .spawn(async move { probe(&shared, &asked, wait).await });
    }
}

/// Asks a server; the answer of one that takes longer than `wait` is awaited by another task.
async fn is_silent(gateway: &Arc<Gateway>, asked: ProbeTarget, wait: std::time::Duration) -> bool {
    let shared = gateway.clone();
    let longest = gateway.settings.load().servers.probe_wait;
    let asking = gateway
        .tasks
        .spawn(async move { probe(&shared, &asked, longest).await });
    tokio::time::timeout(wait, asking).await.is_err()
}
