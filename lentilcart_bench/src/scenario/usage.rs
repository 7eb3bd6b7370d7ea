use std::time::Instant;

use lentilcart::ops::StatusView;
use lentilcart_util::Micros;

use crate::cluster::{Cluster, Process};

/// Resources that the processes had used at a point in time.
pub(super) struct UsageSnapshot {
    read_at: Instant,
    /// Processor time of each daemon, 0 for one that does not run.
    cpu: Vec<Micros>,
    machine: MachineTime,
    statuses: Vec<Option<StatusView>>,
    /// Resident memory of the largest daemon, in bytes.
    memory: u64,
    /// Probes that each server got.
    probes: Vec<u64>,
    /// Swaps at the platform.
    swaps: u64,
}

/// Resources that the processes used over a run.
pub(super) struct UsageDelta {
    /// Processor time of the busiest daemon, as a share of one core.
    pub(super) cpu_share: f64,
    /// Processor time used on the machine, as a share of that of all cores.
    pub(super) machine_share: f64,
    /// Processor time that the hypervisor did not give the machine, as a share of that of all cores.
    pub(super) stolen_share: f64,
    /// Bytes per second that the busiest daemon exchanged with other entries, without requests.
    pub(super) control_bytes_per_s: f64,
    /// Hedges sent, and those whose response came first.
    pub(super) hedges_sent_and_won: (u64, u64),
    /// Resident memory of the largest daemon at the end, in bytes.
    pub(super) resident_bytes: u64,
    /// Probes per second at the server with the most probes.
    pub(super) probes_per_s: f64,
    /// Swaps at the platform.
    pub(super) swaps: u64,
}

impl UsageSnapshot {
    /// Reads the counters of all processes.
    pub(super) async fn read(cluster: &Cluster) -> Self {
        let mut statuses = Vec::new();
        for number in 0..cluster.layout.entries {
            let is_running = cluster.daemons[number].is_some();
            statuses.push(if is_running {
                cluster.get_status(number).await
            } else {
                None
            });
        }
        let mut probes = Vec::new();
        for server in cluster.get_all_server_addresses() {
            let counts = cluster
                .get_json::<serde_json::Value>(server, "/count")
                .await;
            let count = counts.and_then(|counts| counts["probes"].as_u64());
            probes.push(count.unwrap_or_default());
        }
        let daemons = || cluster.daemons.iter();
        let cpu = |d: &Option<Process>| d.as_ref().map(Process::get_cpu_time);
        Self {
            read_at: Instant::now(),
            cpu: daemons().map(|d| cpu(d).unwrap_or_default()).collect(),
            machine: read_machine_time(),
            statuses,
            memory: daemons()
                .flatten()
                .map(Process::get_resident_bytes)
                .max()
                .unwrap_or_default(),
            probes,
            swaps: cluster.platform_stub.get_call_count("swap"),
        }
    }

    /// Returns the usage between two snapshots; daemons that ran at only one of them are left out of
    /// the counters of the statuses.
    pub(super) fn between(before: &Self, after: &Self) -> UsageDelta {
        let seconds = (after.read_at - before.read_at).as_secs_f64();
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
        let (earlier, later) = (&before.machine, &after.machine);
        let total = (later.total - earlier.total).max(1.0);
        let probes = before
            .probes
            .iter()
            .zip(&after.probes)
            .map(|(b, a)| a.saturating_sub(*b));
        UsageDelta {
            cpu_share: cpu.unwrap_or_default().as_secs() / seconds,
            machine_share: (later.busy - earlier.busy) / total,
            stolen_share: (later.stolen - earlier.stolen) / total,
            control_bytes_per_s: control.max().unwrap_or_default() as f64 / seconds,
            hedges_sent_and_won: (sum(|s| s.hedges), sum(|s| s.hedges_won)),
            resident_bytes: after.memory,
            probes_per_s: probes.max().unwrap_or_default() as f64 / seconds,
            swaps: after.swaps - before.swaps,
        }
    }
}

/// Processor time of the machine since its start, over all cores, in clock ticks.
struct MachineTime {
    busy: f64,
    stolen: f64,
    total: f64,
}

/// Reads the processor time from the first line of `/proc/stat`, see proc(5).
fn read_machine_time() -> MachineTime {
    let stat = std::fs::read_to_string("/proc/stat").unwrap_or_default();
    let line = stat.lines().next().unwrap_or_default();
    let fields = line.split_whitespace().skip(1).take(8);
    let fields: Vec<f64> = fields.map(|field| field.parse().unwrap_or(0.0)).collect();
    let total: f64 = fields.iter().sum();
    let [idle, waiting, stolen] = [3, 4, 7].map(|index| fields.get(index).copied().unwrap_or(0.0));
    MachineTime {
        busy: total - idle - waiting - stolen,
        stolen,
        total,
    }
}
