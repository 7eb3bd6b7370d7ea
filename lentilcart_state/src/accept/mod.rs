//! Acceptance of change tickets and their spread to the entries.
//!
//! One key, `head`, names the latest accepted ticket; accepting a ticket is one compare-and-swap
//! on it. `ticket/<id>` holds a body and is written before; `number/<n>` holds the id of an
//! accepted ticket and is written, if absent, before `head` moves on. `snapshot` holds an index
//! from service to its last ticket, and spares a new entry the whole history.

mod compact;
mod diff;
mod follow;
mod head;
mod in_force;
mod protocol_step;
mod submit;

pub use self::compact::Compact;
pub use self::diff::diff;
pub use self::follow::Follow;
pub use self::head::{HEAD, Head, Touched, number_key, ticket_key};
pub use self::in_force::{InForce, Numbered};
pub use self::protocol_step::ProtocolStep;
pub use self::submit::{Accepted, Conflict, Submit};
