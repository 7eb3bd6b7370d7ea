use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lentilcart_util::Micros;
use serde::Serialize;

use super::scenarios::Scenario;
use super::usage::{Usage, Used};
use super::variants::DEFAULT_VARIANT;
use crate::cluster::{Cluster, Firm, FirmService, Layout, Variant, ticket};
use crate::load::{Demand, Ending, Shot, Sight, Targets, bound, plan, run};
use crate::servers::{Mode, Slowdowns};
use crate::util::{center_of, unix_micros};

const SETTLE: Duration = Duration::from_millis(1500);
const LEAD: Duration = Duration::from_millis(300);
const WARM_UP: Micros = Micros::from_millis(1000);
const CREST_RECOVERY: Micros = Micros::from_millis(1200);
const MANY_ENTRIES: usize = 9;
const MANY_BEAT: &str = "200ms";
const MANY_SILENCE: &str = "1s";
const MACHINE_LIMIT: f64 = 0.85;
const STOLEN_LIMIT: f64 = 0.03;

/// What is run.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Firm.
    pub firm: Firm,
    /// Scenario.
    pub scenario: Scenario,
    /// Seed of arrivals, demands and slowdowns.
    pub seed: u64,
    /// Length of each run.
    pub length: Micros,
    /// Further flags of the entry daemons.
    pub flags: Vec<String>,
}

/// The result of one variant and service.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Scenario.
    pub scenario: String,
    /// Firm.
    pub firm: String,
    /// Seed.
    pub seed: u64,
    /// Variant.
    pub policy: String,
    /// Whether it is the default.
    pub is_default: bool,
    /// Service.
    pub service: String,
    /// Class of its requests.
    pub class: String,
    /// Requests sent.
    pub sent: usize,
    /// Whole answers to the right request.
    pub answered: usize,
    /// Answers within the deadline.
    pub within_deadline: usize,
    /// Requests told not to have run.
    pub not_run: usize,
    /// Requests told that they may have run, or cut.
    pub unknown: usize,
    /// Answers that were not whole or not their own.
    pub wrong: usize,
    /// Requests of the class `once` that ran more than once.
    pub doubled: usize,
    /// Requests told not to have run that did run.
    pub false_not_run: usize,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
    /// 99th percentile of requests that are no stragglers.
    pub short_p99_ms: f64,
    /// 99.9th percentile of requests that are no stragglers.
    pub short_p999_ms: f64,
    /// The same of the reference.
    pub bound_short_p99_ms: f64,
    /// The same of the reference.
    pub bound_short_p999_ms: f64,
    /// Hedges of all services.
    pub hedged: u64,
    /// Hedges that answered first.
    pub hedges_won: u64,
    /// Probes that the most probed server got, a second.
    pub probes_per_server_s: f64,
    /// Bytes between entries, without requests, of the busiest daemon, a second.
    pub control_bytes_per_s: f64,
    /// Processor time of the busiest daemon, as a share of a core; requests included.
    pub cpu_share: f64,
    /// Memory of the largest daemon.
    pub rss_mb: f64,
    /// 99th percentile of short requests whose callers came to entries that no event concerns.
    pub others_short_p99_ms: f64,
    /// 99.9th percentile of the same.
    pub others_short_p999_ms: f64,
    /// Answers within the deadline to requests of the crest, as a share of the capacity then.
    pub crest_share: Option<f64>,
    /// 99th percentile of the short requests that arrive later than 1 s after the crest.
    pub after_crest_p99_ms: Option<f64>,
    /// Swaps at the platform for 1,000 requests of the class `once`.
    pub swaps_per_1000: f64,
    /// Processor time used on the machine, as a share of all cores.
    pub machine_share: f64,
    /// Processor time that the machine was not given, as a share of all cores.
    pub stolen_share: f64,
    /// Whether the machine was not the limit.
    pub valid: bool,
}

/// Runs a scenario for each variant in turn.
pub async fn experiment(experiment: &Experiment, variants: &[Variant]) -> Vec<Row> {
    let Experiment {
        firm,
        scenario,
        seed,
        length,
        ..
    } = experiment;
    let demand = Demand {
        profile: scenario.profile,
        entries: scenario.entries,
        length: *length,
        straggler: scenario.straggler,
        unlucky: scenario.unlucky,
        skew: scenario.skew,
        seed: *seed,
    };
    let shots = plan(firm, &demand);
    let mut rows = Vec::new();
    for variant in variants {
        rows.extend(run_variant(experiment, variant, &shots).await);
    }
    rows
}

