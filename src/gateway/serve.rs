use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, Uri};
use lentilcart_platform::HEADER_NAMES;
use lentilcart_route::{Restriction, ServerPool, ShedCause, get_shed_rule};
use lentilcart_state::PathRoute;
use lentilcart_util::{Micros, Name};
use rand::RngExt;
use tokio::time::{Instant, timeout, timeout_at};

use super::account_limits::RequestCredit;
use super::attempt::{GatewayRequest, dispatch};
use super::body_memory::NoRoom;
use super::error_reply::{ErrorReason, ErrorReply};
use super::gateway::{ActiveRoutes, Gateway};
use super::identity::{KeyRefusal, find_account, remove_account_headers};
use super::response::is_refusal;
use crate::http::{
    ArrivalTime, BodyEnd, HttpBody, NotifyOnEnd, find_request_error, get_header_duration,
    get_header_text, set_header, stream_body, strip_hop_by_hop,
};

/// Upper bound of the time until a rejected caller may retry, as a share of its remaining time.
const RETRY_AFTER_SHARE: f64 = 0.25;
/// Share of a request's remaining time after which there must be room again for a retry to be of use; the reply
/// says so if there is none.
const RETURN_SHARE: f64 = 1.0 / 3.0;
/// Minimum time until a rejected caller may retry; less if [`RETRY_AFTER_SHARE`] of the remaining time
/// is less.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(30);
/// Maximum time until a rejected caller may retry.
const MAX_RETRY_AFTER: Micros = Micros::from_millis(250);
/// Minimum time until a retry if another attempt may succeed at once: after [`ErrorReason::NotRun`],
/// [`ErrorReason::NoBudget`], [`ErrorReason::Unreachable`], [`ErrorReason::Stopping`] and
/// [`ErrorReason::RoutesBehind`]. Less if [`RETRY_AFTER_SHARE`] of the
/// remaining time is less.
const MIN_QUICK_RETRY_AFTER: Micros = Micros::from_millis(2);
/// Maximum time until a retry in that case.
const MAX_QUICK_RETRY_AFTER: Micros = Micros::from_millis(10);
/// Longest wait of a request body for memory, as a share of the request's remaining time: its caller needs
/// the rest to send it elsewhere.
const MEMORY_WAIT_SHARE: f64 = 0.5;
/// Shortest of these waits where load shedding plans ahead, as a share of the latency objective: a refusal in this
/// time costs a caller nothing.
const SHORTEST_MEMORY_WAIT_SHARE: f64 = 0.125;
/// Time for which the bodies of rejected requests are still read and dropped once this entry, which is
/// leaving, begins no more attempts.
const DISCARD_GRACE: Duration = Duration::from_millis(500);
/// Time until a retry after [`ErrorReason::Evacuated`]: an evacuation lasts for seconds at least, and its end
/// takes about as long to reach an entry.
const EVACUATED_RETRY_AFTER: Micros = Micros::from_millis(1000);
/// Time for which the body of a request that is refused unread is read and dropped: 60 KB at 1 Mbit/s, with little
/// to spare.
const REFUSED_BODY_TIME: Duration = Duration::from_millis(500);
/// Remaining time assumed when computing `Retry-After` if no route has been matched and the caller sets
/// no deadline.
const DEFAULT_REMAINING: Micros = Micros::from_millis(1000);
/// What logs and metrics show instead of the account of a request whose key is refused. One name for all of
/// them, so that callers cannot add series to the metrics.
const UNKNOWN_ACCOUNT: &str = "unknown";

/// What the log line and the metrics of a request report, and the remaining time, which bounds
/// `Retry-After`.
struct RequestSummary {
    id: Name,
    route: Name,
    service: Name,
    /// Name of the client account, or [`UNKNOWN_ACCOUNT`] if its key is refused; `None` where none is needed.
    account: Option<Name>,
    /// Attempts, counted like [`GatewayRequest::attempts`].
    attempts: u32,
    /// Length of this entry's own queue for the service when the request was rejected, else 0.
    queue_len: usize,
    /// How long the servers have no room by what they say of themselves, and how they restrict requests, if
    /// the request was rejected for that.
    restriction: Option<(Micros, Restriction)>,
    /// Time after which the caller should come back, and why, if load shedding refused the request.
    shed: Option<(Micros, ShedCause)>,
    /// Version of the routes in force.
    routes_version: u64,
    /// The request's timeout, as far as it is known, and once it was dispatched the time left until its
    /// deadline.
    remaining: Micros,
}

