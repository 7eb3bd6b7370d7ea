use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart_route::Shard;
use lentilcart_state::RequestClass;

use super::attempt::names_other_request;
use super::claims::refresh_claims;
use super::control::catch_up;
use super::dispatcher::Dispatcher;
use super::entry::Entry;
use crate::http::{LOAD_HEADER, REQUEST_ID_HEADER, empty_body, get_header_number, set_header};
use crate::ops::run_metrics_upkeep;

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Time between two ticks above which the process counts as having been paused: stopped by a
/// signal, suspended with its machine, or given no processor time.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// Ticks between two upkeeps of the metrics (5 s).
const UPKEEP_TICKS: u64 = 1000;
/// Ticks between two refreshes of the claims (5 s).
const CLAIM_REFRESH_TICKS: u64 = 1000;
/// Number of entries, first in a service's ranking of owners, that read its claims in advance,
/// without a request for one. It does not depend on the service's number of owners.
const CLAIM_READER_COUNT: usize = 2;
/// Ticks between two updates of this entry's shard (100 ms).
const SHARD_TICKS: u64 = 20;
/// Time in which a server must answer a load probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Bytes that the headers of a load probe and its answer count for in the probe budget.
const PROBE_HEADER_BYTES: f64 = 200.0;

/// Does what is due at fixed times, until the entry stops: ticks the dispatchers, sends load
/// probes, refreshes claims, and detects pauses of the process.
pub(crate) async fn tick(entry: Arc<Entry>) {
    let mut timer = tokio::time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last_tick = Instant::now();
    let mut tick_count = 0_u64;
    loop {
        tokio::select! {
            () = entry.stop.cancelled() => return,
            _ = timer.tick() => {}
        }
        if last_tick.elapsed() > PAUSE_THRESHOLD {
            handle_pause(&entry, last_tick.elapsed());
        }
        last_tick = Instant::now();
        tick_count += 1;
        if tick_count.is_multiple_of(UPKEEP_TICKS) {
            run_metrics_upkeep();
        }
        for dispatcher in entry.get_active_config().dispatchers.values() {
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

/// Marks the ticket in force as unconfirmed after a pause of the process, so that new requests wait
/// for at most `CONFIRM_TIMEOUT`, and asks the platform for newer tickets. A reply of the platform
/// or of another entry ends this, and so does a failure of the platform to answer.
fn handle_pause(entry: &Arc<Entry>, pause: Duration) {
    log::warn!(pause_ms = pause.as_millis() as u64; "the process was paused");
    entry.is_ticket_confirmed.send_replace(false);
    entry.trigger_heartbeat();
    let entry = entry.clone();
    let tasks = entry.tasks.clone();
    tasks.spawn(async move {
        if !catch_up(&entry, None).await {
            entry.is_ticket_confirmed.send_replace(true);
        }
    });
}

/// Reads the claims of each service that has a route of class `Once` and this entry among the first
/// [`CLAIM_READER_COUNT`] entries of its ranking of owners, so that it can take over from another
/// owner without a delay.
fn refresh_all_claims(entry: &Arc<Entry>) {
    let active = entry.get_active_config();
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

/// Sets the shard of a pool, the part of the servers' slots that this entry prefers: its place, by
/// name, among the live entries that are not leaving.
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
        dispatcher.update_pool(|pool, _| pool.set_shard(shard));
    }
}

/// Sends the load probes that are due within the probe budget, without waiting for their answers.
fn send_probes(entry: &Arc<Entry>, dispatcher: &Arc<Dispatcher>) {
    let due = dispatcher.update_pool(|pool, now| {
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
                dispatcher.update_pool(|pool, now| {
                    pool.record_load_probe(now, server, load, elapsed, size);
                });
            }
        });
    }
}

/// Probes the load of a server; returns the number of requests that it reports and the size of the
/// exchange in bytes.
async fn fetch_load(entry: &Entry, address: SocketAddr) -> Option<(u32, f64)> {
    let mut request = Request::get("/load")
        .header("host", address.to_string())
        .body(empty_body())
        .ok()?;
    // An identifier of its own tells the answer from a late one to an earlier request.
    let headers = request.headers_mut();
    set_header(headers, REQUEST_ID_HEADER, &entry.next_unique_id());
    let id = headers.get(REQUEST_ID_HEADER).cloned();
    let reply = entry.http_client.send(address, request).await.ok()?;
    if names_other_request(reply.response.headers(), id.as_ref()) {
        log::info!(address:% = address; "load report discarded, as it answers another request");
        return None;
    }
    let load = get_header_number(reply.response.headers(), LOAD_HEADER)?;
    let reply = if reply.response.status().is_success() {
        reply
    } else {
        // A late copy of a refusal would be taken for the answer to the next request.
        reply.with_max_idle_connections(0)
    };
    let body = reply
        .into_streamed(|_| ())
        .into_body()
        .collect()
        .await
        .ok()?;
    Some((load, PROBE_HEADER_BYTES + body.to_bytes().len() as f64))
}
