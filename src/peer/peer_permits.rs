//! Owner side of the permits between entries: grants the permits that another entry requests.

use std::sync::{Arc, Mutex};

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Map, Name};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::message::{EntryPermitReply, EntryPermitRequest, Message};
use crate::entry::{Entry, Permit, grant_permit};

/// Permits that another entry has requested over one link. Dropping them withdraws the requests and
/// ends the attempts as cancelled.
pub(super) struct PeerPermits {
    entry: Arc<Entry>,
    outbox: UnboundedSender<Message>,
    /// Permits by the id of their request.
    permits: Arc<Mutex<Map<u64, PeerPermit>>>,
    /// Tasks that wait for a claim to be stored or a server to be free.
    tasks: JoinSet<()>,
}

/// State of a permit that another entry has requested.
enum PeerPermit {
    /// The request is neither granted nor rejected yet; cancelling the token withdraws it.
    Waiting(CancellationToken),
    /// The permit is granted and not released yet.
    Granted(Permit),
}

impl PeerPermits {
    /// Creates an empty set; `outbox` takes the replies.
    pub(super) fn new(entry: Arc<Entry>, outbox: UnboundedSender<Message>) -> Self {
        Self {
            entry,
            outbox,
            permits: Arc::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Handles a request for a permit and queues the reply as soon as it is granted or rejected.
    /// `peer` is the name of the other entry, if its heartbeat has told it.
    pub(super) fn handle_request(
        &mut self,
        peer: Option<&Name>,
        id: u64,
        request: EntryPermitRequest,
    ) {
        let origin_data_center = peer.and_then(|name| self.entry.get_data_center(name));
        while self.tasks.try_join_next().is_some() {}
        let withdrawn = CancellationToken::new();
        let waiting = PeerPermit::Waiting(withdrawn.clone());
        self.lock().insert(id, waiting);
        let (entry, outbox, permits) = (
            self.entry.clone(),
            self.outbox.clone(),
            self.permits.clone(),
        );
        self.tasks.spawn(async move {
            let result = tokio::select! {
                () = withdrawn.cancelled() => return,
                result = grant_permit(&entry, &request, origin_data_center) => result,
            };
            let mut permits = permits.lock().expect("no panic under lock");
            let is_wanted = permits.remove(&id).is_some();
            let reply = match result {
                Ok(permit) if is_wanted => {
                    let reply = EntryPermitReply::Granted(permit.address, permit.hedge_after);
                    permits.insert(id, PeerPermit::Granted(permit));
                    reply
                }
                Ok(_) => return,
                Err(rejection) => EntryPermitReply::Rejected(rejection),
            };
            outbox.send(Message::PermitReply(id, reply)).ok();
        });
    }

    /// Releases a permit with the outcome of its attempt, or withdraws a request that waits.
    pub(super) fn release(&mut self, id: u64, outcome: AttemptOutcome) {
        let peer_permit = self.lock().remove(&id);
        match peer_permit {
            Some(PeerPermit::Granted(permit)) => permit.release(outcome),
            Some(PeerPermit::Waiting(withdrawn)) => withdrawn.cancel(),
            None => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<u64, PeerPermit>> {
        self.permits.lock().expect("no panic under lock")
    }
}
