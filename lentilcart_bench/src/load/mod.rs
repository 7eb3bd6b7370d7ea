//! Load of the bench: the plan of arrivals and service times, the callers that send it, and the
//! reference with which their latencies are compared.

mod caller_settings;
mod planned_request;
mod reference;
mod workload;

pub use self::caller_settings::{CallerSettings, run_load};
pub use self::planned_request::{PlannedRequest, RequestObservation, RequestOutcome};
pub use self::reference::simulate_reference;
pub use self::workload::{LoadProfile, Workload, draw_plan};
