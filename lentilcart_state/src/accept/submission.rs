use std::fmt;
use std::sync::Arc;

use lentilcart_util::{Micros, Name};

use super::catch_up::decode_body;
use super::diff::diff_tickets;
use super::head::{HEAD_KEY, Head, MAX_INLINE_BYTES, encode, number_key, ticket_key};
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest};
use crate::ticket::Ticket;

/// Backoff after the first lost answer in a row; it doubles with each further one.
const MIN_BACKOFF: Micros = Micros::from_millis(50);
/// Longest backoff after a lost answer.
const MAX_BACKOFF: Micros = Micros::from_millis(1600);

/// Number and id of a ticket that was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SubmissionReceipt {
    /// Number that the ticket was given.
    pub number: u64,
    /// Id of the ticket.
    pub id: Name,
}

/// The accepted ticket for which another one was refused, since both set or remove the same
/// service.
#[derive(Debug, Clone)]
pub struct TicketConflict {
    /// Number of the accepted ticket.
    pub number: u64,
    /// Id of the accepted ticket.
    pub id: Name,
    /// Remark of the operator who submitted the accepted ticket.
    pub note: String,
    /// Services that both tickets set or remove.
    pub services: Vec<Name>,
    /// Differences from the accepted to the refused ticket, one line for each field.
    pub difference: Vec<String>,
}

impl fmt::Display for TicketConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.services.iter().map(Name::as_str).collect();
        let Self {
            number, id, note, ..
        } = self;
        write!(
            f,
            "refused: ticket {number} ({id}, {note:?}) was accepted first and also sets "
        )?;
        write!(f, "{}; write yours against {number}", names.join(", "))?;
        self.difference
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// Submits one ticket.
///
/// Where the answer to the write of the head was lost, the protocol finds out by the ticket's id
/// whether the ticket was accepted. Tickets that were accepted since the ticket's base and set or
/// remove other services do not prevent its acceptance.
#[derive(Debug)]
pub struct TicketSubmission {
    id: Name,
    ticket: Arc<Ticket>,
    /// Number of further lost answers that are tolerated.
    retries: u32,
    /// Wait after the next lost answer.
    backoff: Micros,
    /// Whether the answer to a write of the head was lost, so that the ticket may be accepted.
    may_be_accepted: bool,
    /// Head as last read.
    head: Head,
    /// Version of the head's key as last read.
    head_version: u64,
    /// Number up to which the accepted tickets were checked for conflicts.
    checked_number: u64,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    /// Reads the head.
    Head,
    /// Reads the id of the next ticket to check.
    Number,
    /// Reads the body of an accepted ticket by its id and checks it for conflicts.
    Accepted(Name),
    /// Writes the id of the head's ticket under its number, if it is absent.
    Record,
    /// Writes the body of the submitted ticket, if it is absent.
    Body,
    /// Writes the head by compare-and-swap, which accepts the ticket.
    Swap,
}

type SubmissionStep = ProtocolStep<Result<SubmissionReceipt, StateError>>;

impl TicketSubmission {
    /// Creates the protocol for a ticket and the id that its submitter gives it.
    ///
    /// A request whose answer is lost is tried again, `retries` times in the whole submission.
    #[must_use]
    pub fn new(id: Name, ticket: Arc<Ticket>, retries: u32) -> Self {
        Self {
            id,
            retries,
            backoff: MIN_BACKOFF,
            may_be_accepted: false,
            head: Head::default(),
            head_version: 0,
            checked_number: ticket.base,
            ticket,
            stage: Stage::Head,
        }
    }

    /// Processes the reply to the last request, `None` at the start and after a wait, and returns
    /// what is needed next.
    pub fn step(&mut self, reply: Option<KvReply>) -> SubmissionStep {
        match reply {
            None => ProtocolStep::Request(self.get_request()),
            Some(KvReply::Lost(reason)) => self.handle_lost_answer(reason),
            Some(reply) => {
                self.backoff = MIN_BACKOFF;
                self.handle_reply(reply)
                    .unwrap_or_else(|error| ProtocolStep::Done(Err(error)))
            }
        }
    }

    /// Returns the request of the current stage.
    fn get_request(&self) -> KvRequest {
        match &self.stage {
            Stage::Head => KvRequest::Get {
                key: HEAD_KEY.into(),
            },
            Stage::Number => KvRequest::Get {
                key: number_key(self.checked_number + 1),
            },
            Stage::Accepted(id) => KvRequest::Get {
                key: ticket_key(id),
            },
            Stage::Record => {
                create_if_absent(number_key(self.head.number), self.head.id.to_string())
            }
            Stage::Body => create_if_absent(ticket_key(&self.id), encode(&*self.ticket)),
            Stage::Swap => {
                let is_small = encode(&*self.ticket).len() <= MAX_INLINE_BYTES;
                let next = Head {
                    number: self.head.number + 1,
                    id: self.id.clone(),
                    ticket: is_small.then(|| self.ticket.clone()),
                };
                KvRequest::CompareAndSwap {
                    key: HEAD_KEY.into(),
                    expected_version: self.head_version,
                    value: encode(&next),
                }
            }
        }
    }

