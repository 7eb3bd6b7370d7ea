//! Errors of ticket files and of the protocols over the platform's key-value service.

mod field_error;
mod state_error;

pub use self::field_error::{FieldError, TicketFileError};
pub use self::state_error::StateError;
