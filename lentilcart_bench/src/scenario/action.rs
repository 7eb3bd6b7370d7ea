use std::net::IpAddr;

use crate::cluster::Cluster;
use crate::servers::ServerMode;
use crate::util::unix_micros;

/// Length of a cold start.
const COLD_START_MICROS: u64 = 3_000_000;

/// Action that a scenario performs at a given time, such as injecting a fault.
///
/// The rank of an entry is its place in the rendezvous hashing order for the first service; rank 0 is
/// the owner of the service if it has one owner.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Kills the last server of the first service.
    KillServer,
    /// Makes the last server of the first service reject every request at once.
    FailServer,
    /// Makes the last server of the first service drain.
    DrainServer,
    /// Makes the last server of the first service slow for 3 s, as after a restart.
    ColdServer,
    /// Kills the entry of a rank.
    KillEntry(usize),
    /// Stops the entry of a rank gracefully, by `TERM`.
    StopEntry(usize),
    /// Pauses the entry of a rank, by `STOP`.
    PauseEntry(usize),
    /// Resumes the entry of a rank, by `CONT`.
    ResumeEntry(usize),
    /// Cuts the link from the entry of a rank (first) to that of another rank (second).
    CutLink(usize, usize),
    /// Makes the platform cut every call.
    PlatformDown,
    /// Makes the platform respond again.
    PlatformUp,
}

impl Action {
    /// Returns the rank of the entry that the action kills, stops, pauses or resumes; `None` for
    /// actions on servers, links and the platform.
    #[must_use]
    pub fn get_rank(self) -> Option<usize> {
        match self {
            Self::KillEntry(entry)
            | Self::StopEntry(entry)
            | Self::PauseEntry(entry)
            | Self::ResumeEntry(entry) => Some(entry),
            _ => None,
        }
    }

    /// Performs the action; `mode` is the one set for the last server of the first service at
    /// the start, to which an action on that server adds.
    pub async fn run(self, cluster: &mut Cluster, mode: &ServerMode) {
        let last_server = cluster.layout.get_server_addresses(0).pop();
        let by_rank = |rank| cluster.layout.get_entry_by_rank(rank);
        match (self, last_server) {
            (Self::KillServer, _) => {
                if let Some(process) = cluster.servers.last_mut() {
                    process.kill();
                }
            }
            (Self::FailServer, Some(server)) => {
                cluster
                    .set_mode(
                        server,
                        &ServerMode {
                            failing: true,
                            ..mode.clone()
                        },
                    )
                    .await;
            }
            (Self::DrainServer, Some(server)) => {
                cluster
                    .set_mode(
                        server,
                        &ServerMode {
                            draining: true,
                            ..mode.clone()
                        },
                    )
                    .await;
            }
            (Self::ColdServer, Some(server)) => {
                let cold_until = unix_micros() + COLD_START_MICROS;
                cluster
                    .set_mode(
                        server,
                        &ServerMode {
                            cold_until,
                            ..mode.clone()
                        },
                    )
                    .await;
            }
            (Self::KillEntry(rank), _) => cluster.kill(cluster.layout.get_entry_by_rank(rank)),
            (Self::StopEntry(rank), _) => cluster.signal(by_rank(rank), "TERM"),
            (Self::PauseEntry(rank), _) => cluster.signal(by_rank(rank), "STOP"),
            (Self::ResumeEntry(rank), _) => cluster.signal(by_rank(rank), "CONT"),
            (Self::CutLink(from, to), _) => {
                let source: IpAddr = cluster.layout.get_caller_address(by_rank(from)).ip();
                cluster.relays[by_rank(to)].set_link_state(source, crate::relay::LinkState::Cut);
            }
            (Self::PlatformDown, _) => cluster
                .platform_stub
                .update_faults(|faults| faults.outage = true),
            (Self::PlatformUp, _) => cluster
                .platform_stub
                .update_faults(|faults| faults.outage = false),
            (_, None) => {}
        }
    }
}