impl RequestSummary {
    /// Takes over how a request was dispatched.
    fn record_dispatch(&mut self, inbound: &GatewayRequest) {
        self.attempts = inbound.attempts;
        self.queue_len = inbound.queue_len;
        self.restriction = inbound.restriction;
        self.shed = inbound.shed;
    }
}

/// Serves a caller's request and records its result in the log and the metrics.
pub(crate) async fn serve_caller(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let routes = gateway.get_active_routes();
    serve_by_routes(gateway, routes, request).await
}

/// Serves a caller's request by a version of the routes. The request arrived now, unless its extension says
/// when.
pub(super) async fn serve_by_routes<B>(
    gateway: Arc<Gateway>,
    routes: Arc<ActiveRoutes>,
    request: Request<B>,
) -> Response<HttpBody>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Display,
{
    let arrival = request.extensions().get::<ArrivalTime>();
    let started = arrival.map_or_else(
        || gateway.clock.now(),
        |arrival| gateway.clock.to_micros(arrival.0),
    );
    let mut summary = RequestSummary {
        id: get_header_text(request.headers(), HEADER_NAMES.request_id)
            .unwrap_or_default()
            .into(),
        route: "none".into(),
        service: "none".into(),
        account: None,
        attempts: 0,
        queue_len: 0,
        restriction: None,
        shed: None,
        routes_version: 0,
        remaining: DEFAULT_REMAINING,
    };
    gateway.in_flight.fetch_add(1, Ordering::Relaxed);
    let guard = InFlightGuard(gateway.clone());
    let result = handle_request(&gateway, &routes, request, started, &mut summary).await;
    let elapsed = gateway.clock.now() - started;
    let account = summary.account.as_deref().unwrap_or("none");
    // That of the knowledge that there are no later routes; -1 if it was never confirmed.
    let routes_age_ms = gateway.get_routes_age().map_or(-1.0, Micros::as_millis);
    let mut response = match result {
        Ok(mut response) => {
            if is_refusal(response.status()) {
                // It holds for this entry, while the caller may get another server.
                response.headers_mut().remove(HEADER_NAMES.retry_after);
            }
            record_metrics(&summary, "answered", elapsed);
            log::debug!(
                request:% = summary.id, route:% = summary.route, service:% = summary.service, account,
                number = summary.routes_version, routes_age_ms, took_ms = elapsed.as_millis();
                "answered"
            );
            response
        }
        Err(mut reply) => {
            record_metrics(&summary, reply.reason.as_str(), elapsed);
            let restriction = summary.restriction;
            let room_after = match reply.reason {
                ErrorReason::Evacuated => Some(EVACUATED_RETRY_AFTER),
                _ => restriction.map(|(room_after, _)| room_after),
            };
            let shed = summary
                .shed
                .filter(|_| reply.reason == ErrorReason::Overload);
            reply.retry_after = Some(match (reply.retry_after, shed) {
                // When there is credit of the account again.
                (Some(credit_after), _) => credit_after,
                // The times of the requests that are refused together have been spread already.
                (None, Some((come_back, _))) => come_back.max(room_after.unwrap_or_default()),
                (None, None) => get_retry_after(reply.reason, summary.remaining, room_after),
            });
            let shed = shed.map_or("none", |(come_back, cause)| {
                record_shed(&summary, come_back, cause, elapsed)
            });
            if reply.detail.is_empty() && shed != "none" {
                shed.clone_into(&mut reply.detail);
            }
            let restricted = restriction.map_or("none", |(_, restriction)| restriction.as_str());
            let evacuated = match reply.reason {
                ErrorReason::Evacuated => gateway.describe_evacuations(),
                _ => String::new(),
            };
            if restriction.is_some() {
                metrics::counter!(
                    "lentilcart_requests_restricted_total",
                    "service" => summary.service.to_string(), "reason" => restricted
                )
                .increment(1);
            }
            log::info!(
                request:% = summary.id, route:% = summary.route, service:% = summary.service, account,
                reason = reply.reason.as_str(), status = reply.reason.get_status().as_u16(),
                sent = summary.attempts, waiting = summary.queue_len, shed, retry_after_ms = reply.retry_after.map_or(0.0, Micros::as_millis), restricted, evacuated, number = summary.routes_version, routes_age_ms, took_ms = elapsed.as_millis(),
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
    if let Some(account) = &summary.account {
        metrics::counter!(
            "lentilcart_account_requests_total",
            "account" => account.to_string(), "outcome" => outcome
        )
        .increment(1);
    }
    metrics::histogram!("lentilcart_request_seconds", "service" => service)
        .record(elapsed.as_secs());
}

/// Records that load shedding refused a request, and returns the cause as in logs, metrics and response bodies.
/// `come_back` is the time after which the caller should come back, `held` that for which the request was held.
fn record_shed(
    summary: &RequestSummary,
    come_back: Micros,
    cause: ShedCause,
    held: Micros,
) -> &'static str {
    let (is_displaced, has_room) = (
        matches!(cause, ShedCause::Displaced(_)),
        come_back <= summary.remaining.scaled(RETURN_SHARE),
    );
    let cause = match (is_displaced, has_room) {
        (false, true) => "too-late",
        (false, false) => "too-late-no-room-in-time",
        (true, true) => "displaced",
        (true, false) => "displaced-no-room-in-time",
    };
    let service = summary.service.to_string();
    metrics::counter!(
        "lentilcart_requests_shed_total", "service" => service.clone(), "cause" => cause
    )
    .increment(1);
    metrics::histogram!("lentilcart_shed_held_seconds", "service" => service)
        .record(held.as_secs());
    cause
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
        | ErrorReason::Stopping
        | ErrorReason::RoutesBehind => (MIN_QUICK_RETRY_AFTER, MAX_QUICK_RETRY_AFTER),
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
async fn handle_request<B>(
    gateway: &Arc<Gateway>,
    routes: &Arc<ActiveRoutes>,
    request: Request<B>,
    arrived: Micros,
    summary: &mut RequestSummary,
) -> Result<Response<HttpBody>, ErrorReply>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Display,
{
    if let Some(reason) = find_request_error(&request) {
        return Err(ErrorReply::new(ErrorReason::BadRequest, reason));
    }
    if summary.id.is_empty() {
        let detail = format!("{} is missing", HEADER_NAMES.request_id);
        return Err(ErrorReply::new(ErrorReason::BadRequest, detail));
    }
    summary.routes_version = routes.table.version;
    let requested = get_header_duration(request.headers(), HEADER_NAMES.deadline);
    summary.remaining = requested.unwrap_or(DEFAULT_REMAINING);
    let host = get_host(&request);
    let route = match routes.table.find_route(&host, request.uri().path()) {
        _ if routes.table.version == 0 => return Err(ErrorReply::new(ErrorReason::NoRoutes, "")),
        _ if gateway.is_expired() => {
            return Err(ErrorReply::new(ErrorReason::RoutesBehind, "expired"));
        }
        Some(route) => route.clone(),
        None => {
            let reason = gateway.get_missing_reason(routes, ErrorReason::UnknownRoute);
            return Err(ErrorReply::new(reason, ""));
        }
    };
    summary.route = route.name.clone();
    summary.remaining = requested.map_or(route.timeout, |requested| requested.min(route.timeout));
    let deadline = arrived + summary.remaining;
    let identity = match find_account(&routes.table, &route, request.headers()) {
        Ok(identity) => identity,
        Err(refusal) => {
            summary.account = Some(UNKNOWN_ACCOUNT.into());
            return Err(refuse_key(gateway, routes, refusal, request));
        }
    };
    let (account, key) = identity.map(|found| (found.account, found.key)).unzip();
    // From here on the account is known, and nothing of the body has been read.
    summary.account = account.as_ref().map(|account| account.name.clone());
    let credit = RequestCredit::acquire(gateway, account.as_deref(), summary.remaining).await;
    let credit = match credit {
        Ok(credit) => credit,
        Err(reply) => {
            discard_refused_body(gateway, request.into_body());
            return Err(reply);
        }
    };
    let service = route.pick_service().clone();
    summary.service = service.clone();
    let to_instant = |time| Instant::from_std(gateway.clock.to_instant(time));
    let limits = BodyLimits {
        bytes: routes.table.limits.body_bytes.min(gateway.max_body),
        deadline: to_instant(deadline),
        memory_wait_end: to_instant(get_memory_wait_end(
            gateway, routes, &route, &service, arrived, deadline,
        )),
    };
    let (mut parts, body) = request.into_parts();
    let body = receive_body(gateway, &service, body, limits).await?;
    let Some(dispatcher) = routes.dispatchers.get(&service) else {
        return Err(ErrorReply::new(ErrorReason::NoServer, ""));
    };
    if !routes.table.accounts.is_empty() {
        remove_account_headers(&mut parts.headers);
    }
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
        account,
        key,
        credit,
        host,
        arrived,
        received: gateway.clock.now(),
        deadline,
        attempts: 0,
        queue_len: 0,
        restriction: None,
        shed: None,
        may_have_run: false,
    };
    let result = dispatch(gateway, dispatcher, &mut inbound).await;
    summary.record_dispatch(&inbound);
    summary.remaining = deadline - gateway.clock.now();
    result
}

/// Returns the time until which the body of a request waits for memory: half of its time or, where load shedding
/// plans ahead, as long as it can be answered by its objective after that, if that is less. A shed request must be
/// refused early, so that its caller can send it elsewhere.
fn get_memory_wait_end(
    gateway: &Gateway,
    routes: &ActiveRoutes,
    route: &PathRoute,
    service: &Name,
    arrived: Micros,
    deadline: Micros,
) -> Micros {
    let half = arrived + (deadline - arrived).scaled(MEMORY_WAIT_SHARE);
    let shedding = &gateway.settings.load().servers.shedding;
    if !get_shed_rule(shedding).is_some_and(|rule| rule.plans) {
        return half;
    }
    let dispatcher = routes.dispatchers.get(service);
    let service_time = dispatcher.and_then(|it| it.read_pool(ServerPool::get_base_service_time));
    let objective = route.latency_objective;
    let shortest = objective.scaled(SHORTEST_MEMORY_WAIT_SHARE);
    let wait = shortest.max(objective - service_time.unwrap_or_default());
    half.min(arrived + wait)
}

/// Returns the route of a request, by its host and path.
pub(super) fn find_route<'a, B>(
    routes: &'a ActiveRoutes,
    request: &Request<B>,
) -> Option<&'a Arc<PathRoute>> {
    routes
        .table
        .find_route(&get_host(request), request.uri().path())
}

