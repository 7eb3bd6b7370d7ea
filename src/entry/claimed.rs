use std::sync::Arc;

use hyper::Response;
use lentilcart_state::{ClaimState, KeyDigest, Service};
use lentilcart_util::Name;

use super::claims::end_claim;
use super::entry::Entry;
use super::failure::Failure;
use super::outcome::Told;
use super::post::Posts;
use crate::http::HttpBody;
use crate::peer::{ClaimRequest, Message, PermitRejection};

/// The claim of a request's key. One that is dropped before its end is recorded as unknown.
pub(crate) struct Claimed {
    pub(crate) ask: ClaimRequest,
    entry: Arc<Entry>,
    service: Name,
    ended: bool,
}

impl Claimed {
    /// Prepares a claim; the first ask for a server stores it.
    pub(crate) fn new(entry: &Arc<Entry>, service: &Service, key: &str) -> Self {
        let ask = ClaimRequest {
            digest: KeyDigest::of(key),
            holder: entry.next_attempt(),
            retention: service.key_retention,
        };
        Self {
            ask,
            entry: entry.clone(),
            service: service.name.clone(),
            ended: false,
        }
    }

    /// Records what became of the request, by the entry that stored the claim where it is there.
    pub(crate) fn end(&mut self, posts: &Posts, result: &Result<Response<HttpBody>, Failure>) {
        self.ended = true;
        let state = match result {
            Ok(_) => Some(ClaimState::Done),
            Err(Failure::Denied(PermitRejection::Claimed(_))) => return,
            Err(failure) if failure.get_told() == Told::NotRun => None,
            Err(_) => Some(ClaimState::Unknown),
        };
        let message = Message::ClaimUpdate(self.service.clone(), self.ask.clone(), state);
        let is_sent = posts
            .get_home()
            .is_some_and(|home| self.entry.links.send(home, message));
        if !is_sent {
            end_claim(&self.entry, &self.service, &self.ask, state);
        }
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        if !self.ended {
            end_claim(
                &self.entry,
                &self.service,
                &self.ask,
                Some(ClaimState::Unknown),
            );
        }
    }
}
