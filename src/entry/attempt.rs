use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::{Either, select};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lentilcart_route::{AttemptOutcome, LoadReport, ServerPool};
use lentilcart_state::{RequestClass, Route, Service};
use lentilcart_util::Micros;
use tokio::time::{Instant, timeout_at};

use super::caller_outcome::CallerOutcome;
use super::entry::Entry;
use super::owner_list::OwnerList;
use super::payload::Payload;
use super::permit::Permit;
use super::request_error::RequestError;
use crate::http::{
    ATTEMPT_HEADER, BodyEnd, DEADLINE_HEADER, HttpBody, LEAVING_HEADER, LOAD_HEADER,
    OUTCOME_HEADER, REQUEST_ID_HEADER, SendError, get_header_number, is_final_status, set_header,
};
use crate::peer::{AttemptKind, ClaimRequest, EntryPermitRequest};

/// Largest number of attempts that one entry makes for a request, hedges not counted. An owner that
/// a request is forwarded to counts its own.
const MAX_ATTEMPTS: u32 = 4;

/// A caller's request, prepared for being sent to a server or another entry.
pub(crate) struct PreparedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
    pub(crate) route: Route,
    pub(crate) service: Arc<Service>,
    /// When preparing it for sending began, on the clock of this process: after any wait for the
    /// ticket in force to be confirmed, and before its body is read. Its deadline counts from here.
    pub(crate) arrived: Micros,
    /// When its body had arrived, or began to if it is streamed, on the same clock.
    pub(crate) received: Micros,
    /// The earlier one of the caller's and the route's deadline, on the same clock.
    pub(crate) deadline: Micros,
    /// Whether an owner that the request was forwarded to, or the failed one of an attempt and its
    /// hedge, may have run the request, so that the caller must not be told that it was not run.
    /// [`DecidingResult`] tracks the earlier attempts of [`send_with_retries`] instead.
    pub(crate) may_have_run: bool,
}

/// Result of one attempt, as the retry loop sees it; [`AttemptOutcome`] is what the pool is told. A
/// status of the service's `not_run` list is always `NotRun`.
enum EntryAttempt {
    /// The server answered with a status below 500, or with 501.
    Answered(Response<HttpBody>),
    /// The server answered with another 5xx status; another server may succeed.
    ServerError(Response<HttpBody>),
    /// The request was not run; holds the reason, and the body if no byte of it was sent. With a
    /// hedge, the other one of the two may have run it: see [`PreparedRequest::may_have_run`].
    NotRun(String, Option<HttpBody>),
    /// The request was sent and no answer came, so that it may have run; holds the reason.
    AnswerLost(String),
}

impl PreparedRequest {
    /// Returns whether the request must run at most once, and so is sent again only if it was not
    /// run.
    pub(crate) fn is_at_most_once(&self) -> bool {
        self.route.class == RequestClass::Once
    }

    /// Returns whether an attempt may begin: always, unless this entry is stopping and the attempt may
    /// not end in time.
    pub(crate) fn may_begin_attempt(&self, entry: &Entry) -> bool {
        entry.drain.get().is_none_or(|schedule| {
            let active = entry.get_active_config();
            let dispatcher = active.dispatchers.get(&self.service.name);
            let expected = dispatcher.and_then(|d| d.read_pool(ServerPool::get_base_service_time));
            let window = &schedule.window;
            window.may_begin_attempt(&entry.clock, self.received, self.deadline, expected)
        })
    }

    /// Builds the HTTP request of one attempt. Its headers hold the remaining time in milliseconds
    /// and the attempt number; the number 0 leaves the caller's attempt header, if any, as it is.
    /// Takes a streamed body, and returns `None` then until [`Payload::restore`] puts it back.
    pub(crate) fn build_http_request(
        &mut self,
        attempt_number: u32,
        now: Micros,
    ) -> Option<Request<HttpBody>> {
        let body = self.payload.next_body()?;
        let mut http_request = Request::new(body);
        *http_request.method_mut() = self.method.clone();
        *http_request.uri_mut() = self.uri.clone();
        *http_request.headers_mut() = self.headers.clone();
        let remaining_ms = (self.deadline - now).0 / 1000;
        let name = HeaderName::from_static(DEADLINE_HEADER);
        http_request
            .headers_mut()
            .insert(name, HeaderValue::from(remaining_ms));
        if attempt_number > 0 {
            let name = HeaderName::from_static(ATTEMPT_HEADER);
            http_request
                .headers_mut()
                .insert(name, HeaderValue::from(attempt_number));
        }
        Some(http_request)
    }

