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

/// The claim of a request's key. One that is dropped before its end is recorded as unknown.
pub(crate) struct ClaimGuard {
    pub(crate) request: ClaimRequest,
    entry: Arc<Entry>,
    service: Name,
    is_recorded: bool,
}

impl ClaimGuard {
    /// Prepares a claim; the first request for a server stores it.
    pub(crate) fn new(entry: &Arc<Entry>, service: &Service, key: &str) -> Self {
        let request = ClaimRequest {
            digest: KeyDigest::of(key),
            holder: entry.next_attempt_id(),
            retention: service.key_retention,
        };
        Self {
            request,
            entry: entry.clone(),
            service: service.name.clone(),
            is_recorded: false,
        }
    }

    /// Records what became of the request, by the entry that stored the claim where it is there.
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
