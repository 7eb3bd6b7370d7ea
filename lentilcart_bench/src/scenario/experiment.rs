use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lentilcart_util::Micros;
use serde::Serialize;

use super::scenarios::Scenario;
use super::usage::{UsageDelta, UsageSnapshot};
use super::variants::DEFAULT_VARIANT;
use crate::cluster::{Cluster, Firm, FirmService, Layout, Variant, format_ticket};
use crate::load::{
    CallerSettings, PlannedRequest, RequestObservation, RequestOutcome, Workload, draw_plan,
    run_load, simulate_reference,
};
use crate::servers::{ServerMode, Slowdowns};
use crate::util::{data_center_of, unix_micros};

/// Time between the acceptance of the ticket and the setting of the server modes.
const SETTLE_DELAY: Duration = Duration::from_millis(1500);
/// Time from before the server modes are set until the load starts; setting them must take less.
const START_LEAD: Duration = Duration::from_millis(300);
/// Warm-up at the start of a run; its requests are left out of the latencies, but not of the counts.
const WARM_UP: Micros = Micros::from_millis(1000);
/// Requests that arrive more than this time after the plateau of a load peak count as after the peak:
/// 200 ms for the fall of the load, and 1 s.
const PEAK_RECOVERY_DELAY: Micros = Micros::from_millis(1200);
/// From this many entries, a cluster is large: heartbeats are sent at longer intervals.
const LARGE_CLUSTER_ENTRIES: usize = 9;
/// Heartbeat interval in a large cluster, instead of the one of the variant.
const LARGE_CLUSTER_HEARTBEAT: &str = "200ms";
/// Time without heartbeats after which the entries of a large cluster count a peer as lost.
const LARGE_CLUSTER_SILENCE: &str = "1s";
/// From this share of the processor time of all cores, a result is not valid, since the machine was the
/// limit.
const MAX_MACHINE_SHARE: f64 = 0.85;
/// From this share of processor time stolen by the hypervisor, a result is not valid.
const MAX_STOLEN_SHARE: f64 = 0.03;

/// An experiment: one scenario, run for each variant.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Firm.
    pub firm: Firm,
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of arrivals, service times and slowdowns.
    pub seed: u64,
    /// Duration of the load of each run.
    pub duration: Micros,
    /// Further flags of the entry daemons.
    pub flags: Vec<String>,
}

