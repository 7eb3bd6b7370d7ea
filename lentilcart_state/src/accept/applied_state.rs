use std::sync::Arc;

use lentilcart_util::{Map, Name, common};

use super::head::{TicketIndex, TicketRef};
use crate::ticket::{Service, Ticket};

common! { message,
    /// An accepted ticket with its number and id.
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
    /// The state that the accepted tickets up to a number describe.
    #[derive(Default)]
    pub struct AppliedState {
        /// Number of the latest ticket applied.
        pub number: u64,
        /// Id of the latest ticket applied.
        pub id: Name,
        /// Every service, with the ticket that set it.
        pub services: Map<Name, (TicketRef, Arc<Service>)>,
    }
}

impl AppliedState {
    /// Applies the next ticket; returns whether it was the next one.
    ///
    /// **NOTE:** A ticket with any other number changes nothing, so that the state never goes back.
    pub fn apply(&mut self, next: &NumberedTicket) -> bool {
        if next.number != self.number + 1 {
            return false;
        }
        let touched = TicketRef {
            number: next.number,
            id: next.id.clone(),
        };
        for service in &next.ticket.services {
            let row = (touched.clone(), Arc::new(service.clone()));
            self.services.insert(service.name.clone(), row);
        }
        for name in &next.ticket.removed {
            self.services.remove(name);
        }
        self.number = next.number;
        self.id = next.id.clone();
        true
    }

    /// Takes another entry's state if its number is higher; returns whether it was taken.
    pub fn replace_if_newer(&mut self, other: Self) -> bool {
        let newer = other.number > self.number;
        if newer {
            *self = other;
        }
        newer
    }

    /// Returns the index from service to its last ticket.
    #[must_use]
    pub fn get_ticket_index(&self) -> TicketIndex {
        let row = |(name, (touched, _)): (&Name, &(TicketRef, _))| (name.clone(), touched.clone());
        TicketIndex {
            number: self.number,
            services: self.services.iter().map(row).collect(),
        }
    }
}
