//! Acceptance of change tickets and their distribution to the entries.
//!
//! The value of the key `head` names the latest accepted ticket; a ticket is accepted by one
//! compare-and-swap of this key. `ticket/<id>` holds the body of a ticket and is written before
//! that. `number/<n>` holds the id of the accepted ticket with number n; it is written, if absent,
//! before `head` advances to the next number. `snapshot` holds an index from each service to its
//! last ticket, so that a new entry need not read the whole history.

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
pub use self::submission::{SubmissionReceipt, TicketConflict, TicketSubmission};
