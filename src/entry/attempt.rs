use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::{Either, select};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use lentilcart_route::{AttemptOutcome, LoadReport};
use lentilcart_state::{RequestClass, Route, Service};
use lentilcart_util::Micros;
use tokio::time::{Instant, timeout_at};

use super::entry::Entry;
use super::failure::Failure;
use super::outcome::Told;
use super::payload::Payload;
use super::permit::Permit;
use super::post::Posts;
use crate::http::{ATTEMPT, DEADLINE_MS, End, HttpBody, LEAVING, LOAD, SendError, number_of, set};
use crate::peer::{AttemptKind, ClaimRequest, EntryPermitRequest};

const MAX_ATTEMPTS: u32 = 4;

/// A caller's request, ready to be sent to a server or another entry.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) payload: Payload,
    pub(crate) route: Route,
    pub(crate) service: Arc<Service>,
    pub(crate) arrived: Micros,
    pub(crate) deadline: Micros,
    /// Whether an attempt that is given up may have run it.
    pub(crate) may_have_run: bool,
}

/// What became of one attempt.
enum Tried {
    /// The server answered.
    Answer(Response<HttpBody>),
    /// The server answered with a failure, which another server may not.
    Failure(Response<HttpBody>),
    /// The request was not run; holds the body if no byte of it was sent.
    NotRun(String, Option<HttpBody>),
    /// The request may have run.
    Cut(String),
}

impl Call {
    pub(crate) fn is_once(&self) -> bool {
        self.route.class == RequestClass::Once
    }

    /// Returns the request for one attempt, if the body can be sent once more.
    pub(crate) fn next_request(&mut self, attempt: u32, now: Micros) -> Option<Request<HttpBody>> {
        let body = self.payload.next()?;
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        let left = (self.deadline - now).0 / 1000;
        let name = HeaderName::from_static(DEADLINE_MS);
        request.headers_mut().insert(name, HeaderValue::from(left));
        if attempt > 0 {
            let name = HeaderName::from_static(ATTEMPT);
            request
                .headers_mut()
                .insert(name, HeaderValue::from(attempt));
        }
        Some(request)
    }

    fn ask(&self, now: Micros, kind: AttemptKind, tried: &[SocketAddr]) -> EntryPermitRequest {
        EntryPermitRequest {
            service: self.service.name.clone(),
            kind,
            priority: self.route.priority,
            once: self.is_once(),
            age: now - self.arrived,
            remaining: self.deadline - now,
            excluded: tried.to_vec(),
            claim: None,
        }
    }
}

/// Sends a request to a server of its service, and again where that is allowed.
pub(crate) async fn dispatch(
    entry: &Arc<Entry>,
    posts: &mut Posts,
    call: &mut Call,
    claim: Option<&ClaimRequest>,
) -> Result<Response<HttpBody>, Failure> {
    let deadline = Instant::from_std(entry.clock.at(call.deadline));
    let upstream = number_of(&call.headers, ATTEMPT).unwrap_or(0);
    let mut tried = Vec::new();
    let mut last = Last::None;
    for attempt in 0..MAX_ATTEMPTS {
        let kind = if attempt == 0 {
            AttemptKind::First
        } else {
            AttemptKind::Retry
        };
        let mut ask = call.ask(entry.clock.now(), kind, &tried);
        ask.claim = claim.filter(|_| attempt == 0).cloned();
        let Ok(acquired) = timeout_at(deadline, posts.acquire(entry, &ask)).await else {
            return last.end(Failure::Deadline(false));
        };
        let lease = match acquired {
            Ok(lease) => lease,
            Err(denial) => return last.end(Failure::Denied(denial)),
        };
        // A process that was paused must not send what its caller has given up on.
        if entry.clock.now() >= call.deadline {
            return last.end(Failure::Deadline(false));
        }
        tried.push(lease.address);
        let request = call.next_request(upstream + attempt, entry.clock.now());
        let Some(request) = request else {
            return last.end(Failure::NotRun("its body cannot be sent again".to_owned()));
        };
        let ended = timeout_at(deadline, run(entry, posts, call, lease, request, &tried)).await;
        let Ok(ended) = ended else {
            return Err(Failure::Deadline(true));
        };
        last = match ended {
            Tried::Answer(answer) => return Ok(answer),
            Tried::Failure(answer) if call.is_once() => return Ok(answer),
            Tried::Failure(answer) => Last::Answer(answer),
            Tried::Cut(reason) => Last::Cut(reason),
            Tried::NotRun(reason, unsent) => {
                if let Some(unsent) = unsent {
                    call.payload.put_back(unsent);
                }
                last.or(Last::NotRun(reason))
            }
        };
        let may_run_again = match last {
            Last::NotRun(_) => true,
            _ => !call.is_once() && call.payload.is_kept(),
        };
        // A request that is itself a retry is not multiplied by retries of this layer.
        if upstream > 0 || !may_run_again {
            break;
        }
    }
    last.end(Failure::NotRun("every attempt failed".to_owned()))
}

/// What the attempts so far have come to.
enum Last {
    None,
    NotRun(String),
    Cut(String),
    Answer(Response<HttpBody>),
}

