use std::path::PathBuf;

use lentilcart_util::Set;

use super::fault_kind::FaultKind;

/// Size of the site that a soak plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SoakSize {
    /// 5 entries, and services of 16, 8 and 8 servers.
    Small,
    /// 51 entries, and services of 204, 102 and 39 servers with longer service times.
    Grown,
}

/// What a soak plays.
#[derive(Debug, Clone)]
pub struct SoakOptions {
    /// Seed of the schedule, the clients and what servers do.
    pub seed: u64,
    /// Time for which clients send requests, in seconds.
    pub seconds: u64,
    /// Size of the site.
    pub size: SoakSize,
    /// Number of entries, if it differs from that of the size.
    pub entries: Option<usize>,
    /// Number of servers of each service, if it differs from that of the size.
    pub servers: Option<usize>,
    /// Share of the site's rates that clients send; `None` for that of the size.
    pub load: Option<f64>,
    /// Factor on the number of ends, starts and slowdowns of servers.
    pub pace: f64,
    /// Daemon to run.
    pub program: PathBuf,
    /// Share of the entries that run it; the others run the daemon of this workspace.
    pub program_share: f64,
    /// Kinds of faults that are played.
    pub faults: Set<FaultKind>,
    /// Folder for the settings and logs of the entries.
    pub logs: PathBuf,
}
