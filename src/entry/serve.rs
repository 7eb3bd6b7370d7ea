use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, VIA};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri, Version};
use lentilcart_state::{RequestClass, Route, Service};

use super::attempt::{PreparedRequest, send_with_retries};
use super::claim_guard::ClaimGuard;
use super::entry::Entry;
use super::forward::forward;
use super::owner_list::OwnerList;
use super::payload::Payload;
use super::request_error::RequestError;
use super::stats::record_request;
use crate::http::{
    ATTEMPT_HEADER, BodyEnd, DEADLINE_HEADER, ENTRY_HEADER, HttpBody, IDEMPOTENCY_KEY_HEADER,
    NotifyOnEnd, OUTCOME_HEADER, REQUEST_ID_HEADER, find_request_error, get_header_duration,
    get_header_text, set_header, stream_body, strip_hop_by_hop,
};
use crate::peer::serve_link;

/// Longest wait of a request for the ticket in force to be confirmed after a pause of the process.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);
/// Header with the addresses of the clients that a request came through.
const X_FORWARDED_FOR: &str = "x-forwarded-for";
/// Value added to the `Via` header (RFC 9110, section 7.6.3).
const VIA_VALUE: &str = "1.1 lentilcart";

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestSource {
    /// A caller, over the listener for callers.
    Caller,
    /// Another entry that forwards it, over the peer listener.
    Entry,
}

/// Serves a caller's request.
pub(crate) async fn serve_caller(
    entry: Arc<Entry>,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    serve(entry, remote, request, RequestSource::Caller).await
}

/// Serves another entry: accepts a peer link, or serves a request that the entry forwards.
pub(crate) async fn serve_peer(
    entry: Arc<Entry>,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    // A `/link` request with the entry header is a caller's request that another entry forwards,
    // not a peer link.
    match request.uri().path() {
        "/link" if !request.headers().contains_key(ENTRY_HEADER) => serve_link(&entry, request),
        _ => serve(entry, remote, request, RequestSource::Entry).await,
    }
}

/// Serves a request: keeps the caller's request id or makes one, handles the request, and records
/// its outcome when the response has been sent.
async fn serve(
    entry: Arc<Entry>,
    remote: SocketAddr,
    mut request: Request<Incoming>,
    source: RequestSource,
) -> Response<HttpBody> {
    let started = Instant::now();
    let is_http1 = request.version() < Version::HTTP_2;
    let request_id = match get_header_text(request.headers(), REQUEST_ID_HEADER) {
        Some(id) => id.to_owned(),
        None => entry.next_unique_id().to_string(),
    };
    set_header(request.headers_mut(), REQUEST_ID_HEADER, &request_id);
    if source == RequestSource::Caller {
        set_caller_headers(&mut request, remote);
    }
    let guard = InFlightGuard::new(entry.clone());
    let mut metric_labels = None;
    let served = handle_request(&entry, request, source, &mut metric_labels).await;
    let mut outcome = "answered";
    let mut response = served.unwrap_or_else(|error| {
        outcome = error.get_outcome().as_str();
        log::debug!(request_id:% = request_id, outcome; "{error:?}");
        error.into_response(&request_id)
    });
    strip_hop_by_hop(response.headers_mut());
    set_header(response.headers_mut(), REQUEST_ID_HEADER, &request_id);
    if entry.is_leaving() && is_http1 && source == RequestSource::Caller {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        stream_body(NotifyOnEnd::new(body, move |end| {
            drop(guard);
            let outcome = if end == BodyEnd::Failed {
                "cut"
            } else {
                outcome
            };
            if let (RequestSource::Caller, Some((service, class))) = (source, &metric_labels) {
                let service: &Service = service;
                record_request(
                    &service.name,
                    &service.tenant,
                    *class,
                    outcome,
                    started.elapsed(),
                );
            }
        }))
    })
}

/// Counts a request as in flight until its response has been written, or its caller has disconnected.
struct InFlightGuard(Arc<Entry>);

impl InFlightGuard {
    fn new(entry: Arc<Entry>) -> Self {
        entry.stats.begin_request();
        Self(entry)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.stats.end_request();
    }
}

/// Removes the headers that a caller must not set, and adds its address to `X-Forwarded-For` and
/// this entry to `Via`.
fn set_caller_headers(request: &mut Request<Incoming>, remote: SocketAddr) {
    let headers = request.headers_mut();
    headers.remove(ENTRY_HEADER);
    headers.remove(OUTCOME_HEADER);
    let chain = match get_header_text(headers, X_FORWARDED_FOR) {
        Some(before) => format!("{before}, {}", remote.ip()),
        None => remote.ip().to_string(),
    };
    set_header(headers, X_FORWARDED_FOR, &chain);
    headers.append(VIA, HeaderValue::from_static(VIA_VALUE));
}

