//! Entries and which of them dispatch for a service.

mod members;
mod rendezvous;

pub use self::members::{Member, Members};
pub use self::rendezvous::rendezvous;
