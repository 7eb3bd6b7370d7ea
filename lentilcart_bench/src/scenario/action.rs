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
    /// An entry is killed.
    KillEntry(usize),
    /// An entry is told to stop.
    StopEntry(usize),
    /// An entry is paused.
    PauseEntry(usize),
    /// An entry runs on.
    ResumeEntry(usize),
    /// The link from an entry to another one is cut.
    CutLink(usize, usize),
    /// The platform answers nobody.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
}

impl Action {
    /// Returns the entry that the action concerns.
    #[must_use]
    pub fn get_entry(self) -> Option<usize> {
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
            (Self::KillEntry(number), _) => cluster.kill(number),
            (Self::StopEntry(number), _) => cluster.signal(number, "TERM"),
            (Self::PauseEntry(number), _) => cluster.signal(number, "STOP"),
            (Self::ResumeEntry(number), _) => cluster.signal(number, "CONT"),
            (Self::CutLink(from, to), _) => {
                let source: IpAddr = cluster.layout.get_entry(from).ip();
                cluster.relays[to].set_link(source, crate::relay::Link::Cut);
            }
            (Self::PlatformDown, _) => cluster.stub.change_faults(|faults| faults.outage = true),
            (Self::PlatformUp, _) => cluster.stub.change_faults(|faults| faults.outage = false),
            (_, None) => {}
        }
    }
}
