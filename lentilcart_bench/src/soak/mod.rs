//! Soak of entries as separate processes: with servers that break the protocol and restart, a store that
//! loses replies, and signals to the entries. What clients and servers saw is checked at the end.

mod checks;
mod client;
mod entry;
mod evacuation;
mod fault_kind;
mod message;
mod options;
mod record;
mod schedule;
mod server;
mod server_connection;
mod server_process;
mod site;
mod soak_run;
mod store;
mod store_server;
mod store_state;

pub use self::checks::{SoakFault, find_cold_faults, find_faults};
pub use self::evacuation::{Arrival, SoakEvacuation, find_evacuation_faults};
pub use self::fault_kind::{FaultKind, parse_faults};
pub use self::options::{SoakOptions, SoakSize};
pub use self::record::{ColdArrival, Outcome, RouteVersion, Run, SentRequest};
pub use self::soak_run::{SoakReport, run_soak};
pub(crate) use self::store::Store;
pub(crate) use self::store_server::serve_store;
