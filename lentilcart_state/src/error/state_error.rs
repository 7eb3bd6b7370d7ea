use quick_error::quick_error;

use crate::TicketConflict;

quick_error! {
    /// Errors of the protocols over the platform's service.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum StateError {
        /// Another ticket that touches the same service was accepted first.
        Conflict(conflict: Box<TicketConflict>) {
            display("{conflict}")
        }
        /// The ticket was written against a number that does not exist yet.
        BaseAhead(base: u64, number: u64) {
            display("base = {base}: the latest accepted ticket is {number}; write the ticket against {number}")
        }
        /// The platform did not answer, and nothing was accepted.
        Unreachable(reason: String) {
            display("the platform did not answer: {reason}; nothing was accepted, submit again")
        }
        /// The platform did not say whether the ticket was accepted.
        OutcomeUnknown(id: String, reason: String) {
            display("the platform did not say whether the ticket was accepted: {reason}; settle it by submitting again with --id {id}")
        }
        /// The id names another ticket.
        DuplicateId(id: String) {
            display("--id {id}: another ticket was submitted under this id; leave it out to get a new one")
        }
        /// A stored value cannot be read.
        Corrupt(key: String, reason: String) {
            display("the platform's value of {key} cannot be read: {reason}")
        }
    }
}
