use std::time::{Duration, Instant};

use lentilcart_util::Micros;
use serde::Serialize;

use super::experiment::quantile_ms;
use super::scenarios::get_scenario;
use crate::cluster::{Cluster, Firm, Layout, Variant, format_ticket};
use crate::load::{CallerSettings, LoadProfile, PlannedRequest, Workload, draw_plan, run_load};

/// Load, as a share of the capacity.
const LOAD_SHARE: f64 = 0.5;

/// Time that requests spend outside the servers, sent directly to a server and sent through an entry.
/// Times are in milliseconds.
#[derive(Debug, Clone, Serialize)]
pub struct OverheadResult {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Name of the variant.
    pub policy: &'static str,
    /// Number of requests sent each way.
    pub sent: usize,
    /// Median of direct requests.
    pub direct_p50_ms: f64,
    /// 99th percentile of direct requests.
    pub direct_p99_ms: f64,
    /// Median of requests through the entries.
    pub through_p50_ms: f64,
    /// 99th percentile of requests through the entries.
    pub through_p99_ms: f64,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
}

/// Measures the time that the entries add to a request, at half load.
///
/// Requests of the first service, with equal service times and no network latency between hosts, are
/// sent through the entries and then directly to the servers; the time that they spend outside the
/// server is compared.
///
/// Whether the ticket is accepted is not checked; if it is refused, the times are those of rejections.
pub async fn measure_overhead(
    firm: Firm,
    variant: &Variant,
    seed: u64,
    duration: Micros,
) -> OverheadResult {
    let mut layout = Layout::new(firm);
    layout.has_latency = false;
    let cluster = Cluster::start(layout).await;
    let deadline = get_scenario("steady").map_or(duration, |scenario| scenario.deadline);
    cluster
        .submit(&format_ticket(&cluster.layout, variant, 0, deadline))
        .await;
    let workload = Workload {
        profile: LoadProfile::Flat(LOAD_SHARE),
        entries: cluster.layout.entries,
        duration,
        straggler_share: 0.0,
        independent_reruns: false,
        first_entry_share: None,
        seed,
    };
    let mut requests = draw_plan(&firm, &workload);
    let service_time = firm.services[0].service_time;
    requests.retain(|request| request.service == 0);
    for request in &mut requests {
        request.service_time = service_time;
        request.rerun_time = service_time;
    }
    let through = measure_overheads(&cluster, &requests, false).await;
    let direct = measure_overheads(&cluster, &requests, true).await;
    cluster.stop().await;
    let [p50, p99] = [0.5, 0.99].map(|q| (quantile_ms(&direct, q), quantile_ms(&through, q)));
    OverheadResult {
        scenario: "overhead",
        policy: variant.name,
        sent: requests.len(),
        direct_p50_ms: p50.0,
        direct_p99_ms: p99.0,
        through_p50_ms: p50.1,
        through_p99_ms: p99.1,
        added_p50_ms: p50.1 - p50.0,
        added_p99_ms: p99.1 - p99.0,
    }
}

/// Returns the sorted times that requests spent outside the servers, without the first tenth of the
/// requests, which is the warm-up. A request whose time inside a server is unknown counts with its
/// whole latency.
async fn measure_overheads(
    cluster: &Cluster,
    requests: &[PlannedRequest],
    direct: bool,
) -> Vec<Micros> {
    let mut requests = requests.to_vec();
    let servers = cluster.layout.get_server_addresses(0);
    let addresses = if direct {
        servers.clone()
    } else {
        (0..cluster.layout.entries)
            .map(|n| cluster.layout.get_caller_address(n))
            .collect()
    };
    if direct {
        // `entry` is the index of a server here. The servers take turns, so that direct requests are
        // spread evenly and rarely wait behind another one.
        for (index, request) in requests.iter_mut().enumerate() {
            request.entry = index % servers.len();
        }
    }
    let settings = CallerSettings {
        addresses,
        readiness_addresses: Vec::new(),
        services: cluster
            .layout
            .firm
            .services
            .iter()
            .map(|s| s.name)
            .collect(),
        run_name: if direct { "direct" } else { "through" }.to_owned(),
        keyed: false,
    };
    // The same lead as that of an experiment.
    let start = Instant::now() + Duration::from_millis(300);
    let observations = run_load(settings, &requests, start).await;
    let mut overheads: Vec<Micros> = observations
        .iter()
        .map(|observation| observation.overhead)
        .collect();
    overheads.drain(..overheads.len() / 10);
    overheads.sort_unstable();
    overheads
}