/// Routes a request, claims its idempotency key if it has one and must run at most once, and sends
/// the request to a server or forwards it to an owner of its service. Sets the labels of its
/// metrics once the route is known.
async fn handle_request(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    source: RequestSource,
    metric_labels: &mut Option<(Arc<Service>, RequestClass)>,
) -> Result<Response<HttpBody>, RequestError> {
    if let Some(reason) = find_request_error(&request) {
        return Err(RequestError::BadRequest(reason));
    }
    entry.wait_until_confirmed(CONFIRM_TIMEOUT).await;
    let active = entry.get_active_config();
    if active.state.number == 0 {
        return Err(RequestError::NoTicket);
    }
    let authority = request.uri().authority().map(ToString::to_string);
    let host =
        authority.or_else(|| get_header_text(request.headers(), HOST.as_str()).map(str::to_owned));
    let host = host.unwrap_or_default();
    let name = host
        .rsplit_once(':')
        .map_or(host.as_str(), |(name, _)| name);
    let found = active
        .router
        .find(name, request.uri().path(), request.method().as_str());
    let Some((route, service)) = found.cloned() else {
        return Err(RequestError::NoRoute);
    };
    *metric_labels = Some((service.clone(), route.class));
    let mut prepared = prepare_request(entry, request, &host, route, service).await?;
    let mut owner_names = entry.get_owners(&prepared.service);
    if source == RequestSource::Entry || owner_names.contains(&entry.settings.name) {
        owner_names.clear();
    }
    // If the servers accept too few connections for every entry to hold one for each slot, an
    // idempotent request is forwarded to an owner of the service, which sends it to a server. A
    // request that must run at most once is not forwarded: this entry gets a permit for it and
    // connects to the server itself.
    if !prepared.is_at_most_once()
        && !prepared.service.has_direct_dispatch()
        && !owner_names.is_empty()
    {
        let forwarded = tokio::select! {
            // Polled first: an answer that has come is passed on.
            biased;
            forwarded = forward(entry, &owner_names, &mut prepared) => forwarded?,
            () = entry.requests_end.cancelled() => return Err(RequestError::stopping_while_run()),
        };
        match forwarded {
            Some(answer) => return Ok(answer),
            None => owner_names.clear(),
        }
    }
    let mut owners = OwnerList::new(owner_names);
    let key = get_header_text(&prepared.headers, IDEMPOTENCY_KEY_HEADER)
        .filter(|_| prepared.is_at_most_once());
    let Some(key) = key else {
        // Only here can `may_have_run` be true: a request with a claim must run at most once, and
        // is neither forwarded nor hedged.
        let result = send_with_retries(entry, &mut owners, &mut prepared, None).await;
        return result.map_err(|error| prepared.account_for_earlier_attempts(error));
    };
    let mut claim = ClaimGuard::new(entry, &prepared.service, key);
    let result = send_with_retries(entry, &mut owners, &mut prepared, Some(&claim.request)).await;
    claim.record_result(&owners, &result);
    result
}

/// Prepares a request for sending: removes hop-by-hop headers, sets `Host`, sets the deadline to
/// the earlier one of caller and route, and reads a body that may have to be sent again. Removes
/// the attempt number of a request that is not idempotent.
async fn prepare_request(
    entry: &Entry,
    request: Request<Incoming>,
    host: &str,
    route: Route,
    service: Arc<Service>,
) -> Result<PreparedRequest, RequestError> {
    let (mut parts, body) = request.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let arrived = entry.clock.now();
    let requested = get_header_duration(&parts.headers, DEADLINE_HEADER);
    let time_limit = requested.map_or(route.deadline, |requested| requested.min(route.deadline));
    let target = parts.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    set_header(&mut parts.headers, HOST.as_str(), host);
    let is_idempotent = route.class == RequestClass::Idempotent;
    let payload = tokio::select! {
        payload = Payload::read(body, is_idempotent, entry.settings.body_bytes) => payload?,
        () = entry.attempts_end.cancelled() => return Err(RequestError::Stopping),
    };
    // `send_with_retries` does not retry a request that carries an attempt number. A request that
    // is not idempotent loses the number, so that a retry by the caller may be retried here if no
    // server ran it.
    if !is_idempotent {
        parts.headers.remove(ATTEMPT_HEADER);
    }
    Ok(PreparedRequest {
        method: parts.method,
        uri: Uri::from(target),
        headers: parts.headers,
        payload,
        route,
        service,
        arrived,
        received: entry.clock.now(),
        deadline: arrived + time_limit,
        may_have_run: false,
    })
}
