//! Errors of tickets and of the protocols over the platform's service.

mod fault;
mod state_error;

pub use self::fault::{Fault, TicketError};
pub use self::state_error::StateError;
