use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, VIA};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri, Version};
use lentilcart_state::{RequestClass, Route, Service};

use super::attempt::{Call, dispatch};
use super::claimed::Claimed;
use super::entry::Entry;
use super::failure::Failure;
use super::forward::forward;
use super::payload::Payload;
use super::post::Posts;
use super::stats::record;
use crate::http::{
    ATTEMPT, DEADLINE_MS, End, FORWARDED, HttpBody, IDEMPOTENCY_KEY, OUTCOME, REQUEST_ID, Tail,
    check_request, millis_of, set, stream, strip_hop_by_hop, text_of,
};
use crate::peer::serve_link;

const WAKE_PATIENCE: Duration = Duration::from_millis(300);
const FORWARDED_FOR: &str = "x-forwarded-for";
const VIA_ENTRY: &str = "1.1 lentilcart";

/// Where a request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Origin {
    Caller,
    Entry,
}

/// Serves a caller's request.
pub(crate) async fn serve_caller(
    entry: Arc<Entry>,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    serve(entry, remote, request, Origin::Caller).await
}

/// Serves another entry: a link, or a request that it forwards.
pub(crate) async fn serve_peer(
    entry: Arc<Entry>,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match request.uri().path() {
        "/link" if !request.headers().contains_key(FORWARDED) => serve_link(&entry, request),
        _ => serve(entry, remote, request, Origin::Entry).await,
    }
}

async fn serve(
    entry: Arc<Entry>,
    remote: SocketAddr,
    mut request: Request<Incoming>,
    origin: Origin,
) -> Response<HttpBody> {
    let started = Instant::now();
    let is_first_version = request.version() < Version::HTTP_2;
    let request_id = match text_of(request.headers(), REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => entry.next_attempt().to_string(),
    };
    set(request.headers_mut(), REQUEST_ID, &request_id);
    if origin == Origin::Caller {
        mark(&mut request, remote);
    }
    entry.stats.begin();
    let mut label = None;
    let served = handle(&entry, request, origin, &mut label).await;
    let mut outcome = "answered";
    let mut response = served.unwrap_or_else(|failure| {
        outcome = failure.get_told().as_str();
        log::debug!(request_id:% = request_id, outcome; "{failure:?}");
        failure.into_response(&request_id)
    });
    strip_hop_by_hop(response.headers_mut());
    set(response.headers_mut(), REQUEST_ID, &request_id);
    if entry.is_leaving() && is_first_version && origin == Origin::Caller {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| {
        stream(Tail::new(body, move |end| {
            entry.stats.end();
            let outcome = if end == End::Failed { "cut" } else { outcome };
            if let (Origin::Caller, Some((service, class))) = (origin, &label) {
                let service: &Service = service;
                record(
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

/// Removes what a caller must not set, and adds where the request came from.
fn mark(request: &mut Request<Incoming>, remote: SocketAddr) {
    let headers = request.headers_mut();
    headers.remove(FORWARDED);
    headers.remove(OUTCOME);
    let chain = match text_of(headers, FORWARDED_FOR) {
        Some(before) => format!("{before}, {}", remote.ip()),
        None => remote.ip().to_string(),
    };
    set(headers, FORWARDED_FOR, &chain);
    headers.append(VIA, HeaderValue::from_static(VIA_ENTRY));
}

async fn handle(
    entry: &Arc<Entry>,
    request: Request<Incoming>,
    origin: Origin,
    label: &mut Option<(Arc<Service>, RequestClass)>,
) -> Result<Response<HttpBody>, Failure> {
    if let Some(reason) = check_request(&request) {
        return Err(Failure::Bad(reason));
    }
    entry.wait_awake(WAKE_PATIENCE).await;
    let view = entry.get_active_tickets();
    if view.state.number == 0 {
        return Err(Failure::NoTicket);
    }
    let authority = request.uri().authority().map(ToString::to_string);
    let host = authority.or_else(|| text_of(request.headers(), HOST.as_str()).map(str::to_owned));
    let host = host.unwrap_or_default();
    let name = host
        .rsplit_once(':')
        .map_or(host.as_str(), |(name, _)| name);
    let found = view
        .router
        .find(name, request.uri().path(), request.method().as_str());
    let Some((route, service)) = found.cloned() else {
        return Err(Failure::NoRoute);
    };
    *label = Some((service.clone(), route.class));
    let mut call = prepare(entry, request, &host, route, service).await?;
    let mut homes = entry.get_owners(&call.service);
    if origin == Origin::Entry || homes.contains(&entry.settings.name) {
        homes.clear();
    }
    // Where connections are too few for every entry, a home sends what may run twice.
    if !call.is_once() && !call.service.has_direct_dispatch() && !homes.is_empty() {
        match forward(entry, &homes, &mut call).await? {
            Some(answer) => return Ok(answer),
            None => homes.clear(),
        }
    }
    let mut posts = Posts::new(homes);
    let key = text_of(&call.headers, IDEMPOTENCY_KEY).filter(|_| call.is_once());
    let Some(key) = key else {
        let result = dispatch(entry, &mut posts, &mut call, None).await;
        return result.map_err(|failure| call.honest(failure));
    };
    let mut claim = Claimed::new(entry, &call.service, key);
    let result = dispatch(entry, &mut posts, &mut call, Some(&claim.ask)).await;
    claim.end(&posts, &result);
    result
}

async fn prepare(
    entry: &Entry,
    request: Request<Incoming>,
    host: &str,
    route: Route,
    service: Arc<Service>,
) -> Result<Call, Failure> {
    let (mut parts, body) = request.into_parts();
    strip_hop_by_hop(&mut parts.headers);
    let arrived = entry.clock.now();
    let asked = millis_of(&parts.headers, DEADLINE_MS);
    let length = asked.map_or(route.deadline, |asked| asked.min(route.deadline));
    let target = parts.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    set(&mut parts.headers, HOST.as_str(), host);
    let may_repeat = route.class == RequestClass::Idempotent;
    let payload = Payload::take(body, may_repeat, entry.settings.body_bytes).await?;
    if !may_repeat {
        parts.headers.remove(ATTEMPT);
    }
    Ok(Call {
        method: parts.method,
        uri: Uri::from(target),
        headers: parts.headers,
        payload,
        route,
        service,
        arrived,
        deadline: arrived + length,
        may_have_run: false,
    })
}