    /// Returns the request for a permit for one attempt; `excluded` are the servers that had one
    /// before.
    fn build_permit_request(
        &self,
        now: Micros,
        kind: AttemptKind,
        excluded: &[SocketAddr],
    ) -> EntryPermitRequest {
        EntryPermitRequest {
            service: self.service.name.clone(),
            kind,
            priority: self.route.priority,
            at_most_once: self.is_at_most_once(),
            age: now - self.arrived,
            remaining: self.deadline - now,
            excluded: excluded.to_vec(),
            claim: None,
        }
    }
}

/// Sends a request to a server of its service, with up to [`MAX_ATTEMPTS`] attempts if its
/// class, the retry budget and the deadline allow them.
///
/// A claim goes with the request for the first permit.
pub(crate) async fn send_with_retries(
    entry: &Arc<Entry>,
    owners: &mut OwnerList,
    request: &mut PreparedRequest,
    claim: Option<&ClaimRequest>,
) -> Result<Response<HttpBody>, RequestError> {
    let deadline = Instant::from_std(entry.clock.to_instant(request.deadline));
    let incoming_attempt_number = get_header_number(&request.headers, ATTEMPT_HEADER).unwrap_or(0);
    let mut excluded = Vec::new();
    let mut deciding = DecidingResult::None;
    for attempt in 0..MAX_ATTEMPTS {
        if !request.may_begin_attempt(entry) {
            return deciding.into_result(RequestError::Stopping);
        }
        let kind = if attempt == 0 {
            AttemptKind::First
        } else {
            AttemptKind::Retry
        };
        let mut permit_request = request.build_permit_request(entry.clock.now(), kind, &excluded);
        permit_request.claim = claim.filter(|_| attempt == 0).cloned();
        let acquired = tokio::select! {
            // Polled first: a permit that is granted now comes too late.
            biased;
            () = entry.attempts_end.cancelled() => {
                return deciding.into_result(RequestError::Stopping);
            }
            acquired = timeout_at(deadline, owners.acquire(entry, &permit_request)) => acquired,
        };
        let Ok(acquired) = acquired else {
            return deciding.into_result(RequestError::DeadlineExceeded(
                /* may_have_run */ false,
            ));
        };
        let permit = match acquired {
            Ok(permit) => permit,
            Err(rejection) => return deciding.into_result(RequestError::PermitRejected(rejection)),
        };
        // After a pause of the process, the caller may have stopped waiting.
        if entry.clock.now() >= request.deadline {
            return deciding.into_result(RequestError::DeadlineExceeded(
                /* may_have_run */ false,
            ));
        }
        // The wait for the permit may have taken long.
        if !request.may_begin_attempt(entry) {
            return deciding.into_result(RequestError::Stopping);
        }
        excluded.push(permit.address);
        let http_request =
            request.build_http_request(incoming_attempt_number + attempt, entry.clock.now());
        let Some(http_request) = http_request else {
            return deciding.into_result(RequestError::NotRun(
                "its body cannot be sent again".to_owned(),
            ));
        };
        let sending = send_with_hedge(entry, owners, request, permit, http_request, &excluded);
        let result = tokio::select! {
            // Polled first: an answer that has come is passed on.
            biased;
            result = timeout_at(deadline, sending) => result,
            () = entry.requests_end.cancelled() => return Err(RequestError::stopping_while_run()),
        };
        let Ok(result) = result else {
            return Err(RequestError::DeadlineExceeded(/* may_have_run */ true));
        };
        deciding = match result {
            EntryAttempt::Answered(answer) => return Ok(answer),
            EntryAttempt::ServerError(answer) if request.is_at_most_once() => return Ok(answer),
            EntryAttempt::ServerError(answer) => DecidingResult::ServerError(answer),
            EntryAttempt::AnswerLost(reason) => DecidingResult::AnswerLost(reason),
            EntryAttempt::NotRun(reason, unsent) => {
                if let Some(unsent) = unsent {
                    request.payload.restore(unsent);
                }
                deciding.replace_if_not_run(DecidingResult::NotRun(reason))
            }
        };
        let may_retry = match deciding {
            DecidingResult::NotRun(_) => true,
            _ => !request.is_at_most_once() && request.payload.is_replayable(),
        };
        // A number above 0 is that of a retry by the caller or a proxy before this entry. It is not
        // retried here: retries of several layers multiply.
        if incoming_attempt_number > 0 || !may_retry {
            break;
        }
    }
    deciding.into_result(RequestError::NotRun("every attempt failed".to_owned()))
}

