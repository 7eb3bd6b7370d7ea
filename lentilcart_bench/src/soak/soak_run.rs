use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::future::Future;
use std::io::Error;
use std::sync::atomic::{AtomicBool, AtomicU32};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_util::seeded_rng;
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::checks::{
    SoakFault, find_cold_faults, find_cold_peaks, find_faults, is_around_stop, is_running_on,
    tell_story,
};
use super::client::{CLIENT_RATE, Client};
use super::entry::Entry;
use super::evacuation::find_evacuation_faults;
use super::options::SoakOptions;
use super::record::{Outcome, Record, RouteVersion, now_ms};
use super::schedule::Schedule;
use super::server::SoakServer;
use super::site::{COLD_LIMIT, FIRST_VERSION, Site};
use super::store::Store;
use super::store_server::serve_store;

/// Longest wait for all entries to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after the last request, in which one that was refused could still run.
const SETTLE: Duration = Duration::from_secs(3);
/// Largest number of stories that a report tells.
const MAX_STORIES: usize = 10;

/// Result of a soak.
#[derive(Debug, Serialize)]
pub struct SoakReport {
    /// Seed.
    pub seed: u64,
    /// Requests that clients sent, retries included.
    pub sent: usize,
    /// Requests that got status 200.
    pub served: usize,
    /// Number of answers by status, and of other outcomes.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of broken rules by name.
    pub broken: BTreeMap<&'static str, usize>,
    /// Faults that were played and other events, by name.
    pub played: BTreeMap<&'static str, u64>,
    /// Most requests that a cold server got in a second.
    pub cold_peak: usize,
    /// Share of the machine's processor time that was in use, by all programs on it.
    pub busy: f64,
    /// Whether it was ended early by a signal.
    pub is_stopped: bool,
    /// Broken rules.
    #[serde(skip)]
    pub faults: Vec<SoakFault>,
    /// Stories of the faults, and the schedule.
    #[serde(skip)]
    pub stories: String,
}

/// Runs a soak, until `stop` is ready or its time is over.
///
/// # Errors
///
/// Fails if the stand-ins or entries cannot be started, or the entries are not ready in time.
pub async fn run_soak(
    options: &SoakOptions,
    stop: impl Future<Output = ()>,
) -> Result<SoakReport, Error> {
    tokio::pin!(stop);
    std::fs::create_dir_all(&options.logs)?;
    let site = Arc::new(Site::new(options));
    let record = Record::default();
    let store = Store::new();
    let first = RouteVersion {
        sent: now_ms(),
        services: site.services(),
    };
    store.put_routes(&site.routes(FIRST_VERSION, &first.services));
    record.lock().versions.push(first);
    let servers = Arc::new(build_servers(&site, options, &record));
    for server in servers.iter() {
        store.put_registration(&server.start(None)?);
    }
    let entries: Result<Vec<_>, _> = (0..site.entries)
        .map(|number| Entry::new(number, &site, options))
        .collect();
    let entries = Arc::new(entries?);
    let mut services = JoinSet::new();
    services.spawn(serve_logged(store.clone(), site.clone()));
    services.spawn(store.clone().expire_leases());
    let end = CancellationToken::new();
    let clock = read_processor_time();
    let played = async {
        tokio::select! {
            started = start_entries(&entries) => started?,
            () = &mut stop => return Ok(true),
        }
        for number in 0..entries.len() {
            let entries = entries.clone();
            services.spawn(async move { entries[number].check_readiness().await });
        }
        let schedule = Schedule {
            seed: options.seed,
            pace: options.pace,
            faults: Arc::new(options.faults.clone()),
            servers: servers.clone(),
            entries: entries.clone(),
            store: store.clone(),
            site: site.clone(),
            record: record.clone(),
        };
        let faults = tokio::spawn(schedule.play(end.clone()));
        let mut clients = start_clients(&site, options, &entries, &record, &end);
        let is_stopped = tokio::select! {
            () = sleep(Duration::from_secs(options.seconds)) => false,
            () = &mut stop => true,
        };
        end.cancel();
        while let Some(ended) = clients.join_next().await {
            ended.expect("clients do not panic");
        }
        faults.await.expect("the schedule does not panic")?;
        sleep(SETTLE).await;
        Ok::<_, Error>(is_stopped)
    };
    let is_stopped = played.await;
    services.shutdown().await;
    let ended: Vec<_> = entries.iter().filter(|entry| !entry.is_running()).collect();
    let ended: Vec<_> = ended
        .iter()
        .map(|entry| SoakFault {
            rule: "ENDED",
            request: entry.name.as_str().into(),
            detail: "the entry has ended by itself".to_owned(),
        })
        .collect();
    for entry in entries.iter() {
        entry.kill();
    }
    for server in servers.iter() {
        server.end().await;
    }
    let busy = get_busy_share(clock, read_processor_time());
    let mut report = build_report(options, &record, &entries, busy, is_stopped?);
    report.faults.extend(ended);
    Ok(report)
}

async fn serve_logged(store: Store, site: Arc<Site>) {
    if let Err(error) = serve_store(store, site.store_address()).await {
        log::error!("{}: the store has ended: {error}", site.store_address());
    }
}