async fn run_variant(experiment: &Experiment, variant: &Variant, shots: &[Shot]) -> Vec<Row> {
    let scenario = &experiment.scenario;
    let mut layout = Layout::new(experiment.firm);
    layout.entries = scenario.entries;
    let beat = match scenario.entries {
        0..MANY_ENTRIES => format!("{}ms", variant.beat.as_millis()),
        _ => MANY_BEAT.to_owned(),
    };
    if scenario.entries >= MANY_ENTRIES {
        let silence = ["--silence", MANY_SILENCE].map(str::to_owned);
        layout.flags.extend(silence);
    }
    layout.flags.extend(["--heartbeat".to_owned(), beat]);
    layout.flags.extend(experiment.flags.iter().cloned());
    let mut cluster = Cluster::start(layout).await;
    let accepted = cluster
        .submit(&ticket(&cluster.layout, variant, 0, scenario.deadline))
        .await;
    if !accepted.status.success() {
        log::error!("{}", String::from_utf8_lossy(&accepted.stderr));
    }
    tokio::time::sleep(SETTLE).await;
    let start = Instant::now() + LEAD;
    let mode = set_modes(
        &cluster,
        experiment,
        unix_micros() + LEAD.as_micros() as u64,
    )
    .await;
    let targets = Targets {
        entries: (0..scenario.entries)
            .map(|n| cluster.layout.get_entry(n))
            .collect(),
        ready: (0..scenario.entries)
            .map(|n| cluster.layout.get_ops(n))
            .collect(),
        services: experiment.firm.services.iter().map(|s| s.name).collect(),
        run: variant.name.to_owned(),
        keyed: scenario.keyed,
    };
    let before = Usage::read(&cluster).await;
    let owned: Vec<Shot> = shots.to_vec();
    let load = tokio::spawn(async move { run(targets, &owned, start).await });
    for (at, action) in scenario.events {
        crate::util::sleep_until(start + Duration::from(*at)).await;
        action.run(&mut cluster, &mode).await;
    }
    let sights = load.await.expect("the load does not panic");
    let after = Usage::read(&cluster).await;
    let usage = Usage::between(&before, &after);
    let runs = read_runs(&cluster).await;
    let rows = summarize(experiment, variant, &cluster, shots, &sights, &runs, &usage);
    cluster.stop().await;
    rows
}

async fn set_modes(cluster: &Cluster, experiment: &Experiment, epoch: u64) -> Mode {
    let scenario = &experiment.scenario;
    let mut mode = Mode::default();
    for (index, server) in cluster.get_all_servers().into_iter().enumerate() {
        let misleading = scenario.misleading && index % 3 == 0;
        mode = Mode {
            epoch,
            seed: slowdown_seed(experiment.seed, server),
            misleading,
            ..Mode::default()
        };
        cluster.set_mode(server, &mode).await;
    }
    let last = cluster.layout.get_servers(0).pop();
    let seed = last.map_or(0, |server| slowdown_seed(experiment.seed, server));
    Mode {
        seed,
        misleading: false,
        ..mode
    }
}

fn slowdown_seed(seed: u64, server: std::net::SocketAddr) -> u64 {
    let octets = match server.ip() {
        std::net::IpAddr::V4(v4) => u64::from(u32::from(v4)),
        std::net::IpAddr::V6(_) => 0,
    };
    seed.wrapping_mul(1_000_003).wrapping_add(octets)
}

async fn read_runs(cluster: &Cluster) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for server in cluster.get_all_servers() {
        let counts = cluster.get::<BTreeMap<String, u32>>(server, "/runs").await;
        for (id, count) in counts.into_iter().flatten() {
            *runs.entry(id).or_insert(0) += count;
        }
    }
    runs
}

