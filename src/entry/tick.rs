use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart_route::Shard;
use lentilcart_state::RequestClass;

use super::claims::read_claims;
use super::control::follow;
use super::dispatcher::Dispatcher;
use super::entry::Entry;
use crate::http::{LOAD, empty, number_of};
use crate::ops::upkeep;

const TICK: Duration = Duration::from_millis(5);
const PAUSE: Duration = Duration::from_millis(500);
const UPKEEP_EVERY: u64 = 1000;
const CLAIMS_EVERY: u64 = 1000;
const CLAIM_READERS: usize = 2;
const SHARE_EVERY: u64 = 20;
const PROBE_PATIENCE: Duration = Duration::from_millis(500);
const HEADER_BYTES: f64 = 200.0;

/// Runs the systems over the tables at fixed times, and notices when the process was paused.
pub(crate) async fn tick(entry: Arc<Entry>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = Instant::now();
    let mut count = 0_u64;
    loop {
        tokio::select! {
            () = entry.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if last.elapsed() > PAUSE {
            wake(&entry, last.elapsed());
        }
        last = Instant::now();
        count += 1;
        if count.is_multiple_of(UPKEEP_EVERY) {
            upkeep();
        }
        for desk in entry.get_active_tickets().dispatchers.values() {
            desk.tick();
            if count.is_multiple_of(SHARE_EVERY) {
                share(&entry, desk);
            }
            probe(&entry, desk);
        }
        if count.is_multiple_of(CLAIMS_EVERY) {
            read_all_claims(&entry);
        }
    }
}

/// Holds new work until the number in force is confirmed.
fn wake(entry: &Arc<Entry>, pause: Duration) {
    log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused");
    entry.awake.send_replace(false);
    entry.announce();
    let entry = entry.clone();
    let tasks = entry.tasks.clone();
    tasks.spawn(async move {
        if !follow(&entry, None).await {
            entry.awake.send_replace(true);
        }
    });
}

/// Keeps the claims known at the entries that are next to dispatch for a service, so that one of
/// them can take over at once.
fn read_all_claims(entry: &Arc<Entry>) {
    let view = entry.get_active_tickets();
    let services = view.state.services.values().map(|(_, service)| service);
    let keyed = services.filter(|s| s.routes.iter().any(|r| r.class == RequestClass::Once));
    for service in keyed {
        let next = entry
            .lock_members()
            .get_owners(&service.name, CLAIM_READERS, entry.clock.now());
        if next.contains(&entry.settings.name) {
            let (entry, name) = (entry.clone(), service.name.clone());
            let tasks = entry.tasks.clone();
            tasks.spawn(async move { read_claims(&entry, &name).await });
        }
    }
}

/// Tells a pool this entry's place among the live entries.
fn share(entry: &Entry, desk: &Dispatcher) {
    let place = {
        let members = entry.lock_members();
        let mut live = members.get_serving(entry.clock.now());
        live.sort_unstable();
        let index = live.iter().position(|name| **name == entry.settings.name);
        index.map(|index| Shard {
            index: index as u32,
            count: live.len() as u32,
        })
    };
    if let Some(place) = place {
        desk.with_pool(|pool, _| pool.set_shard(place));
    }
}

/// Sends the probes that the load budget allows.
fn probe(entry: &Arc<Entry>, desk: &Arc<Dispatcher>) {
    let due = desk.with_pool(|pool, now| {
        let due = pool.take_due_probes(now).into_iter();
        let address = |server| Some((server, pool.get_server_state(server)?.get_config().address));
        due.filter_map(address).collect::<Vec<_>>()
    });
    for (server, address) in due {
        let (entry, desk) = (entry.clone(), desk.clone());
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            entry.stats.add_probe();
            let started = Instant::now();
            let answer = tokio::time::timeout(PROBE_PATIENCE, ask_load(&entry, address)).await;
            if let Ok(Some((load, size))) = answer {
                let took = started.elapsed().into();
                desk.with_pool(|pool, now| pool.record_probe(now, server, load, took, size));
            }
        });
    }
}

async fn ask_load(entry: &Entry, address: SocketAddr) -> Option<(u32, f64)> {
    let request = Request::get("/load")
        .header("host", address.to_string())
        .body(empty())
        .ok()?;
    let reply = entry.dialer.send(address, request).await.ok()?;
    let load = number_of(reply.answer.headers(), LOAD)?;
    let body = reply
        .into_streamed(|_| ())
        .into_body()
        .collect()
        .await
        .ok()?;
    Some((load, HEADER_BYTES + body.to_bytes().len() as f64))
}
