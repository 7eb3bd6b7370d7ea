use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures::FutureExt;
use futures::future::{Either, select};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lentilcart_platform::{HEADER_NAMES, decode_load_report};
use lentilcart_route::{AttemptOutcome, Rejection, Restriction, ServerPool, ShedCause};
use lentilcart_state::{Account, AccountKey, KeyState, PathRoute, RequestClass};
use lentilcart_util::{Micros, Name};
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use super::account_limits::RequestCredit;
use super::attempt_log::AttemptLog;
use super::datagram::PermitRequest;
use super::error_reply::{ErrorReason, ErrorReply};
use super::evacuations::{count_evacuation_refusal, get_no_server_reason};
use super::gateway::Gateway;
use super::identity::{remove_account_headers, set_account_header};
use super::permit_table::{acquire_permit, is_serving, to_pool_request};
use super::remote_bytes::RemoteTraffic;
use super::response::{ResponseVerdict, classify_response, read_response};
use crate::entry::{Dispatcher, Permit};
use crate::http::{
    BodyEnd, BoxError, ConnectionCheck, HttpBody, SendError, ServerResponse, collect_body,
    full_body, get_header_text, set_header,
};

/// Maximum number of unreachable servers per request: one more fails the request.
const MAX_UNREACHABLE: u32 = 3;
/// Largest body of a response that is not passed on which is read so that its connection can be used
/// again, in bytes.
const MAX_REST_BYTES: usize = 64 * 1024;
/// Time within which such a body must be complete.
const REST_TIMEOUT: Duration = Duration::from_millis(250);
/// Highest priority in a pool's queue, which dispatches higher numbers first.
const MAX_PRIORITY: u8 = 9;

/// A caller's request, whose body has been read completely, and the state of its attempts.
pub(crate) struct GatewayRequest {
    /// Request identifier that the caller chose.
    pub(crate) id: Name,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: bytes::Bytes,
    pub(crate) route: Arc<PathRoute>,
    /// Client account of the request; `None` where it needs none.
    pub(crate) account: Option<Arc<Account>>,
    /// Key by which the account was found.
    pub(crate) key: Option<AccountKey>,
    /// Credit of the account for the request; `None` if it has no limit.
    pub(crate) credit: Option<RequestCredit>,
    /// Host that the route was found by.
    pub(crate) host: String,
    /// Arrival time by the gateway's clock.
    pub(crate) arrived: Micros,
    /// Time by the gateway's clock at which the request, its body included, had been read.
    pub(crate) received: Micros,
    /// Deadline by the gateway's clock.
    pub(crate) deadline: Micros,
    /// Attempts counted against the route's maximum, hedges included. An attempt is counted before it
    /// is sent and taken off when nothing was sent.
    pub(crate) attempts: u32,
    /// Length of this entry's own queue for the service when the request was rejected, by this entry or
    /// by the owner, because no server would be free in time; else 0.
    pub(crate) queue_len: usize,
    /// Time after which a server has room again, and how the servers restrict requests, if the request was
    /// rejected for that; else `None`.
    pub(crate) restriction: Option<(Micros, Restriction)>,
    /// Time after which its caller should come back, and why, if load shedding refused the request; else `None`.
    pub(crate) shed: Option<(Micros, ShedCause)>,
    /// Whether a server may have run the request without a usable response having arrived.
    pub(crate) may_have_run: bool,
}

/// The result of one attempt, or of an attempt and its hedge: what the retry loop decides by.
///
/// [`ResponseVerdict`] classifies a response before its body is read, and [`AttemptOutcome`] is what
/// the server pool learns of the attempt.
enum AttemptResult {
    /// A response of the server to be passed on, other than 5xx.
    Response(Response<HttpBody>),
    /// A 5xx response of the server, which may be passed on, though another server might not give it.
    ErrorResponse(Response<HttpBody>),
    /// The server did not run the request; holds the reason.
    NotRun(String),
    /// No byte was sent; holds the reason.
    NotSent(String),
    /// The request was sent, at least in part, and no usable response arrived: the connection was
    /// lost, or the response was discarded; holds the reason.
    NoUsableResponse(String),
}

