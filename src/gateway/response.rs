use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Frame};
use hyper::header::{CONTENT_ENCODING, HeaderMap};
use hyper::{Response, StatusCode};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_state::RequestClass;
use lentilcart_util::Name;
use tokio::time::{Instant, Sleep, sleep_until};
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::body_memory::BodyMemory;
use crate::http::{BoxError, HttpBody, full_body, is_final_status, stream_body};

/// Maximum size of a response body that is buffered completely before the caller gets any of it, in
/// bytes. Up to this size a caller never sees a truncated response, and memory stays bounded.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Largest response body that is streamed, in bytes.
const MAX_STREAMED_BYTES: usize = 1024 * 1024 * 1024;

/// The classification of a server's response by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseVerdict {
    /// A response to be passed on, other than 5xx.
    Valid,
    /// A 5xx response that may be passed on, though another server might not give it.
    ErrorResponse,
    /// The server promises by a header that it did not run the request; servers do so when they are
    /// full or busy.
    NotRun,
    /// Another server has taken over the address; the request did not run.
    Misdirected,
    /// A response that must not be passed on to the caller, for the reason given: its connection must
    /// not be used any more.
    Unusable(&'static str),
    /// A response that is not known to answer the request, for the reason given. Nothing in it is
    /// believed, and its connection must not be used any more.
    Foreign(&'static str),
}

impl ResponseVerdict {
    /// Returns the fixed name in logs; for a response that is discarded, the reason.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Valid => "valid",
            Self::ErrorResponse => "error-response",
            Self::NotRun => "refused",
            Self::Misdirected => "misdirected",
            Self::Unusable(reason) | Self::Foreign(reason) => reason,
        }
    }
}

/// Classifies a response by its status and headers, for a request of a class.
///
/// A response to be passed on must have a signature. Only its presence is checked: the balancer does
/// not verify signatures.
pub fn classify_response<B>(
    response: &Response<B>,
    request_id: &str,
    class: RequestClass,
) -> ResponseVerdict {
    let (status, headers) = (response.status(), response.headers());
    let has_signature = headers.contains_key(HEADER_NAMES.signature);
    let implies_not_run = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    match find_foreign_reason(headers, request_id) {
        // Before all else: what a response says is about the request that it names.
        Some(reason) => ResponseVerdict::Foreign(reason),
        None if !is_final_status(status) => {
            ResponseVerdict::Unusable("its status is not that of a final response")
        }
        None if status == StatusCode::MISDIRECTED_REQUEST => ResponseVerdict::Misdirected,
        None if headers.contains_key(HEADER_NAMES.not_run) => ResponseVerdict::NotRun,
        // Callers take these statuses as a promise that the request did not run; without the header
        // above, the server does not promise that. Status 421 has been handled above. In this text "it"
        // is the request; in the other texts it is the response.
        _ if implies_not_run && class == RequestClass::Once => {
            ResponseVerdict::Unusable("it may have run")
        }
        _ if !has_signature => ResponseVerdict::Unusable("it is not signed"),
        _ if headers.contains_key(CONTENT_ENCODING) => {
            ResponseVerdict::Unusable("its body is encoded")
        }
        _ if status.is_server_error() => ResponseVerdict::ErrorResponse,
        _ => ResponseVerdict::Valid,
    }
}

/// Returns why a response is not known to answer a request, or `None` if it names that request and no
/// other. A late response to an earlier request, or to a health check, comes over the same connection.
fn find_foreign_reason(headers: &HeaderMap, request_id: &str) -> Option<&'static str> {
    let ids = headers.get_all(HEADER_NAMES.request_id);
    match ids.iter().next() {
        None => Some("it names no request"),
        Some(_) if ids.iter().all(|id| id == request_id) => None,
        Some(_) => Some("it belongs to another request"),
    }
}

/// Returns whether a status says that a request is turned away for now, so that a `Retry-After` with it is
/// about further requests.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Reads a response body of a service up to [`MAX_BUFFERED_BYTES`]; the rest of a longer body is streamed
/// until the `deadline`, and up to [`MAX_STREAMED_BYTES`]. Trailers of a body that is
/// read completely are dropped. If the memory for bodies has no room, all of the body is streamed: the
/// request holds room itself, so that it must not wait for more. A task on `tasks` drops a streamed body at
/// the deadline, which closes its connection.
///
/// # Errors
///
/// Fails if the body ends early within the buffered part.
pub(crate) async fn read_response(
    response: Response<HttpBody>,
    deadline: Instant,
    tasks: &TaskTracker,
    bodies: &BodyMemory,
    service: &Name,
) -> Result<Response<HttpBody>, BoxError> {
    let (parts, mut body) = response.into_parts();
    let expected = body.size_hint().exact();
    let expected = expected.map_or(MAX_BUFFERED_BYTES, |length| {
        MAX_BUFFERED_BYTES.min(length as usize)
    });
    let stream = |prefix: [Option<Bytes>; 2], body| {
        let rest = Arc::new(Mutex::new(Some(Limited::new(body, MAX_STREAMED_BYTES))));
        let shared = rest.clone();
        let cut = tasks.spawn(async move {
            sleep_until(deadline).await;
            drop(shared.lock().expect("no panic under lock").take());
        });
        stream_body(PrefixedBody {
            prefix,
            rest,
            end: Box::pin(sleep_until(deadline)),
            _cut: AbortOnDropHandle::new(cut),
        })
    };
    let Some(room) = bodies.take_now(service, expected as u64) else {
        metrics::counter!("lentilcart_answers_unbuffered_total").increment(1);
        return Ok(Response::from_parts(parts, stream([None, None], body)));
    };
    let mut read = Vec::with_capacity(expected);
    loop {
        let Some(frame) = body.frame().await else {
            return Ok(Response::from_parts(parts, full_body(room.hold(read))));
        };
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if read.len() + data.len() > expected {
            let prefix = [Some(room.hold(read)), Some(data)];
            return Ok(Response::from_parts(parts, stream(prefix, body)));
        }
        read.extend_from_slice(&data);
    }
}

/// A body of which a prefix has been read: yields the prefix, then the rest, and fails at the `end` or
/// after too many bytes.
struct PrefixedBody {
    prefix: [Option<Bytes>; 2],
    /// Empty after the `end`.
    rest: Arc<Mutex<Option<Limited<HttpBody>>>>,
    end: Pin<Box<Sleep>>,
    /// Drops the rest at the `end`: the body of a caller who does not read is not polled.
    _cut: AbortOnDropHandle<()>,
}

impl Body for PrefixedBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(prefix) = self.prefix.iter_mut().find_map(Option::take) {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let is_over = self.end.as_mut().poll(cx).is_ready();
        match self.rest.lock().expect("no panic under lock").as_mut() {
            Some(rest) if !is_over => Pin::new(rest).poll_frame(cx),
            _ => Poll::Ready(Some(Err("the body did not end in time".into()))),
        }
    }
}