/// Returns the host that a request is for; empty if it names none.
fn get_host<B>(request: &Request<B>) -> String {
    let authority = request.uri().authority().map(ToString::to_string);
    let host =
        authority.or_else(|| get_header_text(request.headers(), HOST.as_str()).map(str::to_owned));
    host.unwrap_or_default()
}

/// Returns the reply to a request whose key is refused.
fn refuse_key<B>(
    gateway: &Arc<Gateway>,
    routes: &ActiveRoutes,
    refusal: KeyRefusal,
    request: Request<B>,
) -> ErrorReply
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    discard_refused_body(gateway, request.into_body());
    let reason = gateway.get_missing_reason(routes, ErrorReason::UnknownKey);
    ErrorReply::new(reason, refusal.as_str())
}

/// Reads and drops the body of a request that is refused before it has been read, so that its caller gets the
/// reply, for a short time and for a limited number of bodies: a flood of them is dropped unread.
fn discard_refused_body<B>(gateway: &Arc<Gateway>, mut body: B)
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
{
    if body.is_end_stream() {
        return;
    }
    let Ok(permit) = gateway.refused_bodies.clone().try_acquire_owned() else {
        return;
    };
    let give_up = gateway.attempts_end.clone();
    gateway.tasks.spawn(async move {
        let _permit = permit;
        let discard = async { while let Some(Ok(_)) = body.frame().await {} };
        tokio::select! {
            _ = timeout(REFUSED_BODY_TIME, discard) => {}
            () = give_up.cancelled() => {}
        }
    });
}

