use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{Either, select};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use lentilcart_platform::{HEADER_NAMES, decode_load_report};
use lentilcart_route::{AttemptOutcome, Rejection, ServerPool};
use lentilcart_state::{PathRoute, RequestClass};
use lentilcart_util::{Micros, Name};
use tokio::time::{Instant, timeout_at};

use super::datagram::PermitRequest;
use super::error_reply::{ErrorReason, ErrorReply};
use super::gateway::Gateway;
use super::permit_table::{acquire, get_job};
use super::response::{ResponseVerdict, classify_response, read_response};
use crate::entry::{Dispatcher, Permit};
use crate::http::{End, HttpBody, SendError, full, set, text_of};

/// Servers that may turn out to be unreachable before a request is given up.
const MOST_UNREACHABLE: u32 = 3;
/// Highest rank of a pool's queue; it serves higher numbers first.
const TOP_PRIORITY: u8 = 9;

/// A caller's request, read whole.
pub(crate) struct GatewayRequest {
    pub(crate) id: Name,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) rule: Arc<PathRoute>,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    /// Servers that a byte of it was sent to.
    pub(crate) sent: u32,
    /// Requests that waited at this entry's desk when it was refused.
    pub(crate) waiting: usize,
    /// Whether a server may have run it.
    pub(crate) may_have_run: bool,
}

/// What became of one attempt.
enum AttemptResult {
    /// The server's own answer.
    Answer(Response<HttpBody>),
    /// The server's own failure, which another server may not have.
    Failure(Response<HttpBody>),
    /// The server did not run it.
    NotRun(String),
    /// No byte was sent.
    Unsent(String),
    /// It was sent, and no usable answer came.
    Cut(String),
}

impl GatewayRequest {
    fn may_repeat(&self) -> bool {
        self.rule.class == RequestClass::Idempotent
    }

    fn get_ask(&self, gateway: &Gateway, desk: &Dispatcher, tried: &[SocketAddr]) -> PermitRequest {
        let now = gateway.clock.now();
        PermitRequest {
            id: gateway.next_serial(),
            service: desk.service.clone(),
            priority: TOP_PRIORITY.saturating_sub(self.rule.rank),
            once: !self.may_repeat(),
            age: now - self.arrived,
            prompt: self.arrived + self.rule.latency_objective - now,
            left: self.deadline - now,
            tried: tried.to_vec(),
        }
    }

    /// Returns the request for one attempt at a server.
    fn get_request(&self, server: &Name, now: Micros) -> Request<HttpBody> {
        let mut request = Request::new(full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        let left = (self.deadline - now).0 / 1000;
        headers.insert(HEADER_NAMES.deadline, HeaderValue::from(left));
        set(headers, HEADER_NAMES.expected_instance, server);
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_static(""));
        }
        request
    }

    /// Returns what the caller is told where no further attempt is made.
    fn end(
        &self,
        last: Option<AttemptResult>,
        reason: ErrorReason,
    ) -> Result<Response<HttpBody>, ErrorReply> {
        let refusal = match last {
            Some(AttemptResult::Answer(answer) | AttemptResult::Failure(answer)) => {
                return Ok(answer);
            }
            Some(AttemptResult::Cut(detail)) => ErrorReply::new(ErrorReason::Cut, detail),
            Some(AttemptResult::NotRun(detail)) if reason == ErrorReason::NotRun => {
                ErrorReply::new(ErrorReason::NotRun, detail)
            }
            Some(AttemptResult::NotRun(detail) | AttemptResult::Unsent(detail)) => {
                ErrorReply::new(reason, detail)
            }
            None => ErrorReply::new(reason, ""),
        };
        Err(match refusal.reason {
            // Only what no server may have run is refused with a promise.
            ErrorReason::TimeoutUnsent if self.may_have_run => ErrorReply {
                reason: ErrorReason::TimeoutSent,
                ..refusal
            },
            reason if self.may_have_run && reason != ErrorReason::TimeoutSent => ErrorReply {
                reason: ErrorReason::Cut,
                ..refusal
            },
            _ => refusal,
        })
    }
}

