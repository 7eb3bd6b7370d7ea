use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart_route::ServerPool;
use lentilcart_util::{Micros, Name};

use super::gateway::Gateway;
use super::on_demand_probe::probe_stale_servers;
use super::peers::log_found_peers;
use super::permit_table::release_expired;
use crate::entry::Dispatcher;
use crate::ops::run_metrics_upkeep;

/// Interval between two ticks while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(15);
/// Interval between two ticks while no request waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(60);
/// Gap between two ticks above which the process is taken to have been suspended, which the log calls
/// standing still.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(700);
/// Interval of less frequent housekeeping.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Number of housekeeping runs after which the upkeep of the metrics runs, which merges recorded
/// values.
const METRICS_UPKEEP_RUNS: u64 = 10;
/// Idle time after which a connection to a server is closed, whether for requests or for probes.
const MAX_CONNECTION_IDLE: Duration = Duration::from_secs(9);

/// Runs the periodic work: ticks the dispatchers and updates their shares of rate limits, probes servers
/// for waiting requests, updates whether there is an outage of the store, removes lapsed servers, does
/// housekeeping, and detects when the process was suspended.
pub(crate) async fn run_periodic_work(gateway: Arc<Gateway>) {
    let mut last_tick = Instant::now();
    let mut last_housekeeping = Instant::now();
    let mut housekeeping_runs = 0_u64;
    let mut entry_count = 0;
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
        gateway.record_drained_socket();
        let gap = last_tick.elapsed();
        last_tick = Instant::now();
        record_lag(&gateway, gap.saturating_sub(interval));
        if gap > SUSPENSION_THRESHOLD {
            log::warn!(pause_ms = gap.as_millis() as u64; "the process stood still");
            gateway.relist.notify_waiters();
        }
        let routes = gateway.get_active_routes();
        for (service, dispatcher) in &routes.dispatchers {
            gateway.update_rate_share(dispatcher);
            gateway.update_warmup(dispatcher);
            dispatcher.tick();
            if let Some(service_settings) = routes.table.services.get(service) {
                probe_stale_servers(&gateway, dispatcher, &service_settings.health_path);
            }
        }
        gateway.update_outage();
        gateway.remove_lapsed_servers();
        if last_housekeeping.elapsed() >= HOUSEKEEPING_INTERVAL {
            last_housekeeping = Instant::now();
            housekeeping_runs += 1;
            gateway.server_client.close_expired(MAX_CONNECTION_IDLE);
            log_found_peers(&gateway);
            gateway.log_served_mirrors();
            gateway.report_freshness();
            let known_count = gateway.lock_members().iter().count();
            if known_count != entry_count {
                log::info!(entries = known_count, before = entry_count; "entries changed");
                entry_count = known_count;
                for (service, dispatcher) in &routes.dispatchers {
                    let config = gateway.get_pool_config(&routes.table, service);
                    dispatcher.update_pool(|pool, _| pool.set_config(config));
                }
            }
            release_expired(&gateway);
            record_gauges(&gateway);
            if housekeeping_runs.is_multiple_of(METRICS_UPKEEP_RUNS) {
                run_metrics_upkeep();
            }
        }
    }
}

/// Records how late the timer of the periodic work came, and tells the others at once if that shows that this
/// entry falls behind, or no longer does.
fn record_lag(gateway: &Gateway, lag: Duration) {
    let now = gateway.clock.now();
    let lag = Micros(lag.as_micros() as u64);
    let (is_changed, overloaded) = {
        let mut gauge = gateway.lag_gauge.lock().expect("no panic under lock");
        (gauge.record(now, lag), gauge.is_overloaded())
    };
    if !is_changed {
        return;
    }
    log::info!(lag_ms = lag.as_millis(), overloaded; "entry falls behind or has caught up");
    metrics::counter!("lentilcart_overload_changes_total").increment(1);
    let name = gateway.settings.load().name.clone();
    gateway.lock_members().set_overloaded(&name, overloaded);
    gateway.trigger_heartbeat();
}

/// Records the gauges for the age of the store's last reply, for lapsed servers, for servers that restrict
/// requests by their own word, for the memory of bodies, and for opened connections.
fn record_gauges(gateway: &Gateway) {
    let age = gateway
        .get_store_reply_age()
        .map_or(f64::INFINITY, Micros::as_secs);
    metrics::gauge!("lentilcart_store_age_seconds").set(age);
    metrics::gauge!("lentilcart_servers_lapsed")
        .set(gateway.lock_directory().get_lapsed_count() as f64);
    let own_address = Some(gateway.settings.load().listen.peer);
    for (service, dispatcher) in &gateway.get_active_routes().dispatchers {
        let now = gateway.clock.now();
        let (limited, held_off) = dispatcher.read_pool(|pool| {
            let held_off = pool.get_held_off_servers(now, own_address);
            (pool.get_rate_limited_count(), held_off.len())
        });
        record_shed_gauges(service, dispatcher);
        let leaving = gateway.lock_directory().get_leaving_count(service);
        let service = service.to_string();
        metrics::gauge!("lentilcart_servers_rate_limited", "service" => service.clone())
            .set(limited as f64);
        metrics::gauge!("lentilcart_servers_held_off", "service" => service.clone())
            .set(held_off as f64);
        if dispatcher.read_pool(ServerPool::limits_cold_servers) {
            let cold = dispatcher.read_pool(|pool| pool.get_cold_count(now));
            metrics::gauge!("lentilcart_servers_cold", "service" => service.clone())
                .set(cold as f64);
        }
        metrics::gauge!("lentilcart_servers_leaving", "service" => service).set(leaving as f64);
    }
    gateway.record_evacuation_gauges();
    gateway.bodies.record_gauges();
    metrics::gauge!("lentilcart_server_connections_opened")
        .set(gateway.server_client.get_opened_count() as f64);
}

/// Records what load shedding has done at this entry, as an owner or for itself, if its rule plans ahead: requests
/// refused, and the expected and the actual waits of those that were queued and started.
fn record_shed_gauges(service: &Name, dispatcher: &Dispatcher) {
    let (plans, tally, accounts) = dispatcher.read_pool(|pool| {
        let plans = pool.get_config().shedding.plans;
        (plans, pool.get_shed_tally(), pool.get_account_count())
    });
    let service = service.to_string();
    if accounts > 0 {
        metrics::gauge!("lentilcart_queue_accounts", "service" => service.clone())
            .set(accounts as f64);
    }
    if !plans {
        return;
    }
    for (cause, count) in [("too-late", tally.too_late), ("displaced", tally.displaced)] {
        metrics::counter!(
            "lentilcart_pool_shed_total", "service" => service.clone(), "cause" => cause
        )
        .absolute(count);
    }
    metrics::counter!("lentilcart_pool_queued_total", "service" => service.clone())
        .absolute(tally.started);
    metrics::gauge!("lentilcart_pool_waited_seconds", "service" => service.clone())
        .set(tally.waited.as_secs());
    metrics::gauge!("lentilcart_pool_expected_wait_seconds", "service" => service)
        .set(tally.expected.as_secs());
}
