//! Acceptance of change tickets and their spread to the entries.
//!
//! One key, `head`, names the latest accepted ticket; accepting a ticket is one compare-and-swap
//! on it. `ticket/<id>` holds a body and is written before; `number/<n>` holds the id of an
//! accepted ticket and is written, if absent, before `head` moves on. `snapshot` holds an index
//! from service to its last ticket, and spares a new entry the whole history.

mod applied_state;
mod catch_up;
mod diff;
mod head;
mod protocol_step;
mod snapshot_writer;
mod submission;

pub use self::applied_state::{AppliedState, NumberedTicket};
pub use self::catch_up::CatchUp;
pub use self::diff::diff_tickets;
pub use self::head::{HEAD_KEY, Head, TicketRef, number_key, ticket_key};
pub use self::protocol_step::ProtocolStep;
pub use self::snapshot_writer::SnapshotWriter;
pub use self::submission::{AcceptedTicket, TicketConflict, TicketSubmission};
