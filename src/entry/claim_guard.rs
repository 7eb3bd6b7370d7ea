use std::sync::Arc;

use hyper::Response;
use lentilcart_state::{ClaimState, KeyDigest, Service};
use lentilcart_util::Name;

use super::caller_outcome::CallerOutcome;
use super::claims::update_claim;
use super::entry::Entry;
use super::owner_list::OwnerList;
use super::request_error::RequestError;
use crate::http::HttpBody;
use crate::peer::{ClaimRequest, Message, PermitRejection};

/// Claim of a request's idempotency key. If it is dropped before a result is recorded, the state
/// of the claim becomes unknown, since the request may have run.
pub(crate) struct ClaimGuard {
    /// What is sent with the request for the first permit, to store the claim.
    pub(crate) request: ClaimRequest,
    entry: Arc<Entry>,
    service: Name,
    is_recorded: bool,
}

impl ClaimGuard {
    /// Creates a claim that is not stored yet; granting the first permit stores it.
    pub(crate) fn new(entry: &Arc<Entry>, service: &Service, key: &str) -> Self {
        let request = ClaimRequest {
            digest: KeyDigest::of(key),
            claimant: entry.next_unique_id(),
            retention: service.key_retention,
        };
        Self {
            request,
            entry: entry.clone(),
            service: service.name.clone(),
            is_recorded: false,
        }
    }

    /// Records the result of the request in the claim, through the owner that was asked last for a
    /// permit, or by this entry if the link to that owner is lost or this entry was asked last.
    ///
    /// An answer makes the state done, an error whose outcome is "not run" releases the claim, and
    /// any other error makes the state unknown. Nothing is recorded if another request holds the
    /// key.
    pub(crate) fn record_result(
        &mut self,
        owners: &OwnerList,
        result: &Result<Response<HttpBody>, RequestError>,
    ) {
        self.is_recorded = true;
        let state = match result {
            Ok(_) => Some(ClaimState::Done),
            Err(RequestError::PermitRejected(PermitRejection::Claimed(_))) => return,
            Err(error) if error.get_outcome() == CallerOutcome::NotRun => None,
            Err(_) => Some(ClaimState::Unknown),
        };
        let message = Message::ClaimUpdate(self.service.clone(), self.request.clone(), state);
        let is_sent = owners
            .get_current()
            .is_some_and(|owner| self.entry.links.send(owner, message));
        if !is_sent {
            update_claim(&self.entry, &self.service, &self.request, state);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.is_recorded {
            update_claim(
                &self.entry,
                &self.service,
                &self.request,
                Some(ClaimState::Unknown),
            );
        }
    }
}
