use std::sync::Arc;

use hyper::Response;
use lentilcart_util::Name;
use tokio::time::{Instant, timeout_at};

use super::attempt::Call;
use super::entry::Entry;
use super::failure::Failure;
use super::peer_links::wait_until_lost;
use crate::http::{FORWARDED, HttpBody, SendError};

/// Sends a request to an entry that dispatches for its service.
///
/// Returns `None` where no such entry answered; the caller then dispatches it itself. The call
/// keeps whether it may have run there. A request that may repeat leaves an entry that is lost; one that may not
/// waits for that entry until its deadline.
pub(crate) async fn forward(
    entry: &Arc<Entry>,
    homes: &[Name],
    call: &mut Call,
) -> Result<Option<Response<HttpBody>>, Failure> {
    let deadline = Instant::from_std(entry.clock.at(call.deadline));
    let name = entry.settings.name.clone();
    call.set_header(FORWARDED, &name);
    for home in homes {
        let Some(address) = entry.get_peer(home) else {
            continue;
        };
        let Some(request) = call.next_request(0, entry.clock.now()) else {
            break;
        };
        let may_repeat = !call.is_once() && call.payload.is_kept();
        let lost = async {
            if may_repeat {
                wait_until_lost(entry, home).await;
            } else {
                std::future::pending::<()>().await;
            }
        };
        let sent = tokio::select! {
            sent = timeout_at(deadline, entry.dialer.send(address, request)) => sent,
            () = lost => {
                call.may_have_run = true;
                continue;
            }
        };
        match sent {
            Err(_) => return Err(Failure::Deadline(true)),
            Ok(Ok(reply)) => return Ok(Some(reply.into_streamed(|_| ()))),
            Ok(Err(SendError::NotSent(_, unsent))) => call.payload.put_back(unsent.into_body()),
            Ok(Err(SendError::Cut(_))) if may_repeat => call.may_have_run = true,
            Ok(Err(SendError::Cut(reason))) => {
                return Err(Failure::Cut(format!("entry {home}: {reason}")));
            }
        }
    }
    call.headers.remove(FORWARDED);
    Ok(None)
}
