use std::fmt;
use std::sync::Arc;

use lentilcart_util::{Micros, Name};

use super::catch_up::body;
use super::diff::diff_tickets;
use super::head::{HEAD_KEY, Head, MAX_INLINE_BYTES, encode, number_key, ticket_key};
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest};
use crate::ticket::Ticket;

const FIRST_WAIT: Micros = Micros::from_millis(50);
const MAX_WAIT: Micros = Micros::from_millis(1600);

/// A ticket was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedTicket {
    /// Number that it was given.
    pub number: u64,
    /// Its id.
    pub id: Name,
}

/// The ticket that was accepted first, where two touch the same service.
#[derive(Debug, Clone)]
pub struct TicketConflict {
    /// Number of the accepted ticket.
    pub number: u64,
    /// Its id.
    pub id: Name,
    /// Its operator's remark.
    pub note: String,
    /// Services that both touch.
    pub services: Vec<Name>,
    /// How the refused ticket differs from the accepted one.
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

/// Submits one ticket: settles lost answers by the ticket's id, and moves past tickets that
/// touch other services.
#[derive(Debug)]
pub struct TicketSubmission {
    id: Name,
    ticket: Arc<Ticket>,
    attempts: u32,
    wait: Micros,
    unsettled: bool,
    head: Head,
    version: u64,
    checked: u64,
    stage: Stage,
}

#[derive(Debug, Clone)]
enum Stage {
    Head,
    Number,
    Rival(Name),
    Record,
    Body,
    Swap,
}

type Outcome = ProtocolStep<Result<AcceptedTicket, StateError>>;

impl TicketSubmission {
    /// Prepares a submission that gives up after `attempts` answers in a row were lost.
    #[must_use]
    pub fn new(id: Name, ticket: Arc<Ticket>, attempts: u32) -> Self {
        Self {
            id,
            attempts,
            wait: FIRST_WAIT,
            unsettled: false,
            head: Head::default(),
            version: 0,
            checked: ticket.base,
            ticket,
            stage: Stage::Head,
        }
    }

    /// Takes the answer to the last request and returns what is needed next.
    pub fn step(&mut self, reply: Option<KvReply>) -> Outcome {
        match reply {
            None => ProtocolStep::Request(self.ask()),
            Some(KvReply::Lost(reason)) => self.lost(reason),
            Some(reply) => {
                self.wait = FIRST_WAIT;
                self.take(reply)
                    .unwrap_or_else(|error| ProtocolStep::Done(Err(error)))
            }
        }
    }

    fn ask(&self) -> KvRequest {
        match &self.stage {
            Stage::Head => KvRequest::Get {
                key: HEAD_KEY.into(),
            },
            Stage::Number => KvRequest::Get {
                key: number_key(self.checked + 1),
            },
            Stage::Rival(id) => KvRequest::Get {
                key: ticket_key(id),
            },
            Stage::Record => create(number_key(self.head.number), self.head.id.to_string()),
            Stage::Body => create(ticket_key(&self.id), encode(&*self.ticket)),
            Stage::Swap => {
                let is_small = encode(&*self.ticket).len() <= MAX_INLINE_BYTES;
                let next = Head {
                    number: self.head.number + 1,
                    id: self.id.clone(),
                    ticket: is_small.then(|| self.ticket.clone()),
                };
                KvRequest::CompareAndSwap {
                    key: HEAD_KEY.into(),
                    expected_version: self.version,
                    value: encode(&next),
                }
            }
        }
    }

    fn take(&mut self, reply: KvReply) -> Result<Outcome, StateError> {
        match (self.stage.clone(), reply) {
            (Stage::Head, KvReply::Value(stored)) => {
                (self.head, self.version) = Head::from_stored(stored.as_ref())?;
                match self.head.number {
                    number if self.head.id == self.id => Ok(self.accepted(number)),
                    number if number < self.ticket.base => {
                        Err(StateError::BaseAhead(self.ticket.base, number))
                    }
                    _ => Ok(self.next_rival()),
                }
            }
            (Stage::Number, KvReply::Value(Some(stored))) => Ok(self.rival(stored.value.into())),
            (Stage::Rival(id), KvReply::Value(stored)) => {
                let rival = body(&id, stored)?;
                self.checked += 1;
                match self.conflict(id, &rival) {
                    Some(conflict) => Err(StateError::Conflict(Box::new(conflict))),
                    None => Ok(self.next_rival()),
                }
            }
            (Stage::Record, KvReply::Swapped(_) | KvReply::Refused(Some(_))) => {
                Ok(self.goto(Stage::Body))
            }
            (Stage::Body, KvReply::Swapped(_)) => Ok(self.goto(Stage::Swap)),
            (Stage::Body, KvReply::Refused(Some(stored))) => {
                if stored.value == encode(&*self.ticket) {
                    Ok(self.goto(Stage::Swap))
                } else {
                    Err(StateError::DuplicateId(self.id.to_string()))
                }
            }
            (Stage::Swap, KvReply::Swapped(_)) => Ok(self.accepted(self.head.number + 1)),
            (Stage::Swap, KvReply::Refused(_)) => Ok(self.goto(Stage::Head)),
            (stage, reply) => {
                let key = format!("{stage:?}");
                Err(StateError::Corrupt(
                    key,
                    format!("unexpected answer {reply:?}"),
                ))
            }
        }
    }

    /// Checks the tickets accepted since the base, one after another, then goes on to write.
    fn next_rival(&mut self) -> Outcome {
        match self.head.number {
            0 => self.goto(Stage::Body),
            number if self.checked == number => self.goto(Stage::Record),
            number if self.checked + 1 == number => self.rival(self.head.id.clone()),
            _ => self.goto(Stage::Number),
        }
    }

    fn rival(&mut self, id: Name) -> Outcome {
        if id == self.id {
            self.accepted(self.checked + 1)
        } else {
            self.goto(Stage::Rival(id))
        }
    }

    fn conflict(&self, id: Name, rival: &Ticket) -> Option<TicketConflict> {
        let touched: Vec<&Name> = rival.get_service_names().collect();
        let services: Vec<Name> = self
            .ticket
            .get_service_names()
            .filter(|name| touched.contains(name))
            .cloned()
            .collect();
        (!services.is_empty()).then(|| TicketConflict {
            number: self.checked,
            id,
            note: rival.note.clone(),
            services,
            difference: diff_tickets(rival, &self.ticket),
        })
    }

    fn lost(&mut self, reason: String) -> Outcome {
        self.unsettled |= matches!(self.stage, Stage::Swap);
        if self.attempts == 0 {
            let error = if self.unsettled {
                StateError::OutcomeUnknown(self.id.to_string(), reason)
            } else {
                StateError::Unreachable(reason)
            };
            return ProtocolStep::Done(Err(error));
        }
        self.attempts -= 1;
        let wait = self.wait;
        self.wait = MAX_WAIT.min(wait + wait);
        if matches!(self.stage, Stage::Swap) {
            self.stage = Stage::Head;
        }
        ProtocolStep::Wait(wait)
    }

    fn goto(&mut self, stage: Stage) -> Outcome {
        self.stage = stage;
        ProtocolStep::Request(self.ask())
    }

    fn accepted(&self, number: u64) -> Outcome {
        ProtocolStep::Done(Ok(AcceptedTicket {
            number,
            id: self.id.clone(),
        }))
    }
}

fn create(key: Name, value: String) -> KvRequest {
    KvRequest::CompareAndSwap {
        key,
        expected_version: 0,
        value,
    }
}