/// Results of one variant and service. Latencies are in milliseconds.
///
/// `short_*` is the latency of requests that are not stragglers, `bound_*` the latency at the simulated
/// reference, which is not a proven bound. Usage is that of the whole run, the same in each of its
/// rows.
#[derive(Debug, Clone, Serialize)]
pub struct ExperimentRow {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the firm.
    pub firm: String,
    /// Seed of the run.
    pub seed: u64,
    /// Name of the variant.
    pub policy: String,
    /// Whether the variant is the default.
    pub is_default: bool,
    /// Name of the service.
    pub service: String,
    /// Class of its requests.
    pub class: String,
    /// Requests sent.
    pub sent: usize,
    /// Complete responses to the right request.
    pub answered: usize,
    /// Complete responses within the deadline.
    pub within_deadline: usize,
    /// Requests whose callers were told that they have not run, or reached no entry.
    pub not_run: usize,
    /// Requests whose response had an outcome header other than `not-run`, whose connection was cut, or
    /// that got no complete response within the timeout of the caller.
    pub unknown: usize,
    /// Complete responses without an outcome header whose status is not 200 or whose body is not the
    /// expected one.
    pub wrong: usize,
    /// Requests of the class `once` that ran more than once.
    pub doubled: usize,
    /// Requests of the class `once` that ran though their callers were told that they have not.
    pub false_not_run: usize,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile latency.
    pub p99_ms: f64,
    /// 99.9th percentile latency.
    pub p999_ms: f64,
    /// 99th percentile latency of requests that are not stragglers.
    pub short_p99_ms: f64,
    /// 99.9th percentile latency of requests that are not stragglers.
    pub short_p999_ms: f64,
    /// 99th percentile latency of requests that are not stragglers, at the reference.
    pub bound_short_p99_ms: f64,
    /// 99.9th percentile latency of requests that are not stragglers, at the reference.
    pub bound_short_p999_ms: f64,
    /// Hedges sent, of all services.
    pub hedged: u64,
    /// Hedges whose response came first, of all services.
    pub hedges_won: u64,
    /// Probes per second at the server with the most probes.
    pub probes_per_server_s: f64,
    /// Bytes per second that the busiest daemon exchanged with other entries, requests not included.
    pub control_bytes_per_s: f64,
    /// Processor time of the busiest daemon as a share of one core, requests included.
    pub cpu_share: f64,
    /// Resident memory of the largest daemon, in megabytes (10^6 bytes).
    pub rss_mb: f64,
    /// 99th percentile latency of requests that are not stragglers and were planned for entries
    /// that no action kills, stops, pauses or resumes.
    pub others_short_p99_ms: f64,
    /// 99.9th percentile latency of the same requests.
    pub others_short_p999_ms: f64,
    /// Complete responses within the deadline to requests that arrived on the plateau of the load
    /// peak, as a share of the capacity in that time; `None` without a peak.
    pub crest_share: Option<f64>,
    /// 99th percentile latency of requests that are not stragglers and arrived later than 1 s after the
    /// load peak; `None` without a peak.
    pub after_crest_p99_ms: Option<f64>,
    /// Swaps at the platform per 1,000 requests of the class `once`.
    pub swaps_per_1000: f64,
    /// Processor time used on the machine, as a share of that of all cores.
    pub machine_share: f64,
    /// Processor time that the hypervisor did not give the machine, as a share of that of all cores.
    pub stolen_share: f64,
    /// Whether the result counts: the processors were neither saturated nor stolen by the hypervisor.
    pub valid: bool,
}

/// Runs a scenario for each variant in turn, with the same plan, and returns one row per variant and
/// service.
pub async fn run_experiment(experiment: &Experiment, variants: &[Variant]) -> Vec<ExperimentRow> {
    let Experiment {
        firm,
        scenario,
        seed,
        duration,
        ..
    } = experiment;
    let workload = Workload {
        profile: scenario.profile,
        entries: scenario.entries,
        duration: *duration,
        straggler_share: scenario.straggler_share,
        independent_reruns: scenario.independent_reruns,
        first_entry_share: scenario.first_entry_share,
        seed: *seed,
    };
    let requests = draw_plan(firm, &workload);
    let mut rows = Vec::new();
    for variant in variants {
        rows.extend(run_variant(experiment, variant, &requests).await);
    }
    rows
}

