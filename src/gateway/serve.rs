use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_util::{Micros, Name};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use super::attempt::{GatewayRequest, dispatch};
use super::error_reply::{ErrorReason, ErrorReply};
use super::gateway::{ActiveRoutes, Gateway};
use crate::http::{
    End, HttpBody, Tail, check_request, millis_of, set, stream, strip_hop_by_hop, text_of,
};

/// Part of the time left after which a refused caller may come back at the latest.
const RETURN_SHARE: f64 = 0.25;
/// Shortest and usual longest pause of a refused caller.
const RETURN_FROM: Micros = Micros::from_millis(30);
const RETURN_TO: Micros = Micros::from_millis(250);
/// The same where the service has room, but the servers asked did not run the request.
const SOON_FROM: Micros = Micros::from_millis(2);
const SOON_TO: Micros = Micros::from_millis(10);
/// Time that a caller is given where neither it nor a route tells one.
const NO_ROUTE_TIME: Micros = Micros::from_millis(1000);

/// What a request's log line and counters need.
struct Label {
    id: Name,
    route: Name,
    service: Name,
    sent: u32,
    waiting: usize,
    number: u64,
    left: Micros,
}

/// Serves a caller's request.
pub(crate) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<HttpBody> {
    let started = gateway.clock.now();
    let mut label = Label {
        id: text_of(request.headers(), HEADER_NAMES.request_id)
            .unwrap_or_default()
            .into(),
        route: "none".into(),
        service: "none".into(),
        sent: 0,
        waiting: 0,
        number: 0,
        left: NO_ROUTE_TIME,
    };
    gateway.in_flight.fetch_add(1, Ordering::Relaxed);
    let guard = Guard(gateway.clone());
    let served = handle(&gateway, request, started, &mut label).await;
    let took = gateway.clock.now() - started;
    let mut response = match served {
        Ok(answer) => {
            count(&label, "answered", took);
            log::debug!(request:% = label.id, route:% = label.route, took_ms = took.as_millis(); "answered");
            answer
        }
        Err(mut refusal) => {
            count(&label, refusal.reason.as_str(), took);
            refusal.after = Some(get_pause(refusal.reason, label.left));
            log::info!(
                request:% = label.id, route:% = label.route, service:% = label.service,
                reason = refusal.reason.as_str(), status = refusal.reason.get_status().as_u16(),
                sent = label.sent, waiting = label.waiting, number = label.number, took_ms = took.as_millis(),
                detail = refusal.detail.as_str();
                "request not served"
            );
            refusal.into_response()
        }
    };
    let headers = response.headers_mut();
    strip_hop_by_hop(headers);
    headers.remove(HEADER_NAMES.load);
    if !label.id.is_empty() {
        set(headers, HEADER_NAMES.request_id, &label.id);
    }
    if gateway.is_leaving() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| stream(Tail::new(body, move |_: End| drop(guard))))
}

/// Counts a request as under way until its answer has been written or its caller has gone.
struct Guard(Arc<Gateway>);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn count(label: &Label, outcome: &'static str, took: Micros) {
    let (route, service) = (label.route.to_string(), label.service.to_string());
    metrics::counter!(
        "lentilcart_requests_total",
        "route" => route, "service" => service.clone(), "outcome" => outcome
    )
    .increment(1);
    metrics::histogram!("lentilcart_request_seconds", "service" => service).record(took.as_secs());
}

/// Returns when a refused caller may come back, spread so that callers do not return together: at
/// once where another try may find a server willing, later where the service or this entry needs
/// time.
fn get_pause(reason: ErrorReason, left: Micros) -> Micros {
    let (from, to) = match reason {
        ErrorReason::NotRun | ErrorReason::NoBudget | ErrorReason::Unreachable => {
            (SOON_FROM, SOON_TO)
        }
        _ => (RETURN_FROM, RETURN_TO),
    };
    let longest = left.scaled(RETURN_SHARE).min(to);
    let shortest = from.min(longest);
    let spread = (longest - shortest).scaled(rand::rng().random_range(0.0..1.0));
    shortest + spread
}

async fn handle(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    arrived: Micros,
    label: &mut Label,
) -> Result<Response<HttpBody>, ErrorReply> {
    if let Some(reason) = check_request(&request) {
        return Err(ErrorReply::new(ErrorReason::BadRequest, reason));
    }
    if label.id.is_empty() {
        let detail = format!("{} is missing", HEADER_NAMES.request_id);
        return Err(ErrorReply::new(ErrorReason::BadRequest, detail));
    }
    let view = gateway.get_routes();
    label.number = view.table.number;
    let asked = millis_of(request.headers(), HEADER_NAMES.deadline);
    label.left = asked.unwrap_or(NO_ROUTE_TIME);
    let authority = request.uri().authority().map(ToString::to_string);
    let host = authority.or_else(|| text_of(request.headers(), HOST.as_str()).map(str::to_owned));
    let host = host.unwrap_or_default();
    let rule = match view.table.find_route(&host, request.uri().path()) {
        _ if view.table.number == 0 => return Err(ErrorReply::new(ErrorReason::NoRoutes, "")),
        Some(rule) => rule.clone(),
        None => return Err(ErrorReply::new(get_unknown(gateway, &view), "")),
    };
    label.route = rule.name.clone();
    label.left = asked.map_or(rule.timeout, |asked| asked.min(rule.timeout));
    let deadline = arrived + label.left;
    let limit = view.table.limits.body_bytes;
    let (mut parts, body) = request.into_parts();
    let ends = Instant::from_std(gateway.clock.at(deadline));
    let body = match timeout_at(ends, read_body(body, limit)).await {
        Ok(body) => body?,
        Err(_) => return Err(ErrorReply::new(ErrorReason::SlowBody, "")),
    };
    let service = rule.pick_service().clone();
    label.service = service.clone();
    let Some(desk) = view.desks.get(&service) else {
        return Err(ErrorReply::new(ErrorReason::NoServer, ""));
    };
    parts.headers.remove(TRANSFER_ENCODING);
    strip_hop_by_hop(&mut parts.headers);
    let target = parts.uri.path_and_query().cloned();
    let target = target.unwrap_or_else(|| PathAndQuery::from_static("/"));
    let mut call = GatewayRequest {
        id: label.id.clone(),
        method: parts.method,
        uri: Uri::from(target),
        headers: parts.headers,
        body,
        rule,
        arrived,
        deadline,
        sent: 0,
        waiting: 0,
        may_have_run: false,
    };
    let result = dispatch(gateway, desk, &mut call).await;
    label.sent = call.sent;
    label.waiting = call.waiting;
    label.left = deadline - gateway.clock.now();
    result
}

/// Returns whether an unknown route is one that newer routes may have.
fn get_unknown(gateway: &Gateway, view: &ActiveRoutes) -> ErrorReason {
    let now = gateway.clock.now();
    let members = gateway.members();
    let newer = members
        .iter()
        .any(|(name, row)| row.applied_number > view.table.number && members.is_live(name, now));
    if newer {
        ErrorReason::RoutesBehind
    } else {
        ErrorReason::UnknownRoute
    }
}

/// Reads a body whole: it is sent to a server only when all of it is there.
async fn read_body(body: Incoming, limit: u64) -> Result<Bytes, ErrorReply> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let too_large = || ErrorReply::new(ErrorReason::TooLarge, format!("more than {limit} bytes"));
    if body.size_hint().lower() > limit {
        return Err(too_large());
    }
    match Limited::new(body, limit as usize).collect().await {
        Ok(read) => Ok(read.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Err(error) => Err(ErrorReply::new(ErrorReason::BadRequest, error.to_string())),
    }
}
