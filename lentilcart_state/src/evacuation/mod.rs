//! Evacuations of data centres: which ones get no more requests, and how that was learned.

#[allow(clippy::module_inception)]
mod evacuation;
mod evacuation_table;

pub use self::evacuation::{Evacuation, EvacuationChange, EvacuationSource};
pub use self::evacuation_table::EvacuationTable;