fn summarize(
    experiment: &Experiment,
    variant: &Variant,
    cluster: &Cluster,
    shots: &[Shot],
    sights: &[Sight],
    runs: &BTreeMap<String, u32>,
    used: &Used,
) -> Vec<Row> {
    let scenario = &experiment.scenario;
    let once = shots.iter().filter(|shot| shot.once).count().max(1) as f64;
    let mut rows = Vec::new();
    for (index, service) in experiment.firm.services.iter().enumerate() {
        let pairs = shots
            .iter()
            .zip(sights)
            .filter(|(shot, _)| shot.service == index);
        let pairs: Vec<(&Shot, &Sight)> = pairs.collect();
        let mine: Vec<&Shot> = pairs.iter().map(|(shot, _)| *shot).collect();
        let reference = reference(experiment, cluster, index, &mine);
        let measured =
            |pair: &&(&Shot, &Sight)| pair.0.at >= WARM_UP && pair.1.ending == Ending::Answered;
        let all = latencies(pairs.iter().filter(measured), |_| true);
        let short = latencies(pairs.iter().filter(measured), |shot| !shot.straggler);
        let mut bound_short: Vec<Micros> = mine
            .iter()
            .zip(&reference)
            .filter(|(shot, _)| shot.at >= WARM_UP && !shot.straggler)
            .map(|(_, latency)| *latency)
            .collect();
        bound_short.sort_unstable();
        let is_other =
            |shot: &Shot| !shot.straggler && !scenario.is_concerned(&cluster.layout, shot.entry);
        let others = latencies(pairs.iter().filter(measured), is_other);
        let count = |ending| {
            pairs
                .iter()
                .filter(|(_, sight)| sight.ending == ending)
                .count()
        };
        let ran = |shot: &Shot| {
            runs.get(&format!("{}-{}", variant.name, shot.id))
                .copied()
                .unwrap_or_default()
        };
        let false_not_run = |pair: &&(&Shot, &Sight)| {
            pair.0.once && pair.1.ending == Ending::NotRun && ran(pair.0) > 0
        };
        let in_time = |pair: &&(&Shot, &Sight)| {
            pair.1.ending == Ending::Answered && pair.1.latency <= scenario.deadline
        };
        rows.push(Row {
            scenario: scenario.name.to_owned(),
            firm: experiment.firm.name.to_owned(),
            seed: experiment.seed,
            policy: variant.name.to_owned(),
            is_default: variant.name == DEFAULT_VARIANT,
            service: service.name.to_owned(),
            class: service.class.to_string(),
            sent: pairs.len(),
            answered: count(Ending::Answered),
            within_deadline: pairs.iter().filter(in_time).count(),
            not_run: count(Ending::NotRun),
            unknown: count(Ending::Unknown),
            wrong: count(Ending::Wrong),
            doubled: mine.iter().filter(|shot| ran(shot) > 1).count(),
            false_not_run: pairs.iter().filter(false_not_run).count(),
            p50_ms: quantile(&all, 0.5),
            p99_ms: quantile(&all, 0.99),
            p999_ms: quantile(&all, 0.999),
            short_p99_ms: quantile(&short, 0.99),
            short_p999_ms: quantile(&short, 0.999),
            bound_short_p99_ms: quantile(&bound_short, 0.99),
            bound_short_p999_ms: quantile(&bound_short, 0.999),
            hedged: used.hedges.0,
            hedges_won: used.hedges.1,
            probes_per_server_s: round(used.probes),
            control_bytes_per_s: round(used.control),
            cpu_share: round(used.cpu),
            rss_mb: round(used.memory as f64 / 1e6),
            others_short_p99_ms: quantile(&others, 0.99),
            others_short_p999_ms: quantile(&others, 0.999),
            crest_share: crest_share(scenario, service, &pairs),
            after_crest_p99_ms: after_crest(scenario, &pairs),
            swaps_per_1000: round(used.swaps as f64 * 1000.0 / once),
            machine_share: round(used.machine),
            stolen_share: round(used.stolen),
            valid: used.machine < MACHINE_LIMIT && used.stolen < STOLEN_LIMIT,
        });
    }
    rows
}

/// Returns the answers in time to requests that arrived at the height of a crest, as a share of
/// what the servers' slots can do then.
fn crest_share(
    scenario: &Scenario,
    service: &FirmService,
    pairs: &[(&Shot, &Sight)],
) -> Option<f64> {
    let (from, to) = scenario.profile.get_height()?;
    let inside = |shot: &Shot| shot.at >= from && shot.at < to;
    let in_time = pairs.iter().filter(|(shot, sight)| {
        inside(shot) && sight.ending == Ending::Answered && sight.latency <= scenario.deadline
    });
    let capacity = service.get_capacity(scenario.straggler) * (to - from).as_secs();
    Some(round(in_time.count() as f64 / capacity))
}

fn after_crest(scenario: &Scenario, pairs: &[(&Shot, &Sight)]) -> Option<f64> {
    let (_, to) = scenario.profile.get_height()?;
    let late = |pair: &&(&Shot, &Sight)| {
        pair.0.at > to + CREST_RECOVERY && pair.1.ending == Ending::Answered
    };
    Some(quantile(
        &latencies(pairs.iter().filter(late), |shot| !shot.straggler),
        0.99,
    ))
}

fn reference(
    experiment: &Experiment,
    cluster: &Cluster,
    service: usize,
    shots: &[&Shot],
) -> Vec<Micros> {
    let servers = cluster.layout.get_servers(service);
    let horizon = experiment.length + experiment.length;
    let slowdown = |server: &std::net::SocketAddr| {
        Slowdowns::draw(slowdown_seed(experiment.seed, *server), horizon)
    };
    let slowdowns: Vec<Slowdowns> = servers.iter().map(slowdown).collect();
    let delay = |entry: usize, server: usize| {
        let from = center_of(cluster.layout.get_entry(entry).ip());
        if from == center_of(servers[server].ip()) {
            Micros::ZERO
        } else {
            cluster.layout.get_one_way()
        }
    };
    bound(shots, &slowdowns, delay)
}

fn latencies<'a>(
    pairs: impl Iterator<Item = &'a (&'a Shot, &'a Sight)>,
    is_counted: impl Fn(&Shot) -> bool,
) -> Vec<Micros> {
    let mut latencies: Vec<Micros> = pairs
        .filter(|(shot, _)| is_counted(shot))
        .map(|(_, sight)| sight.latency)
        .collect();
    latencies.sort_unstable();
    latencies
}

/// Returns a quantile in milliseconds of lengths that are sorted.
pub(super) fn quantile(sorted: &[Micros], quantile: f64) -> f64 {
    let rank = (sorted.len() as f64 * quantile).ceil() as usize;
    let value = sorted.get(rank.saturating_sub(1).min(sorted.len().saturating_sub(1)));
    round(value.copied().unwrap_or_default().as_millis())
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}