/// Runs a scenario for one variant in a new deployment.
///
/// A ticket that is refused is logged as an error; the load is sent all the same.
async fn run_variant(
    experiment: &Experiment,
    variant: &Variant,
    requests: &[PlannedRequest],
) -> Vec<ExperimentRow> {
    let scenario = &experiment.scenario;
    let mut layout = Layout::new(experiment.firm);
    layout.entries = scenario.entries;
    let heartbeat = match scenario.entries {
        0..LARGE_CLUSTER_ENTRIES => format!("{}ms", variant.heartbeat.as_millis()),
        _ => LARGE_CLUSTER_HEARTBEAT.to_owned(),
    };
    if scenario.entries >= LARGE_CLUSTER_ENTRIES {
        let silence = ["--silence", LARGE_CLUSTER_SILENCE].map(str::to_owned);
        layout.flags.extend(silence);
    }
    layout.flags.extend(["--heartbeat".to_owned(), heartbeat]);
    layout.flags.extend(experiment.flags.iter().cloned());
    let mut cluster = Cluster::start(layout).await;
    let submitted = cluster
        .submit(&format_ticket(
            &cluster.layout,
            variant,
            0,
            scenario.deadline,
        ))
        .await;
    if !submitted.status.success() {
        log::error!(
            "ticket of variant {} refused, load sent without it: {}",
            variant.name,
            String::from_utf8_lossy(&submitted.stderr)
        );
    }
    tokio::time::sleep(SETTLE_DELAY).await;
    let start = Instant::now() + START_LEAD;
    let mode = set_modes(
        &cluster,
        experiment,
        unix_micros() + START_LEAD.as_micros() as u64,
    )
    .await;
    let settings = CallerSettings {
        addresses: (0..scenario.entries)
            .map(|n| cluster.layout.get_caller_address(n))
            .collect(),
        readiness_addresses: (0..scenario.entries)
            .map(|n| cluster.layout.get_ops_address(n))
            .collect(),
        services: experiment.firm.services.iter().map(|s| s.name).collect(),
        run_name: variant.name.to_owned(),
        keyed: scenario.keyed,
    };
    let before = UsageSnapshot::read(&cluster).await;
    let planned_requests: Vec<PlannedRequest> = requests.to_vec();
    let load_task = tokio::spawn(async move { run_load(settings, &planned_requests, start).await });
    for (offset, action) in scenario.actions {
        crate::util::sleep_until(start + Duration::from(*offset)).await;
        action.run(&mut cluster, &mode).await;
    }
    let observations = load_task.await.expect("the load does not panic");
    let after = UsageSnapshot::read(&cluster).await;
    let usage = UsageSnapshot::between(&before, &after);
    let run_counts = read_run_counts(&cluster).await;
    let rows = summarize(
        experiment,
        variant,
        &cluster,
        requests,
        &observations,
        &run_counts,
        &usage,
    );
    cluster.stop().await;
    rows
}

/// Sets the modes of all servers, with slowdowns from `epoch` (microseconds of Unix time), and returns
/// that of the last server of the first service, with honest load reports.
async fn set_modes(cluster: &Cluster, experiment: &Experiment, epoch: u64) -> ServerMode {
    let scenario = &experiment.scenario;
    let mut mode = ServerMode::default();
    for (index, server) in cluster.get_all_server_addresses().into_iter().enumerate() {
        let misleading = scenario.misleading && index % 3 == 0;
        mode = ServerMode {
            epoch,
            seed: slowdown_seed(experiment.seed, server),
            misleading,
            ..ServerMode::default()
        };
        cluster.set_mode(server, &mode).await;
    }
    let last = cluster.layout.get_server_addresses(0).pop();
    let seed = last.map_or(0, |server| slowdown_seed(experiment.seed, server));
    ServerMode {
        seed,
        misleading: false,
        ..mode
    }
}

/// Returns the seed of the slowdowns of a server, which depends on its address.
fn slowdown_seed(seed: u64, server: std::net::SocketAddr) -> u64 {
    let octets = match server.ip() {
        std::net::IpAddr::V4(v4) => u64::from(u32::from(v4)),
        std::net::IpAddr::V6(_) => 0,
    };
    seed.wrapping_mul(1_000_003).wrapping_add(octets)
}

/// Returns the number of executions of each request of the class `once`, over all servers.
async fn read_run_counts(cluster: &Cluster) -> BTreeMap<String, u32> {
    let mut run_counts = BTreeMap::new();
    for server in cluster.get_all_server_addresses() {
        let counts = cluster
            .get_json::<BTreeMap<String, u32>>(server, "/runs")
            .await;
        for (id, count) in counts.into_iter().flatten() {
            *run_counts.entry(id).or_insert(0) += count;
        }
    }
    run_counts
}

