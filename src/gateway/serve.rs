use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::Limited;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_route::Restriction;
use lentilcart_util::{Micros, Name};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::attempt::{GatewayRequest, dispatch};
use super::error_reply::{ErrorReason, ErrorReply};
use super::gateway::{ActiveRoutes, Gateway};
use super::response::is_refusal;
use crate::http::{
    BodyEnd, HttpBody, NotifyOnEnd, find_request_error, get_header_duration, get_header_text,
    read_body, set_header, stream_body, strip_hop_by_hop,
};

/// Upper bound of the time until a rejected caller may retry, as a share of its remaining time.
const RETRY_AFTER_SHARE: f64 = 0.25;
/// Minimum time until a rejected caller may retry; less if [`RETRY_AFTER_SHARE`] of the remaining time
/// is less.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(30);
/// Maximum time until a rejected caller may retry.
const MAX_RETRY_AFTER: Micros = Micros::from_millis(250);
/// Minimum time until a retry if another attempt may succeed at once: after [`ErrorReason::NotRun`],
/// [`ErrorReason::NoBudget`], [`ErrorReason::Unreachable`] and [`ErrorReason::Stopping`]. Less if [`RETRY_AFTER_SHARE`] of the
/// remaining time is less.
const MIN_QUICK_RETRY_AFTER: Micros = Micros::from_millis(2);
/// Maximum time until a retry in that case.
const MAX_QUICK_RETRY_AFTER: Micros = Micros::from_millis(10);
/// Remaining time assumed when computing `Retry-After` if no route has been matched and the caller sets
/// no deadline.
const DEFAULT_REMAINING: Micros = Micros::from_millis(1000);

/// What the log line and the metrics of a request report, and the remaining time, which bounds
/// `Retry-After`.
struct RequestSummary {
    id: Name,
    route: Name,
    service: Name,
    /// Attempts, counted like [`GatewayRequest::attempts`].
    attempts: u32,
    /// Length of this entry's own queue for the service when the request was rejected, else 0.
    queue_len: usize,
    /// How long the servers have no room by what they say of themselves, and how they restrict requests, if
    /// the request was rejected for that.
    restriction: Option<(Micros, Restriction)>,
    /// Version of the routes in force.
    routes_version: u64,
    /// The request's timeout, as far as it is known, and once it was dispatched the time left until its
    /// deadline.
    remaining: Micros,
}

/// Serves a caller's request and records its result in the log and the metrics.
pub(crate) async fn serve_caller(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let started = gateway.clock.now();
    let mut summary = RequestSummary {
        id: get_header_text(request.headers(), HEADER_NAMES.request_id)
            .unwrap_or_default()
            .into(),
        route: "none".into(),
        service: "none".into(),
        attempts: 0,
        queue_len: 0,
        restriction: None,
        routes_version: 0,
        remaining: DEFAULT_REMAINING,
    };
    gateway.in_flight.fetch_add(1, Ordering::Relaxed);
    let guard = InFlightGuard(gateway.clone());
    let result = handle_request(&gateway, request, started, &mut summary).await;
    let elapsed = gateway.clock.now() - started;
    let mut response = match result {
        Ok(mut response) => {
            if is_refusal(response.status()) {
                // It holds for this entry, while the caller may get another server.
                response.headers_mut().remove(HEADER_NAMES.retry_after);
            }
            record_metrics(&summary, "answered", elapsed);
            log::debug!(request:% = summary.id, route:% = summary.route, took_ms = elapsed.as_millis(); "answered");
            response
        }
        Err(mut reply) => {
            record_metrics(&summary, reply.reason.as_str(), elapsed);
            let restriction = summary.restriction;
            let room_after = restriction.map(|(room_after, _)| room_after);
            reply.retry_after = Some(get_retry_after(reply.reason, summary.remaining, room_after));
            let restricted = restriction.map_or("none", |(_, restriction)| restriction.as_str());
            if restriction.is_some() {
                metrics::counter!(
                    "lentilcart_requests_restricted_total",
                    "service" => summary.service.to_string(), "reason" => restricted
                )
                .increment(1);
            }
            log::info!(
                request:% = summary.id, route:% = summary.route, service:% = summary.service,
                reason = reply.reason.as_str(), status = reply.reason.get_status().as_u16(),
                sent = summary.attempts, waiting = summary.queue_len, restricted, number = summary.routes_version, took_ms = elapsed.as_millis(),
                detail = reply.detail.as_str();
                "request not served"
            );
            reply.into_response()
        }
    };
    let headers = response.headers_mut();
    strip_hop_by_hop(headers);
    headers.remove(HEADER_NAMES.load);
    if !summary.id.is_empty() {
        set_header(headers, HEADER_NAMES.request_id, &summary.id);
    }
    if gateway.is_leaving() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| stream_body(NotifyOnEnd::new(body, move |_: BodyEnd| drop(guard))))
}

