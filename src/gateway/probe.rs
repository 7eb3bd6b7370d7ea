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
use super::peers::{get_peers, send};
use super::permit_table::get_owner;
use crate::entry::Dispatcher;
use crate::http::{empty, text_of};

/// Time between two looks at which servers this entry asks.
const OWNED_EVERY: Micros = Micros::from_millis(500);

/// Time between two questions before there was any request.
const IDLE_PROBE: Micros = Micros::from_millis(500);
/// Part of the usual time of work after which a server is asked again.
const WORK_SHARE: f64 = 0.5;
/// Entries of other data centres up to which they are told too; beyond, what it costs outgrows what
/// it tells of the few servers that get requests from afar.
const FAR_DIGESTS: usize = 8;

/// A server that this entry asks about its load.
pub(crate) struct ProbeTarget {
    pub(crate) desk: Arc<Dispatcher>,
    pub(crate) address: SocketAddr,
    pub(crate) path: Name,
}

/// Asks the servers that fall to this entry about their load, each at a fixed rate.
pub(crate) async fn keep_probing(gateway: Arc<Gateway>) {
    let mut owned: Vec<Arc<ProbeTarget>> = Vec::new();
    let mut looked: Option<Micros> = None;
    let mut next = 0;
    loop {
        let settings = gateway.settings.load_full();
        let now = gateway.clock.now();
        if looked.is_none_or(|at| now - at >= OWNED_EVERY) {
            owned = get_owned(&gateway, now);
            looked = Some(now);
        }
        // The questions are spread over the period; longer work needs them less often.
        let count = owned.len().max(1) as u32;
        let works = owned.iter().filter_map(|server| {
            server
                .desk
                .read_pool(lentilcart_route::ServerPool::get_service_time)
        });
        let period = match works.max() {
            Some(work) => settings.servers.probe.max(work.scaled(WORK_SHARE)),
            None => IDLE_PROBE.max(settings.servers.probe),
        };
        let pause = Duration::from(period) / count;
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        next += 1;
        let server = owned.get(next % owned.len().max(1)).cloned();
        // An answer that has come meanwhile told the same.
        let fresh = period;
        if let Some(server) = server.filter(|s| s.desk.is_load_stale(s.address, fresh)) {
            let (gateway, wait) = (gateway.clone(), settings.servers.probe_wait);
            let tasks = gateway.tasks.clone();
            tasks.spawn(async move { probe(&gateway, &server, wait).await });
        }
    }
}

/// Returns the servers that this entry asks: each falls to one live entry of its data centre, or
/// of all where that has none.
fn get_owned(gateway: &Gateway, now: Micros) -> Vec<Arc<ProbeTarget>> {
    let view = gateway.get_routes();
    let own = gateway.settings.load().name.clone();
    let mut centers: Map<Name, Vec<Name>> = Map::default();
    let mut all: Vec<Name> = Vec::new();
    {
        let members = gateway.members();
        for name in members.get_serving(now) {
            all.push(name.clone());
            if let Some(row) = members.get(name) {
                let center = centers.entry(row.data_center.clone()).or_default();
                center.push(name.clone());
            }
        }
    }
    let directory = gateway.directory();
    let serving = directory.iter().filter(|row| !row.leaving);
    let owned = serving.filter_map(|row| {
        let entries = centers.get(&row.data_center).unwrap_or(&all);
        let owner = rendezvous_rank(&row.id, entries.iter(), 1);
        if owner.first().is_none_or(|owner| **owner != own) {
            return None;
        }
        Some(Arc::new(ProbeTarget {
            desk: view.desks.get(&row.service)?.clone(),
            address: row.address,
            path: view.table.services.get(&row.service)?.health_path.clone(),
        }))
    });
    owned.collect()
}

pub(crate) async fn probe(gateway: &Gateway, server: &ProbeTarget, wait: Micros) {
    let asked = tokio::time::timeout(wait.into(), ask_load(gateway, server)).await;
    let outcome = match &asked {
        Ok(Ok(_)) => "answered",
        Ok(Err(_)) => "failed",
        Err(_) => "silent",
    };
    metrics::counter!("lentilcart_probes_total", "outcome" => outcome).increment(1);
    match asked {
        Ok(Ok(Some(load))) => {
            server.desk.record_load(server.address, load);
            let mut digest = gateway.digest.lock().expect("no panic under lock");
            digest.extend(LoadUpdate::new(server.address, &load));
        }
        Ok(Ok(None)) => {}
        Ok(Err(reason)) => {
            log::debug!(server:% = server.address; "probe failed: {reason}");
            server.desk.record_unanswered_probe(server.address);
        }
        Err(_) => server.desk.record_unanswered_probe(server.address),
    }
}

async fn ask_load(gateway: &Gateway, server: &ProbeTarget) -> Result<Option<LoadReport>, String> {
    let request = Request::get(&*server.path)
        .header("host", server.address.to_string())
        .body(empty())
        .map_err(|e| e.to_string())?;
    let reply = gateway.prober.send(server.address, request).await;
    let answer = reply.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let load = text_of(answer.headers(), HEADER_NAMES.load).and_then(decode_load_report);
    let body = answer.into_body().collect().await;
    body.map_err(|e| e.to_string())?;
    Ok(load)
}

/// Returns the entries that choose servers: the desks of the own data centre, and all entries where
/// there are few.
fn get_listeners(gateway: &Gateway) -> Vec<SocketAddr> {
    let mut listeners = get_peers(gateway, FAR_DIGESTS);
    if gateway.settings.load().servers.desks && listeners.len() > FAR_DIGESTS {
        let view = gateway.get_routes();
        let desks = view.desks.keys();
        listeners = desks
            .filter_map(|service| get_owner(gateway, service))
            .collect();
        listeners.sort_unstable();
        listeners.dedup();
    }
    listeners
}

/// Tells the other entries what the probes have brought.
pub(crate) async fn send_digests(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let digest = gateway.settings.load().peers.digest;
    let mut timer = tokio::time::interval(digest.into());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        let news: Vec<LoadUpdate> = {
            let mut digest = gateway.digest.lock().expect("no panic under lock");
            digest.drain(..).collect()
        };
        if !news.is_empty() {
            let peers = get_listeners(&gateway);
            send(&socket, &Datagram::LoadUpdates(news), &peers).await;
        }
    }
}