/// Returns the results of a run, one row per service.
fn summarize(
    experiment: &Experiment,
    variant: &Variant,
    cluster: &Cluster,
    requests: &[PlannedRequest],
    observations: &[RequestObservation],
    run_counts: &BTreeMap<String, u32>,
    usage_delta: &UsageDelta,
) -> Vec<ExperimentRow> {
    let scenario = &experiment.scenario;
    let once_count = requests
        .iter()
        .filter(|request| request.once)
        .count()
        .max(1) as f64;
    let mut rows = Vec::new();
    for (index, service) in experiment.firm.services.iter().enumerate() {
        let pairs = requests
            .iter()
            .zip(observations)
            .filter(|(request, _)| request.service == index);
        let pairs: Vec<(&PlannedRequest, &RequestObservation)> = pairs.collect();
        let planned: Vec<&PlannedRequest> = pairs.iter().map(|(request, _)| *request).collect();
        let reference_latencies = get_reference_latencies(experiment, cluster, index, &planned);
        let is_measured = |pair: &&(&PlannedRequest, &RequestObservation)| {
            pair.0.arrival >= WARM_UP && pair.1.outcome == RequestOutcome::Answered
        };
        let all_latencies = collect_latencies(pairs.iter().filter(is_measured), |_| true);
        let short_latencies = collect_latencies(pairs.iter().filter(is_measured), |request| {
            !request.straggler
        });
        let mut reference_short: Vec<Micros> = planned
            .iter()
            .zip(&reference_latencies)
            .filter(|(request, _)| request.arrival >= WARM_UP && !request.straggler)
            .map(|(_, latency)| *latency)
            .collect();
        reference_short.sort_unstable();
        let is_other = |request: &PlannedRequest| {
            !request.straggler && !scenario.is_entry_disrupted(&cluster.layout, request.entry)
        };
        let other_latencies = collect_latencies(pairs.iter().filter(is_measured), is_other);
        let count_outcome = |outcome| {
            pairs
                .iter()
                .filter(|(_, observation)| observation.outcome == outcome)
                .count()
        };
        let get_run_count = |request: &PlannedRequest| {
            run_counts
                .get(&format!("{}-{}", variant.name, request.id))
                .copied()
                .unwrap_or_default()
        };
        let is_false_not_run = |pair: &&(&PlannedRequest, &RequestObservation)| {
            pair.0.once && pair.1.outcome == RequestOutcome::NotRun && get_run_count(pair.0) > 0
        };
        let is_in_time = |pair: &&(&PlannedRequest, &RequestObservation)| {
            pair.1.outcome == RequestOutcome::Answered && pair.1.latency <= scenario.deadline
        };
        rows.push(ExperimentRow {
            scenario: scenario.name.to_owned(),
            firm: experiment.firm.name.to_owned(),
            seed: experiment.seed,
            policy: variant.name.to_owned(),
            is_default: variant.name == DEFAULT_VARIANT,
            service: service.name.to_owned(),
            class: service.class.to_string(),
            sent: pairs.len(),
            answered: count_outcome(RequestOutcome::Answered),
            within_deadline: pairs.iter().filter(is_in_time).count(),
            not_run: count_outcome(RequestOutcome::NotRun),
            unknown: count_outcome(RequestOutcome::Unknown),
            wrong: count_outcome(RequestOutcome::Wrong),
            doubled: planned
                .iter()
                .filter(|request| get_run_count(request) > 1)
                .count(),
            false_not_run: pairs.iter().filter(is_false_not_run).count(),
            p50_ms: quantile_ms(&all_latencies, 0.5),
            p99_ms: quantile_ms(&all_latencies, 0.99),
            p999_ms: quantile_ms(&all_latencies, 0.999),
            short_p99_ms: quantile_ms(&short_latencies, 0.99),
            short_p999_ms: quantile_ms(&short_latencies, 0.999),
            bound_short_p99_ms: quantile_ms(&reference_short, 0.99),
            bound_short_p999_ms: quantile_ms(&reference_short, 0.999),
            hedged: usage_delta.hedges_sent_and_won.0,
            hedges_won: usage_delta.hedges_sent_and_won.1,
            probes_per_server_s: round(usage_delta.probes_per_s),
            control_bytes_per_s: round(usage_delta.control_bytes_per_s),
            cpu_share: round(usage_delta.cpu_share),
            rss_mb: round(usage_delta.resident_bytes as f64 / 1e6),
            others_short_p99_ms: quantile_ms(&other_latencies, 0.99),
            others_short_p999_ms: quantile_ms(&other_latencies, 0.999),
            crest_share: get_crest_share(scenario, service, &pairs),
            after_crest_p99_ms: get_after_crest_p99(scenario, &pairs),
            swaps_per_1000: round(usage_delta.swaps as f64 * 1000.0 / once_count),
            machine_share: round(usage_delta.machine_share),
            stolen_share: round(usage_delta.stolen_share),
            valid: usage_delta.machine_share < MAX_MACHINE_SHARE
                && usage_delta.stolen_share < MAX_STOLEN_SHARE,
        });
    }
    rows
}

