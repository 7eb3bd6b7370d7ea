use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::Context;
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use lentilcart_util::{Map, Name};
use quick_error::quick_error;
use tokio::time::timeout;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::body::{BodyEnd, HttpBody, NotifyOnEnd, build_get, collect_body, stream_body};
use super::connect::{ConnectTimeouts, connect};
use super::observed_stream::ObservedStream;
use super::read_limit::ReadLimit;

/// Largest number of idle connections kept to each address, unless the response sets another number.
const DEFAULT_MAX_IDLE_CONNECTIONS: usize = 1000;
/// Size of the read buffer of a connection, in bytes, which the head of a response must fit into.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of bytes that are read before the head of a response is complete, with all interim
/// responses before it; part of the body may come with the head.
const MAX_BYTES_BEFORE_BODY: usize = 2 * MAX_HEAD_BYTES;
/// Largest body of a response of a health endpoint, to a probe or to a connection check, in bytes.
pub const MAX_HEALTH_BYTES: usize = 16 * 1024;
/// Time within which an idle connection must be able to carry a request. One that is not has not been able
/// to send its last request completely, though the response to it has arrived.
const READY_TIMEOUT: Duration = Duration::from_millis(50);
/// Largest number of connections tried for a request if each is closed before anything is sent.
const MAX_CONNECTION_TRIES: usize = 3;

quick_error! {
    /// Error of a request that got no response.
    #[derive(Debug)]
    #[non_exhaustive]
    pub enum SendError {
        /// No byte of the request was sent; it is returned and can be sent elsewhere.
        NotSent(reason: String, request: Box<Request<HttpBody>>) {
            display("not sent: {reason}")
        }
        /// The request was sent, at least in part, over the connection given, and no response came: it may
        /// have been run.
        NoResponse(reason: String, connection: ConnectionUse) {
            display("sent, but not answered: {reason}")
        }
    }
}

/// Which connection a request was sent over, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection among those that the client has opened.
    pub number: u64,
    /// Responses read completely over it before, without those to connection checks.
    pub responses: u64,
}

/// How a connection that has been idle for long is checked before it carries a request: by a request
/// that may be repeated.
pub struct ConnectionCheck<'a> {
    /// Path of the request, which is sent with GET.
    pub path: Name,
    /// Time within which the response must be complete. With any status but 2xx the server works, but the
    /// connection is not used: a second copy of a refusal names nothing, and might come in the place of the
    /// response to the request.
    pub timeout: Duration,
    /// Header that a response to the check does not have: one that has it answers an earlier request.
    pub foreign_header: &'static str,
    /// Reads the head of a response to the check, whatever its status and whether its body comes. Returns
    /// whether the server still wants the request; if not, the request is not sent.
    pub on_head: &'a (dyn Fn(&Response<Incoming>) -> bool + Sync),
}

/// The idle connections to each address, the most recently used one last.
type IdlePool = Mutex<Map<SocketAddr, Vec<IdleConnection>>>;

/// A connection without a request in flight, and the time since which it has none.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// An open connection and what it has been used for. It is closed when dropped, also if the server has not
/// read all of the request.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<HttpBody>,
    usage: ConnectionUse,
    read_limit: ReadLimit,
    _driver: AbortOnDropHandle<()>,
}

/// An HTTP/1.1 client with a pool of idle connections to each address.
///
/// A connection returns to the pool only after its response was read to the end. If the body of a
/// response is dropped earlier, the connection is closed, which also tells the server to cancel.
#[derive(Debug)]
pub struct HttpClient {
    source: IpAddr,
    timeouts: ConnectTimeouts,
    idle: Arc<IdlePool>,
    connect_attempts: AtomicU64,
    tasks: TaskTracker,
}

/// A response and the connection that it came over.
pub struct ServerResponse {
    /// The response, whose body has not been read yet.
    pub response: Response<Incoming>,
    address: SocketAddr,
    connection: Connection,
    idle: Arc<IdlePool>,
    max_idle_connections: usize,
}

impl HttpClient {
    /// Creates a client that connects from `source`, an address of this host; the tasks that drive
    /// its connections run on `tasks`.
    #[must_use]
    pub fn new(source: IpAddr, tasks: TaskTracker) -> Self {
        Self {
            source,
            timeouts: ConnectTimeouts::default(),
            idle: Arc::default(),
            connect_attempts: AtomicU64::new(0),
            tasks,
        }
    }

    /// Sets the timeouts of new connections.
    #[must_use]
    pub fn with_timeouts(mut self, timeouts: ConnectTimeouts) -> Self {
        self.timeouts = timeouts;
        self
    }

