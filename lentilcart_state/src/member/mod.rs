//! The entries, and which of them own a service.

mod member_table;
mod pacer;
mod rendezvous;

pub use self::member_table::{Member, MemberTable};
pub use self::pacer::PacerLease;
pub use self::rendezvous::rendezvous_rank;
