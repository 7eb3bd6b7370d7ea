use std::sync::Arc;

use lentilcart_util::Name;

use super::entry::Entry;
use super::grant::grant_permit;
use super::peer_links::request_permit;
use super::permit::Permit;
use crate::peer::{EntryPermitRequest, Message, PermitRejection};

/// Entries that are asked for permits of a service: its owners in the order of preference, then
/// this entry itself when all of them are lost.
#[derive(Debug)]
pub(crate) struct OwnerList {
    owners: Vec<Name>,
    /// Index of the owner that is asked now; the length of the list stands for this entry.
    current: usize,
}

impl OwnerList {
    /// Creates a list; it is empty if this entry grants the permits itself.
    pub(crate) fn new(owners: Vec<Name>) -> Self {
        Self { owners, current: 0 }
    }

    /// Waits for a permit; if an owner is lost, goes on to the next one.
    ///
    /// # Errors
    ///
    /// Returns why the entry that was asked gives no permit.
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

    /// Asks the entry that granted the permit of the hedged attempt for a permit for the hedge;
    /// returns `None` if it gives none or is lost.
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

    /// Reports the result of a hedge to the entry that granted its permit; `won` is true if the
    /// hedge answered before the hedged attempt, or after that had failed.
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

    /// Returns the owner that is asked now, or `None` for this entry.
    pub(crate) fn get_current(&self) -> Option<&Name> {
        self.owners.get(self.current)
    }
}
