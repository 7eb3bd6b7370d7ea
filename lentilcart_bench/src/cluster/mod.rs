//! A deployment on this machine: platform, servers, entries and links, as separate processes.

#[allow(clippy::module_inception)]
mod cluster;
mod firm;
mod process;
mod ticket;

pub use self::cluster::{Cluster, Layout};
pub use self::firm::{Firm, FirmService, STRAGGLER_FACTOR, TRAVIESAS, ZARNICA, get_firm};
pub use self::process::{Process, binary};
pub use self::ticket::{Variant, ticket};
