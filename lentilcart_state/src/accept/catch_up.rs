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

/// Brings a state up to the platform's head, ticket by ticket or from the snapshot.
#[derive(Debug)]
pub struct CatchUp {
    state: AppliedState,
    applied: Vec<NumberedTicket>,
    head: Head,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Start,
    Known(VersionedValue),
    Head,
    Snapshot,
    Index {
        index: TicketIndex,
        wanted: Vec<Name>,
        bodies: Map<Name, Arc<Ticket>>,
    },
    Number,
    Body(Name),
}

impl CatchUp {
    /// Starts from a state and, where it is known, the stored head.
    #[must_use]
    pub fn new(state: AppliedState, head: Option<VersionedValue>) -> Self {
        Self {
            state,
            applied: Vec::new(),
            head: Head::default(),
            stage: head.map_or(Stage::Start, Stage::Known),
        }
    }

    /// Takes the answer to the last request and returns what is needed next.
    ///
    /// Ends with the state reached and the tickets applied one by one.
    pub fn step(
        &mut self,
        reply: Option<KvReply>,
    ) -> ProtocolStep<Result<(AppliedState, Vec<NumberedTicket>), StateError>> {
        match self.advance(reply) {
            Ok(Some(ask)) => ProtocolStep::Request(ask),
            Ok(None) => {
                let applied = std::mem::take(&mut self.applied);
                ProtocolStep::Done(Ok((std::mem::take(&mut self.state), applied)))
            }
            Err(error) => ProtocolStep::Done(Err(error)),
        }
    }

    fn advance(&mut self, reply: Option<KvReply>) -> Result<Option<KvRequest>, StateError> {
        let stored = match reply {
            None => None,
            Some(KvReply::Value(stored)) => stored,
            Some(KvReply::Lost(reason)) => return Err(StateError::Unreachable(reason)),
            Some(other) => return Err(StateError::Unreachable(format!("answered {other:?}"))),
        };
        match std::mem::replace(&mut self.stage, Stage::Start) {
            Stage::Start => Ok(Some(self.ask(Stage::Head, HEAD_KEY.into()))),
            Stage::Known(head) => self.take_head(Some(&head)),
            Stage::Head => self.take_head(stored.as_ref()),
            Stage::Snapshot => {
                let index: TicketIndex = match stored {
                    Some(stored) => decode(SNAPSHOT_KEY, &stored.value)?,
                    None => TicketIndex::default(),
                };
                if index.number > self.state.number {
                    self.next_body(index, None, Map::default())
                } else {
                    Ok(self.next_ticket())
                }
            }
            Stage::Index {
                index,
                mut wanted,
                mut bodies,
            } => {
                let id = wanted.pop().unwrap_or_default();
                bodies.insert(id.clone(), Arc::new(body(&id, stored)?));
                self.next_body(index, Some(wanted), bodies)
            }
            Stage::Number => {
                let key = number_key(self.state.number + 1);
                let stored = stored.ok_or_else(|| absent(&key))?;
                Ok(Some(self.ask_body(stored.value.into())))
            }
            Stage::Body(id) => {
                let ticket = Arc::new(body(&id, stored)?);
                self.apply(id, ticket);
                Ok(self.next_ticket())
            }
        }
    }

    fn take_head(
        &mut self,
        stored: Option<&VersionedValue>,
    ) -> Result<Option<KvRequest>, StateError> {
        (self.head, _) = Head::from_stored(stored)?;
        match self.head.number.saturating_sub(self.state.number) {
            gap if gap > SNAPSHOT_INTERVAL => {
                Ok(Some(self.ask(Stage::Snapshot, SNAPSHOT_KEY.into())))
            }
            _ => Ok(self.next_ticket()),
        }
    }

    fn apply(&mut self, id: Name, ticket: Arc<Ticket>) {
        let number = self.state.number + 1;
        let next = NumberedTicket { number, id, ticket };
        self.state.apply(&next);
        self.applied.push(next);
    }

    fn next_ticket(&mut self) -> Option<KvRequest> {
        let next = self.state.number + 1;
        match (next.cmp(&self.head.number), self.head.ticket.clone()) {
            (Ordering::Greater, _) => None,
            (Ordering::Less, _) => Some(self.ask(Stage::Number, number_key(next))),
            (Ordering::Equal, None) => Some(self.ask_body(self.head.id.clone())),
            (Ordering::Equal, Some(ticket)) => {
                self.apply(self.head.id.clone(), ticket);
                None
            }
        }
    }

    fn next_body(
        &mut self,
        index: TicketIndex,
        wanted: Option<Vec<Name>>,
        bodies: Map<Name, Arc<Ticket>>,
    ) -> Result<Option<KvRequest>, StateError> {
        let wanted = wanted.unwrap_or_else(|| {
            let ids: Set<Name> = index.services.values().map(|t| t.id.clone()).collect();
            ids.into_iter().collect()
        });
        if let Some(id) = wanted.last() {
            let key = ticket_key(id);
            return Ok(Some(self.ask(
                Stage::Index {
                    index,
                    wanted,
                    bodies,
                },
                key,
            )));
        }
        self.state = restore(&index, &bodies)?;
        self.applied.clear();
        Ok(self.next_ticket())
    }

    fn ask_body(&mut self, id: Name) -> KvRequest {
        let key = ticket_key(&id);
        self.ask(Stage::Body(id), key)
    }

    fn ask(&mut self, stage: Stage, key: Name) -> KvRequest {
        self.stage = stage;
        KvRequest::Get { key }
    }
}

fn restore(
    index: &TicketIndex,
    bodies: &Map<Name, Arc<Ticket>>,
) -> Result<AppliedState, StateError> {
    let row = |(name, touched): (&Name, &TicketRef)| {
        let ticket = bodies.get(&touched.id);
        let service = ticket.and_then(|t| t.services.iter().find(|s| s.name == *name));
        let service = service.ok_or_else(|| absent(&ticket_key(&touched.id)))?;
        Ok((name.clone(), (touched.clone(), Arc::new(service.clone()))))
    };
    let services = index
        .services
        .iter()
        .map(row)
        .collect::<Result<_, StateError>>()?;
    Ok(AppliedState {
        number: index.number,
        id: Name::default(),
        services,
    })
}

pub(super) fn body(id: &Name, stored: Option<VersionedValue>) -> Result<Ticket, StateError> {
    let key = ticket_key(id);
    decode(&key, &stored.ok_or_else(|| absent(&key))?.value)
}

fn absent(key: &Name) -> StateError {
    StateError::Corrupt(key.to_string(), "it does not exist".to_owned())
}
