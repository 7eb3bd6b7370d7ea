use std::sync::Arc;

use lentilcart_util::{Map, Name, common};

use super::head::{TicketIndex, TicketRef};
use crate::ticket::{Service, Ticket};

common! { message,
    /// An accepted ticket with the number it was given and its id.
    pub struct NumberedTicket {
        /// Number of the ticket.
        pub number: u64,
        /// Id of the ticket.
        pub id: Name,
        /// The ticket.
        pub ticket: Arc<Ticket>,
    }
}

common! { message,
    /// The services as set by all accepted tickets up to a number.
    #[derive(Default)]
    pub struct AppliedState {
        /// Number of the latest ticket applied; 0 where none was.
        pub number: u64,
        /// Id of the latest ticket applied; empty at number 0 and directly after a restore from the
        /// snapshot, where `number` is that of the snapshot.
        pub id: Name,
        /// Services by name, each with the ticket that last set it.
        pub services: Map<Name, (TicketRef, Arc<Service>)>,
    }
}

impl AppliedState {
    /// Applies the ticket whose number follows the state's; returns whether it was applied.
    ///
    /// **NOTE:** A ticket with any other number changes nothing, so that the state never returns to
    /// an earlier number.
    pub fn apply(&mut self, next: &NumberedTicket) -> bool {
        if next.number != self.number + 1 {
            return false;
        }
        let ticket_ref = TicketRef {
            number: next.number,
            id: next.id.clone(),
        };
        for service in &next.ticket.services {
            let value = (ticket_ref.clone(), Arc::new(service.clone()));
            self.services.insert(service.name.clone(), value);
        }
        for name in &next.ticket.removed {
            self.services.remove(name);
        }
        self.number = next.number;
        self.id = next.id.clone();
        true
    }

    /// Replaces this state by another entry's if that has a higher number; returns whether it did.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let is_newer = other.number > self.number;
        if is_newer {
            *self = other;
        }
        is_newer
    }

    /// Returns the index from each service to the ticket that last set it.
    #[must_use]
    pub fn get_ticket_index(&self) -> TicketIndex {
        let to_ref =
            |(name, (ticket_ref, _)): (&Name, &(TicketRef, _))| (name.clone(), ticket_ref.clone());
        TicketIndex {
            number: self.number,
            services: self.services.iter().map(to_ref).collect(),
        }
    }
}
