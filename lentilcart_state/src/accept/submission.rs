use std::fmt;
use std::sync::Arc;

use lentilcart_util::{Micros, Name};

use super::catch_up::decode_body;
use super::diff::diff_tickets;
use super::head::{HEAD_KEY, Head, MAX_INLINE_BYTES, encode, number_key, ticket_key};
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest, VersionedValue};
use crate::ticket::Ticket;

/// Backoff after the first lost reply in a row; it doubles with each further one.
const MIN_BACKOFF: Micros = Micros::from_millis(50);
/// Longest backoff after a lost reply.
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
            "refused: ticket {number} ({id}, {note:?}) was accepted first and also sets or removes "
        )?;
        write!(
            f,
            "{}; review the differences and set base = {number} or later",
            names.join(", ")
        )?;
        self.difference
            .iter()
            .try_for_each(|line| write!(f, "\n  {line}"))
    }
}

/// Submits one ticket.
///
/// Where the reply to the write of the head was lost, the protocol finds out by the ticket's id
/// whether the ticket was accepted. Tickets that were accepted since the ticket's base and set or
/// remove other services do not prevent its acceptance.
#[derive(Debug)]
pub struct TicketSubmission {
    id: Name,
    ticket: Arc<Ticket>,
    /// Number of lost replies in a row that are tolerated.
    max_retries: u32,
    /// Number of further lost replies in a row that are tolerated.
    remaining_retries: u32,
    /// Wait after the next lost reply.
    backoff: Micros,
    /// Whether the ticket may be accepted: the reply to a write of the head was lost, or a ticket with its id
    /// is accepted.
    may_be_accepted: bool,
    /// Whether the reply to the last write of the head was lost.
    is_write_lost: bool,
    /// Head as last read.
    head: Head,
    /// Version of the head's key as last read.
    head_version: u64,
    /// Number up to which the accepted tickets were checked for conflicts.
    checked_number: u64,
    stage: Stage,
}

/// Request in progress.
#[derive(Debug, Clone)]
enum Stage {
    /// Reading the head.
    ReadHead,
    /// Reading the id of the next ticket to check.
    ReadNumber,
    /// Reading the body of an accepted ticket by its id, to check it for conflicts.
    ReadAccepted(Name),
    /// Reading the body that was accepted under the submitted ticket's id, with this number.
    ReadOwn(u64),
    /// Writing the id of the head's ticket under its number, if it is absent.
    WriteNumber,
    /// Writing the body of the submitted ticket, if it is absent.
    WriteBody,
    /// Writing the head by compare-and-swap, which accepts the ticket.
    WriteHead,
}

type SubmissionStep = ProtocolStep<Result<SubmissionReceipt, StateError>>;

impl TicketSubmission {
    /// Creates a state machine that submits a ticket under the id that its submitter gives it.
    ///
    /// The submission tolerates `retries` lost replies in a row. After each it waits, then repeats the
    /// request; after a write of the head it reads the head instead, which does not end the row.
    #[must_use]
    pub fn new(id: Name, ticket: Arc<Ticket>, retries: u32) -> Self {
        Self {
            id,
            max_retries: retries,
            remaining_retries: retries,
            backoff: MIN_BACKOFF,
            may_be_accepted: false,
            is_write_lost: false,
            head: Head::default(),
            head_version: 0,
            checked_number: ticket.base,
            ticket,
            stage: Stage::ReadHead,
        }
    }

    /// Processes the reply to the last request, `None` at the start and after a wait, and returns
    /// what is needed next.
    pub fn step(&mut self, reply: Option<KvReply>) -> SubmissionStep {
        match reply {
            None => ProtocolStep::Request(self.get_request()),
            Some(KvReply::Lost(reason)) => self.handle_lost_reply(reason),
            Some(reply) => {
                self.end_losses();
                self.handle_reply(reply)
                    .unwrap_or_else(|error| ProtocolStep::Done(Err(self.qualify(error))))
            }
        }
    }

    /// Ends a row of lost replies. After a lost write of the head only the reply to another one does so:
    /// where each is lost while the reads between are answered, the submission would never end.
    fn end_losses(&mut self) {
        self.is_write_lost &= !matches!(self.stage, Stage::WriteHead);
        if !self.is_write_lost {
            self.remaining_retries = self.max_retries;
            self.backoff = MIN_BACKOFF;
        }
    }

    /// Returns the error for the submitter: what cannot be read may be what says that the ticket was
    /// accepted.
    fn qualify(&self, error: StateError) -> StateError {
        match error {
            StateError::Corrupt(..) if self.may_be_accepted => {
                StateError::OutcomeUnknown(self.id.to_string(), error.to_string())
            }
            error => error,
        }
    }

