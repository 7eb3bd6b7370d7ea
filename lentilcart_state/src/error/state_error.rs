use quick_error::quick_error;

use crate::TicketConflict;

quick_error! {
    /// Errors of the protocols over the platform's key-value service.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum StateError {
        /// Another ticket that sets or removes the same service was accepted first.
        Conflict(conflict: Box<TicketConflict>) {
            display("{conflict}")
        }
        /// The ticket's base is a number that no ticket was accepted with yet.
        BaseAhead(base: u64, number: u64) {
            display("base = {base}: the latest accepted ticket is {number}; write the ticket against {number}")
        }
        /// The platform did not answer, and nothing was accepted.
        Unreachable(reason: String) {
            display("the platform did not answer: {reason}; nothing was accepted, submit again")
        }
        /// The answers of the platform were lost, so that the ticket may or may not be accepted.
        OutcomeUnknown(id: String, reason: String) {
            display("the platform did not say whether the ticket was accepted: {reason}; submit it again with --id {id} to find out")
        }
        /// Another ticket was submitted under the same id.
        DuplicateId(id: String) {
            display("--id {id}: another ticket was submitted under this id; leave it out to get a new one")
        }
        /// The stored value of a key is missing or cannot be decoded.
        Corrupt(key: String, reason: String) {
            display("the platform's value of {key} cannot be read: {reason}")
        }
    }
}