impl Last {
    /// Keeps what an earlier attempt may have run over one that did not run.
    fn or(self, next: Self) -> Self {
        match self {
            Self::None | Self::NotRun(_) => next,
            earlier => earlier,
        }
    }

    /// Returns what the caller gets where no further attempt is made; `failure` says why.
    fn end(self, failure: Failure) -> Result<Response<HttpBody>, Failure> {
        match self {
            Self::None => Err(failure),
            Self::NotRun(reason) => Err(Failure::NotRun(reason)),
            Self::Cut(reason) => Err(Failure::Cut(reason)),
            Self::Answer(answer) => Ok(answer),
        }
    }
}

/// Runs an attempt, and a hedge of it where the class and the budget allow one.
async fn run(
    entry: &Arc<Entry>,
    posts: &Posts,
    call: &mut Call,
    lease: Permit,
    request: Request<HttpBody>,
    tried: &[SocketAddr],
) -> Tried {
    let may_repeat = !call.is_once() && call.payload.is_kept();
    let delay = lease.hedge_after.filter(|_| may_repeat);
    let service = call.service.clone();
    let first = Box::pin(attempt(entry, &service, lease, request));
    let Some(delay) = delay else {
        return first.await;
    };
    let timer = Box::pin(tokio::time::sleep(delay.into()));
    let first = match select(first, timer).await {
        Either::Left((ended, _)) => return ended,
        Either::Right(((), first)) => first,
    };
    let ask = call.ask(entry.clock.now(), AttemptKind::Hedge, tried);
    let lease = Box::pin(posts.hedge(entry, ask));
    let (first, lease) = match select(first, lease).await {
        Either::Left((ended, _)) => return ended,
        Either::Right((lease, first)) => (first, lease),
    };
    let request = call.next_request(1, entry.clock.now());
    let (Some(lease), Some(request)) = (lease, request) else {
        return first.await;
    };
    entry.stats.add_hedge();
    let second = Box::pin(attempt(entry, &service, lease, request));
    let (ended, won) = match select(first, second).await {
        Either::Left((ended @ Tried::Answer(_), _)) => (ended, false),
        Either::Left((failed, second)) => {
            call.may_have_run |= !matches!(failed, Tried::NotRun(..));
            (second.await, true)
        }
        Either::Right((ended @ Tried::Answer(_), _)) => (ended, true),
        Either::Right((failed, first)) => {
            call.may_have_run |= !matches!(failed, Tried::NotRun(..));
            (first.await, false)
        }
    };
    if won {
        entry.stats.add_hedge_won();
    }
    posts.settle_hedge(entry, &service.name, won);
    ended
}

/// Sends a request to the server of a lease. The lease ends when the answer has been read.
async fn attempt(
    entry: &Arc<Entry>,
    service: &Service,
    lease: Permit,
    request: Request<HttpBody>,
) -> Tried {
    let keep = service.get_connection_limit() as usize;
    let reply = match entry.dialer.send(lease.address, request).await {
        Ok(reply) => reply.with_kept(keep),
        Err(SendError::NotSent(reason, request)) => {
            lease.release(AttemptOutcome::Failed);
            return Tried::NotRun(reason, Some(request.into_body()));
        }
        Err(SendError::Cut(reason)) => {
            lease.release(AttemptOutcome::Failed);
            return Tried::Cut(reason);
        }
    };
    let status = reply.answer.status();
    let headers = reply.answer.headers();
    let leaving = headers.contains_key(LEAVING);
    let load = number_of(headers, LOAD).map(LoadReport::of_requests);
    let address = lease.address;
    if leaving {
        entry.set_leaving(address, true, true);
    }
    if service.not_run.contains(&status.as_u16()) {
        lease.release(if leaving {
            AttemptOutcome::Leaving
        } else {
            AttemptOutcome::Failed
        });
        drain(entry, reply);
        return Tried::NotRun(format!("server {address} answered {status}"), None);
    }
    let is_failure = status.is_server_error() && status != StatusCode::NOT_IMPLEMENTED;
    let answer = reply.into_streamed(move |end| {
        lease.release(match end {
            End::Complete if !is_failure => AttemptOutcome::answered(load),
            End::Complete | End::Failed => AttemptOutcome::Failed,
            End::Abandoned => AttemptOutcome::Cancelled,
        });
    });
    if is_failure {
        Tried::Failure(answer)
    } else {
        Tried::Answer(answer)
    }
}

/// Reads an answer that nobody wants, so that its connection can be used again.
fn drain(entry: &Entry, reply: crate::http::Reply) {
    let answer = reply.into_streamed(|_| ());
    entry.tasks.spawn(async move {
        http_body_util::BodyExt::collect(answer.into_body())
            .await
            .ok();
    });
}

impl Call {
    /// Returns what the caller is told of a failure: never "not run" where an earlier attempt may
    /// have run.
    pub(crate) fn honest(&self, failure: Failure) -> Failure {
        match failure.get_told() {
            Told::NotRun if self.may_have_run => {
                Failure::Cut("an earlier attempt may have run it".to_owned())
            }
            _ => failure,
        }
    }

    /// Sets a header of every attempt.
    pub(crate) fn set_header(&mut self, name: &'static str, value: &str) {
        set(&mut self.headers, name, value);
    }
}
