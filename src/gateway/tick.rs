use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart_util::Micros;

use super::gateway::Gateway;
use super::on_demand_probe::probe_suspected;
use super::permit_table::sweep;
use crate::ops::upkeep;

/// Time between two ticks while requests wait, and while none do.
const BUSY_TICK: Duration = Duration::from_millis(15);
const IDLE_TICK: Duration = Duration::from_millis(60);
/// Gap between two ticks that tells that the process stood still.
const PAUSE: Duration = Duration::from_millis(700);
/// Time between two looks at rarer matters.
const RARE: Duration = Duration::from_millis(500);
/// Looks between two merges of recorded metrics.
const UPKEEP: u64 = 10;
/// Age at which an unused connection to another entry or a server is closed.
const CONNECTION_AGE: Duration = Duration::from_secs(9);

/// Runs the systems over the tables at fixed times, and notices when the process stood still.
pub(crate) async fn tick(gateway: Arc<Gateway>) {
    let mut last = Instant::now();
    let mut looked = Instant::now();
    let mut count = 0_u64;
    let mut entries = 0;
    loop {
        let is_busy = gateway
            .get_routes()
            .desks
            .values()
            .any(|desk| desk.has_waiting());
        let pause = if is_busy { BUSY_TICK } else { IDLE_TICK };
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        let gap = last.elapsed();
        last = Instant::now();
        if gap > PAUSE {
            log::warn!(pause_ms = gap.as_millis() as u64; "the process stood still");
            gateway.relist.notify_waiters();
        }
        let view = gateway.get_routes();
        for (service, desk) in &view.desks {
            desk.tick();
            if let Some(rules) = view.table.services.get(service) {
                probe_suspected(&gateway, desk, &rules.health_path);
            }
        }
        gateway.tick_directory();
        if looked.elapsed() >= RARE {
            looked = Instant::now();
            count += 1;
            gateway.dialer.sweep(CONNECTION_AGE);
            gateway.prober.sweep(CONNECTION_AGE);
            let live = gateway.members().iter().count();
            if live != entries {
                log::info!(entries = live, before = entries; "entries changed");
                entries = live;
                for (service, desk) in &view.desks {
                    let config = gateway.get_pool_config(&view.table, service);
                    desk.with_pool(|pool, _| pool.set_config(config));
                }
            }
            sweep(&gateway);
            note_ages(&gateway);
            if count.is_multiple_of(UPKEEP) {
                upkeep();
            }
        }
    }
}

fn note_ages(gateway: &Gateway) {
    let age = gateway
        .get_store_age()
        .map_or(f64::INFINITY, Micros::as_secs);
    metrics::gauge!("lentilcart_store_age_seconds").set(age);
    metrics::gauge!("lentilcart_server_connections_opened").set(gateway.dialer.get_opened() as f64);
}