/// What an attempt needs of its request, besides the request to send.
#[derive(Clone)]
struct AttemptContext {
    dispatcher: Arc<Dispatcher>,
    request_id: Name,
    /// Number of the attempt, counted like [`GatewayRequest::attempts`].
    attempt: u32,
    class: RequestClass,
    deadline: Instant,
    /// Path of the health endpoint, by which connections are checked; `None` if the service is unknown.
    health_path: Option<Name>,
    /// Cancelled when the attempt must not be sent any more; a response is read all the same.
    give_up: CancellationToken,
}

impl AttemptResult {
    /// Combines the results of an attempt and its hedge into what is known of both: the request was not
    /// run only if neither attempt was.
    fn combine(self, other: Self) -> Self {
        match (self, other) {
            (response @ Self::Response(_), _) | (_, response @ Self::Response(_)) => response,
            (response @ Self::ErrorResponse(_), _) | (_, response @ Self::ErrorResponse(_)) => {
                response
            }
            (unknown @ Self::NoUsableResponse(_), _) | (_, unknown @ Self::NoUsableResponse(_)) => {
                unknown
            }
            (not_run @ Self::NotRun(_), _) | (_, not_run @ Self::NotRun(_)) => not_run,
            (not_sent @ Self::NotSent(_), Self::NotSent(_)) => not_sent,
        }
    }
}

impl GatewayRequest {
    /// Returns whether the request may run more than once.
    fn is_idempotent(&self) -> bool {
        self.route.class == RequestClass::Idempotent
    }

    /// Returns the dispatch rank: that of the client account, if it has one, takes precedence over that of
    /// the route.
    fn get_rank(&self) -> u8 {
        let account_rank = self.account.as_ref().and_then(|account| account.rank);
        account_rank.unwrap_or(self.route.rank)
    }

    /// Returns the limit of the client account, in requests a second, by which it shares a service.
    fn get_weight(&self) -> Option<f64> {
        Some(self.account.as_ref()?.limit?.rate)
    }

    /// Combines the results of an attempt and its hedge. If one of them was not sent, it is taken off the
    /// attempts; if neither was, [`dispatch`] takes off the other with the result.
    fn combine_results(&mut self, first: AttemptResult, second: AttemptResult) -> AttemptResult {
        if let (AttemptResult::NotSent(_), _) | (_, AttemptResult::NotSent(_)) = (&first, &second) {
            self.attempts -= 1;
        }
        first.combine(second)
    }

    /// Returns whether an attempt may begin: always, unless this entry is stopping and the attempt may
    /// not end in time.
    fn may_begin_attempt(&self, gateway: &Gateway, dispatcher: &Dispatcher) -> bool {
        gateway.drain.get().is_none_or(|schedule| {
            let expected = dispatcher.read_pool(ServerPool::get_base_service_time);
            let window = &schedule.window;
            window.may_begin_attempt(&gateway.clock, self.received, self.deadline, expected)
        })
    }

    /// Checks the request against the client accounts in force right before it is sent, and removes from its
    /// headers what servers must not see if there are any accounts.
    ///
    /// Returns why it must not be sent, or `None` if it may: its key may have been taken away while it waited.
    fn check_account(&mut self, gateway: &Gateway) -> Option<ErrorReason> {
        let routes = gateway.get_active_routes();
        if !routes.table.accounts.is_empty() {
            remove_account_headers(&mut self.headers);
        }
        let (account, key) = (self.account.as_ref()?, self.key?);
        let state = routes
            .table
            .get_key_state(key, account, &self.host, self.uri.path());
        match state {
            KeyState::Held => None,
            KeyState::Moved => Some(ErrorReason::AccountChanged),
            KeyState::Removed => Some(gateway.get_missing_reason(&routes, ErrorReason::UnknownKey)),
        }
    }

    /// Uses the credit of the account for an attempt, and returns why it must not be sent if there is none.
    fn begin_credit(&mut self) -> Option<ErrorReason> {
        let credit = self.credit.as_mut()?;
        (!credit.begin_attempt()).then_some(ErrorReason::OverLimit)
    }

    /// Records the end of an attempt, whose credit remains if no server has run the request. `result` is
    /// `None` if that is not known.
    fn end_credit(&mut self, result: Option<&AttemptResult>) {
        let is_not_run = matches!(
            result,
            Some(AttemptResult::NotRun(_) | AttemptResult::NotSent(_))
        );
        if let Some(credit) = &mut self.credit {
            credit.end_attempt(!is_not_run);
        }
    }

