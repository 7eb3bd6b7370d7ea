use std::net::SocketAddr;
use std::sync::Arc;

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Micros, Name};
use tokio::sync::mpsc::UnboundedSender;

use super::dispatcher::Dispatcher;
use crate::peer::Message;

/// What was known of a server when it was chosen.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SelectionInputs {
    /// How long work takes there, as a multiple of the usual time.
    pub(crate) slowdown: f64,
    /// Requests of this entry there, with the one that it was chosen for.
    pub(crate) own_requests: u32,
    /// Requests of others there, by its own report.
    pub(crate) other_requests: f64,
    /// Age of that report.
    pub(crate) report_age: Option<Micros>,
}

/// An attempt that may be sent to a server; ends as cancelled when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) address: SocketAddr,
    /// Identifier that the server answers to; empty where it has none.
    pub(crate) id: Name,
    /// Time after which a hedge of the attempt is due.
    pub(crate) hedge_after: Option<Micros>,
    /// What it was chosen by, where this entry chose.
    pub(crate) selection: SelectionInputs,
    lender: Lender,
    ended: bool,
}

#[derive(Debug)]
enum Lender {
    Dispatcher {
        desk: Arc<Dispatcher>,
        job: u64,
        server: usize,
    },
    Link {
        outbox: UnboundedSender<Message>,
        id: u64,
    },
    Remote(Remote),
}

/// Tells another entry how the attempt that it granted has ended.
struct Remote(Box<dyn FnMut(AttemptOutcome) + Send + Sync>);

impl std::fmt::Debug for Remote {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Remote")
    }
}

impl Permit {
    /// Creates a lease of this entry's own desk.
    pub(crate) fn from_dispatcher(desk: Arc<Dispatcher>, job: u64, server: usize) -> Self {
        let now = desk.get_now();
        let (config, hedge_after, selection) = desk.read_pool(|pool| {
            let row = pool.get_server_state(server);
            let config = row.map(lentilcart_route::ServerState::get_config);
            let work = pool.get_service_time().unwrap_or_default().0 as f64;
            let selection = row.map(|row| SelectionInputs {
                slowdown: row.get_slowdown(now),
                own_requests: row.get_outstanding(),
                other_requests: row.get_other_requests(now, work),
                report_age: row.get_report_age(now),
            });
            let selection = selection.unwrap_or_default();
            (config.cloned(), pool.get_hedge_delay(), selection)
        });
        let (address, id) = config.map_or_else(
            || (SocketAddr::from(([0, 0, 0, 0], 0)), Name::default()),
            |config| (config.address, config.id),
        );
        Self {
            address,
            id,
            hedge_after,
            selection,
            lender: Lender::Dispatcher { desk, job, server },
            ended: false,
        }
    }

    /// Creates a lease that another entry granted.
    pub(crate) fn from_link(
        outbox: UnboundedSender<Message>,
        id: u64,
        address: SocketAddr,
        hedge_after: Option<Micros>,
    ) -> Self {
        Self {
            address,
            id: Name::default(),
            hedge_after,
            selection: SelectionInputs::default(),
            lender: Lender::Link { outbox, id },
            ended: false,
        }
    }

    /// Creates a lease whose end is told by a function.
    pub(crate) fn with_callback(
        address: SocketAddr,
        id: Name,
        hedge_after: Option<Micros>,
        settle: impl FnMut(AttemptOutcome) + Send + Sync + 'static,
    ) -> Self {
        Self {
            address,
            id,
            hedge_after,
            selection: SelectionInputs::default(),
            lender: Lender::Remote(Remote(Box::new(settle))),
            ended: false,
        }
    }

    /// Returns the server's row, where this entry's own desk gave it.
    pub(crate) fn get_server_index(&self) -> Option<usize> {
        match self.lender {
            Lender::Dispatcher { server, .. } => Some(server),
            Lender::Link { .. } | Lender::Remote(_) => None,
        }
    }

    /// Ends the attempt.
    pub(crate) fn release(mut self, outcome: AttemptOutcome) {
        self.settle(outcome);
    }

    fn settle(&mut self, outcome: AttemptOutcome) {
        self.ended = true;
        match &mut self.lender {
            Lender::Remote(Remote(settle)) => settle(outcome),
            Lender::Dispatcher { desk, job, server } => desk.record_outcome(*job, *server, outcome),
            Lender::Link { outbox, id } => {
                outbox.send(Message::PermitRelease(*id, outcome)).ok();
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.ended {
            self.settle(AttemptOutcome::Cancelled);
        }
    }
}
