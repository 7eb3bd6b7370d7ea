use std::net::SocketAddr;
use std::sync::Arc;

use lentilcart_route::Outcome;
use lentilcart_util::{Micros, Name};
use tokio::sync::mpsc::UnboundedSender;

use super::desk::Desk;
use crate::peer::Message;

/// An attempt that may be sent to a server; ends as cancelled when it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    pub(crate) address: SocketAddr,
    /// Identifier that the server answers to; empty where it has none.
    pub(crate) id: Name,
    /// Time after which a hedge of the attempt is due.
    pub(crate) hedge_after: Option<Micros>,
    lender: Lender,
    ended: bool,
}

#[derive(Debug)]
enum Lender {
    Desk {
        desk: Arc<Desk>,
        job: u64,
        server: usize,
    },
    Link {
        outbox: UnboundedSender<Message>,
        id: u64,
    },
}

impl Lease {
    /// Creates a lease of this entry's own desk.
    pub(crate) fn of_desk(desk: Arc<Desk>, job: u64, server: usize) -> Self {
        let (config, hedge_after) = desk.look(|pool| {
            let config = pool.get_row(server).map(lentilcart_route::Row::get_config);
            (config.cloned(), pool.get_hedge_delay())
        });
        let (address, id) = config.map_or_else(
            || (SocketAddr::from(([0, 0, 0, 0], 0)), Name::default()),
            |config| (config.address, config.id),
        );
        Self {
            address,
            id,
            hedge_after,
            lender: Lender::Desk { desk, job, server },
            ended: false,
        }
    }

    /// Creates a lease that another entry granted.
    pub(crate) fn of_link(
        outbox: UnboundedSender<Message>,
        id: u64,
        address: SocketAddr,
        hedge_after: Option<Micros>,
    ) -> Self {
        Self {
            address,
            id: Name::default(),
            hedge_after,
            lender: Lender::Link { outbox, id },
            ended: false,
        }
    }

    /// Returns the row of the server, where this entry gave it.
    pub(crate) fn get_server(&self) -> Option<usize> {
        match &self.lender {
            Lender::Desk { server, .. } => Some(*server),
            Lender::Link { .. } => None,
        }
    }

    /// Ends the attempt.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.settle(outcome);
    }

    fn settle(&mut self, outcome: Outcome) {
        self.ended = true;
        match &self.lender {
            Lender::Desk { desk, job, server } => desk.settle(*job, *server, outcome),
            Lender::Link { outbox, id } => {
                outbox.send(Message::Settle(*id, outcome)).ok();
            }
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.ended {
            self.settle(Outcome::Cancelled);
        }
    }
}
