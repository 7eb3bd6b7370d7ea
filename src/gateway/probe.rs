use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart_platform::{HEADER_NAMES, decode_load_report};
use lentilcart_route::LoadReport;
use lentilcart_state::rendezvous_rank;
use lentilcart_util::{Map, Micros, Name};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::datagram::{Datagram, LoadUpdate};
use super::gateway::Gateway;
use super::peers::{get_peers, send_to_all};
use super::permit_table::get_owner;
use crate::entry::Dispatcher;
use crate::http::{empty, text_of};

/// Time between two looks at which servers this entry asks.
const ASSIGNMENT_INTERVAL: Micros = Micros::from_millis(500);

/// Time between two questions before there was any request.
const IDLE_PROBE_INTERVAL: Micros = Micros::from_millis(500);
/// Part of the usual time of work after which a server is asked again.
const SERVICE_TIME_SHARE: f64 = 0.5;
/// Entries of other data centres up to which they are told too; beyond, what it costs outgrows what
/// it tells of the few servers that get requests from afar.
const MAX_REMOTE_PEERS: usize = 8;

/// A server that this entry asks about its load.
pub(crate) struct ProbeTarget {
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) address: SocketAddr,
    pub(crate) path: Name,
}

/// Asks the servers that fall to this entry about their load, each at a fixed rate.
pub(crate) async fn keep_probing(gateway: Arc<Gateway>) {
    let mut targets: Vec<Arc<ProbeTarget>> = Vec::new();
    let mut assigned_at: Option<Micros> = None;
    let mut next = 0;
    loop {
        let settings = gateway.settings.load_full();
        let now = gateway.clock.now();
        if assigned_at.is_none_or(|at| now - at >= ASSIGNMENT_INTERVAL) {
            targets = get_targets(&gateway, now);
            assigned_at = Some(now);
        }
        // The questions are spread over the period; longer work needs them less often.
        let count = targets.len().max(1) as u32;
        let service_times = targets.iter().filter_map(|server| {
            server
                .dispatcher
                .read_pool(lentilcart_route::ServerPool::get_service_time)
        });
        let period = match service_times.max() {
            Some(service_time) => settings
                .servers
                .probe
                .max(service_time.scaled(SERVICE_TIME_SHARE)),
            None => IDLE_PROBE_INTERVAL.max(settings.servers.probe),
        };
        let delay = Duration::from(period) / count;
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = tokio::time::sleep(delay) => {}
        }
        next += 1;
        let server = targets.get(next % targets.len().max(1)).cloned();
        // An answer that has come meanwhile told the same.
        let max_age = period;
        if let Some(server) = server.filter(|s| s.dispatcher.is_load_stale(s.address, max_age)) {
            let (gateway, timeout) = (gateway.clone(), settings.servers.probe_wait);
            let tasks = gateway.tasks.clone();
            tasks.spawn(async move { probe(&gateway, &server, timeout).await });
        }
    }
}

/// Returns the servers that this entry asks: each falls to one live entry of its data centre, or
/// of all where that has none.
fn get_targets(gateway: &Gateway, now: Micros) -> Vec<Arc<ProbeTarget>> {
    let routes = gateway.get_active_routes();
    let own = gateway.settings.load().name.clone();
    let mut by_data_center: Map<Name, Vec<Name>> = Map::default();
    let mut all: Vec<Name> = Vec::new();
    {
        let members = gateway.lock_members();
        for name in members.get_serving(now) {
            all.push(name.clone());
            if let Some(member) = members.get(name) {
                let entries = by_data_center
                    .entry(member.data_center.clone())
                    .or_default();
                entries.push(name.clone());
            }
        }
    }
    let directory = gateway.lock_directory();
    let serving = directory
        .iter()
        .filter(|registration| !registration.leaving);
    let targets = serving.filter_map(|registration| {
        let entries = by_data_center
            .get(&registration.data_center)
            .unwrap_or(&all);
        let owner = rendezvous_rank(&registration.id, entries.iter(), 1);
        if owner.first().is_none_or(|owner| **owner != own) {
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

pub(crate) async fn probe(gateway: &Gateway, server: &ProbeTarget, timeout: Micros) {
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
            server.dispatcher.record_unanswered_probe(server.address);
        }
        Err(_) => server.dispatcher.record_unanswered_probe(server.address),
    }
}

async fn fetch_load(gateway: &Gateway, server: &ProbeTarget) -> Result<Option<LoadReport>, String> {
    let request = Request::get(&*server.path)
        .header("host", server.address.to_string())
        .body(empty())
        .map_err(|e| e.to_string())?;
    let reply = gateway.probe_dialer.send(server.address, request).await;
    let answer = reply.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let load = text_of(answer.headers(), HEADER_NAMES.load).and_then(decode_load_report);
    let body = answer.into_body().collect().await;
    body.map_err(|e| e.to_string())?;
    Ok(load)
}

/// Returns the entries that choose servers: the desks of the own data centre, and all entries where
/// there are few.
fn get_update_recipients(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut recipients = get_peers(gateway, MAX_REMOTE_PEERS);
    if gateway.settings.load().servers.desks && recipients.len() > MAX_REMOTE_PEERS {
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

/// Tells the other entries what the probes have brought.
pub(crate) async fn send_load_updates(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let interval = gateway.settings.load().peers.digest;
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
            send_to_all(&socket, &Datagram::LoadUpdates(updates), &peers).await;
        }
    }
}
