use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use lentilcart_state::{
    AccountTable, CallerLimits, PathRoute, RequestClass, RouteTable, ServerRegistration,
    ServiceLimits, WeightedService,
};
use lentilcart_util::{Map, Micros, Name};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::caller::{HOST, send, send_small};
use super::entry::Entry;
use super::server::{HEALTH_PATH, SLOTS, Server};
use crate::soak::{Store, serve_store};
use crate::util::host_address;

/// Services and the paths of their routes: of the uploads, and of the small requests.
const SERVICES: [(&str, &str); 2] = [("files", "/files/"), ("small", "/small/")];
/// Servers of each service.
const SERVERS: u8 = 4;
/// Size of an upload, in bytes.
const UPLOAD_BYTES: usize = 56 << 20;
/// Largest body that the routes allow, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Time within which a request must be answered.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time between the starts of two waves of uploads.
const WAVE_TIME: Duration = Duration::from_secs(7);
/// Small requests a second.
const SMALL_RATE: f64 = 50.0;
/// Time between two looks at the memory of the process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which the entry must serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// What to measure.
#[derive(Debug, Clone)]
pub struct UploadOptions {
    /// Program of the entry.
    pub program: PathBuf,
    /// Folder for its settings and its log.
    pub folder: PathBuf,
    /// Uploads at once, one row each.
    pub counts: Vec<usize>,
    /// Waves of uploads of each row.
    pub waves: u32,
    /// Resident memory above which the process is killed, in bytes.
    pub memory: u64,
}

/// Result for a number of uploads at once.
#[derive(Debug, Clone, Serialize)]
pub struct UploadRow {
    /// Uploads at once.
    pub uploads: usize,
    /// Largest resident memory of the process, in MiB.
    pub peak_mib: u64,
    /// Number of times that it was killed for its memory.
    pub killed: u32,
    /// Uploads that were served.
    pub served: usize,
    /// Uploads that were refused with a promise that they did not run.
    pub refused: usize,
    /// Uploads with another answer, or none.
    pub other: usize,
    /// Small requests that were served.
    pub small_served: usize,
    /// Small requests that were not served.
    pub small_unserved: usize,
    /// Median latency of the small requests, in milliseconds.
    pub small_p50_ms: f64,
    /// 99th percentile of their latency, in milliseconds.
    pub small_p99_ms: f64,
}

/// Measures each number of uploads at once with an entry of its own.
///
/// # Errors
///
/// Fails if the entry cannot be started or does not serve.
pub async fn measure_uploads(options: &UploadOptions) -> std::io::Result<Vec<UploadRow>> {
    std::fs::create_dir_all(&options.folder)?;
    let number = (std::process::id() % 250) as u8 + 2;
    let store_address = host_address(0, 3, number, 7605);
    let mut tasks = JoinSet::new();
    let store = Store::new();
    store.put_routes(&new_routes());
    for (index, (service, _)) in SERVICES.iter().enumerate() {
        for server in 0..SERVERS {
            let port = 7610 + index as u16 * u16::from(SERVERS) + u16::from(server);
            let address = host_address(0, 2, number, port);
            store.put_registration(&new_registration(service, address));
            tasks.spawn(Arc::<Server>::default().serve(address));
        }
    }
    tasks.spawn(serve_store(store, store_address));
    let callers = host_address(0, 1, number, 7601);
    let mut rows = Vec::new();
    for &uploads in &options.counts {
        let mut entry = Entry::start(&options.program, &options.folder, number, store_address)?;
        wait_until_serving(callers).await?;
        rows.push(measure(&mut entry, callers, uploads, options).await?);
    }
    tasks.shutdown().await;
    Ok(rows)
}

