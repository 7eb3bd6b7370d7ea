//! Budgets and limits.

mod bucket;
mod hedger;
mod settings;

pub use self::bucket::Bucket;
pub use self::hedger::Hedger;
pub use self::settings::{EjectLimits, LoadBudget, RetryLimits};
