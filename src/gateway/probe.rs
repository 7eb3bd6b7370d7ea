use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_platform::{HEADER_NAMES, decode_load_report};
use lentilcart_route::LoadReport;
use lentilcart_state::weighted_rank;
use lentilcart_util::{Map, Micros, Name, Set};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::datagram::{Datagram, LoadUpdate};
use super::gateway::Gateway;
use super::mirror::sleep_unless_stopped;
use super::peers::{get_peers, send_to_all};
use super::permit_table::get_owner;
use crate::entry::Dispatcher;
use crate::http::{MAX_HEALTH_BYTES, SendError, build_get, collect_body, get_header_text};

/// Interval at which the servers that this entry probes are determined.
const ASSIGNMENT_INTERVAL: Micros = Micros::from_millis(500);

/// Time after the start in which servers are probed only for requests: before an entry has heard of others,
/// it takes itself to be the one that probes all servers, at a connection to each.
const START_DELAY: Micros = Micros::from_millis(1500);

/// Interval between two probes of a server while no service time is known, unless `probe_interval` is
/// longer.
const DEFAULT_PROBE_INTERVAL: Micros = Micros::from_millis(500);
/// Interval between two probes of a server as a share of the longest base service time of the probed
/// services, unless `probe_interval` is longer.
const SERVICE_TIME_SHARE: f64 = 0.5;
/// Maximum number of recipients of load updates; it limits them in two ways. If there are more remote
/// entries, those in other data centres, than this, none of them gets the updates: their cost would
/// outgrow their value, since few servers get requests from remote entries. If owners choose the servers
/// and there are more recipients than this in all, only the owners get the updates.
const MAX_BROADCAST_PEERS: usize = 8;

/// A server to be probed, the dispatcher of its service, and the path of its health endpoint.
pub(crate) struct ProbeTarget {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) address: SocketAddr,
    pub(crate) path: Name,
}

/// Probes the servers assigned to this entry in turn, each once per period, unless its load report is
/// younger than the period or its data centre is evacuated. The period grows with the longest base service time
/// of their services.
pub(crate) async fn keep_probing(gateway: Arc<Gateway>) {
    let mut targets: Vec<Arc<ProbeTarget>> = Vec::new();
    let mut assigned_at: Option<Micros> = None;
    let mut next = 0;
    sleep_unless_stopped(&gateway, START_DELAY.into()).await;
    loop {
        let settings = gateway.settings.load_full();
        let now = gateway.clock.now();
        if assigned_at.is_none_or(|at| now - at >= ASSIGNMENT_INTERVAL) {
            targets = get_targets(&gateway, now);
            assigned_at = Some(now);
        }
        // The probes are spread over the period, which is longer for longer service times.
        let count = targets.len().max(1) as u32;
        let service_times = targets.iter().filter_map(|server| {
            server
                .dispatcher
                .read_pool(lentilcart_route::ServerPool::get_base_service_time)
        });
        let period = match service_times.max() {
            Some(service_time) => settings
                .servers
                .probe_interval
                .max(service_time.scaled(SERVICE_TIME_SHARE)),
            None => DEFAULT_PROBE_INTERVAL.max(settings.servers.probe_interval),
        };
        let delay = Duration::from(period) / count;
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = tokio::time::sleep(delay) => {}
        }
        next += 1;
        let server = targets.get(next % targets.len().max(1)).cloned();
        // A response that has arrived meanwhile carried a load report as well.
        let max_age = period;
        let own_address = settings.listen.peer;
        let is_due = |server: &Arc<ProbeTarget>| {
            server.dispatcher.is_load_stale(server.address, max_age)
                && !server.dispatcher.is_evacuated(server.address)
                && !server.dispatcher.is_held_off(server.address, own_address)
        };
        if let Some(server) = server.filter(is_due) {
            let (gateway, timeout) = (gateway.clone(), settings.servers.probe_timeout);
            let tasks = gateway.tasks.clone();
            tasks.spawn(async move { probe(&gateway, &server, timeout).await });
        }
    }
}

/// Returns the servers that this entry probes: each falls, by rendezvous hashing, to one of the entries
/// that are responsible for its data centre.
fn get_targets(gateway: &Gateway, now: Micros) -> Vec<Arc<ProbeTarget>> {
    let routes = gateway.get_active_routes();
    let own = gateway.settings.load().name.clone();
    let directory = gateway.lock_directory();
    let data_centers: Set<Name> = directory
        .iter()
        .map(|registration| registration.data_center.clone())
        .collect();
    // The data centres that this entry is responsible for, each with all its responsible entries.
    let responsible: Map<Name, Vec<(Name, u32)>> = {
        let members = gateway.lock_members();
        let get_entries = |data_center: Name| {
            let entries = members.get_responsible(&data_center, now);
            let is_own = entries.contains(&&own);
            let get_weight = |name: &Name| members.get(name).map_or(0, |member| member.weight);
            let entries = entries.into_iter();
            let entries = entries.map(|name| (name.clone(), get_weight(name)));
            is_own.then(|| (data_center, entries.collect()))
        };
        data_centers.into_iter().filter_map(get_entries).collect()
    };
    let serving = directory
        .iter()
        .filter(|registration| !registration.leaving);
    let targets = serving.filter_map(|registration| {
        let entries = responsible.get(&registration.data_center)?;
        let entries = entries.iter().map(|(name, weight)| (name, *weight));
        let prober = weighted_rank(&registration.id, entries, 1);
        if prober.first().is_none_or(|prober| **prober != own) {
            return None;
        }
        Some(Arc::new(ProbeTarget {
            dispatcher: routes.dispatchers.get(&registration.service)?.clone(),
            address: registration.address,
            path: routes
                .table
                .services
                .get(&registration.service)?
                .health_path
                .clone(),
        }))
    });
    targets.collect()
}