/// Counts a request as in flight until its response has been written or its caller has disconnected.
struct InFlightGuard(Arc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Records the outcome and the duration of a request.
fn record_metrics(summary: &RequestSummary, outcome: &'static str, elapsed: Micros) {
    let (route, service) = (summary.route.to_string(), summary.service.to_string());
    metrics::counter!(
        "lentilcart_requests_total",
        "route" => route, "service" => service.clone(), "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("lentilcart_request_seconds", "service" => service)
        .record(elapsed.as_secs());
}

/// Returns the time after which a rejected caller may retry, with random jitter so that callers do not
/// return together: almost at once if another attempt may find a server that accepts it, later if the
/// service or this entry needs time to recover, and not before `room_after` if it is known that no server
/// accepts a request until then.
fn get_retry_after(reason: ErrorReason, remaining: Micros, room_after: Option<Micros>) -> Micros {
    let (shortest, longest) = match reason {
        ErrorReason::NotRun
        | ErrorReason::NoBudget
        | ErrorReason::Unreachable
        | ErrorReason::Stopping => (MIN_QUICK_RETRY_AFTER, MAX_QUICK_RETRY_AFTER),
        _ => (MIN_RETRY_AFTER, MAX_RETRY_AFTER),
    };
    let longest = remaining.scaled(RETRY_AFTER_SHARE).min(longest);
    let shortest = shortest.min(longest);
    let spread = (longest - shortest).scaled(rand::rng().random_range(0.0..1.0));
    shortest.max(room_after.unwrap_or_default()) + spread
}

/// Checks a request, matches its route, reads its body and dispatches it.
///
/// Fills in `summary` on the way, also if the request fails.
async fn handle_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Micros,
    summary: &mut RequestSummary,
) -> Result<Response<HttpBody>, ErrorReply> {
    if let Some(reason) = find_request_error(&request) {
        return Err(ErrorReply::new(ErrorReason::BadRequest, reason));
    }
    if summary.id.is_empty() {
        let detail = format!("{} is missing", HEADER_NAMES.request_id);
        return Err(ErrorReply::new(ErrorReason::BadRequest, detail));
    }
    let routes = gateway.get_active_routes();
    summary.routes_version = routes.table.version;
    let requested = get_header_duration(request.headers(), HEADER_NAMES.deadline);
    summary.remaining = requested.unwrap_or(DEFAULT_REMAINING);
    let authority = request.uri().authority().map(ToString::to_string);
    let host =
        authority.or_else(|| get_header_text(request.headers(), HOST.as_str()).map(str::to_owned));
    let host = host.unwrap_or_default();
    let route = match routes.table.find_route(&host, request.uri().path()) {
        _ if routes.table.version == 0 => return Err(ErrorReply::new(ErrorReason::NoRoutes, "")),
        Some(route) => route.clone(),
        None => return Err(ErrorReply::new(get_unmatched_reason(gateway, &routes), "")),
    };
    summary.route = route.name.clone();
    summary.remaining = requested.map_or(route.timeout, |requested| requested.min(route.timeout));
    let deadline = arrived + summary.remaining;
    let limit = routes.table.limits.body_bytes;
    let (mut parts, body) = request.into_parts();
    let deadline_at = Instant::from_std(gateway.clock.to_instant(deadline));
    let read = timeout_at(deadline_at, read_request_body(body, limit));
    let body = tokio::select! {
        read = read => match read {
            Ok(body) => body?,
            Err(_) => return Err(ErrorReply::new(ErrorReason::SlowBody, "")),
        },
        () = gateway.attempts_end.cancelled() => {
            return Err(ErrorReply::new(ErrorReason::Stopping, "the body is not complete"));
        }
    };
    let service = route.pick_service().clone();
    summary.service = service.clone();
    let Some(dispatcher) = routes.dispatchers.get(&service) else {
        return Err(ErrorReply::new(ErrorReason::NoServer, ""));
    };
    parts.headers.remove(TRANSFER_ENCODING);
    strip_hop_by_hop(&mut parts.headers);
    let path_and_query = parts.uri.path_and_query().cloned();
    let path_and_query = path_and_query.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut inbound = GatewayRequest {
        id: summary.id.clone(),
        method: parts.method,
        uri: Uri::from(path_and_query),
        headers: parts.headers,
        body,
        route,
        arrived,
        received: gateway.clock.now(),
        deadline,
        attempts: 0,
        queue_len: 0,
        restriction: None,
        may_have_run: false,
    };
    let result = dispatch(gateway, dispatcher, &mut inbound).await;
    summary.attempts = inbound.attempts;
    summary.queue_len = inbound.queue_len;
    summary.restriction = inbound.restriction;
    summary.remaining = deadline - gateway.clock.now();
    result
}

/// Returns the error reason for a request that no route matches: [`ErrorReason::RoutesBehind`] if a
/// live entry has newer routes, which may contain the route, else [`ErrorReason::UnknownRoute`].
fn get_unmatched_reason(gateway: &Gateway, routes: &ActiveRoutes) -> ErrorReason {
    let now = gateway.clock.now();
    let members = gateway.lock_members();
    let newer = members.iter().any(|(name, member)| {
        member.applied_number > routes.table.version && members.is_live(name, now)
    });
    if newer {
        ErrorReason::RoutesBehind
    } else {
        ErrorReason::UnknownRoute
    }
}

/// Reads a request body completely, since a request is sent to a server only when all of it has
/// arrived.
///
/// # Errors
///
/// Returns an error reply if the body exceeds `limit` bytes or cannot be read.
async fn read_request_body(body: Incoming, limit: u64) -> Result<Bytes, ErrorReply> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = || ErrorReply::new(ErrorReason::TooLarge, format!("more than {limit} bytes"));
    if body.size_hint().lower() > limit {
        return Err(too_large());
    }
    match read_body(Limited::new(body, limit as usize)).await {
        Ok(read) => Ok(read),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(error) => Err(ErrorReply::new(ErrorReason::BadRequest, error.to_string())),
    }
}
