//! A deployment on this machine: entries and servers as separate processes, and the stubs of the
//! platform and of the links between hosts.

#[allow(clippy::module_inception)]
mod cluster;
mod firm;
mod process;
mod variant;

pub use self::cluster::{Cluster, Layout};
pub use self::firm::{Firm, FirmService, STRAGGLER_FACTOR, TRAVIESAS, ZARNICA, get_firm};
pub use self::process::{Process, binary_path};
pub use self::variant::{Variant, format_ticket};
