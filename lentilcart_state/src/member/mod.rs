//! The entries, and which of them own a service.

mod announcement_budget;
mod capacity;
mod lag_gauge;
mod lease_times;
mod member_table;
mod pacer;
mod rendezvous;

pub use self::announcement_budget::AnnouncementBudget;
pub use self::capacity::{DEFAULT_WEIGHT, get_weight};
pub use self::lag_gauge::LagGauge;
pub use self::lease_times::{get_lease_duration, get_renewal_interval};
pub use self::member_table::{Member, MemberTable};
pub use self::pacer::PacerLease;
pub use self::rendezvous::{rendezvous_rank, weighted_rank};
