use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lentilcart_util::Map;
use quick_error::quick_error;
use tokio_util::task::TaskTracker;

use super::body::{BodyEnd, HttpBody, NotifyOnEnd, stream_body};
use super::connect::{ConnectTimeouts, connect};

const MAX_IDLE: usize = 1000;
const MAX_STALE_TRIES: usize = 3;

quick_error! {
    /// Why a request got no answer.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum SendError {
        /// No byte of the request was sent; it can be sent elsewhere.
        NotSent(reason: String, request: Box<Request<HttpBody>>) {
            display("not sent: {reason}")
        }
        /// The request was sent, at least in part, and no answer came.
        NoResponse(reason: String) {
            display("sent, but not answered: {reason}")
        }
    }
}

type Idle = Mutex<Map<SocketAddr, Vec<IdleConnection>>>;

/// A connection that is not in use, and since when.
#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<HttpBody>,
    since: Instant,
}

/// Sends requests over kept HTTP/1.1 connections, each to one address at a time.
///
/// A connection is kept only after its answer was read to the end; one whose answer was abandoned
/// is closed, which also tells the other side to cancel.
#[derive(Debug)]
pub struct HttpClient {
    source: IpAddr,
    timeouts: ConnectTimeouts,
    idle: Arc<Idle>,
    opened: AtomicU64,
    tasks: TaskTracker,
}

/// An answer and the connection that it came over.
pub struct ServerResponse {
    /// The answer.
    pub response: Response<Incoming>,
    address: SocketAddr,
    sender: SendRequest<HttpBody>,
    idle: Arc<Idle>,
    max_idle: usize,
}

impl HttpClient {
    /// Creates a dialer that connects from a local address.
    #[must_use]
    pub fn new(source: IpAddr, tasks: TaskTracker) -> Self {
        Self {
            source,
            timeouts: ConnectTimeouts::default(),
            idle: Arc::default(),
            opened: AtomicU64::new(0),
            tasks,
        }
    }

    /// Sets the limits of new connections.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: ConnectTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Returns the number of connections opened.
    #[must_use]
    pub fn get_opened_count(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Sends a request over a kept connection or a new one.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the other side.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<ServerResponse, SendError> {
        self.send_with_max_idle(address, request, Duration::MAX)
            .await
    }

    /// Sends a request over a connection that was in use within `idle`, or a new one.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the other side.
    pub async fn send_with_max_idle(
        &self,
        address: SocketAddr,
        mut request: Request<HttpBody>,
        idle: Duration,
    ) -> Result<ServerResponse, SendError> {
        for _ in 0..MAX_STALE_TRIES {
            let mut sender = match self.take_idle(address, idle).await {
                Some(sender) => sender,
                None => match self.open(address).await {
                    Ok(sender) => sender,
                    Err(reason) => return Err(SendError::NotSent(reason, Box::new(request))),
                },
            };
            match sender.try_send_request(request).await {
                Ok(response) => {
                    return Ok(ServerResponse {
                        response,
                        address,
                        sender,
                        idle: self.idle.clone(),
                        max_idle: MAX_IDLE,
                    });
                }
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::NoResponse(failure.error().to_string())),
                },
            }
        }
        Err(SendError::NotSent(
            "every connection was closed".to_owned(),
            Box::new(request),
        ))
    }

    /// Closes the connections that are not in use.
    pub fn close_idle(&self) {
        self.idle.lock().expect("no panic under lock").clear();
    }

    /// Closes the kept connections to an address.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle
            .lock()
            .expect("no panic under lock")
            .remove(&address);
    }

    /// Closes the kept connections that were not in use for a time.
    pub fn close_expired(&self, age: Duration) {
        let mut idle = self.idle.lock().expect("no panic under lock");
        idle.retain(|_, kept| {
            kept.retain(|kept| !kept.sender.is_closed() && kept.since.elapsed() < age);
            !kept.is_empty()
        });
    }

    async fn take_idle(&self, address: SocketAddr, age: Duration) -> Option<SendRequest<HttpBody>> {
        loop {
            let mut sender = {
                let mut idle = self.idle.lock().expect("no panic under lock");
                let kept = idle.get_mut(&address)?;
                // The last one was in use most recently.
                if kept.last()?.since.elapsed() > age {
                    return None;
                }
                kept.pop()?.sender
            };
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    async fn open(&self, address: SocketAddr) -> Result<SendRequest<HttpBody>, String> {
        self.opened.fetch_add(1, Ordering::Relaxed);
        let stream = connect(self.source, address, self.timeouts)
            .await
            .map_err(|e| e.to_string())?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection ended: {error}");
            }
        });
        Ok(sender)
    }
}

impl ServerResponse {
    /// Sets how many connections to its address are kept at most.
    #[must_use]
    pub fn with_max_idle(mut self, max_idle: usize) -> Self {
        self.max_idle = max_idle;
        self
    }

    /// Turns the answer into one whose body returns the connection when it has been read, and
    /// then calls a function with how it ended.
    pub fn into_streamed(
        self,
        at_end: impl FnOnce(BodyEnd) + Send + Unpin + 'static,
    ) -> Response<HttpBody> {
        let Self {
            response,
            address,
            sender,
            idle,
            max_idle,
        } = self;
        let mut sender = Some(sender);
        response.map(|body| {
            let keep = move |end: BodyEnd| {
                if let (BodyEnd::Complete, Some(sender)) = (end, sender.take()) {
                    let mut idle = idle.lock().expect("no panic under lock");
                    let senders = idle.entry(address).or_default();
                    if senders.len() < max_idle {
                        let since = Instant::now();
                        senders.push(IdleConnection { sender, since });
                    }
                }
                at_end(end);
            };
            stream_body(NotifyOnEnd::new(body, keep))
        })
    }
}