/// Sends a request to a server of its service, and again where that is allowed.
pub(crate) async fn dispatch(
    gateway: &Arc<Gateway>,
    desk: &Arc<Dispatcher>,
    call: &mut GatewayRequest,
) -> Result<Response<HttpBody>, ErrorReply> {
    let deadline = Instant::from_std(gateway.clock.at(call.deadline));
    let mut tried = Vec::new();
    let mut unreachable = 0;
    let mut last = None;
    loop {
        if call.sent >= call.rule.max_attempts {
            return call.end(last, ErrorReason::NotRun);
        }
        if call.sent > 0 && !desk.with_pool(|pool, _| pool.take_retry_token()) {
            return call.end(last, ErrorReason::NoBudget);
        }
        let ask = call.get_ask(gateway, desk, &tried);
        let lease = match timeout_at(deadline, acquire(gateway, desk, ask)).await {
            Ok(Ok(lease)) => lease,
            Ok(Err(Rejection::NoServer)) => return call.end(last, ErrorReason::NoServer),
            Ok(Err(_)) => {
                call.waiting = desk.read_pool(ServerPool::get_queue_len);
                return call.end(last, ErrorReason::Overload);
            }
            Err(_) => return call.end(last, ErrorReason::TimeoutUnsent),
        };
        // A process that stood still must not send what its caller has given up on.
        if gateway.clock.now() >= call.deadline {
            return call.end(last, ErrorReason::TimeoutUnsent);
        }
        tried.push(lease.address);
        call.sent += 1;
        let ended = timeout_at(deadline, run(gateway, desk, call, lease, &mut tried)).await;
        let Ok(ended) = ended else {
            call.may_have_run = true;
            return call.end(last, ErrorReason::TimeoutSent);
        };
        let may_go_on = match &ended {
            AttemptResult::Answer(_) => false,
            AttemptResult::Failure(_) => call.may_repeat(),
            AttemptResult::Cut(_) => {
                call.may_have_run = true;
                call.may_repeat()
            }
            AttemptResult::NotRun(_) => true,
            AttemptResult::Unsent(_) => {
                call.sent -= 1;
                unreachable += 1;
                unreachable <= MOST_UNREACHABLE
            }
        };
        last = match (last, ended) {
            // A server's own failure says more than what came after it.
            (
                Some(kept @ AttemptResult::Failure(_)),
                AttemptResult::NotRun(_) | AttemptResult::Unsent(_) | AttemptResult::Cut(_),
            ) => Some(kept),
            (_, ended) => Some(ended),
        };
        if !may_go_on {
            return call.end(last, ErrorReason::Unreachable);
        }
    }
}

/// Runs an attempt, and a hedge of it where the request and the budgets allow one.
async fn run(
    gateway: &Arc<Gateway>,
    desk: &Arc<Dispatcher>,
    call: &mut GatewayRequest,
    lease: Permit,
    tried: &mut Vec<SocketAddr>,
) -> AttemptResult {
    let delay = lease.hedge_after.filter(|_| call.may_repeat());
    let (id, class) = (call.id.clone(), call.rule.class);
    let request = call.get_request(&lease.id, gateway.clock.now());
    let first = Box::pin(attempt(gateway, id.clone(), class, lease, request));
    let Some(delay) = delay.filter(|_| call.sent < call.rule.max_attempts) else {
        return first.await;
    };
    let timer = Box::pin(tokio::time::sleep(delay.into()));
    let first = match select(first, timer).await {
        Either::Left((ended, _)) => return ended,
        Either::Right(((), first)) => first,
    };
    let ask = call.get_ask(gateway, desk, tried);
    let job = get_job(desk, &ask, gateway.clock.now());
    let has_budget = desk.with_pool(|pool, _| pool.take_retry_token());
    let Some(lease) = has_budget.then(|| desk.hedge(&job)).flatten() else {
        return first.await;
    };
    tried.push(lease.address);
    call.sent += 1;
    let request = call.get_request(&lease.id, gateway.clock.now());
    let second = Box::pin(attempt(gateway, id, class, lease, request));
    let (ended, won) = match select(first, second).await {
        Either::Left((ended @ AttemptResult::Answer(_), _)) => (ended, false),
        Either::Left((_, second)) => (second.await, true),
        Either::Right((ended @ AttemptResult::Answer(_), _)) => (ended, true),
        Either::Right((_, first)) => (first.await, false),
    };
    metrics::counter!("lentilcart_hedges_total", "won" => if won { "yes" } else { "no" })
        .increment(1);
    desk.with_pool(|pool, _| pool.record_hedge(won));
    ended
}