    /// Returns the number of attempts to open a connection so far, including failed ones.
    #[must_use]
    pub fn get_opened_count(&self) -> u64 {
        self.connect_attempts.load(Ordering::Relaxed)
    }

    /// Sends a request over an idle connection or a new one.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have reached the server.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
    ) -> Result<ServerResponse, SendError> {
        self.send_with_max_idle_time(address, request, Duration::MAX)
            .await
    }

    /// Sends a request over a connection that has been idle for at most `max_idle_time`, or a new one.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have reached the server.
    pub async fn send_with_max_idle_time(
        &self,
        address: SocketAddr,
        request: Request<HttpBody>,
        max_idle_time: Duration,
    ) -> Result<ServerResponse, SendError> {
        let give_up = std::future::pending();
        self.send_checked(address, request, max_idle_time, None, give_up)
            .await
    }

    /// Sends a request over an idle connection or a new one. A connection that has been idle for longer
    /// than `max_idle_time` is used only if it passes the `check`, and not at all without one. If `give_up`
    /// ends before there is a connection, the request is not sent.
    ///
    /// # Errors
    ///
    /// The error says whether the request may have reached the server.
    pub async fn send_checked(
        &self,
        address: SocketAddr,
        mut request: Request<HttpBody>,
        max_idle_time: Duration,
        check: Option<&ConnectionCheck<'_>>,
        give_up: impl Future<Output = ()>,
    ) -> Result<ServerResponse, SendError> {
        tokio::pin!(give_up);
        for _ in 0..MAX_CONNECTION_TRIES {
            let connection = tokio::select! {
                // Polled first: a connection that is open now comes too late.
                biased;
                () = &mut give_up => Err("the request was given up".to_owned()),
                connection = self.take_or_connect(address, max_idle_time, check) => connection,
            };
            let mut connection = match connection {
                Ok(connection) => connection,
                Err(reason) => return Err(SendError::NotSent(reason, Box::new(request))),
            };
            connection.read_limit.set(MAX_BYTES_BEFORE_BODY);
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    connection.read_limit.remove();
                    return Ok(ServerResponse {
                        response,
                        address,
                        connection,
                        idle: self.idle.clone(),
                        max_idle_connections: DEFAULT_MAX_IDLE_CONNECTIONS,
                    });
                }
                Err(mut error) => {
                    let Some(unsent) = error.take_message() else {
                        let reason = error.error().to_string();
                        return Err(SendError::NoResponse(reason, connection.usage));
                    };
                    request = unsent;
                }
            }
        }
        Err(SendError::NotSent(
            "every connection was closed".to_owned(),
            Box::new(request),
        ))
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.lock().expect("no panic under lock").clear();
    }

    /// Closes the idle connections to an address.
    pub fn close_idle_to(&self, address: SocketAddr) {
        self.idle
            .lock()
            .expect("no panic under lock")
            .remove(&address);
    }

    /// Drops the idle connections that are closed, or have been idle for `max_idle_time` or longer.
    pub fn close_expired(&self, max_idle_time: Duration) {
        let mut idle = self.idle.lock().expect("no panic under lock");
        idle.retain(|_, connections| {
            connections
                .retain(|c| !c.connection.sender.is_closed() && c.since.elapsed() < max_idle_time);
            !connections.is_empty()
        });
    }

    /// Takes the most recently used open connection to an address out of the pool. If it has been idle
    /// for longer than `max_idle_time`, it must pass the `check`, and is left in the pool without one.
    ///
    /// # Errors
    ///
    /// Fails if the server wants no request, as [`ConnectionCheck::passes`] does.
    async fn take_idle(
        &self,
        address: SocketAddr,
        max_idle_time: Duration,
        check: Option<&ConnectionCheck<'_>>,
    ) -> Result<Option<Connection>, String> {
        loop {
            let (mut connection, is_recent) = {
                let mut idle = self.idle.lock().expect("no panic under lock");
                let Some(connections) = idle.get_mut(&address) else {
                    return Ok(None);
                };
                // The last one is the most recently used.
                let is_recent = connections
                    .last()
                    .is_some_and(|last| last.since.elapsed() <= max_idle_time);
                let usable = connections.pop_if(|_| is_recent || check.is_some());
                let Some(IdleConnection { connection, .. }) = usable else {
                    return Ok(None);
                };
                (connection, is_recent)
            };
            // Holds for the whole response to a check, whose body is small.
            connection.read_limit.set(MAX_BYTES_BEFORE_BODY);
            // Lets the runtime look at the connection: bytes that have come while it was idle answer no
            // request, and close it.
            tokio::task::yield_now().await;
            let sender = &mut connection.sender;
            let ready = timeout(READY_TIMEOUT, sender.ready()).await;
            let is_ready = matches!(ready, Ok(Ok(()))) && !sender.is_closed();
            match check {
                _ if !is_ready => {}
                _ if is_recent => return Ok(Some(connection)),
                Some(check) if check.passes(address, sender).await? => return Ok(Some(connection)),
                // The others have been idle for longer, so they are no better.
                _ => return Ok(None),
            }
        }
    }

    /// Takes an idle connection as [`take_idle`](Self::take_idle) does, or opens one.
    async fn take_or_connect(
        &self,
        address: SocketAddr,
        max_idle_time: Duration,
        check: Option<&ConnectionCheck<'_>>,
    ) -> Result<Connection, String> {
        match self.take_idle(address, max_idle_time, check).await? {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection, String> {
        let number = self.connect_attempts.fetch_add(1, Ordering::Relaxed);
        let stream = connect(self.source, address, self.timeouts)
            .await
            .map_err(|e| e.to_string())?;
        let builder = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .to_owned();
        let read_limit = ReadLimit::unlimited();
        let limit = read_limit.clone();
        let stream = ObservedStream {
            stream,
            on_read: move |cx: &mut Context<'_>, bytes: &[u8]| limit.record_read(cx, bytes),
        };
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| e.to_string())?;
        let driver = self.tasks.spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection to a server failed: {error}");
            }
        });
        let usage = ConnectionUse {
            number,
            responses: 0,
        };
        Ok(Connection {
            sender,
            usage,
            read_limit,
            _driver: AbortOnDropHandle::new(driver),
        })
    }
}