fn build_servers(site: &Site, options: &SoakOptions, record: &Record) -> Vec<SoakServer> {
    let faults = Arc::new(options.faults.clone());
    let kinds = site.kinds.iter();
    let each = kinds.flat_map(|kind| std::iter::repeat_n(kind, kind.servers));
    each.enumerate()
        .map(|(number, kind)| SoakServer {
            number,
            address: site.server_address(number),
            service: Mutex::new((kind.name, kind.service_time)),
            seed: options.seed,
            faults: faults.clone(),
            record: record.clone(),
            is_taken: AtomicBool::new(false),
            starts: AtomicU32::new(0),
            current: Mutex::new(None),
        })
        .collect()
}

/// Starts all entries and waits until they are ready.
async fn start_entries(entries: &[Entry]) -> Result<(), Error> {
    for entry in entries {
        entry.start()?;
    }
    let deadline = Instant::now() + START_TIMEOUT;
    for entry in entries {
        while !entry.is_ready().await {
            if Instant::now() > deadline || !entry.is_running() {
                return Err(Error::other(format!("{} is not ready", entry.name)));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

fn start_clients(
    site: &Arc<Site>,
    options: &SoakOptions,
    entries: &Arc<Vec<Entry>>,
    record: &Record,
    end: &CancellationToken,
) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for (index, kind) in site.kinds.iter().enumerate() {
        let count = (kind.rate * site.load / CLIENT_RATE).ceil() as usize;
        for _ in 0..count {
            let number = clients.len();
            let client = Client {
                number,
                site: site.clone(),
                kind: index,
                keeps: number % 3 != 0,
                entries: entries.clone(),
                record: record.clone(),
                rng: seeded_rng(options.seed ^ (number as u64 + 1) << 20),
                sent: 0,
                connection: None,
            };
            clients.spawn(client.run(end.clone()));
        }
    }
    clients
}

fn build_report(
    options: &SoakOptions,
    record: &Record,
    entries: &[Entry],
    busy: f64,
    is_stopped: bool,
) -> SoakReport {
    let state = record.lock();
    // Faults of the store may keep a version from entries.
    let mut kinds = options.faults.iter();
    let has_store = !kinds.any(|kind| kind.as_str().starts_with("store"));
    let mut faults = find_faults(
        &state.requests,
        &state.runs,
        &state.versions,
        |request| has_store && is_running_on(&entries[request.entry], request),
        |request| is_around_stop(&entries[request.entry], request),
    );
    let (rate, overage, slack) = COLD_LIMIT;
    let allowed = rate * overage + slack;
    faults.extend(find_cold_faults(&state.cold_arrivals, allowed));
    faults.extend(state.unasked.iter().map(|request| SoakFault {
        rule: "UNASKED",
        request: request.clone(),
        detail: "it reached a server changed".to_owned(),
    }));
    let troubles_of = |ip| {
        let entry = entries.iter().find(|entry| entry.address.ip() == ip);
        let pauses = entry.map_or(Vec::new(), Entry::pauses);
        [pauses, state.store_troubles.clone()].concat()
    };
    let late = find_evacuation_faults(&state.arrivals, &state.evacuations, troubles_of);
    faults.extend(late);
    let mut outcomes = BTreeMap::new();
    for request in &state.requests {
        let name = match &request.outcome {
            Outcome::Answered(status, _) => status.to_string(),
            Outcome::Cut(_) => "cut".to_owned(),
            Outcome::NotConnected => "not connected".to_owned(),
            Outcome::TimedOut => "timed out".to_owned(),
        };
        *outcomes.entry(name).or_default() += 1;
    }
    let mut broken = BTreeMap::new();
    for fault in &faults {
        *broken.entry(fault.rule).or_default() += 1;
    }
    let mut stories = String::new();
    for fault in faults.iter().take(MAX_STORIES) {
        stories += &tell_story(fault, &state, entries);
    }
    for fault in faults.iter().skip(MAX_STORIES) {
        writeln!(
            stories,
            "{} {}: {}",
            fault.rule, fault.request, fault.detail
        )
        .expect("writing to a string succeeds");
    }
    if !faults.is_empty() {
        stories += "schedule:\n";
        for (at, event) in &state.events {
            writeln!(stories, "  {at} {event}").expect("writing to a string succeeds");
        }
    }
    SoakReport {
        seed: options.seed,
        sent: state.requests.len(),
        served: outcomes.get("200").copied().unwrap_or_default(),
        outcomes,
        broken,
        played: state.counts.clone(),
        cold_peak: find_cold_peaks(&state.cold_arrivals)
            .iter()
            .map(Vec::len)
            .max()
            .unwrap_or_default(),
        busy,
        is_stopped,
        faults,
        stories,
    }
}

/// Returns the processor time of the machine, idle and in all, in ticks.
fn read_processor_time() -> (u64, u64) {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let first = stat.lines().next().unwrap_or_default();
    let ticks = first.split_whitespace().skip(1);
    let ticks: Vec<u64> = ticks.filter_map(|text| text.parse().ok()).collect();
    (ticks.get(3).copied().unwrap_or(0), ticks.iter().sum())
}

fn get_busy_share(before: (u64, u64), after: (u64, u64)) -> f64 {
    let (idle, all) = (after.0 - before.0, after.1 - before.1);
    1.0 - idle as f64 / all.max(1) as f64
}