/// What the caller gets if no further attempt is made; not always the result of the last attempt.
enum DecidingResult {
    /// There was no attempt.
    None,
    /// No attempt ran the request, except perhaps the failed one of an attempt and its hedge, which
    /// [`PreparedRequest::may_have_run`] tells; holds the last reason.
    NotRun(String),
    /// An attempt may have run the request and was not answered; holds the reason.
    AnswerLost(String),
    /// A server answered with a server error.
    ServerError(Response<HttpBody>),
}

impl DecidingResult {
    /// Returns `next`, the result of an attempt that did not run the request, unless an earlier
    /// attempt may have run it; returns `self` then.
    fn replace_if_not_run(self, next: Self) -> Self {
        match self {
            Self::None | Self::NotRun(_) => next,
            earlier => earlier,
        }
    }

    /// Returns what the caller gets if no further attempt is made. `error` is why there is none;
    /// it is returned only if there was no attempt.
    fn into_result(self, error: RequestError) -> Result<Response<HttpBody>, RequestError> {
        match self {
            Self::None => Err(error),
            Self::NotRun(reason) => Err(RequestError::NotRun(reason)),
            Self::AnswerLost(reason) => Err(RequestError::AnswerLost(reason)),
            Self::ServerError(answer) => Ok(answer),
        }
    }
}

/// Sends an attempt and, after the hedge delay of its permit, a hedge of it (a hedged request:
/// Dean and Barroso, "The Tail at Scale", 2013) if class and hedge budget allow one.
///
/// The first successful answer is returned and the other attempt is cancelled; if one of the two
/// fails, the result of the other one is.
async fn send_with_hedge(
    entry: &Arc<Entry>,
    owners: &OwnerList,
    request: &mut PreparedRequest,
    permit: Permit,
    http_request: Request<HttpBody>,
    excluded: &[SocketAddr],
) -> EntryAttempt {
    let may_resend = !request.is_at_most_once() && request.payload.is_replayable();
    let delay = permit.hedge_after.filter(|_| may_resend);
    let service = request.service.clone();
    let original = Box::pin(send_attempt(entry, &service, permit, http_request));
    let Some(delay) = delay else {
        return original.await;
    };
    let timer = Box::pin(tokio::time::sleep(delay.into()));
    let original = match select(original, timer).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), original)) => original,
    };
    let permit_request =
        request.build_permit_request(entry.clock.now(), AttemptKind::Hedge, excluded);
    let permit = Box::pin(owners.acquire_hedge(entry, permit_request));
    let (original, permit) = match select(original, permit).await {
        Either::Left((result, _)) => return result,
        Either::Right((permit, original)) => (original, permit),
    };
    // A hedge carries the attempt number 1, whichever attempt it hedges.
    let http_request = request.build_http_request(1, entry.clock.now());
    let (Some(permit), Some(http_request)) = (permit, http_request) else {
        return original.await;
    };
    entry.stats.add_hedge();
    let hedge = Box::pin(send_attempt(entry, &service, permit, http_request));
    let (result, hedge_won) = match select(original, hedge).await {
        Either::Left((result @ EntryAttempt::Answered(_), _)) => (result, false),
        Either::Left((failed, hedge)) => {
            request.may_have_run |= !matches!(failed, EntryAttempt::NotRun(..));
            let result = hedge.await;
            let hedge_won = matches!(result, EntryAttempt::Answered(_));
            (result, hedge_won)
        }
        Either::Right((result @ EntryAttempt::Answered(_), _)) => (result, true),
        Either::Right((failed, original)) => {
            request.may_have_run |= !matches!(failed, EntryAttempt::NotRun(..));
            (original.await, false)
        }
    };
    if hedge_won {
        entry.stats.add_hedge_won();
    }
    owners.record_hedge(entry, &service.name, hedge_won);
    result
}