/// Probes a server: records its load report, queues it for the other entries, and records a failure if
/// the probe fails or takes longer than `timeout`. A server of an evacuated data centre is not probed.
pub(crate) async fn probe(gateway: &Gateway, server: &ProbeTarget, timeout: Micros) {
    if server.dispatcher.is_evacuated(server.address) {
        return;
    }
    let reply = tokio::time::timeout(timeout.into(), fetch_load(gateway, server)).await;
    let outcome = match &reply {
        Ok(Ok(_)) => "answered",
        Ok(Err(_)) => "failed",
        Err(_) => "silent",
    };
    metrics::counter!("lentilcart_probes_total", "outcome" => outcome).increment(1);
    match reply {
        Ok(Ok(Some(load))) => {
            server.dispatcher.record_load(server.address, load);
            let mut load_updates = gateway.load_updates.lock().expect("no panic under lock");
            load_updates.extend(LoadUpdate::new(server.address, &load));
        }
        Ok(Ok(None)) => {}
        Ok(Err(reason)) => {
            log::debug!(server:% = server.address; "probe failed: {reason}");
            server.dispatcher.record_failed_probe(server.address);
        }
        Err(_) => server.dispatcher.record_failed_probe(server.address),
    }
}

/// Requests a server's health endpoint and returns the load report from the response headers, if any;
/// handles the notice there. The status is ignored: a response with any status is an answer.
async fn fetch_load(gateway: &Gateway, server: &ProbeTarget) -> Result<Option<LoadReport>, String> {
    let new_request = || build_get(server.address, &server.path);
    let client = &gateway.server_client;
    let received = match client.send(server.address, new_request()?).await {
        // The server may have forgotten an idle connection, which says nothing about its state.
        Err(SendError::NoResponse(..)) => {
            let max_idle_time = Duration::ZERO;
            client
                .send_with_max_idle_time(server.address, new_request()?, max_idle_time)
                .await
        }
        received => received,
    };
    let received = received.map_err(|e| e.to_string())?;
    if received
        .response
        .headers()
        .contains_key(HEADER_NAMES.request_id)
    {
        // Dropping the response closes its connection, on which the probe's own may still come.
        return Err("the response belongs to another request".to_owned());
    }
    let received = if received.response.status().is_success() {
        received
    } else {
        // A copy of a refusal that comes late names nothing either: the connection is closed.
        received.with_max_idle_connections(0)
    };
    let response = received.into_streamed(|_| ());
    gateway.handle_probe_notice(&server.dispatcher, server.address, &response);
    let load = get_header_text(response.headers(), HEADER_NAMES.load).and_then(decode_load_report);
    collect_body(response.into_body(), MAX_HEALTH_BYTES).await?;
    Ok(load)
}

/// Returns the addresses of the entries to which load updates are sent, because they choose servers:
/// the other entries of this entry's data centre, and the remote entries if there are at most
/// [`MAX_BROADCAST_PEERS`] of them.
///
/// If owners choose the servers and this makes more than [`MAX_BROADCAST_PEERS`] addresses in all, only
/// the owners of the services in this entry's data centre get the updates.
fn get_update_recipients(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut recipients = get_peers(gateway, MAX_BROADCAST_PEERS);
    if gateway.settings.load().servers.owner_dispatch && recipients.len() > MAX_BROADCAST_PEERS {
        let routes = gateway.get_active_routes();
        let services = routes.dispatchers.keys();
        recipients = services
            .filter_map(|service| get_owner(gateway, service))
            .collect();
        recipients.sort_unstable();
        recipients.dedup();
    }
    recipients
}

/// Sends the load updates from the probes to the other entries at a fixed interval.
pub(crate) async fn send_load_updates(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let interval = gateway.settings.load().peers.digest_interval;
    let mut timer = tokio::time::interval(interval.into());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        let updates: Vec<LoadUpdate> = {
            let mut load_updates = gateway.load_updates.lock().expect("no panic under lock");
            load_updates.drain(..).collect()
        };
        if !updates.is_empty() {
            let peers = get_update_recipients(&gateway);
            send_to_all(&gateway, &socket, &Datagram::LoadUpdates(updates), &peers).await;
        }
    }
}
