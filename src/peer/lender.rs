use std::sync::{Arc, Mutex};

use lentilcart_route::AttemptOutcome;
use lentilcart_util::{Map, Name};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::message::{EntryPermitReply, EntryPermitRequest, Message};
use crate::entry::{Entry, Permit, grant_permit};

/// What another entry has asked for over one link. Dropping it ends all of it.
pub(super) struct Lender {
    entry: Arc<Entry>,
    outbox: UnboundedSender<Message>,
    asks: Arc<Mutex<Map<u64, Asked>>>,
    tasks: JoinSet<()>,
}

enum Asked {
    Waiting(CancellationToken),
    Lent(Permit),
}

impl Lender {
    pub(super) fn new(entry: Arc<Entry>, outbox: UnboundedSender<Message>) -> Self {
        Self {
            entry,
            outbox,
            asks: Arc::default(),
            tasks: JoinSet::new(),
        }
    }

    /// Answers an ask as soon as there is a server for it.
    pub(super) fn ask(&mut self, peer: Option<&Name>, id: u64, ask: EntryPermitRequest) {
        let near = peer.and_then(|name| self.entry.get_data_center(name));
        while self.tasks.try_join_next().is_some() {}
        let withdrawn = CancellationToken::new();
        let waiting = Asked::Waiting(withdrawn.clone());
        self.lock().insert(id, waiting);
        let (entry, outbox, asks) = (self.entry.clone(), self.outbox.clone(), self.asks.clone());
        self.tasks.spawn(async move {
            let granted = tokio::select! {
                () = withdrawn.cancelled() => return,
                granted = grant_permit(&entry, &ask, near) => granted,
            };
            let mut asks = asks.lock().expect("no panic under lock");
            let still_wanted = asks.remove(&id).is_some();
            let answer = match granted {
                Ok(lease) if still_wanted => {
                    let answer = EntryPermitReply::Granted(lease.address, lease.hedge_after);
                    asks.insert(id, Asked::Lent(lease));
                    answer
                }
                Ok(_) => return,
                Err(denial) => EntryPermitReply::Rejected(denial),
            };
            outbox.send(Message::PermitReply(id, answer)).ok();
        });
    }

    /// Ends an attempt, or withdraws an ask.
    pub(super) fn settle(&mut self, id: u64, outcome: AttemptOutcome) {
        let asked = self.lock().remove(&id);
        match asked {
            Some(Asked::Lent(lease)) => lease.release(outcome),
            Some(Asked::Waiting(withdrawn)) => withdrawn.cancel(),
            None => {}
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<u64, Asked>> {
        self.asks.lock().expect("no panic under lock")
    }
}
