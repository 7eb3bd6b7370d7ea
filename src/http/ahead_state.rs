use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Waker};
use std::time::Instant;

use hyper::header::{CONNECTION, HeaderValue};
use hyper::{Request, Response, Version};
use tokio::sync::Notify;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::body::{HttpBody, NotifyOnEnd, stream_body};
use super::look_ahead::{ArrivalTime, EarlyRequest, LookAhead};

/// Largest number of requests of a connection that run before their turn. With the one whose turn it is, 8
/// run at once: somewhat more than a caller runs who opens connections, of which clients such as browsers
/// open 6 to a host, and few enough that their buffered answers, of 64 KB at most, stay below 512 KB.
pub const MAX_EARLY: usize = 7;

/// Where hyper is with the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It waits for a request, or has got a part of its header section.
    Waiting,
    /// It has got all of a header section.
    Parsing,
    /// Its request is being served.
    Serving,
}

/// A request that runs before its turn; dropping it ends it.
struct RunningRequest {
    request: Request<()>,
    response: AbortOnDropHandle<Response<HttpBody>>,
}

struct Turns {
    phase: Phase,
    /// Requests behind the one that is served, in their order.
    running: VecDeque<RunningRequest>,
    /// When the request that hyper reads arrived, if it had to wait.
    arrived: Option<Instant>,
    /// Whether something was not as foreseen; nothing is started any more.
    has_failed: bool,
    /// Wakes the connection when bytes that wait may be passed on.
    waker: Option<Waker>,
}

/// What the stream and the service of an HTTP/1.1 connection know together: whose turn it is, and which
/// requests run before their turn.
pub(super) struct AheadState {
    rules: Arc<LookAhead>,
    remote: SocketAddr,
    tasks: TaskTracker,
    turns: Mutex<Turns>,
    taken: Notify,
}

impl AheadState {
    /// Creates the state of a connection on which nothing has been read. What runs early is spawned on
    /// `tasks`, and ends with this state.
    pub(super) fn new(rules: Arc<LookAhead>, remote: SocketAddr, tasks: TaskTracker) -> Self {
        Self {
            rules,
            remote,
            tasks,
            turns: Mutex::new(Turns {
                phase: Phase::Waiting,
                running: VecDeque::new(),
                arrived: None,
                has_failed: false,
                waker: None,
            }),
            taken: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Turns> {
        self.turns.lock().expect("no panic under lock")
    }

    /// Returns whether hyper waits for a request.
    pub(super) fn is_waiting(&self) -> bool {
        self.lock().phase == Phase::Waiting
    }

    /// Wakes a task when hyper waits for a request again.
    pub(super) fn wake_when_waiting(&self, cx: &Context<'_>) {
        let mut turns = self.lock();
        match &turns.waker {
            Some(waker) if waker.will_wake(cx.waker()) => {}
            _ => turns.waker = Some(cx.waker().clone()),
        }
    }

    /// Records that hyper has got a header section; `arrived` is the time at which it came, if it had to wait.
    pub(super) fn record_head(&self, arrived: Option<Instant>) {
        let mut turns = self.lock();
        turns.phase = Phase::Parsing;
        turns.arrived = arrived;
    }

    /// Returns whether one more request may be started now, by the state of the connection.
    pub(super) fn has_room(&self) -> bool {
        let turns = self.lock();
        let has_room = turns.phase == Phase::Serving && turns.running.len() < MAX_EARLY;
        has_room && !turns.has_failed && !(self.rules.is_leaving)()
    }

    /// Returns whether a request may run together with others of its connection.
    pub(super) fn may_overlap(&self, request: &EarlyRequest) -> bool {
        (self.rules.may_overlap)(request)
    }

    /// Starts the request behind those that run already; returns false if it has to wait for its turn.
    pub(super) fn start(&self, mut request: EarlyRequest, arrived: Instant) -> bool {
        let (parts, ()) = request.clone().map(|_| ()).into_parts();
        request.extensions_mut().insert(ArrivalTime(arrived));
        let Some(response) = (self.rules.start)(self.remote, request) else {
            return false;
        };
        metrics::counter!("lentilcart_requests_started_ahead_total").increment(1);
        let response = AbortOnDropHandle::new(self.tasks.spawn(response));
        self.lock().running.push_back(RunningRequest {
            request: Request::from_parts(parts, ()),
            response,
        });
        true
    }

    /// Begins the turn of a request. Returns its response if the request has been started; else it has to be
    /// served. If it is not the one that was started, all that were started end.
    pub(super) fn begin<B>(
        &self,
        request: &mut Request<B>,
    ) -> Option<AbortOnDropHandle<Response<HttpBody>>> {
        let mut turns = self.lock();
        turns.phase = Phase::Serving;
        if let Some(arrived) = turns.arrived.take() {
            request.extensions_mut().insert(ArrivalTime(arrived));
        }
        let running = turns.running.pop_front()?;
        let is_same = is_same_request(&running.request, request);
        if !is_same {
            log::warn!(remote:% = self.remote; "requests that were started ahead are ended: another one came");
            metrics::counter!("lentilcart_requests_ahead_dropped_total")
                .increment(turns.running.len() as u64 + 1);
            turns.running.clear();
            turns.has_failed = true;
        }
        drop(turns);
        self.taken.notify_waiters();
        is_same.then_some(running.response)
    }

    /// Ends the turn of a request with its response, which closes the connection only if no request behind it
    /// has been started. The next one is read when its body has ended.
    pub(super) fn finish(self: &Arc<Self>, mut response: Response<HttpBody>) -> Response<HttpBody> {
        let has_next = !self.lock().running.is_empty();
        if has_next {
            response.headers_mut().remove(CONNECTION);
            // An HTTP/1.0 server's response of unknown length would end with the connection.
            *response.version_mut() = Version::HTTP_11;
        } else if (self.rules.is_leaving)() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let state = self.clone();
        response.map(|body| stream_body(NotifyOnEnd::new(body, move |_| state.end_turn())))
    }

    fn end_turn(&self) {
        let waker = {
            let mut turns = self.lock();
            turns.phase = Phase::Waiting;
            turns.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Waits until no request runs before its turn.
    pub(super) async fn wait_until_taken(&self) {
        loop {
            let taken = self.taken.notified();
            if self.lock().running.is_empty() {
                return;
            }
            taken.await;
        }
    }
}

/// Returns whether a request is the one that was started.
fn is_same_request<B>(started: &Request<()>, request: &Request<B>) -> bool {
    started.method() == request.method()
        && started.uri() == request.uri()
        && started.version() == request.version()
        && started.headers() == request.headers()
}
