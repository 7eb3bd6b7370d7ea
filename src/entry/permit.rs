use std::net::SocketAddr;
use std::sync::Arc;

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Micros, Name};
use tokio::sync::mpsc::UnboundedSender;

use super::dispatcher::Dispatcher;
use crate::peer::Message;

/// What was known of a server when it was selected; the `gateway` module writes it to the debug log
/// with the answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SelectionInputs {
    /// Slowdown factor: service time at the server as a multiple of the pool's base service time,
    /// which is estimated for an idle server with a factor of 1.
    pub(crate) slowdown: f64,
    /// Requests of this entry at the server, with the one that it was selected for.
    pub(crate) own_requests: u32,
    /// Requests of others at the server, estimated from its last load report.
    pub(crate) other_requests: f64,
    /// Age of that report; `None` if there was none.
    pub(crate) report_age: Option<Micros>,
}

/// Permission to send one attempt to one server. If it is dropped without a release, its attempt
/// counts as cancelled.
#[derive(Debug)]
pub(crate) struct Permit {
    /// Address of the server.
    pub(crate) address: SocketAddr,
    /// Identifier of the server, which the `gateway` module sends to it in a header of each
    /// request, since the server expects it there; empty if the server has none or another entry
    /// granted the permit over a peer link.
    pub(crate) server_id: Name,
    /// Time from the start of the attempt after which a hedge is due; `None` if none is.
    pub(crate) hedge_after: Option<Micros>,
    /// What the server was selected by; the default if another entry selected it.
    pub(crate) selection: SelectionInputs,
    /// Time by which the attempt must be sent if another entry granted the permit for a cold server; see
    /// [`get_send_limit`](Self::get_send_limit).
    send_limit: Option<Micros>,
    source: PermitSource,
    is_released: bool,
}

/// Who granted a permit and is told the outcome of its attempt.
#[derive(Debug)]
enum PermitSource {
    /// A dispatcher of this entry.
    Dispatcher {
        dispatcher: Arc<Dispatcher>,
        /// Id of the request in the pool.
        request_id: u64,
        /// Index of the server in the pool.
        server: usize,
    },
    /// Another entry, over a peer link.
    Link {
        outbox: UnboundedSender<Message>,
        /// Id of the request for the permit.
        id: u64,
    },
    /// Another entry, which granted the permit in another way than over a peer link; the function
    /// reports the outcome to it.
    Callback(ReleaseCallback),
}

/// Function that takes the outcome of the attempt when a permit is released.
struct ReleaseCallback(Box<dyn FnMut(AttemptOutcome) + Send + Sync>);

impl std::fmt::Debug for ReleaseCallback {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ReleaseCallback")
    }
}

impl Permit {
    /// Creates a permit for an attempt that a dispatcher of this entry has started at the server
    /// with the index `server`. A server that was removed meanwhile gives the address 0.0.0.0:0.
    pub(crate) fn from_dispatcher(
        dispatcher: Arc<Dispatcher>,
        request_id: u64,
        server: usize,
    ) -> Self {
        let now = dispatcher.get_now();
        let (config, hedge_after, selection) = dispatcher.read_pool(|pool| {
            let state = pool.get_server_state(server);
            let config = state.map(lentilcart_route::ServerState::get_config);
            let service_time = pool.get_base_service_time().unwrap_or_default().0 as f64;
            let selection = state.map(|state| SelectionInputs {
                slowdown: state.get_slowdown(now),
                own_requests: state.get_outstanding(),
                other_requests: state.get_other_requests(now, service_time),
                report_age: state.get_report_age(now),
            });
            let selection = selection.unwrap_or_default();
            (config.cloned(), pool.get_hedge_delay(), selection)
        });
        let (address, server_id) = config.map_or_else(
            || (SocketAddr::from(([0, 0, 0, 0], 0)), Name::default()),
            |config| (config.address, config.id),
        );
        Self {
            address,
            server_id,
            hedge_after,
            selection,
            send_limit: None,
            source: PermitSource::Dispatcher {
                dispatcher,
                request_id,
                server,
            },
            is_released: false,
        }
    }

    /// Creates a permit that another entry granted over a link in reply to the request `id`.
    pub(crate) fn from_link(
        outbox: UnboundedSender<Message>,
        id: u64,
        address: SocketAddr,
        hedge_after: Option<Micros>,
    ) -> Self {
        Self {
            address,
            server_id: Name::default(),
            hedge_after,
            selection: SelectionInputs::default(),
            send_limit: None,
            source: PermitSource::Link { outbox, id },
            is_released: false,
        }
    }

    /// Creates a permit that another entry granted; `on_release` tells it the outcome of the
    /// attempt.
    pub(crate) fn with_callback(
        address: SocketAddr,
        server_id: Name,
        hedge_after: Option<Micros>,
        on_release: impl FnMut(AttemptOutcome) + Send + Sync + 'static,
    ) -> Self {
        Self {
            address,
            server_id,
            hedge_after,
            selection: SelectionInputs::default(),
            send_limit: None,
            source: PermitSource::Callback(ReleaseCallback(Box::new(on_release))),
            is_released: false,
        }
    }

    /// Returns the index of the server in the pool of this entry's dispatcher; `None` if another
    /// entry granted the permit.
    pub(crate) fn get_server_index(&self) -> Option<usize> {
        match self.source {
            PermitSource::Dispatcher { server, .. } => Some(server),
            PermitSource::Link { .. } | PermitSource::Callback(_) => None,
        }
    }

    /// Sets the time by which the attempt must be sent, of a permit that another entry granted for a server
    /// that is cold.
    pub(crate) fn with_send_limit(mut self, limit: Option<Micros>) -> Self {
        self.send_limit = limit;
        self
    }

    /// Returns the time by which the attempt must be sent, on the dispatcher's clock, if the permit was granted
    /// for a server that was known to be cold.
    pub(crate) fn get_send_limit(&self) -> Option<Micros> {
        match &self.source {
            PermitSource::Dispatcher {
                dispatcher,
                request_id,
                server,
            } => dispatcher.read_pool(|pool| pool.get_send_limit(*request_id, *server)),
            PermitSource::Link { .. } | PermitSource::Callback(_) => self.send_limit,
        }
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn release(mut self, outcome: AttemptOutcome) {
        self.send_outcome(outcome);
    }

    /// Tells the outcome of the attempt to whoever granted the permit.
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