    /// Returns the request of the current stage.
    fn get_request(&self) -> KvRequest {
        match &self.stage {
            Stage::ReadHead => KvRequest::Get {
                key: HEAD_KEY.into(),
            },
            Stage::ReadNumber => KvRequest::Get {
                key: number_key(self.checked_number + 1),
            },
            Stage::ReadAccepted(id) => KvRequest::Get {
                key: ticket_key(id),
            },
            Stage::ReadOwn(_) => KvRequest::Get {
                key: ticket_key(&self.id),
            },
            Stage::WriteNumber => {
                create_if_absent(number_key(self.head.number), self.head.id.to_string())
            }
            Stage::WriteBody => create_if_absent(ticket_key(&self.id), encode(&*self.ticket)),
            Stage::WriteHead => {
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

    /// Processes any reply but a lost one.
    fn handle_reply(&mut self, reply: KvReply) -> Result<SubmissionStep, StateError> {
        match (self.stage.clone(), reply) {
            (Stage::ReadHead, KvReply::Value(stored)) => {
                (self.head, self.head_version) = Head::from_stored(stored.as_ref())?;
                match self.head.number {
                    number if self.head.id == self.id => Ok(self.read_own(number)),
                    number if number < self.ticket.base => {
                        Err(StateError::BaseAhead(self.ticket.base, number))
                    }
                    _ => Ok(self.check_next()),
                }
            }
            (Stage::ReadNumber, KvReply::Value(Some(stored))) => {
                Ok(self.check_accepted(stored.value.into()))
            }
            (Stage::ReadAccepted(id), KvReply::Value(stored)) => {
                let accepted = decode_body(&id, stored)?;
                self.checked_number += 1;
                match self.get_conflict(id, &accepted) {
                    Some(conflict) => Err(StateError::Conflict(Box::new(conflict))),
                    None => Ok(self.check_next()),
                }
            }
            (Stage::ReadOwn(number), KvReply::Value(Some(stored))) => {
                self.check_own_body(&stored)?;
                Ok(self.finish(number))
            }
            (Stage::WriteNumber, KvReply::Swapped(_) | KvReply::Refused(Some(_))) => {
                Ok(self.enter(Stage::WriteBody))
            }
            (Stage::WriteBody, KvReply::Swapped(_)) => Ok(self.enter(Stage::WriteHead)),
            (Stage::WriteBody, KvReply::Refused(Some(stored))) => {
                self.check_own_body(&stored)?;
                Ok(self.enter(Stage::WriteHead))
            }
            (Stage::WriteHead, KvReply::Swapped(_)) => Ok(self.finish(self.head.number + 1)),
            (Stage::WriteHead, KvReply::Refused(_)) => Ok(self.enter(Stage::ReadHead)),
            (stage, reply) => {
                let key = format!("{stage:?}");
                Err(StateError::Corrupt(
                    key,
                    format!("unexpected reply {reply:?}"),
                ))
            }
        }
    }

    /// Goes on with the next accepted ticket that is not checked yet, or with the writes where all
    /// tickets since the base are checked.
    fn check_next(&mut self) -> SubmissionStep {
        match self.head.number {
            0 => self.enter(Stage::WriteBody),
            number if self.checked_number == number => self.enter(Stage::WriteNumber),
            number if self.checked_number + 1 == number => {
                self.check_accepted(self.head.id.clone())
            }
            _ => self.enter(Stage::ReadNumber),
        }
    }

    /// Goes on with an accepted ticket: reads its body, to check it for conflicts, or to compare it where
    /// it has the id of the submitted one.
    fn check_accepted(&mut self, id: Name) -> SubmissionStep {
        if id == self.id {
            self.read_own(self.checked_number + 1)
        } else {
            self.enter(Stage::ReadAccepted(id))
        }
    }

    /// Goes on with the ticket that was accepted under the submitted one's id.
    fn read_own(&mut self, number: u64) -> SubmissionStep {
        self.may_be_accepted = true;
        self.enter(Stage::ReadOwn(number))
    }

    /// Fails where the body that is stored under the ticket's id is another one.
    fn check_own_body(&self, stored: &VersionedValue) -> Result<(), StateError> {
        if stored.value == encode(&*self.ticket) {
            Ok(())
        } else {
            Err(StateError::DuplicateId(self.id.to_string()))
        }
    }

    /// Returns the conflict with an accepted ticket, `None` where no service is in both tickets.
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

    /// Ends after too many lost replies; otherwise waits and repeats the request. After a write of
    /// the head it reads the head again instead, which shows whether the write took effect.
    fn handle_lost_reply(&mut self, reason: String) -> SubmissionStep {
        let is_write = matches!(self.stage, Stage::WriteHead);
        self.may_be_accepted |= is_write;
        self.is_write_lost |= is_write;
        if self.remaining_retries == 0 {
            let error = if self.may_be_accepted {
                StateError::OutcomeUnknown(self.id.to_string(), reason)
            } else {
                StateError::Unreachable(reason)
            };
            return ProtocolStep::Done(Err(error));
        }
        self.remaining_retries -= 1;
        let backoff = self.backoff;
        self.backoff = MAX_BACKOFF.min(backoff + backoff);
        if is_write {
            self.stage = Stage::ReadHead;
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
