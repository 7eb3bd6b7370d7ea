use std::time::Instant;

use lentilcart::ops::StatusView;
use lentilcart_util::Micros;

use crate::cluster::{Cluster, Process};

/// What the processes had used at a time.
pub(super) struct Usage {
    at: Instant,
    cpu: Vec<Micros>,
    machine: MachineTime,
    statuses: Vec<Option<StatusView>>,
    memory: u64,
    probes: Vec<u64>,
    swaps: u64,
}

/// What the processes used over a run.
pub(super) struct Used {
    pub(super) cpu: f64,
    pub(super) machine: f64,
    pub(super) stolen: f64,
    pub(super) control: f64,
    pub(super) hedges: (u64, u64),
    pub(super) memory: u64,
    pub(super) probes: f64,
    pub(super) swaps: u64,
}

impl Usage {
    pub(super) async fn read(cluster: &Cluster) -> Self {
        let mut statuses = Vec::new();
        for number in 0..cluster.layout.entries {
            let known = cluster.daemons[number].is_some();
            statuses.push(if known {
                cluster.get_status(number).await
            } else {
                None
            });
        }
        let mut probes = Vec::new();
        for server in cluster.get_all_servers() {
            let counts = cluster.get::<serde_json::Value>(server, "/count").await;
            let count = counts.and_then(|counts| counts["probes"].as_u64());
            probes.push(count.unwrap_or_default());
        }
        let daemons = || cluster.daemons.iter();
        let cpu = |d: &Option<Process>| d.as_ref().map(Process::get_cpu);
        Self {
            at: Instant::now(),
            cpu: daemons().map(|d| cpu(d).unwrap_or_default()).collect(),
            machine: machine_time(),
            statuses,
            memory: daemons()
                .flatten()
                .map(Process::get_memory)
                .max()
                .unwrap_or_default(),
            probes,
            swaps: cluster.stub.get_calls("swap"),
        }
    }

    pub(super) fn between(before: &Self, after: &Self) -> Used {
        let seconds = (after.at - before.at).as_secs_f64();
        let pairs = before.statuses.iter().zip(&after.statuses);
        let pairs: Vec<_> = pairs
            .filter_map(|(b, a)| Some((b.as_ref()?, a.as_ref()?)))
            .collect();
        let control = pairs
            .iter()
            .map(|(b, a)| a.control_bytes.saturating_sub(b.control_bytes));
        let sum = |field: fn(&StatusView) -> u64| {
            pairs
                .iter()
                .map(|(b, a)| field(a).saturating_sub(field(b)))
                .sum::<u64>()
        };
        let cpu = before
            .cpu
            .iter()
            .zip(&after.cpu)
            .map(|(b, a)| *a - *b)
            .max();
        let (start, end) = (&before.machine, &after.machine);
        let total = (end.total - start.total).max(1.0);
        let probes = before
            .probes
            .iter()
            .zip(&after.probes)
            .map(|(b, a)| a.saturating_sub(*b));
        Used {
            cpu: cpu.unwrap_or_default().as_secs() / seconds,
            machine: (end.busy - start.busy) / total,
            stolen: (end.stolen - start.stolen) / total,
            control: control.max().unwrap_or_default() as f64 / seconds,
            hedges: (sum(|s| s.hedges), sum(|s| s.hedges_won)),
            memory: after.memory,
            probes: probes.max().unwrap_or_default() as f64 / seconds,
            swaps: after.swaps - before.swaps,
        }
    }
}

/// Processor time of the machine, in ticks.
struct MachineTime {
    busy: f64,
    stolen: f64,
    total: f64,
}

fn machine_time() -> MachineTime {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let line = stat.lines().next().unwrap_or_default();
    let fields = line.split_whitespace().skip(1).take(8);
    let fields: Vec<f64> = fields.map(|field| field.parse().unwrap_or(0.0)).collect();
    let total: f64 = fields.iter().sum();
    let [idle, waiting, stolen] = [3, 4, 7].map(|at| fields.get(at).copied().unwrap_or(0.0));
    MachineTime {
        busy: total - idle - waiting - stolen,
        stolen,
        total,
    }
}
