use std::cmp::Ordering;
use std::sync::Arc;

use lentilcart_util::{Map, Name, Set};

use super::applied_state::{AppliedState, NumberedTicket};
use super::head::{
    HEAD_KEY, Head, SNAPSHOT_INTERVAL, SNAPSHOT_KEY, TicketIndex, TicketRef, decode, number_key,
    ticket_key,
};
use super::protocol_step::ProtocolStep;
use crate::error::StateError;
use crate::platform::{KvReply, KvRequest, VersionedValue};
use crate::ticket::Ticket;

/// Brings a state up to the head that the platform stores.
///
/// Reads the missing tickets one by one, or starts from the snapshot where more than a snapshot
/// interval of them is missing.
#[derive(Debug)]
pub struct CatchUp {
    state: AppliedState,
    /// Tickets applied one by one, in their order.
    applied: Vec<NumberedTicket>,
    /// Head that the state is brought up to.
    head: Head,
    stage: Stage,
}

/// Request in progress.
#[derive(Debug)]
enum Stage {
    /// Nothing was requested yet, or the protocol has ended.
    Start,
    /// Nothing was requested yet, and the stored head is known already.
    HeadKnown(VersionedValue),
    /// Reading the head.
    ReadHead,
    /// Reading the ticket index under [`SNAPSHOT_KEY`].
    ReadIndex,
    /// Reading the body of the last of `missing`, a ticket that the index names.
    ReadIndexedBody {
        index: TicketIndex,
        /// Ids of the tickets whose bodies are still to be read.
        missing: Vec<Name>,
        /// Tickets read so far, by id.
        bodies: Map<Name, Arc<Ticket>>,
    },
    /// Reading the id of the ticket that follows the state.
    ReadNumber,
    /// Reading the body of the ticket with this id, which follows the state.
    ReadBody(Name),
}

impl CatchUp {
    /// Creates a state machine that brings `state` up to date. `head` is the stored head where it is
    /// known already, which saves reading it.
    #[must_use]
    pub fn new(state: AppliedState, head: Option<VersionedValue>) -> Self {
        Self {
            state,
            applied: Vec::new(),
            head: Head::default(),
            stage: head.map_or(Stage::Start, Stage::HeadKnown),
        }
    }

    /// Processes the reply to the last request, `None` at the start, and returns what is needed
    /// next.
    ///
    /// Ends with the state reached and the tickets that were applied one by one, in their order;
    /// tickets that the snapshot covers are not among them. Never returns [`ProtocolStep::Wait`].
    pub fn step(
        &mut self,
        reply: Option<KvReply>,
    ) -> ProtocolStep<Result<(AppliedState, Vec<NumberedTicket>), StateError>> {
        match self.advance(reply) {
            Ok(Some(request)) => ProtocolStep::Request(request),
            Ok(None) => {
                let applied = std::mem::take(&mut self.applied);
                ProtocolStep::Done(Ok((std::mem::take(&mut self.state), applied)))
            }
            Err(error) => ProtocolStep::Done(Err(error)),
        }
    }

    /// Processes a reply and returns the next request, `None` where the head is reached.
    fn advance(&mut self, reply: Option<KvReply>) -> Result<Option<KvRequest>, StateError> {
        let stored = match reply {
            None => None,
            Some(KvReply::Value(stored)) => stored,
            Some(KvReply::Lost(reason)) => return Err(StateError::Unreachable(reason)),
            Some(other) => return Err(StateError::Unreachable(format!("unexpected {other:?}"))),
        };
        match std::mem::replace(&mut self.stage, Stage::Start) {
            Stage::Start => Ok(Some(self.request(Stage::ReadHead, HEAD_KEY.into()))),
            Stage::HeadKnown(head) => self.handle_head(Some(&head)),
            Stage::ReadHead => self.handle_head(stored.as_ref()),
            Stage::ReadIndex => {
                let index: TicketIndex = match stored {
                    Some(stored) => decode(SNAPSHOT_KEY, &stored.value)?,
                    None => TicketIndex::default(),
                };
                if index.number > self.state.number {
                    self.request_index_body(index, None, Map::default())
                } else {
                    Ok(self.request_next())
                }
            }
            Stage::ReadIndexedBody {
                index,
                mut missing,
                mut bodies,
            } => {
                let id = missing.pop().unwrap_or_default();
                bodies.insert(id.clone(), Arc::new(decode_body(&id, stored)?));
                self.request_index_body(index, Some(missing), bodies)
            }
            Stage::ReadNumber => {
                let key = number_key(self.state.number + 1);
                let stored = stored.ok_or_else(|| missing_key(&key))?;
                Ok(Some(self.request_body(stored.value.into())))
            }
            Stage::ReadBody(id) => {
                let ticket = Arc::new(decode_body(&id, stored)?);
                self.apply(id, ticket);
                Ok(self.request_next())
            }
        }
    }