/// Sends a request to the server of a lease and reads its answer.
async fn attempt(
    gateway: &Arc<Gateway>,
    request_id: Name,
    class: RequestClass,
    lease: Permit,
    request: Request<HttpBody>,
) -> AttemptResult {
    let idle: Duration = {
        let servers = &gateway.settings.load().servers;
        match class {
            RequestClass::Idempotent => servers.idle.into(),
            RequestClass::Once => servers.idle_once.into(),
        }
    };
    let (address, server) = (lease.address, lease.id.clone());
    let (grounds, started) = (lease.selection, gateway.clock.now());
    let reply = match gateway.dialer.send_within(address, request, idle).await {
        Ok(reply) => reply,
        Err(SendError::NotSent(reason, _)) => {
            log::info!(request:% = request_id, server:% = server, reason; "server unreachable");
            lease.release(AttemptOutcome::Unreachable);
            return AttemptResult::Unsent(reason);
        }
        Err(SendError::Cut(reason)) => {
            log::info!(request:% = request_id, server:% = server, reason; "answer lost");
            lease.release(AttemptOutcome::Failed);
            return AttemptResult::Cut(reason);
        }
    };
    let load = text_of(reply.answer.headers(), HEADER_NAMES.load).and_then(decode_load_report);
    let verdict = classify_response(&reply.answer, &request_id, class);
    let status = reply.answer.status().as_u16();
    match verdict {
        ResponseVerdict::Good | ResponseVerdict::Failed => {}
        ResponseVerdict::Unusable(reason) => {
            log::info!(request:% = request_id, server:% = server, status, reason; "answer dropped");
            // The reply is dropped, and its connection with it.
            lease.release(AttemptOutcome::Failed);
            return AttemptResult::Cut(format!("the answer cannot be used: {reason}"));
        }
        ResponseVerdict::Full | ResponseVerdict::Misdirected => {
            log::info!(request:% = request_id, server:% = server, status; "request not run");
            lease.release(match verdict {
                ResponseVerdict::Full => AttemptOutcome::Full { load },
                _ => AttemptOutcome::Leaving,
            });
            let rest = read_response(reply.into_streamed(|_: End| ())).await;
            if let Err(reason) = rest {
                log::debug!(server:% = server; "connection ended: {reason}");
            }
            return AttemptResult::NotRun(format!("server {server} answered {status}"));
        }
    }
    match read_response(reply.into_streamed(|_: End| ())).await {
        Ok(answer) if verdict == ResponseVerdict::Good => {
            log::debug!(
                request:% = request_id, server:% = server, address:% = address,
                took_ms = (gateway.clock.now() - started).as_millis(),
                believed_slowness = grounds.slowdown, believed_own = grounds.own_requests,
                believed_others = grounds.other_requests,
                believed_age_ms = grounds.report_age.map_or(-1.0, |age| age.as_secs() * 1000.0),
                bytes = hyper::body::Body::size_hint(answer.body()).lower(),
                running = load.map_or(0, |load| load.running),
                waiting = load.map_or(0, |load| load.waiting),
                slowness = load.and_then(|load| load.slowdown).unwrap_or(1.0);
                "server answered"
            );
            lease.release(AttemptOutcome::answered(load));
            AttemptResult::Answer(answer)
        }
        Ok(answer) => {
            lease.release(AttemptOutcome::Failed);
            AttemptResult::Failure(answer)
        }
        Err(reason) => {
            log::info!(request:% = request_id, server:% = server, reason:% = reason; "answer cut short");
            lease.release(AttemptOutcome::Failed);
            AttemptResult::Cut(reason.to_string())
        }
    }
}
