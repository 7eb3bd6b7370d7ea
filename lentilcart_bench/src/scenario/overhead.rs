use std::time::{Duration, Instant};

use lentilcart_util::Micros;
use serde::Serialize;

use super::experiment::quantile;
use super::scenarios::get_scenario;
use crate::cluster::{Cluster, Firm, Layout, Variant, ticket};
use crate::load::{Demand, Profile, Shot, Targets, plan, run};

const REQUESTS_SHARE: f64 = 0.5;

/// What the way through the entries adds to a direct call.
#[derive(Debug, Clone, Serialize)]
pub struct Overhead {
    /// Scenario.
    pub scenario: &'static str,
    /// Variant.
    pub policy: &'static str,
    /// Requests of each side.
    pub sent: usize,
    /// Median of direct calls.
    pub direct_p50_ms: f64,
    /// 99th percentile of direct calls.
    pub direct_p99_ms: f64,
    /// Median through the entries.
    pub through_p50_ms: f64,
    /// 99th percentile through the entries.
    pub through_p99_ms: f64,
    /// Difference of the medians.
    pub added_p50_ms: f64,
    /// Difference of the 99th percentiles.
    pub added_p99_ms: f64,
}

/// Measures what the entries add to a call at half load, with equal work and no latency between
/// hosts: the time that a call spends outside the server, through the entries and directly.
pub async fn overhead(firm: Firm, variant: &Variant, seed: u64, length: Micros) -> Overhead {
    let mut layout = Layout::new(firm);
    layout.latency = false;
    let cluster = Cluster::start(layout).await;
    let deadline = get_scenario("steady").map_or(length, |scenario| scenario.deadline);
    cluster
        .submit(&ticket(&cluster.layout, variant, 0, deadline))
        .await;
    let demand = Demand {
        profile: Profile::Flat(REQUESTS_SHARE),
        entries: cluster.layout.entries,
        length,
        straggler: 0.0,
        unlucky: false,
        skew: None,
        seed,
    };
    let mut shots = plan(&firm, &demand);
    let work = firm.services[0].work;
    shots.retain(|shot| shot.service == 0);
    for shot in &mut shots {
        shot.work = work;
        shot.again = work;
    }
    let through = measure(&cluster, &shots, false).await;
    let direct = measure(&cluster, &shots, true).await;
    cluster.stop().await;
    let [p50, p99] = [0.5, 0.99].map(|q| (quantile(&direct, q), quantile(&through, q)));
    Overhead {
        scenario: "overhead",
        policy: variant.name,
        sent: shots.len(),
        direct_p50_ms: p50.0,
        direct_p99_ms: p99.0,
        through_p50_ms: p50.1,
        through_p99_ms: p99.1,
        added_p50_ms: p50.1 - p50.0,
        added_p99_ms: p99.1 - p99.0,
    }
}

async fn measure(cluster: &Cluster, shots: &[Shot], direct: bool) -> Vec<Micros> {
    let mut shots = shots.to_vec();
    let servers = cluster.layout.get_servers(0);
    let entries = if direct {
        servers.clone()
    } else {
        (0..cluster.layout.entries)
            .map(|n| cluster.layout.get_entry(n))
            .collect()
    };
    if direct {
        // In turn, so that a direct call never waits behind another one.
        for (index, shot) in shots.iter_mut().enumerate() {
            shot.entry = index % servers.len();
        }
    }
    let targets = Targets {
        entries,
        ready: Vec::new(),
        services: cluster
            .layout
            .firm
            .services
            .iter()
            .map(|s| s.name)
            .collect(),
        run: if direct { "direct" } else { "through" }.to_owned(),
        keyed: false,
    };
    let start = Instant::now() + Duration::from_millis(300);
    let sights = run(targets, &shots, start).await;
    let mut latencies: Vec<Micros> = sights.iter().map(|sight| sight.outside).collect();
    latencies.drain(..latencies.len() / 10);
    latencies.sort_unstable();
    latencies
}