    /// Processes a reply that is not a lost answer.
    fn handle_reply(&mut self, reply: KvReply) -> Result<SubmissionStep, StateError> {
        match (self.stage.clone(), reply) {
            (Stage::Head, KvReply::Value(stored)) => {
                (self.head, self.head_version) = Head::from_stored(stored.as_ref())?;
                match self.head.number {
                    number if self.head.id == self.id => Ok(self.finish(number)),
                    number if number < self.ticket.base => {
                        Err(StateError::BaseAhead(self.ticket.base, number))
                    }
                    _ => Ok(self.check_next()),
                }
            }
            (Stage::Number, KvReply::Value(Some(stored))) => {
                Ok(self.check_accepted(stored.value.into()))
            }
            (Stage::Accepted(id), KvReply::Value(stored)) => {
                let accepted = decode_body(&id, stored)?;
                self.checked_number += 1;
                match self.get_conflict(id, &accepted) {
                    Some(conflict) => Err(StateError::Conflict(Box::new(conflict))),
                    None => Ok(self.check_next()),
                }
            }
            (Stage::Record, KvReply::Swapped(_) | KvReply::Refused(Some(_))) => {
                Ok(self.enter(Stage::Body))
            }
            (Stage::Body, KvReply::Swapped(_)) => Ok(self.enter(Stage::Swap)),
            (Stage::Body, KvReply::Refused(Some(stored))) => {
                if stored.value == encode(&*self.ticket) {
                    Ok(self.enter(Stage::Swap))
                } else {
                    Err(StateError::DuplicateId(self.id.to_string()))
                }
            }
            (Stage::Swap, KvReply::Swapped(_)) => Ok(self.finish(self.head.number + 1)),
            (Stage::Swap, KvReply::Refused(_)) => Ok(self.enter(Stage::Head)),
            (stage, reply) => {
                let key = format!("{stage:?}");
                Err(StateError::Corrupt(
                    key,
                    format!("unexpected answer {reply:?}"),
                ))
            }
        }
    }

    /// Goes on with the next accepted ticket that is not checked yet, or with the writes where all
    /// tickets since the base are checked.
    fn check_next(&mut self) -> SubmissionStep {
        match self.head.number {
            0 => self.enter(Stage::Body),
            number if self.checked_number == number => self.enter(Stage::Record),
            number if self.checked_number + 1 == number => {
                self.check_accepted(self.head.id.clone())
            }
            _ => self.enter(Stage::Number),
        }
    }

    /// Goes on with an accepted ticket: reads its body, or ends where it is the submitted ticket.
    fn check_accepted(&mut self, id: Name) -> SubmissionStep {
        if id == self.id {
            self.finish(self.checked_number + 1)
        } else {
            self.enter(Stage::Accepted(id))
        }
    }

    /// Returns the conflict with an accepted ticket, `None` where both set and remove different
    /// services.
    fn get_conflict(&self, id: Name, accepted: &Ticket) -> Option<TicketConflict> {
        let accepted_names: Vec<&Name> = accepted.get_service_names().collect();
        let services: Vec<Name> = self
            .ticket
            .get_service_names()
            .filter(|name| accepted_names.contains(name))
            .cloned()
            .collect();
        (!services.is_empty()).then(|| TicketConflict {
            number: self.checked_number,
            id,
            note: accepted.note.clone(),
            services,
            difference: diff_tickets(accepted, &self.ticket),
        })
    }

    /// Ends after too many lost answers; otherwise waits and repeats the request. After a write of
    /// the head it reads the head again instead, which shows whether the write took effect.
    fn handle_lost_answer(&mut self, reason: String) -> SubmissionStep {
        self.may_be_accepted |= matches!(self.stage, Stage::Swap);
        if self.retries == 0 {
            let error = if self.may_be_accepted {
                StateError::OutcomeUnknown(self.id.to_string(), reason)
            } else {
                StateError::Unreachable(reason)
            };
            return ProtocolStep::Done(Err(error));
        }
        self.retries -= 1;
        let backoff = self.backoff;
        self.backoff = MAX_BACKOFF.min(backoff + backoff);
        if matches!(self.stage, Stage::Swap) {
            self.stage = Stage::Head;
        }
        ProtocolStep::Wait(backoff)
    }

    /// Enters a stage and returns its request.
    fn enter(&mut self, stage: Stage) -> SubmissionStep {
        self.stage = stage;
        ProtocolStep::Request(self.get_request())
    }

    /// Ends with the number under which the ticket was accepted.
    fn finish(&self, number: u64) -> SubmissionStep {
        ProtocolStep::Done(Ok(SubmissionReceipt {
            number,
            id: self.id.clone(),
        }))
    }
}

/// Returns the request that writes a key if it does not exist.
fn create_if_absent(key: Name, value: String) -> KvRequest {
    KvRequest::CompareAndSwap {
        key,
        expected_version: 0,
        value,
    }
}