    /// Returns the request for a permit to send the next attempt to a server that is not `excluded` and
    /// wants requests from this entry.
    fn get_permit_request(
        &self,
        gateway: &Gateway,
        dispatcher: &Dispatcher,
        excluded: &[SocketAddr],
    ) -> PermitRequest {
        let now = gateway.clock.now();
        let own_address = gateway.settings.load().listen.peer;
        // The owner may not know yet which servers want no requests from this entry.
        let held_off =
            dispatcher.read_pool(|pool| pool.get_held_off_servers(now, Some(own_address)));
        PermitRequest {
            id: gateway.next_attempt_id(),
            service: dispatcher.service.clone(),
            // Ranks count the other way: a lower rank is dispatched first.
            priority: MAX_PRIORITY.saturating_sub(self.get_rank()),
            at_most_once: !self.is_idempotent(),
            age: now - self.arrived,
            until_objective: self.arrived + self.route.latency_objective - now,
            latency_objective: self.route.latency_objective,
            remaining: self.deadline - now,
            excluded: [excluded, &held_off].concat(),
            account: self.account.as_ref().map(|account| account.name.clone()),
            weight: self.get_weight(),
        }
    }

    /// Builds, and counts, the request for one attempt: the caller's, with the remaining time in milliseconds and
    /// the identifier of the server that must answer.
    fn build_request(&self, gateway: &Gateway, server_id: &Name) -> Request<HttpBody> {
        let mut request = Request::new(full_body(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        if let Some(account) = &self.account {
            set_account_header(headers, account);
        }
        let remaining_ms = (self.deadline - gateway.clock.now()).0 / 1000;
        headers.insert(HEADER_NAMES.deadline, HeaderValue::from(remaining_ms));
        set_header(headers, HEADER_NAMES.expected_instance, server_id);
        if !headers.contains_key(HOST) {
            headers.insert(HOST, HeaderValue::from_static(""));
        }
        let (headers, body) = (request.headers(), request.body());
        gateway.count_server_bytes(RemoteTraffic::Requests, server_id, headers, body);
        request
    }

    /// Returns the caller's response when no further attempt is made.
    ///
    /// `last` is the last result; a response of a server wins over any error reply. `reason` says why
    /// there is no further attempt. It is used if there is no result, or if the last one is that the
    /// request was not run or not sent.
    ///
    /// If a server may have run the request, a reason that promises the contrary is replaced: a timeout
    /// by [`ErrorReason::TimeoutMayHaveRun`], any other by [`ErrorReason::NoUsableResponse`]. The latter
    /// is also the reason whenever the last result is that no usable response arrived.
    fn finish(
        &self,
        last: Option<AttemptResult>,
        reason: ErrorReason,
    ) -> Result<Response<HttpBody>, ErrorReply> {
        let reply = match last {
            Some(AttemptResult::Response(response) | AttemptResult::ErrorResponse(response)) => {
                return Ok(response);
            }
            Some(AttemptResult::NoUsableResponse(detail)) => {
                ErrorReply::new(ErrorReason::NoUsableResponse, detail)
            }
            Some(AttemptResult::NotRun(detail)) if reason == ErrorReason::NotRun => {
                ErrorReply::new(ErrorReason::NotRun, detail)
            }
            Some(AttemptResult::NotRun(detail) | AttemptResult::NotSent(detail)) => {
                ErrorReply::new(reason, detail)
            }
            None => ErrorReply::new(reason, ""),
        };
        Err(match reply.reason {
            // 408 and 503 promise that no server ran the request, so they are ruled out here.
            ErrorReason::TimeoutNotRun if self.may_have_run => ErrorReply {
                reason: ErrorReason::TimeoutMayHaveRun,
                ..reply
            },
            reason if self.may_have_run && reason.get_status() != StatusCode::GATEWAY_TIMEOUT => {
                ErrorReply {
                    reason: ErrorReason::NoUsableResponse,
                    ..reply
                }
            }
            _ => reply,
        })
    }
}

/// Sends a request to a server of its service, and retries it on other servers where its class, its
/// route and the retry budget allow that.
///
/// # Errors
///
/// Returns the error reply for the caller if no server gave a response that can be passed on.
pub(crate) async fn dispatch(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    inbound: &mut GatewayRequest,
) -> Result<Response<HttpBody>, ErrorReply> {
    let deadline = Instant::from_std(gateway.clock.to_instant(inbound.deadline));
    let mut excluded = Vec::new();
    let mut unreachable = 0;
    let mut last = None;
    loop {
        if inbound.attempts >= inbound.route.max_attempts {
            return inbound.finish(last, ErrorReason::NotRun);
        }
        if !inbound.may_begin_attempt(gateway, dispatcher) {
            return inbound.finish(last, ErrorReason::Stopping);
        }
        if inbound.attempts > 0 && !dispatcher.update_pool(|pool, _| pool.take_retry_token()) {
            return inbound.finish(last, ErrorReason::NoBudget);
        }
        let permit_request = inbound.get_permit_request(gateway, dispatcher, &excluded);
        let acquired = tokio::select! {
            // Polled first: a permit that is granted now comes too late.
            biased;
            () = gateway.attempts_end.cancelled() => {
                return inbound.finish(last, ErrorReason::Stopping);
            }
            acquired = timeout_at(deadline, acquire_permit(gateway, dispatcher, permit_request)) => acquired,
        };
        let permit = match acquired {
            Ok(Ok(permit)) => permit,
            Ok(Err(Rejection::NoServer)) => {
                let reason = get_no_server_reason(dispatcher);
                count_evacuation_refusal(dispatcher, reason);
                return inbound.finish(last, reason);
            }
            Ok(Err(rejection)) => {
                if let Rejection::Shed { room_after, cause } = rejection {
                    inbound.shed = Some((room_after, cause));
                }
                count_evacuation_refusal(dispatcher, ErrorReason::Overload);
                inbound.queue_len = dispatcher.read_pool(ServerPool::get_queue_len);
                let (now, sender) = (gateway.clock.now(), gateway.settings.load().listen.peer);
                inbound.restriction =
                    dispatcher.read_pool(|pool| pool.get_restriction(now, Some(sender), &excluded));
                return inbound.finish(last, ErrorReason::Overload);
            }
            Err(_) => return inbound.finish(last, ErrorReason::TimeoutNotRun),
        };
        // A process that was suspended must not send a request whose caller has given up.
        if gateway.clock.now() >= inbound.deadline {
            return inbound.finish(last, ErrorReason::TimeoutNotRun);
        }
        if !inbound.may_begin_attempt(gateway, dispatcher) {
            return inbound.finish(last, ErrorReason::Stopping);
        }
        let refusal = inbound.check_account(gateway);
        if let Some(reason) = refusal.or_else(|| inbound.begin_credit()) {
            return inbound.finish(last, reason);
        }
        excluded.push(permit.address);
        inbound.attempts += 1;
        let sending = send_with_hedge(gateway, dispatcher, inbound, permit, &mut excluded);
        let result = tokio::select! {
            // Polled first: a response that has come is passed on.
            biased;
            result = timeout_at(deadline, sending) => {
                result.map_err(|_| ErrorReason::TimeoutMayHaveRun)
            }
            () = gateway.requests_end.cancelled() => Err(ErrorReason::StoppingMayHaveRun),
        };
        inbound.end_credit(result.as_ref().ok());
        let result = match result {
            Ok(result) => result,
            Err(reason) => {
                inbound.may_have_run = true;
                return inbound.finish(last, reason);
            }
        };
        let may_retry = match &result {
            AttemptResult::Response(_) => false,
            AttemptResult::ErrorResponse(_) => inbound.is_idempotent(),
            AttemptResult::NoUsableResponse(_) => {
                inbound.may_have_run = true;
                inbound.is_idempotent()
            }
            AttemptResult::NotRun(_) => true,
            AttemptResult::NotSent(_) => {
                inbound.attempts -= 1;
                unreachable += 1;
                unreachable <= MAX_UNREACHABLE
            }
        };
        last = match (last, result) {
            // A server's error response tells the caller more than the failed attempts after it.
            (
                Some(failure @ AttemptResult::ErrorResponse(_)),
                AttemptResult::NotRun(_)
                | AttemptResult::NotSent(_)
                | AttemptResult::NoUsableResponse(_),
            ) => Some(failure),
            (_, result) => Some(result),
        };
        if !may_retry {
            // `Unreachable` is used only if the last result is `NotSent`; the other results that end
            // here, a retained error response included, do not use the reason.
            return inbound.finish(last, ErrorReason::Unreachable);
        }
    }
}

/// Sends an attempt, and a hedge after the permit's delay if the request is idempotent and its route,
/// the retry budget and the load allow one. The hedge's server is chosen by this entry's own
/// dispatcher, also if another entry owns the service.
///
/// Returns the first response of the two that is valid and not a 5xx; if neither gives one, both results
/// combined.
async fn send_with_hedge(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    inbound: &mut GatewayRequest,
    permit: Permit,
    excluded: &mut Vec<SocketAddr>,
) -> AttemptResult {
    let delay = permit.hedge_after.filter(|_| inbound.is_idempotent());
    let context = AttemptContext {
        dispatcher: dispatcher.clone(),
        request_id: inbound.id.clone(),
        attempt: inbound.attempts,
        class: inbound.route.class,
        deadline: Instant::from_std(gateway.clock.to_instant(inbound.deadline)),
        health_path: gateway.get_health_path(&dispatcher.service),
        give_up: gateway.attempts_end.clone(),
    };
    let request = inbound.build_request(gateway, &permit.server_id);
    let first = Box::pin(send_attempt(gateway, context.clone(), permit, request));
    let Some(delay) = delay.filter(|_| inbound.attempts < inbound.route.max_attempts) else {
        return first.await;
    };
    let timer = Box::pin(tokio::time::sleep(delay.into()));
    let first = match select(first, timer).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    if inbound.check_account(gateway).is_some() {
        return first.await;
    }
    let permit_request = inbound.get_permit_request(gateway, dispatcher, excluded);
    let own_address = gateway.settings.load().listen.peer;
    let now = gateway.clock.now();
    let pool_request = to_pool_request(own_address, &permit_request, now);
    if !dispatcher.update_pool(|pool, _| pool.take_retry_token()) {
        return first.await;
    }
    let Some(permit) = dispatcher.hedge(&pool_request) else {
        dispatcher.update_pool(|pool, _| pool.return_retry_token());
        return first.await;
    };
    let credit = inbound.credit.as_ref();
    if credit.is_some_and(|credit| !credit.begin_hedge()) {
        dispatcher.update_pool(|pool, _| pool.return_retry_token());
        return first.await;
    }
    excluded.push(permit.address);
    inbound.attempts += 1;
    let request = inbound.build_request(gateway, &permit.server_id);
    let give_up = gateway.attempts_end.child_token();
    let context = AttemptContext {
        attempt: inbound.attempts,
        give_up: give_up.clone(),
        ..context
    };
    let second = Box::pin(send_checked_hedge(gateway, context, permit, request));
    let (result, has_won) = match select(first, second).await {
        Either::Left((first @ AttemptResult::Response(_), second)) => {
            // The head of the hedge's response may have come since it was polled; it may hold a notice.
            give_up.cancel();
            second.now_or_never();
            (first, false)
        }
        // The first attempt has been polled just before the hedge.
        Either::Right((second @ AttemptResult::Response(_), _)) => (second, true),
        Either::Left((first, second)) => {
            let second = second.await;
            let has_won = matches!(second, AttemptResult::Response(_));
            (inbound.combine_results(first, second), has_won)
        }
        Either::Right((second, first)) => (inbound.combine_results(first.await, second), false),
    };
    metrics::counter!("lentilcart_hedges_total", "won" => if has_won { "yes" } else { "no" })
        .increment(1);
    dispatcher.update_pool(|pool, _| pool.record_hedge(has_won));
    result
}

/// Sends a hedge unless a check of its server says that it must not have it, as a server that has become cold.
async fn send_checked_hedge(
    gateway: &Arc<Gateway>,
    context: AttemptContext,
    permit: Permit,
    request: Request<HttpBody>,
) -> AttemptResult {
    if !gateway.check_hedge(&context.dispatcher, &permit).await {
        permit.release(AttemptOutcome::Cancelled);
        return AttemptResult::NotSent("the server of the hedge is cold or does not answer".into());
    }
    send_attempt(gateway, context, permit, request).await
}

/// Returns whether the server of a permit still wants requests from this entry, as far as this entry knows, and the
/// permit is not too old for a cold one.
fn is_wanted(gateway: &Gateway, dispatcher: &Dispatcher, permit: &Permit) -> bool {
    let own_address = gateway.settings.load().listen.peer;
    is_serving(gateway, &permit.server_id)
        && !dispatcher.is_held_off(permit.address, own_address)
        && gateway.is_within_warmup(dispatcher, permit)
        && permit
            .get_send_limit()
            .is_none_or(|limit| gateway.clock.now() < limit)
}

/// Waits until an attempt must not be sent any more: it was given up, or its server is cold and the permit is
/// too old.
async fn wait_for_give_up(gateway: &Gateway, give_up: &CancellationToken, limit: Option<Micros>) {
    let Some(limit) = limit else {
        return give_up.cancelled().await;
    };
    let end = Instant::from_std(gateway.clock.to_instant(limit));
    let mut waiting = std::pin::pin!(timeout_at(end, give_up.cancelled()));
    // A process that was suspended may poll this before its timers have fired.
    std::future::poll_fn(|context| match waiting.as_mut().poll(context) {
        Poll::Pending if gateway.clock.now() < limit => Poll::Pending,
        _ => Poll::Ready(()),
    })
    .await;
}

/// Returns for how long a connection may have been idle before it carries a request of a class, and how
/// one that has been idle for longer is checked.
fn get_connection_limits<'a>(
    gateway: &Gateway,
    class: RequestClass,
    health_path: Option<Name>,
    on_head: &'a (dyn Fn(&Response<Incoming>) -> bool + Sync),
) -> (Duration, Option<ConnectionCheck<'a>>) {
    let servers = &gateway.settings.load().servers;
    let max_idle_time = match class {
        RequestClass::Idempotent => servers.max_idle_time,
        RequestClass::Once => servers.max_idle_time_once,
    };
    let timeout = servers.preflight_timeout.into();
    let check = health_path.map(|path| ConnectionCheck {
        path,
        timeout,
        foreign_header: HEADER_NAMES.request_id,
        on_head,
    });
    (max_idle_time.into(), check)
}

/// Reads a response of a server of the dispatcher's service, as [`read_response`] does.
async fn read_answer(
    gateway: &Gateway,
    dispatcher: &Dispatcher,
    server: &Name,
    received: ServerResponse,
    deadline: Instant,
) -> Result<Response<HttpBody>, BoxError> {
    let response = received.into_streamed(|_: BodyEnd| ());
    let (bodies, tasks) = (&gateway.bodies, &gateway.tasks);
    let answer = read_response(response, deadline, tasks, bodies, &dispatcher.service).await?;
    let (headers, body) = (answer.headers(), answer.body());
    gateway.count_server_bytes(RemoteTraffic::Answers, server, headers, body);
    Ok(answer)
}

/// Sends a request to the server of a permit, reads the response and releases the permit with the
/// outcome.
async fn send_attempt(
    gateway: &Arc<Gateway>,
    context: AttemptContext,
    permit: Permit,
    request: Request<HttpBody>,
) -> AttemptResult {
    let AttemptContext {
        dispatcher,
        request_id,
        attempt,
        class,
        deadline,
        health_path,
        give_up,
    } = context;
    let (address, server) = (permit.address, permit.server_id.clone());
    let handle_check = |response: &Response<Incoming>| {
        let notice = gateway.handle_probe_notice(&dispatcher, address, response);
        !notice.leaving && is_wanted(gateway, &dispatcher, &permit)
    };
    let (max_idle_time, check) = get_connection_limits(gateway, class, health_path, &handle_check);
    let attempt_log = AttemptLog::new(&request_id, attempt, &permit);
    let evacuated = gateway.wait_for_evacuation(&server);
    // What the pool knew of the server when it selected it; default values if an owner selected it.
    let (selection, started) = (permit.selection, gateway.clock.now());
    let send_limit = permit.get_send_limit();
    let received = match gateway
        .server_client
        .send_checked(address, request, max_idle_time, check.as_ref(), async {
            tokio::select! {
                () = wait_for_give_up(gateway, &give_up, send_limit) => {}
                () = evacuated => {}
            }
        })
        .await
    {
        Ok(received) => received,
        Err(SendError::NotSent(reason, _)) => {
            attempt_log.write_not_sent(&reason);
            // The connection may have been given up or declined, which says nothing about the server.
            let is_cancelled = give_up.is_cancelled() || !is_wanted(gateway, &dispatcher, &permit);
            permit.release(if is_cancelled {
                AttemptOutcome::Cancelled
            } else {
                AttemptOutcome::Unreachable
            });
            return AttemptResult::NotSent(reason);
        }
        Err(SendError::NoResponse(reason, connection)) => {
            attempt_log.write_no_response(&reason, connection);
            permit.release(AttemptOutcome::Failed);
            return AttemptResult::NoUsableResponse(reason);
        }
    };
    let load = get_header_text(received.response.headers(), HEADER_NAMES.load)
        .and_then(decode_load_report);
    let verdict = classify_response(&received.response, &request_id, class);
    let status = received.response.status().as_u16();
    let notice = gateway.handle_response_notice(&dispatcher, address, &received.response, verdict);
    match verdict {
        ResponseVerdict::Valid | ResponseVerdict::ErrorResponse => {}
        ResponseVerdict::Unusable(reason) | ResponseVerdict::Foreign(reason) => {
            attempt_log.write_not_passed_on("response discarded", reason, &received);
            // Dropping the response closes its connection.
            permit.release(AttemptOutcome::Failed);
            return AttemptResult::NoUsableResponse(format!("the answer cannot be used: {reason}"));
        }
        ResponseVerdict::NotRun | ResponseVerdict::Misdirected => {
            let event = "server did not run the request";
            attempt_log.write_not_passed_on(event, verdict.as_str(), &received);
            permit.release(match verdict {
                ResponseVerdict::NotRun => AttemptOutcome::Full { load, notice },
                // The server that the pool knows at this address is gone: another has taken its place.
                _ => AttemptOutcome::Leaving,
            });
            let detail = format!("server {server} answered {status}");
            gateway.tasks.spawn(read_rest(received, server));
            return AttemptResult::NotRun(detail);
        }
    }
    match read_answer(gateway, &dispatcher, &server, received, deadline).await {
        Ok(response) if verdict == ResponseVerdict::Valid => {
            log::debug!(
                request:% = request_id, server:% = server, address:% = address,
                took_ms = (gateway.clock.now() - started).as_millis(),
                believed_slowness = selection.slowdown, believed_own = selection.own_requests,
                believed_others = selection.other_requests,
                believed_age_ms = selection.report_age.map_or(-1.0, |age| age.as_secs() * 1000.0),
                // 0 for a body that is streamed, whose length is not known here.
                bytes = hyper::body::Body::size_hint(response.body()).lower(),
                running = load.map_or(0, |load| load.running),
                waiting = load.map_or(0, |load| load.waiting),
                slowness = load.and_then(|load| load.slowdown).unwrap_or(1.0);
                "server answered"
            );
            permit.release(AttemptOutcome::Answered { load, notice });
            AttemptResult::Response(response)
        }
        Ok(response) => {
            permit.release(AttemptOutcome::Failed);
            AttemptResult::ErrorResponse(response)
        }
        Err(reason) => {
            log::info!(request:% = request_id, server:% = server, reason:% = reason; "response body incomplete");
            permit.release(AttemptOutcome::Failed);
            AttemptResult::NoUsableResponse(reason.to_string())
        }
    }
}

/// Reads the rest of a response that is not passed on, so that its connection can be used again. The
/// connection is closed if the rest is longer than [`MAX_REST_BYTES`] or takes longer than
/// [`REST_TIMEOUT`].
async fn read_rest(received: ServerResponse, server: Name) {
    let body = received.into_streamed(|_: BodyEnd| ()).into_body();
    let reason = match timeout(REST_TIMEOUT, collect_body(body, MAX_REST_BYTES)).await {
        Ok(Ok(_)) => return,
        Ok(Err(reason)) => reason,
        Err(_) => format!("the body did not end within {REST_TIMEOUT:?}"),
    };
    log::debug!(server:% = server; "connection closed: {reason}");
}
