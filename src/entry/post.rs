use std::sync::Arc;

use lentilcart_util::Name;

use super::entry::Entry;
use super::grant::grant_permit;
use super::peer_links::request_permit;
use super::permit::Permit;
use crate::peer::{EntryPermitRequest, Message, PermitRejection};

/// Where servers of a service are asked for: the entries that dispatch for it, the first choice
/// first, and this entry itself where none of them is left.
#[derive(Debug)]
pub(crate) struct Posts {
    homes: Vec<Name>,
    next: usize,
}

impl Posts {
    /// Creates the list; `homes` is empty where this entry dispatches itself.
    pub(crate) fn new(homes: Vec<Name>) -> Self {
        Self { homes, next: 0 }
    }

    /// Asks for a server; goes on to the next entry where one is lost.
    pub(crate) async fn acquire(
        &mut self,
        entry: &Arc<Entry>,
        ask: &EntryPermitRequest,
    ) -> Result<Permit, PermitRejection> {
        while let Some(home) = self.get_home() {
            match request_permit(entry, home, ask.clone()).await {
                Some(result) => return result,
                None => self.next += 1,
            }
        }
        grant_permit(entry, ask, None).await
    }

    /// Asks for a server for a hedge where the first attempt got its server.
    pub(crate) async fn hedge(
        &self,
        entry: &Arc<Entry>,
        ask: EntryPermitRequest,
    ) -> Option<Permit> {
        match self.get_home() {
            Some(home) => request_permit(entry, home, ask).await?.ok(),
            None => grant_permit(entry, &ask, None).await.ok(),
        }
    }

    /// Tells whether a hedge answered before the first attempt.
    pub(crate) fn settle_hedge(&self, entry: &Entry, service: &Name, won: bool) {
        match self.get_home() {
            Some(home) => {
                entry
                    .links
                    .send(home, Message::HedgeResult(service.clone(), won));
            }
            None => entry.settle_hedge(service, won),
        }
    }

    /// Returns the entry that is asked, or `None` for this one.
    pub(crate) fn get_home(&self) -> Option<&Name> {
        self.homes.get(self.next)
    }
}
