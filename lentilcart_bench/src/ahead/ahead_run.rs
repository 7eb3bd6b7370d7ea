use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use hyper::{Request, StatusCode};
use lentilcart_platform::{HEADER_NAMES, encode_load_report};
use lentilcart_route::LoadReport;
use lentilcart_state::{
    AccountTable, CallerLimits, PathRoute, RequestClass, RouteTable, ServerRegistration,
    ServiceLimits, WeightedService,
};
use lentilcart_util::{Map, Micros, Name};
use rand::RngExt;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::caller::{Callers, DEADLINE, HOST, SendMode};
use crate::soak::{Store, serve_store};
use crate::uploads::Entry;
use crate::util::{ConnectionOptions, host_address, serve, text_response};

/// Path of the health endpoint of servers.
const HEALTH_PATH: &str = "/health";
/// Prefix of the route.
const PREFIX: &str = "/lookups/";
/// Slots of each server.
const SLOTS: u32 = 3;
/// Share of the slots that the load uses.
const UTILIZATION: f64 = 0.5;
/// Ratio of the latency objective to the service time, about that of lookups (800 ms to 260 ms).
const OBJECTIVE_RATIO: f64 = 3.0;
/// Time within which the entry must serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What to measure.
#[derive(Debug, Clone)]
pub struct AheadOptions {
    /// Program of the entry.
    pub program: PathBuf,
    /// Folder for its settings and its log.
    pub folder: PathBuf,
    /// How callers send.
    pub mode: SendMode,
    /// Requests a second; a caller has two at once.
    pub rate: f64,
    /// Length of the run.
    pub duration: Duration,
    /// Mean service time; it varies evenly by half of it.
    pub service_time: Duration,
}

/// Result of a run.
#[derive(Debug, Clone, Serialize)]
pub struct AheadRow {
    /// How callers sent.
    pub mode: &'static str,
    /// Requests that were served.
    pub served: usize,
    /// Requests that were not.
    pub unserved: usize,
    /// Share of the requests that were served within three times the service time.
    pub in_time: f64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Processor time of the entry for each request, in microseconds, with all that it does besides.
    pub cpu_us: f64,
    /// Resident memory of the entry at the end, in KiB.
    pub memory_kib: u64,
}

/// Measures a run with an entry of its own.
///
/// # Errors
///
/// Fails if the entry cannot be started or does not serve.
pub async fn measure_ahead(options: &AheadOptions) -> std::io::Result<AheadRow> {
    std::fs::create_dir_all(&options.folder)?;
    let number = (std::process::id() % 250) as u8 + 2;
    let store_address = host_address(0, 3, number, 7605);
    let mut tasks = JoinSet::new();
    let store = Store::new();
    store.put_routes(&new_routes(options.service_time));
    let busy = options.rate * options.service_time.as_secs_f64();
    let servers = (busy / UTILIZATION / f64::from(SLOTS)).ceil().max(4.0);
    for server in 0..servers as u16 {
        let address = host_address(0, 2, number, 7610 + server);
        store.put_registration(&new_registration(address));
        tasks.spawn(serve_requests(address, options.service_time));
    }
    tasks.spawn(serve_store(store, store_address));
    let entry = Entry::start(&options.program, &options.folder, number, store_address)?;
    let callers = Callers {
        address: host_address(0, 1, number, 7601),
        path: format!("{PREFIX}x"),
        idle: Arc::default(),
    };
    let started = Instant::now();
    while callers.send(&["start".to_owned()]).await == [None] {
        if started.elapsed() > START_TIMEOUT {
            return Err(std::io::Error::other("the entry does not serve"));
        }
        sleep(Duration::from_millis(100)).await;
    }
    let cpu = entry.get_cpu_time();
    let mut sent = JoinSet::new();
    let start = Instant::now();
    let mut timer = tokio::time::interval(Duration::from_secs_f64(2.0 / options.rate));
    for pair in 0.. {
        timer.tick().await;
        if start.elapsed() >= options.duration {
            break;
        }
        let (callers, mode) = (callers.clone(), options.mode);
        sent.spawn(async move { callers.send_two(mode, pair).await });
    }
    let results = sent.join_all().await.concat();
    let cpu = entry.get_cpu_time() - cpu;
    let memory_kib = entry.get_memory("VmRSS") >> 10;
    tasks.shutdown().await;
    let mut latencies: Vec<Duration> = results.iter().copied().flatten().collect();
    latencies.sort_unstable();
    let objective = options.service_time.mul_f64(OBJECTIVE_RATIO);
    let in_time = latencies.partition_point(|latency| *latency <= objective);
    Ok(AheadRow {
        mode: options.mode.as_str(),
        served: latencies.len(),
        unserved: results.len() - latencies.len(),
        in_time: in_time as f64 / results.len() as f64,
        p50_ms: get_percentile(&latencies, 0.5),
        p99_ms: get_percentile(&latencies, 0.99),
        cpu_us: cpu.0 as f64 / results.len() as f64,
        memory_kib,
    })
}