/// Sends an HTTP request to the server of a permit.
///
/// The permit is released when the answer has been read, when the caller has stopped reading it, or
/// when the attempt has failed.
async fn send_attempt(
    entry: &Arc<Entry>,
    service: &Service,
    permit: Permit,
    http_request: Request<HttpBody>,
) -> EntryAttempt {
    let connection_limit = service.get_connection_limit() as usize;
    let request_id = http_request.headers().get(REQUEST_ID_HEADER).cloned();
    let reply = match entry.http_client.send(permit.address, http_request).await {
        Ok(reply) => reply.with_max_idle_connections(connection_limit),
        Err(SendError::NotSent(reason, http_request)) => {
            permit.release(AttemptOutcome::Failed);
            return EntryAttempt::NotRun(reason, Some(http_request.into_body()));
        }
        Err(SendError::NoResponse(reason, _)) => {
            permit.release(AttemptOutcome::Failed);
            return EntryAttempt::AnswerLost(reason);
        }
    };
    let status = reply.response.status();
    let headers = reply.response.headers();
    let address = permit.address;
    // Before all else: what an answer says is about the request that it names. Dropping the reply closes its
    // connection.
    if names_other_request(headers, request_id.as_ref()) {
        let connection = reply.get_connection_use();
        let (id, named) = (request_id, headers.get(REQUEST_ID_HEADER));
        log::info!(
            request:? = id, named:? = named, address:% = address, status:% = status,
            connection = connection.number, answers_before = connection.responses;
            "response discarded"
        );
        permit.release(AttemptOutcome::Failed);
        return EntryAttempt::AnswerLost(format!("server {address} answered another request"));
    }
    if !is_final_status(status) {
        permit.release(AttemptOutcome::Failed);
        let reason = format!(
            "server {address} answered {}, no final status",
            status.as_u16()
        );
        return EntryAttempt::AnswerLost(reason);
    }
    let leaving = headers.contains_key(LEAVING_HEADER);
    let load = get_header_number(headers, LOAD_HEADER).map(LoadReport::of_requests);
    if leaving {
        entry.set_server_leaving(address, /* leaving */ true, /* announce */ true);
    }
    if service.not_run.contains(&status.as_u16()) {
        permit.release(if leaving {
            AttemptOutcome::Leaving
        } else {
            AttemptOutcome::Failed
        });
        // Dropping the reply closes its connection: a late copy of an answer that names no request would be
        // taken for the answer to the next one.
        return EntryAttempt::NotRun(format!("server {address} answered {status}"), None);
    }
    let is_failure = status.is_server_error() && status != StatusCode::NOT_IMPLEMENTED;
    let mut answer = reply.into_streamed(move |end| {
        permit.release(match end {
            BodyEnd::Complete if !is_failure => AttemptOutcome::answered(load),
            BodyEnd::Complete | BodyEnd::Failed => AttemptOutcome::Failed,
            BodyEnd::Abandoned => AttemptOutcome::Cancelled,
        });
    });
    // Only entries tell an outcome: a server does not know of other attempts.
    answer.headers_mut().remove(OUTCOME_HEADER);
    if is_failure {
        EntryAttempt::ServerError(answer)
    } else {
        EntryAttempt::Answered(answer)
    }
}

/// Returns whether a server's answer names a request other than the one with the identifier `id`: it then
/// answers an earlier request on the connection, or names two.
///
/// An answer that names none may be either, since servers need not name the request, as may any answer if the
/// request had no identifier.
pub(crate) fn names_other_request(headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
    let mut named = headers.get_all(REQUEST_ID_HEADER).iter();
    id.is_some_and(|id| named.any(|named| named != id))
}

impl PreparedRequest {
    /// Returns the error for the caller, with earlier attempts taken into account. An error whose
    /// outcome is "not run" becomes "answer lost" if an earlier attempt may have run the
    /// request.
    pub(crate) fn account_for_earlier_attempts(&self, error: RequestError) -> RequestError {
        match error.get_outcome() {
            CallerOutcome::NotRun if self.may_have_run => {
                RequestError::AnswerLost("an earlier attempt may have run it".to_owned())
            }
            _ => error,
        }
    }

    /// Sets a header that every later attempt carries.
    pub(crate) fn set_header(&mut self, name: &'static str, value: &str) {
        set_header(&mut self.headers, name, value);
    }
}
