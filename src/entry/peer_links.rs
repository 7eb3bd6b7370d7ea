//! Client side of the permits between entries: requests permits from owners over dialled links. Also knows
//! which of the links that an entry has opened to this one is the newest.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Map, Name};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::entry::Entry;
use super::permit::Permit;
use crate::peer::{EntryPermitReply, EntryPermitRequest, Message, PermitRejection};

/// Time between two checks whether an entry is still live.
const LOSS_CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// Links to other entries: the dialled ones, over which this entry asks for permits, and the accepted ones.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    /// Dialled links by name of the entry.
    links: Mutex<Map<Name, Link>>,
    /// Number of the newest accepted link by name of the entry.
    accepted: Mutex<Map<Name, u64>>,
}

/// A dialled link to another entry.
#[derive(Debug)]
struct Link {
    /// Messages to send over the link.
    outbox: UnboundedSender<Message>,
    /// Requests for permits that wait for a reply, by their id.
    pending: Map<u64, oneshot::Sender<EntryPermitReply>>,
}

/// A request for a permit that waits for its reply; dropping it before the reply withdraws it at
/// the owner.
struct PendingPermitRequest<'a> {
    entry: &'a Entry,
    owner: &'a Name,
    outbox: UnboundedSender<Message>,
    id: u64,
    is_answered: bool,
}

impl PeerLinks {
    /// Adds a link to an entry; `outbox` takes the messages to send over it.
    pub(crate) fn insert(&self, peer: &Name, outbox: UnboundedSender<Message>) {
        let pending = Map::default();
        self.lock().insert(peer.clone(), Link { outbox, pending });
    }

    /// Removes the link with this outbox, which fails the requests that wait for a reply over it. A
    /// newer link to the same entry stays.
    pub(crate) fn remove(&self, peer: &Name, outbox: &UnboundedSender<Message>) {
        let mut links = self.lock();
        if links
            .get(peer)
            .is_some_and(|link| link.outbox.same_channel(outbox))
        {
            links.remove(peer);
        }
    }

    /// Adds an accepted link from an entry, with its number; an older one may still be open.
    pub(crate) fn insert_accepted(&self, peer: &Name, number: u64) {
        let mut accepted = self.accepted.lock().expect("no panic under lock");
        let newest = accepted.entry(peer.clone()).or_insert(number);
        *newest = number.max(*newest);
    }

    /// Removes an accepted link by its number, and returns whether it was the newest one from the entry.
    pub(crate) fn remove_accepted(&self, peer: &Name, number: u64) -> bool {
        let mut accepted = self.accepted.lock().expect("no panic under lock");
        let is_newest = accepted.get(peer) == Some(&number);
        if is_newest {
            accepted.remove(peer);
        }
        is_newest
    }

    /// Delivers a reply to the task that waits for it; a permit that no task waits for is released.
    pub(crate) fn deliver_reply(&self, peer: &Name, id: u64, reply: EntryPermitReply) {
        let mut links = self.lock();
        let Some(link) = links.get_mut(peer) else {
            return;
        };
        let delivered = link.pending.remove(&id).map(|sender| sender.send(reply));
        if !matches!(delivered, Some(Ok(()))) {
            link.outbox
                .send(Message::PermitRelease(id, AttemptOutcome::Cancelled))
                .ok();
        }
    }

    /// Queues a message on the link to an entry; returns whether there is a link.
    pub(crate) fn send(&self, peer: &Name, message: Message) -> bool {
        self.lock()
            .get(peer)
            .is_some_and(|link| link.outbox.send(message).is_ok())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<Name, Link>> {
        self.links.lock().expect("no panic under lock")
    }
}

/// Asks an owner for a permit and waits for its reply. Returns `None` if there is no link to the
/// owner, or the owner is lost before it replies; the request was not run then, since an owner that
/// grants a permit never has the request itself.
pub(crate) async fn request_permit(
    entry: &Arc<Entry>,
    owner: &Name,
    request: EntryPermitRequest,
) -> Option<Result<Permit, PermitRejection>> {
    let id = entry.next_serial();
    let (sender, receiver) = oneshot::channel();
    let mut pending_permit = {
        let mut links = entry.links.lock();
        let link = links.get_mut(owner)?;
        link.pending.insert(id, sender);
        link.outbox.send(Message::PermitRequest(id, request)).ok()?;
        let outbox = link.outbox.clone();
        PendingPermitRequest {
            entry,
            owner,
            outbox,
            id,
            is_answered: false,
        }
    };
    let reply = tokio::select! {
        reply = receiver => reply.ok()?,
        () = wait_until_lost(entry, owner) => return None,
    };
    pending_permit.is_answered = true;
    Some(match reply {
        EntryPermitReply::Granted(address, hedge_after) => Ok(Permit::from_link(
            pending_permit.outbox.clone(),
            id,
            address,
            hedge_after,
        )),
        EntryPermitReply::Rejected(rejection) => Err(rejection),
    })
}

impl Drop for PendingPermitRequest<'_> {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let mut links = self.entry.links.lock();
        if let Some(link) = links.get_mut(self.owner) {
            link.pending.remove(&self.id);
        }
        self.outbox
            .send(Message::PermitRelease(self.id, AttemptOutcome::Cancelled))
            .ok();
    }
}

/// Waits until an entry is no longer live.
pub(crate) async fn wait_until_lost(entry: &Entry, peer: &Name) {
    while entry.is_live(peer) {
        tokio::time::sleep(LOSS_CHECK_INTERVAL).await;
    }
}
