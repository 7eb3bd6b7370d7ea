use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart_route::Shard;
use lentilcart_state::RequestClass;

use super::claims::refresh_claims;
use super::control::catch_up;
use super::dispatcher::Dispatcher;
use super::entry::Entry;
use crate::http::{LOAD, empty, number_of};
use crate::ops::upkeep;

const TICK: Duration = Duration::from_millis(5);
const MIN_PAUSE: Duration = Duration::from_millis(500);
const UPKEEP_TICKS: u64 = 1000;
const CLAIM_REFRESH_TICKS: u64 = 1000;
const CLAIM_READER_COUNT: usize = 2;
const SHARD_TICKS: u64 = 20;
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const PROBE_HEADER_BYTES: f64 = 200.0;

/// Runs the systems over the tables at fixed times, and notices when the process was paused.
pub(crate) async fn tick(entry: Arc<Entry>) {
    let mut timer = tokio::time::interval(TICK);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    let mut tick_count = 0_u64;
    loop {
        tokio::select! {
            () = entry.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if last_tick.elapsed() > MIN_PAUSE {
            handle_pause(&entry, last_tick.elapsed());
        }
        last_tick = Instant::now();
        tick_count += 1;
        if tick_count.is_multiple_of(UPKEEP_TICKS) {
            upkeep();
        }
        for dispatcher in entry.get_active_tickets().dispatchers.values() {
            dispatcher.tick();
            if tick_count.is_multiple_of(SHARD_TICKS) {
                update_shard(&entry, dispatcher);
            }
            send_probes(&entry, dispatcher);
        }
        if tick_count.is_multiple_of(CLAIM_REFRESH_TICKS) {
            refresh_all_claims(&entry);
        }
    }
}

/// Holds new work until the number in force is confirmed.
fn handle_pause(entry: &Arc<Entry>, pause: Duration) {
    log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused");
    entry.is_current.send_replace(false);
    entry.trigger_heartbeat();
    let entry = entry.clone();
    let tasks = entry.tasks.clone();
    tasks.spawn(async move {
        if !catch_up(&entry, None).await {
            entry.is_current.send_replace(true);
        }
    });
}

/// Keeps the claims known at the entries that are next to dispatch for a service, so that one of
/// them can take over at once.
fn refresh_all_claims(entry: &Arc<Entry>) {
    let active = entry.get_active_tickets();
    let services = active.state.services.values().map(|(_, service)| service);
    let keyed = services.filter(|s| s.routes.iter().any(|r| r.class == RequestClass::Once));
    for service in keyed {
        let owners =
            entry
                .lock_members()
                .get_owners(&service.name, CLAIM_READER_COUNT, entry.clock.now());
        if owners.contains(&entry.settings.name) {
            let (entry, name) = (entry.clone(), service.name.clone());
            let tasks = entry.tasks.clone();
            tasks.spawn(async move { refresh_claims(&entry, &name).await });
        }
    }
}

/// Tells a pool this entry's shard among the live entries.
fn update_shard(entry: &Entry, dispatcher: &Dispatcher) {
    let shard = {
        let members = entry.lock_members();
        let mut live = members.get_serving(entry.clock.now());
        live.sort_unstable();
        let index = live.iter().position(|name| **name == entry.settings.name);
        index.map(|index| Shard {
            index: index as u32,
            count: live.len() as u32,
        })
    };
    if let Some(shard) = shard {
        dispatcher.with_pool(|pool, _| pool.set_shard(shard));
    }
}

/// Sends the probes that the load budget allows.
fn send_probes(entry: &Arc<Entry>, dispatcher: &Arc<Dispatcher>) {
    let due = dispatcher.with_pool(|pool, now| {
        let due = pool.take_due_probes(now).into_iter();
        let address = |server| Some((server, pool.get_server_state(server)?.get_config().address));
        due.filter_map(address).collect::<Vec<_>>()
    });
    for (server, address) in due {
        let (entry, dispatcher) = (entry.clone(), dispatcher.clone());
        let tasks = entry.tasks.clone();
        tasks.spawn(async move {
            entry.stats.add_probe();
            let started = Instant::now();
            let answer = tokio::time::timeout(PROBE_TIMEOUT, fetch_load(&entry, address)).await;
            if let Ok(Some((load, size))) = answer {
                let elapsed = started.elapsed().into();
                dispatcher
                    .with_pool(|pool, now| pool.record_probe(now, server, load, elapsed, size));
            }
        });
    }
}

async fn fetch_load(entry: &Entry, address: SocketAddr) -> Option<(u32, f64)> {
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
    Some((load, PROBE_HEADER_BYTES + body.to_bytes().len() as f64))
}