impl ConnectionCheck<'_> {
    /// Returns whether a connection answers in time, and can be used again.
    ///
    /// # Errors
    ///
    /// Fails if the server wants no request, also if its connection cannot be used.
    async fn passes(
        &self,
        address: SocketAddr,
        sender: &mut SendRequest<HttpBody>,
    ) -> Result<bool, String> {
        let mut is_wanted = true;
        let exchange = async {
            let request = build_get(address, &self.path).ok()?;
            let response = sender.send_request(request).await.ok()?;
            if response.headers().contains_key(self.foreign_header) {
                return None;
            }
            is_wanted = (self.on_head)(&response);
            let is_plain = response.status().is_success();
            collect_body(response.into_body(), MAX_HEALTH_BYTES)
                .await
                .ok()?;
            sender.ready().await.ok()?;
            Some(is_plain)
        };
        let passes = timeout(self.timeout, exchange).await;
        let passes = matches!(passes, Ok(Some(true)));
        if !passes {
            log::debug!(address:% = address; "idle connection failed its check");
        }
        if !is_wanted {
            return Err("the server wants no requests".to_owned());
        }
        Ok(passes)
    }
}

impl ServerResponse {
    /// Returns which connection the request was sent over.
    #[must_use]
    pub fn get_connection_use(&self) -> ConnectionUse {
        self.connection.usage
    }

    /// Returns this connection to the pool after the response only if fewer than
    /// `max_idle_connections` to the address of the server are idle.
    #[must_use]
    pub fn with_max_idle_connections(mut self, max_idle_connections: usize) -> Self {
        self.max_idle_connections = max_idle_connections;
        self
    }

    /// Returns the response with a body that, when it ends, returns the connection to the pool if
    /// the body was read completely and the pool has room, and then calls `on_end` with how the
    /// body ended.
    pub fn into_streamed(
        self,
        on_end: impl FnOnce(BodyEnd) + Send + Unpin + 'static,
    ) -> Response<HttpBody> {
        let Self {
            response,
            address,
            connection,
            idle,
            max_idle_connections,
        } = self;
        let mut connection = Some(connection);
        response.map(|body| {
            let recycle = move |end: BodyEnd| {
                if let (BodyEnd::Complete, Some(mut connection)) = (end, connection.take()) {
                    connection.usage.responses += 1;
                    let mut idle = idle.lock().expect("no panic under lock");
                    let connections = idle.entry(address).or_default();
                    if connections.len() < max_idle_connections {
                        let since = Instant::now();
                        connections.push(IdleConnection { connection, since });
                    }
                }
                on_end(end);
            };
            stream_body(NotifyOnEnd::new(body, recycle))
        })
    }
}