/// Returns a percentile of sorted latencies, in milliseconds; 0 if there are none.
fn get_percentile(latencies: &[Duration], share: f64) -> f64 {
    let index = (latencies.len() as f64 * share) as usize;
    let latency = latencies.get(index).copied().unwrap_or_default();
    latency.as_secs_f64() * 1000.0
}

/// Runs a stand-in of a server until the task is dropped.
async fn serve_requests(address: std::net::SocketAddr, mean: Duration) -> std::io::Result<()> {
    let running = Arc::new(AtomicU32::new(0));
    let service = move |_, request: Request<hyper::body::Incoming>| {
        let running = running.clone();
        async move {
            let mut response = text_response(StatusCode::OK, "done");
            let count = if request.uri().path() == HEALTH_PATH {
                running.load(std::sync::atomic::Ordering::Relaxed)
            } else {
                let running = Running::begin(&running);
                let factor = rand::rng().random_range(0.5..1.5);
                sleep(mean.mul_f64(factor)).await;
                let headers = response.headers_mut();
                let id = request.headers().get(HEADER_NAMES.request_id)?.clone();
                headers.insert(HEADER_NAMES.request_id, id);
                headers.insert(HEADER_NAMES.signature, "s".parse().ok()?);
                running.end()
            };
            let report = encode_load_report(&LoadReport {
                running: count,
                waiting: 0,
                slots: Some(SLOTS),
                slowdown: Some(1.0),
            });
            let headers = response.headers_mut();
            headers.insert(HEADER_NAMES.load, report.parse().ok()?);
            Some(response)
        }
    };
    serve(
        address,
        ConnectionOptions::default(),
        Arc::default(),
        service,
    )
    .await
}

/// A request that a server runs, until this is dropped.
struct Running(Arc<AtomicU32>);

impl Running {
    fn begin(count: &Arc<AtomicU32>) -> Self {
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Self(count.clone())
    }

    /// Ends the request and returns how many others run.
    fn end(self) -> u32 {
        self.0.load(std::sync::atomic::Ordering::Relaxed) - 1
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.fetch_sub(1, std::sync::atomic::Ordering::Relaxed);
    }
}

fn new_registration(address: std::net::SocketAddr) -> ServerRegistration {
    ServerRegistration {
        id: format!("i-{}", address.port()).into(),
        service: "lookups".into(),
        address,
        data_center: "a".into(),
        slots: SLOTS,
        leaving: false,
        warmup_remaining: Micros::ZERO,
        started_ms: 1,
        sequence: None,
    }
}

fn new_routes(service_time: Duration) -> RouteTable {
    let route = PathRoute {
        name: "lookups".into(),
        prefix: PREFIX.into(),
        class: RequestClass::Idempotent,
        timeout: DEADLINE.into(),
        latency_objective: service_time.mul_f64(OBJECTIVE_RATIO).into(),
        rank: 0,
        public: false,
        max_attempts: 2,
        services: vec![WeightedService {
            service: "lookups".into(),
            weight: 1.0,
        }],
        pick_count: AtomicU32::new(0),
    };
    let limits = ServiceLimits {
        health_path: HEALTH_PATH.into(),
        warmup: None,
        max_connections: 220,
    };
    let routes = Map::from_iter([(Name::from(PREFIX), Arc::new(route))]);
    RouteTable {
        version: 1,
        services: Map::from_iter([(Name::from("lookups"), limits)]),
        hosts: Map::from_iter([(Name::from(HOST), routes)]),
        accounts: AccountTable::default(),
        limits: CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: 1 << 20,
            header_timeout: Micros::from_millis(3000),
            idle_timeout: Micros::from_millis(15_000),
        },
    }
}