/// Limits of a request body.
#[derive(Debug, Clone, Copy)]
struct BodyLimits {
    /// Largest size, in bytes.
    bytes: u64,
    /// Time by which it must have arrived.
    deadline: Instant,
    /// Time until which it may wait for memory.
    memory_wait_end: Instant,
}

/// Reads a request body by its deadline. That of a request that is refused for lack of memory, or since this
/// entry is stopping, is read and dropped.
async fn receive_body<B>(
    gateway: &Arc<Gateway>,
    service: &Name,
    mut body: B,
    limits: BodyLimits,
) -> Result<Bytes, ErrorReply>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Display,
{
    let read = timeout_at(
        limits.deadline,
        read_request_body(gateway, service, &mut body, limits),
    );
    let read = tokio::select! {
        read = read => read.unwrap_or_else(|_| Err(ErrorReply::new(ErrorReason::SlowBody, ""))),
        () = gateway.attempts_end.cancelled() => {
            Err(ErrorReply::new(ErrorReason::Stopping, "the body is not complete"))
        }
    };
    if let Err(reply) = &read
        && matches!(reply.reason, ErrorReason::NoMemory | ErrorReason::Stopping)
    {
        discard_body(gateway, body, limits.deadline);
    }
    read
}

/// Reads a request body completely, since a request is sent to a server only when all of it has
/// arrived. Memory is taken before it is read, so that a caller whose body has to wait is slowed down by
/// its connection.
///
/// A body of unknown length takes room for a small one from the reserve first, and for the largest one when
/// it is not small. It never waits with more than that, so that no two bodies wait for each other.
///
/// # Errors
///
/// Returns an error reply if the body exceeds the limit, cannot be read or gets no memory in time.
async fn read_request_body<B>(
    gateway: &Arc<Gateway>,
    service: &Name,
    body: &mut B,
    limits: BodyLimits,
) -> Result<Bytes, ErrorReply>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Display,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = limits.bytes;
    let too_large = || ErrorReply::new(ErrorReason::TooLarge, format!("more than {limit} bytes"));
    if body.size_hint().lower() > limit {
        return Err(too_large());
    }
    let wait_end = limits.memory_wait_end;
    let room = match body.size_hint().exact() {
        Some(length) => gateway.bodies.take(service, length, wait_end).await,
        None => gateway.bodies.take_start(service, limit, wait_end).await,
    };
    let mut room = room.map_err(refuse_body)?;
    let mut read = Vec::with_capacity(room.get_bytes() as usize);
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| ErrorReply::new(ErrorReason::BadRequest, error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = (read.len() + data.len()) as u64;
        if length > limit {
            return Err(too_large());
        }
        if length > room.get_bytes() {
            let larger = gateway.bodies.take(service, limit, wait_end).await;
            room = larger.map_err(refuse_body)?;
            read.reserve_exact(limit as usize - read.len());
        }
        read.extend_from_slice(&data);
    }
    Ok(room.hold(read))
}

/// Returns the reply to a request whose body gets no memory, and counts it.
fn refuse_body(reason: NoRoom) -> ErrorReply {
    metrics::counter!("lentilcart_bodies_refused_total", "reason" => reason.as_str()).increment(1);
    ErrorReply::new(ErrorReason::NoMemory, reason.as_str())
}

/// Reads and drops the rest of the body of a rejected request, one body at a time: many callers read the
/// reply only when they have written the whole request, and a connection that is closed with unread bytes
/// is reset. It ends at the request's deadline, or soon after the last attempts of a stopping entry.
fn discard_body<B>(gateway: &Arc<Gateway>, mut body: B, deadline: Instant)
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
{
    let shared = gateway.clone();
    gateway.tasks.spawn(async move {
        let discard = async {
            let _permit = shared.discards.acquire().await;
            while let Some(Ok(_)) = body.frame().await {}
        };
        let stopped = async {
            shared.attempts_end.cancelled().await;
            tokio::time::sleep(DISCARD_GRACE).await;
        };
        tokio::select! {
            _ = timeout_at(deadline, discard) => {}
            () = stopped => {}
        }
    });
}
