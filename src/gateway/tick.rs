use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart_util::Micros;

use super::gateway::Gateway;
use super::on_demand_probe::probe_stale_servers;
use super::permit_table::release_expired;
use crate::ops::upkeep;

/// Time between two ticks while requests wait, and while none do.
const BUSY_INTERVAL: Duration = Duration::from_millis(15);
const IDLE_INTERVAL: Duration = Duration::from_millis(60);
/// Gap between two ticks that tells that the process stood still.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);
/// Time between two looks at rarer matters.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Looks between two merges of recorded metrics.
const UPKEEP_EVERY: u64 = 10;
/// Age at which an unused connection to another entry or a server is closed.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(9);

/// Runs the systems over the tables at fixed times, and notices when the process stood still.
pub(crate) async fn tick(gateway: Arc<Gateway>) {
    let mut last = Instant::now();
    let mut housekept = Instant::now();
    let mut count = 0_u64;
    let mut entries = 0;
    loop {
        let is_busy = gateway
            .get_active_routes()
            .dispatchers
            .values()
            .any(|dispatcher| dispatcher.has_waiting());
        let interval = if is_busy {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = tokio::time::sleep(interval) => {}
        }
        let gap = last.elapsed();
        last = Instant::now();
        if gap > PAUSE_THRESHOLD {
            log::warn!(pause_ms = gap.as_millis() as u64; "the process stood still");
            gateway.relist.notify_waiters();
        }
        let routes = gateway.get_active_routes();
        for (service, dispatcher) in &routes.dispatchers {
            dispatcher.tick();
            if let Some(limits) = routes.table.services.get(service) {
                probe_stale_servers(&gateway, dispatcher, &limits.health_path);
            }
        }
        gateway.remove_lapsed_servers();
        if housekept.elapsed() >= HOUSEKEEPING_INTERVAL {
            housekept = Instant::now();
            count += 1;
            gateway.server_dialer.sweep(MAX_CONNECTION_IDLE);
            gateway.probe_dialer.sweep(MAX_CONNECTION_IDLE);
            let live = gateway.lock_members().iter().count();
            if live != entries {
                log::info!(entries = live, before = entries; "entries changed");
                entries = live;
                for (service, dispatcher) in &routes.dispatchers {
                    let config = gateway.get_pool_config(&routes.table, service);
                    dispatcher.with_pool(|pool, _| pool.set_config(config));
                }
            }
            release_expired(&gateway);
            record_gauges(&gateway);
            if count.is_multiple_of(UPKEEP_EVERY) {
                upkeep();
            }
        }
    }
}

fn record_gauges(gateway: &Gateway) {
    let age = gateway
        .get_store_age()
        .map_or(f64::INFINITY, Micros::as_secs);
    metrics::gauge!("lentilcart_store_age_seconds").set(age);
    metrics::gauge!("lentilcart_server_connections_opened")
        .set(gateway.server_dialer.get_opened() as f64);
}
