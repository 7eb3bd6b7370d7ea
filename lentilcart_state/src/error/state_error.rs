use quick_error::quick_error;

use crate::TicketConflict;

quick_error! {
    /// Errors of submitting tickets, catching up with the head and writing snapshots.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum StateError {
        /// Another ticket that sets or removes the same service was accepted first.
        Conflict(conflict: Box<TicketConflict>) {
            display("{conflict}")
        }
        /// The ticket's base is higher than the number of the latest accepted ticket.
        BaseAhead(base: u64, latest: u64) {
            display("base = {base}: the latest accepted ticket is {latest}; set base = {latest} or lower")
        }
        /// No usable reply arrived from the platform, and no ticket was accepted by this operation.
        /// Also returned by [`CatchUp`](crate::CatchUp), which submits no ticket, where a reply was of
        /// the wrong kind too.
        Unreachable(reason: String) {
            display("the platform did not answer: {reason}; nothing was accepted, submit again")
        }
        /// The platform's replies were lost, so that the ticket may or may not be accepted.
        OutcomeUnknown(id: String, reason: String) {
            display("the platform did not say whether the ticket was accepted: {reason}; submit it again with --id {id} to find out")
        }
        /// Another ticket was submitted under the same id.
        DuplicateId(id: String) {
            display("--id {id}: another ticket was submitted under this id; leave it out to get a new one")
        }
        /// The stored value of a key is missing or cannot be decoded, or a stored ticket does not set
        /// a service for which the snapshot names it. Also where the reply to a request of a
        /// submission was of the wrong kind; `key` then names the stage of the submission instead.
        Corrupt(key: String, reason: String) {
            display("the platform's value of {key} cannot be read: {reason}")
        }
    }
}
