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
    /// How long service_time takes there, as a multiple of the usual time.
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
    source: PermitSource,
    is_released: bool,
}

#[derive(Debug)]
enum PermitSource {
    Dispatcher {
        dispatcher: Arc<Dispatcher>,
        request_id: u64,
        server: usize,
    },
    Link {
        outbox: UnboundedSender<Message>,
        id: u64,
    },
    Callback(ReleaseCallback),
}

/// Tells another entry how the attempt that it granted has is_released.
struct ReleaseCallback(Box<dyn FnMut(AttemptOutcome) + Send + Sync>);

impl std::fmt::Debug for ReleaseCallback {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ReleaseCallback")
    }
}

impl Permit {
    /// Creates a lease of this entry's own dispatcher.
    pub(crate) fn from_dispatcher(
        dispatcher: Arc<Dispatcher>,
        request_id: u64,
        server: usize,
    ) -> Self {
        let now = dispatcher.get_now();
        let (config, hedge_after, selection) = dispatcher.read_pool(|pool| {
            let state = pool.get_server_state(server);
            let config = state.map(lentilcart_route::ServerState::get_config);
            let service_time = pool.get_service_time().unwrap_or_default().0 as f64;
            let selection = state.map(|state| SelectionInputs {
                slowdown: state.get_slowdown(now),
                own_requests: state.get_outstanding(),
                other_requests: state.get_other_requests(now, service_time),
                report_age: state.get_report_age(now),
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
            source: PermitSource::Dispatcher {
                dispatcher,
                request_id,
                server,
            },
            is_released: false,
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
            source: PermitSource::Link { outbox, id },
            is_released: false,
        }
    }

    /// Creates a lease whose end is told by a function.
    pub(crate) fn with_callback(
        address: SocketAddr,
        id: Name,
        hedge_after: Option<Micros>,
        on_release: impl FnMut(AttemptOutcome) + Send + Sync + 'static,
    ) -> Self {
        Self {
            address,
            id,
            hedge_after,
            selection: SelectionInputs::default(),
            source: PermitSource::Callback(ReleaseCallback(Box::new(on_release))),
            is_released: false,
        }
    }

    /// Returns the server's state, where this entry's own dispatcher gave it.
    pub(crate) fn get_server_index(&self) -> Option<usize> {
        match self.source {
            PermitSource::Dispatcher { server, .. } => Some(server),
            PermitSource::Link { .. } | PermitSource::Callback(_) => None,
        }
    }

    /// Ends the attempt.
    pub(crate) fn release(mut self, outcome: AttemptOutcome) {
        self.send_outcome(outcome);
    }

    fn send_outcome(&mut self, outcome: AttemptOutcome) {
        self.is_released = true;
        match &mut self.source {
            PermitSource::Callback(ReleaseCallback(on_release)) => on_release(outcome),
            PermitSource::Dispatcher {
                dispatcher,
                request_id,
                server,
            } => dispatcher.record_outcome(*request_id, *server, outcome),
            PermitSource::Link { outbox, id } => {
                outbox.send(Message::PermitRelease(*id, outcome)).ok();
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.is_released {
            self.send_outcome(AttemptOutcome::Cancelled);
        }
    }
}