/// Returns the responses within the deadline to requests that arrived on the plateau of a load peak,
/// as a share of the capacity of the servers' slots in that time.
fn get_crest_share(
    scenario: &Scenario,
    service: &FirmService,
    pairs: &[(&PlannedRequest, &RequestObservation)],
) -> Option<f64> {
    let (from, to) = scenario.profile.get_plateau()?;
    let is_at_plateau = |request: &PlannedRequest| request.arrival >= from && request.arrival < to;
    let in_time = pairs.iter().filter(|(request, observation)| {
        is_at_plateau(request)
            && observation.outcome == RequestOutcome::Answered
            && observation.latency <= scenario.deadline
    });
    let capacity = service.get_capacity(scenario.straggler_share) * (to - from).as_secs();
    Some(round(in_time.count() as f64 / capacity))
}

/// Returns the 99th percentile latency, in milliseconds, of requests that are not stragglers and
/// arrived after a load peak.
fn get_after_crest_p99(
    scenario: &Scenario,
    pairs: &[(&PlannedRequest, &RequestObservation)],
) -> Option<f64> {
    let (_, to) = scenario.profile.get_plateau()?;
    let is_after_crest = |pair: &&(&PlannedRequest, &RequestObservation)| {
        pair.0.arrival > to + PEAK_RECOVERY_DELAY && pair.1.outcome == RequestOutcome::Answered
    };
    Some(quantile_ms(
        &collect_latencies(pairs.iter().filter(is_after_crest), |request| {
            !request.straggler
        }),
        0.99,
    ))
}

/// Returns the latencies of the requests of a service at the reference, in the order of `requests`.
fn get_reference_latencies(
    experiment: &Experiment,
    cluster: &Cluster,
    service: usize,
    requests: &[&PlannedRequest],
) -> Vec<Micros> {
    let servers = cluster.layout.get_server_addresses(service);
    let horizon = experiment.duration + experiment.duration;
    let slowdown = |server: &std::net::SocketAddr| {
        Slowdowns::draw(slowdown_seed(experiment.seed, *server), horizon)
    };
    let slowdowns: Vec<Slowdowns> = servers.iter().map(slowdown).collect();
    let delay = |entry: usize, server: usize| {
        let from = data_center_of(cluster.layout.get_caller_address(entry).ip());
        if from == data_center_of(servers[server].ip()) {
            Micros::ZERO
        } else {
            cluster.layout.get_one_way_latency()
        }
    };
    simulate_reference(requests, &slowdowns, delay)
}

/// Returns the sorted latencies of the requests that are counted.
fn collect_latencies<'a>(
    pairs: impl Iterator<Item = &'a (&'a PlannedRequest, &'a RequestObservation)>,
    is_counted: impl Fn(&PlannedRequest) -> bool,
) -> Vec<Micros> {
    let mut latencies: Vec<Micros> = pairs
        .filter(|(request, _)| is_counted(request))
        .map(|(_, observation)| observation.latency)
        .collect();
    latencies.sort_unstable();
    latencies
}

/// Returns a quantile, from 0 to 1, of sorted times in milliseconds, by the nearest rank; 0 for none.
pub(super) fn quantile_ms(sorted: &[Micros], share: f64) -> f64 {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1).min(sorted.len().saturating_sub(1)));
    round(value.copied().unwrap_or_default().as_millis())
}

/// Rounds to two decimals.
fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
