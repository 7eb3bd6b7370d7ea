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

use super::body::{End, HttpBody, Tail, stream};
use super::source::{ConnectLimits, connect};

const MOST_KEPT: usize = 1000;
const STALE_ATTEMPTS: usize = 3;

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
        Cut(reason: String) {
            display("sent, but not answered: {reason}")
        }
    }
}

type Idle = Mutex<Map<SocketAddr, Vec<Kept>>>;

/// A connection that is not in use, and since when.
#[derive(Debug)]
struct Kept {
    sender: SendRequest<HttpBody>,
    since: Instant,
}

/// Sends requests over kept HTTP/1.1 connections, each to one address at a time.
///
/// A connection is kept only after its answer was read to the end; one whose answer was abandoned
/// is closed, which also tells the other side to cancel.
#[derive(Debug)]
pub struct Dialer {
    source: IpAddr,
    limits: ConnectLimits,
    idle: Arc<Idle>,
    opened: AtomicU64,
    tasks: TaskTracker,
}

/// An answer and the connection that it came over.
pub struct Reply {
    /// The answer.
    pub answer: Response<Incoming>,
    address: SocketAddr,
    sender: SendRequest<HttpBody>,
    idle: Arc<Idle>,
    kept: usize,
}

impl Dialer {
    /// Creates a dialer that connects from a local address.
    #[must_use]
    pub fn new(source: IpAddr, tasks: TaskTracker) -> Self {
        Self {
            source,
            limits: ConnectLimits::default(),
            idle: Arc::default(),
            opened: AtomicU64::new(0),
            tasks,
        }
    }

    /// Sets the limits of new connections.
    #[must_use]
    pub fn with_limits(mut self, limits: ConnectLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the number of connections opened.
    #[must_use]
    pub fn get_opened(&self) -> u64 {
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
    ) -> Result<Reply, SendError> {
        self.send_within(address, request, Duration::MAX).await
    }

    /// Sends a request over a connection that was in use within `idle`, or a new one.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the other side.
    pub async fn send_within(
        &self,
        address: SocketAddr,
        mut request: Request<HttpBody>,
        idle: Duration,
    ) -> Result<Reply, SendError> {
        for _ in 0..STALE_ATTEMPTS {
            let mut sender = match self.take_idle(address, idle).await {
                Some(sender) => sender,
                None => match self.open(address).await {
                    Ok(sender) => sender,
                    Err(reason) => return Err(SendError::NotSent(reason, Box::new(request))),
                },
            };
            match sender.try_send_request(request).await {
                Ok(answer) => {
                    return Ok(Reply {
                        answer,
                        address,
                        sender,
                        idle: self.idle.clone(),
                        kept: MOST_KEPT,
                    });
                }
                Err(mut failure) => match failure.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(SendError::Cut(failure.error().to_string())),
                },
            }
        }
        Err(SendError::NotSent(
            "every connection was closed".to_owned(),
            Box::new(request),
        ))
    }

    /// Closes the connections that are not in use.
    pub fn close(&self) {
        self.idle.lock().expect("no panic under lock").clear();
    }

    /// Closes the kept connections to an address.
    pub fn forget(&self, address: SocketAddr) {
        self.idle
            .lock()
            .expect("no panic under lock")
            .remove(&address);
    }

    /// Closes the kept connections that were not in use for a time.
    pub fn sweep(&self, age: Duration) {
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
        let stream = connect(self.source, address, self.limits)
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

impl Reply {
    /// Sets how many connections to its address are kept at most.
    #[must_use]
    pub fn with_kept(mut self, kept: usize) -> Self {
        self.kept = kept;
        self
    }

    /// Turns the answer into one whose body returns the connection when it has been read, and
    /// then calls a function with how it ended.
    pub fn into_streamed(
        self,
        at_end: impl FnOnce(End) + Send + Unpin + 'static,
    ) -> Response<HttpBody> {
        let Self {
            answer,
            address,
            sender,
            idle,
            kept,
        } = self;
        let mut sender = Some(sender);
        answer.map(|body| {
            let keep = move |end: End| {
                if let (End::Complete, Some(sender)) = (end, sender.take()) {
                    let mut idle = idle.lock().expect("no panic under lock");
                    let senders = idle.entry(address).or_default();
                    if senders.len() < kept {
                        let since = Instant::now();
                        senders.push(Kept { sender, since });
                    }
                }
                at_end(end);
            };
            stream(Tail::new(body, keep))
        })
    }
}
