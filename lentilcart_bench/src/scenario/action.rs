use std::net::IpAddr;

use crate::cluster::Cluster;
use crate::servers::Mode;
use crate::util::unix_micros;

const COLD_MICROS: u64 = 3_000_000;

/// Something that happens during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// The last server of the first service is killed.
    KillServer,
    /// The last server of the first service rejects everything at once.
    FailServer,
    /// The last server of the first service begins to drain.
    DrainServer,
    /// The last server of the first service was restarted and is cold.
    ColdServer,
    /// The entry of a rank is killed; rank 0 is the home of the first service.
    KillEntry(usize),
    /// The entry of a rank is told to stop.
    StopEntry(usize),
    /// The entry of a rank is paused.
    PauseEntry(usize),
    /// The entry of a rank runs on.
    ResumeEntry(usize),
    /// The link from the entry of a rank to that of another one is cut.
    CutLink(usize, usize),
    /// The platform answers nobody.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

impl Action {
    /// Returns the rank of the entry that the action concerns.
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

    /// Carries the action out.
    pub async fn run(self, cluster: &mut Cluster, mode: &Mode) {
        let last = cluster.layout.get_servers(0).pop();
        let ranked = |rank| cluster.layout.get_ranked(rank);
        match (self, last) {
            (Self::KillServer, _) => {
                if let Some(process) = cluster.servers.last_mut() {
                    process.kill();
                }
            }
            (Self::FailServer, Some(server)) => {
                cluster
                    .set_mode(
                        server,
                        &Mode {
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
                        &Mode {
                            draining: true,
                            ..mode.clone()
                        },
                    )
                    .await;
            }
            (Self::ColdServer, Some(server)) => {
                let cold_until = unix_micros() + COLD_MICROS;
                cluster
                    .set_mode(
                        server,
                        &Mode {
                            cold_until,
                            ..mode.clone()
                        },
                    )
                    .await;
            }
            (Self::KillEntry(rank), _) => cluster.kill(cluster.layout.get_ranked(rank)),
            (Self::StopEntry(rank), _) => cluster.signal(ranked(rank), "TERM"),
            (Self::PauseEntry(rank), _) => cluster.signal(ranked(rank), "STOP"),
            (Self::ResumeEntry(rank), _) => cluster.signal(ranked(rank), "CONT"),
            (Self::CutLink(from, to), _) => {
                let source: IpAddr = cluster.layout.get_entry(ranked(from)).ip();
                cluster.relays[ranked(to)].set_link(source, crate::relay::Link::Cut);
            }
            (Self::PlatformDown, _) => cluster.stub.change_faults(|faults| faults.outage = true),
            (Self::PlatformUp, _) => cluster.stub.change_faults(|faults| faults.outage = false),
            (_, None) => {}
        }
    }
}
