//! Callers that send requests ahead, against one entry that runs as a gateway in a process of its own: the
//! latency of the requests, and the processor time of the entry for each.

mod ahead_run;
mod caller;

pub use self::ahead_run::{AheadOptions, AheadRow, measure_ahead};
pub use self::caller::SendMode;
