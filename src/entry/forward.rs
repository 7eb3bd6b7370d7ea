use std::sync::Arc;

use hyper::Response;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::attempt::PreparedRequest;
use super::caller_outcome::CallerOutcome;
use super::entry::Entry;
use super::peer_links::wait_until_lost;
use super::request_error::RequestError;
use crate::http::{ENTRY_HEADER, HttpBody, OUTCOME_HEADER, SendError, get_header_text};

/// Forwards a request to the first owner of its service that answers.
///
/// Returns `None` if no owner answered, so that this entry must dispatch the request itself;
/// `may_have_run` of the request is then true if an owner may have run it. An idempotent request
/// with a replayable body goes on to the next owner when one is lost; any other waits for its owner
/// until the deadline.
///
/// # Errors
///
/// Fails if the deadline passes, if this entry stops before the request can be expected to end, if the
/// connection to the owner breaks and the request may not be sent again, or if an owner did not run the request
/// after another one may have.
pub(crate) async fn forward(
    entry: &Arc<Entry>,
    owners: &[Name],
    request: &mut PreparedRequest,
) -> Result<Option<Response<HttpBody>>, RequestError> {
    let deadline = Instant::from_std(entry.clock.to_instant(request.deadline));
    let name = entry.settings.name.clone();
    request.set_header(ENTRY_HEADER, &name);
    for owner in owners {
        let Some(address) = entry.get_peer_address(owner) else {
            continue;
        };
        if !request.may_begin_attempt(entry) {
            return Err(request.account_for_earlier_attempts(RequestError::Stopping));
        }
        let Some(http_request) = request.build_http_request(0, entry.clock.now()) else {
            break;
        };
        let may_resend = !request.is_at_most_once() && request.payload.is_replayable();
        let lost = async {
            if may_resend {
                wait_until_lost(entry, owner).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let sent = tokio::select! {
            sent = timeout_at(deadline, entry.http_client.send(address, http_request)) => sent,
            () = lost => {
                request.may_have_run = true;
                continue;
            }
        };
        match sent {
            Err(_) => return Err(RequestError::DeadlineExceeded(/* may_have_run */ true)),
            // What the owner says of the request holds for its own attempts only.
            Ok(Ok(reply)) if request.may_have_run && promises_not_run(&reply.response) => {
                return Err(RequestError::AnswerLost(format!(
                    "entry {owner} did not run the request, but an earlier owner may have run it"
                )));
            }
            Ok(Ok(reply)) => return Ok(Some(reply.into_streamed(|_| ()))),
            Ok(Err(SendError::NotSent(_, unsent))) => request.payload.restore(unsent.into_body()),
            Ok(Err(SendError::NoResponse(..))) if may_resend => request.may_have_run = true,
            Ok(Err(SendError::NoResponse(reason, _))) => {
                return Err(RequestError::AnswerLost(format!("entry {owner}: {reason}")));
            }
        }
    }
    request.headers.remove(ENTRY_HEADER);
    Ok(None)
}

/// Returns whether another entry's response says that no server ran the request.
fn promises_not_run<B>(response: &Response<B>) -> bool {
    get_header_text(response.headers(), OUTCOME_HEADER) == Some(CallerOutcome::NotRun.as_str())
}
