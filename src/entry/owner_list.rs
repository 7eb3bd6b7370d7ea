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
pub(crate) struct OwnerList {
    owners: Vec<Name>,
    current: usize,
}

impl OwnerList {
    /// Creates the list; `owners` is empty where this entry dispatches itself.
    pub(crate) fn new(owners: Vec<Name>) -> Self {
        Self { owners, current: 0 }
    }

    /// Asks for a server; goes on to the current entry where one is lost.
    pub(crate) async fn acquire(
        &mut self,
        entry: &Arc<Entry>,
        request: &EntryPermitRequest,
    ) -> Result<Permit, PermitRejection> {
        while let Some(owner) = self.get_current() {
            match request_permit(entry, owner, request.clone()).await {
                Some(result) => return result,
                None => self.current += 1,
            }
        }
        grant_permit(entry, request, None).await
    }

    /// Asks for a server for a hedge where the first attempt got its server.
    pub(crate) async fn acquire_hedge(
        &self,
        entry: &Arc<Entry>,
        request: EntryPermitRequest,
    ) -> Option<Permit> {
        match self.get_current() {
            Some(owner) => request_permit(entry, owner, request).await?.ok(),
            None => grant_permit(entry, &request, None).await.ok(),
        }
    }

    /// Tells whether a hedge answered before the first attempt.
    pub(crate) fn record_hedge(&self, entry: &Entry, service: &Name, won: bool) {
        match self.get_current() {
            Some(owner) => {
                entry
                    .links
                    .send(owner, Message::HedgeResult(service.clone(), won));
            }
            None => entry.record_hedge(service, won),
        }
    }

    /// Returns the entry that is asked, or `None` for this one.
    pub(crate) fn get_current(&self) -> Option<&Name> {
        self.owners.get(self.current)
    }
}