    /// Takes the stored head as the goal and returns the first request towards it, `None` where the state is
    /// up to date.
    fn handle_head(
        &mut self,
        stored: Option<&VersionedValue>,
    ) -> Result<Option<KvRequest>, StateError> {
        (self.head, _) = Head::from_stored(stored)?;
        match self.head.number.saturating_sub(self.state.number) {
            gap if gap > SNAPSHOT_INTERVAL => {
                Ok(Some(self.request(Stage::ReadIndex, SNAPSHOT_KEY.into())))
            }
            _ => Ok(self.request_next()),
        }
    }

    /// Applies the ticket that follows the state.
    fn apply(&mut self, id: Name, ticket: Arc<Ticket>) {
        let number = self.state.number + 1;
        let next = NumberedTicket { number, id, ticket };
        self.state.apply(&next);
        self.applied.push(next);
    }

    /// Returns the request for the ticket that follows the state, `None` where the head is reached.
    ///
    /// The id of any but the latest ticket is read by its number. The latest one is named by the
    /// head, which may hold the ticket itself.
    fn request_next(&mut self) -> Option<KvRequest> {
        let next = self.state.number + 1;
        match (next.cmp(&self.head.number), self.head.ticket.clone()) {
            (Ordering::Greater, _) => None,
            (Ordering::Less, _) => Some(self.request(Stage::ReadNumber, number_key(next))),
            (Ordering::Equal, None) => Some(self.request_body(self.head.id.clone())),
            (Ordering::Equal, Some(ticket)) => {
                self.apply(self.head.id.clone(), ticket);
                None
            }
        }
    }

    /// Returns the request for the next ticket that the index names; after the last one, restores
    /// the state and goes on ticket by ticket.
    ///
    /// Starts with all tickets of the index where `missing` is `None`.
    fn request_index_body(
        &mut self,
        index: TicketIndex,
        missing: Option<Vec<Name>>,
        bodies: Map<Name, Arc<Ticket>>,
    ) -> Result<Option<KvRequest>, StateError> {
        let missing = missing.unwrap_or_else(|| {
            let ids: Set<Name> = index.services.values().map(|t| t.id.clone()).collect();
            ids.into_iter().collect()
        });
        if let Some(id) = missing.last() {
            let key = ticket_key(id);
            return Ok(Some(self.request(
                Stage::ReadIndexedBody {
                    index,
                    missing,
                    bodies,
                },
                key,
            )));
        }
        self.state = restore_state(&index, &bodies)?;
        self.applied.clear();
        Ok(self.request_next())
    }

    fn request_body(&mut self, id: Name) -> KvRequest {
        let key = ticket_key(&id);
        self.request(Stage::ReadBody(id), key)
    }

    fn request(&mut self, stage: Stage, key: Name) -> KvRequest {
        self.stage = stage;
        KvRequest::Get { key }
    }
}

/// Returns the state that an index describes, from the tickets that it names.
///
/// # Errors
///
/// Fails where one of these tickets is missing or does not set the service.
fn restore_state(
    index: &TicketIndex,
    bodies: &Map<Name, Arc<Ticket>>,
) -> Result<AppliedState, StateError> {
    let find_service = |(name, ticket_ref): (&Name, &TicketRef)| {
        let ticket = bodies.get(&ticket_ref.id);
        let service = ticket.and_then(|t| t.services.iter().find(|s| s.name == *name));
        let service = service.ok_or_else(|| {
            StateError::Corrupt(
                ticket_key(&ticket_ref.id).to_string(),
                format!("it does not set service {name}, which the snapshot names"),
            )
        })?;
        Ok((
            name.clone(),
            (ticket_ref.clone(), Arc::new(service.clone())),
        ))
    };
    let services = index
        .services
        .iter()
        .map(find_service)
        .collect::<Result<_, StateError>>()?;
    Ok(AppliedState {
        number: index.number,
        id: Name::default(),
        services,
    })
}

/// Decodes the stored body of the ticket with an id.
///
/// # Errors
///
/// Fails where the body is missing or cannot be decoded.
pub(super) fn decode_body(id: &Name, stored: Option<VersionedValue>) -> Result<Ticket, StateError> {
    let key = ticket_key(id);
    decode(&key, &stored.ok_or_else(|| missing_key(&key))?.value)
}

/// Returns the error for a key that must exist and does not.
fn missing_key(key: &Name) -> StateError {
    StateError::Corrupt(key.to_string(), "it does not exist".to_owned())
}
