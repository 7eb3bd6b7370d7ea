use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Map, Name};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use super::entry::Entry;
use super::permit::Permit;
use crate::peer::{EntryPermitReply, EntryPermitRequest, Message, PermitRejection};

const LOSS_CHECK: Duration = Duration::from_millis(25);

/// Links over which this entry asks other entries for servers.
#[derive(Debug, Default)]
pub(crate) struct PeerLinks {
    rows: Mutex<Map<Name, Link>>,
}

#[derive(Debug)]
struct Link {
    outbox: UnboundedSender<Message>,
    asked: Map<u64, oneshot::Sender<EntryPermitReply>>,
}

/// An ask under way; withdrawn when it is dropped before its end.
struct Asking<'a> {
    entry: &'a Entry,
    home: &'a Name,
    outbox: UnboundedSender<Message>,
    id: u64,
    answered: bool,
}

impl PeerLinks {
    /// Opens a link to an entry.
    pub(crate) fn open(&self, home: &Name, outbox: UnboundedSender<Message>) {
        let asked = Map::default();
        self.lock().insert(home.clone(), Link { outbox, asked });
    }

    /// Closes a link; whoever waits for an answer over it is told so.
    pub(crate) fn close(&self, home: &Name, outbox: &UnboundedSender<Message>) {
        let mut rows = self.lock();
        if rows
            .get(home)
            .is_some_and(|link| link.outbox.same_channel(outbox))
        {
            rows.remove(home);
        }
    }

    /// Passes an answer on; one that nobody waits for is given back.
    pub(crate) fn deliver_reply(&self, home: &Name, id: u64, granted: EntryPermitReply) {
        let mut rows = self.lock();
        let Some(link) = rows.get_mut(home) else {
            return;
        };
        let told = link.asked.remove(&id).map(|sender| sender.send(granted));
        if !matches!(told, Some(Ok(()))) {
            link.outbox
                .send(Message::PermitRelease(id, AttemptOutcome::Cancelled))
                .ok();
        }
    }

    /// Sends a message over the link to an entry; returns whether there is a link.
    pub(crate) fn send(&self, home: &Name, message: Message) -> bool {
        self.lock()
            .get(home)
            .is_some_and(|link| link.outbox.send(message).is_ok())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<Name, Link>> {
        self.rows.lock().expect("no panic under lock")
    }
}

/// Asks another entry for a server. Returns `None` where that entry is lost; nothing was run then,
/// since an entry that grants a server never holds the request.
pub(crate) async fn request_permit(
    entry: &Arc<Entry>,
    home: &Name,
    ask: EntryPermitRequest,
) -> Option<Result<Permit, PermitRejection>> {
    let id = entry.next_serial();
    let (sender, answer) = oneshot::channel();
    let mut asking = {
        let mut rows = entry.links.lock();
        let link = rows.get_mut(home)?;
        link.asked.insert(id, sender);
        link.outbox.send(Message::PermitRequest(id, ask)).ok()?;
        let outbox = link.outbox.clone();
        Asking {
            entry,
            home,
            outbox,
            id,
            answered: false,
        }
    };
    let granted = tokio::select! {
        granted = answer => granted.ok()?,
        () = wait_until_lost(entry, home) => return None,
    };
    asking.answered = true;
    Some(match granted {
        EntryPermitReply::Granted(address, hedge_after) => Ok(Permit::from_link(
            asking.outbox.clone(),
            id,
            address,
            hedge_after,
        )),
        EntryPermitReply::Rejected(denial) => Err(denial),
    })
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        let mut rows = self.entry.links.lock();
        if let Some(link) = rows.get_mut(self.home) {
            link.asked.remove(&self.id);
        }
        self.outbox
            .send(Message::PermitRelease(self.id, AttemptOutcome::Cancelled))
            .ok();
    }
}

/// Waits until an entry's heartbeats no longer arrive.
pub(crate) async fn wait_until_lost(entry: &Entry, home: &Name) {
    while entry.is_live(home) {
        tokio::time::sleep(LOSS_CHECK).await;
    }
}