/// Sends small requests until one is served.
async fn wait_until_serving(callers: SocketAddr) -> std::io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    let path = SERVICES[1].1;
    while send(callers, path, "start", 1, DEADLINE).await != Some(200) {
        if Instant::now() > end {
            return Err(std::io::Error::other("the entry does not serve"));
        }
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

/// Measures a number of uploads at once.
async fn measure(
    entry: &mut Entry,
    callers: SocketAddr,
    uploads: usize,
    options: &UploadOptions,
) -> std::io::Result<UploadRow> {
    let start = Instant::now();
    let end = start + WAVE_TIME * options.waves;
    let waves = options.waves;
    let sending = tokio::spawn(async move {
        let mut statuses = Vec::new();
        for wave in 0..waves {
            let mut tasks = JoinSet::new();
            for number in 0..uploads {
                let id = format!("upload{wave}-{number}");
                tasks.spawn(async move {
                    send(callers, SERVICES[0].1, &id, UPLOAD_BYTES, DEADLINE).await
                });
            }
            statuses.extend(tasks.join_all().await);
            sleep_until(start + WAVE_TIME * (wave + 1)).await;
        }
        statuses
    });
    let small = tokio::spawn(send_small(
        callers,
        SERVICES[1].1,
        SMALL_RATE,
        end,
        DEADLINE,
    ));
    let (mut peak, mut killed) = (0, 0);
    while !sending.is_finished() || !small.is_finished() {
        let resident = entry.get_memory("VmRSS");
        peak = peak.max(resident).max(entry.get_memory("VmHWM"));
        if resident > options.memory {
            killed += 1;
            entry.restart()?;
        }
        sleep(MEMORY_INTERVAL).await;
    }
    let statuses = sending.await.map_err(std::io::Error::other)?;
    let (mut latencies, small_unserved) = small.await.map_err(std::io::Error::other)?;
    latencies.sort_unstable();
    let count = |status| statuses.iter().filter(|s| **s == Some(status)).count();
    let (served, refused) = (count(200), count(503));
    Ok(UploadRow {
        uploads,
        peak_mib: peak >> 20,
        killed,
        served,
        refused,
        other: statuses.len() - served - refused,
        small_served: latencies.len(),
        small_unserved,
        small_p50_ms: get_percentile(&latencies, 0.5),
        small_p99_ms: get_percentile(&latencies, 0.99),
    })
}

/// Returns a percentile of sorted latencies, in milliseconds; 0 if there are none.
fn get_percentile(latencies: &[Duration], share: f64) -> f64 {
    let index = (latencies.len() as f64 * share) as usize;
    let latency = latencies.get(index).copied().unwrap_or_default();
    latency.as_secs_f64() * 1000.0
}

fn new_registration(service: &str, address: SocketAddr) -> ServerRegistration {
    ServerRegistration {
        id: format!("i-{}", address.port()).into(),
        service: service.into(),
        address,
        data_center: "a".into(),
        slots: SLOTS,
        leaving: false,
        warmup_remaining: Micros::ZERO,
        started_ms: 1,
        sequence: None,
    }
}

fn new_routes() -> RouteTable {
    let timeout = Micros::from_millis(DEADLINE.as_millis() as u64);
    let routes = SERVICES.map(|(service, prefix)| {
        let route = PathRoute {
            name: service.into(),
            prefix: prefix.into(),
            class: RequestClass::Once,
            timeout,
            latency_objective: timeout,
            rank: 0,
            public: false,
            max_attempts: 2,
            services: vec![WeightedService {
                service: service.into(),
                weight: 1.0,
            }],
            pick_count: AtomicU32::new(0),
        };
        (Name::from(prefix), Arc::new(route))
    });
    let services = SERVICES.map(|(service, _)| {
        let limits = ServiceLimits {
            health_path: HEALTH_PATH.into(),
            warmup: None,
            max_connections: 220,
        };
        (Name::from(service), limits)
    });
    RouteTable {
        version: 1,
        services: services.into_iter().collect(),
        hosts: Map::from_iter([(Name::from(HOST), routes.into_iter().collect())]),
        accounts: AccountTable::default(),
        limits: CallerLimits {
            header_bytes: 16 * 1024,
            body_bytes: MAX_BODY_BYTES,
            header_timeout: Micros::from_millis(3000),
            idle_timeout: Micros::from_millis(15_000),
        },
    }
}
