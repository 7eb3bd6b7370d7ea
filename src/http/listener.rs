use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::task::Context;
use std::time::Duration;

use futures::future::Either;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, Version};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use super::active_requests::ActiveRequests;
use super::ahead_reader::AheadReader;
use super::ahead_state::AheadState;
use super::ahead_stream::AheadStream;
use super::body::HttpBody;
use super::head_timer::HeadTimer;
use super::look_ahead::LookAhead;
use super::observed_stream::ObservedStream;
use crate::error::DaemonError;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 4096;
/// Time between an accept that failed and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time between the order to close connections and its execution, in which bytes that have arrived are read.
const CLOSE_DELAY: Duration = Duration::from_millis(1);
/// Time for which a connection without any bytes stays open when connections are closed: its first request may
/// be on its way.
const FIRST_BYTE_GRACE: Duration = Duration::from_millis(100);

/// Limits of a listener and of its connections.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest header section of a request, in bytes. For HTTP/1.1 it is the size of the read buffer,
    /// which is at least 8192.
    pub header_bytes: usize,
    /// Time from the first byte of a request's header section to its end; HTTP/1.1 only, and where the
    /// version is not known.
    pub header_timeout: Duration,
    /// Time within which the first byte must arrive, on a new connection and after a response. With HTTP/2,
    /// time for which a connection may carry no request.
    pub idle_timeout: Duration,
    /// Largest number of connections that are open at once.
    pub max_connections: usize,
}

/// A connection, the address of its other end, and the guard that counts it as open until it is dropped.
type AcceptedConnection = (TcpStream, SocketAddr, OwnedSemaphorePermit);

/// Tokens that stop a listener in two steps when they are cancelled: first it accepts no more
/// connections, then open connections close after their request in flight.
#[derive(Debug, Clone, Default)]
pub struct ShutdownTokens {
    /// Stops accepting connections.
    pub stop_accepting: CancellationToken,
    /// Closes open connections after their request in flight.
    pub close_connections: CancellationToken,
}

/// Serves HTTP/1.1 and HTTP/2 on a listener until `shutdown.stop_accepting` is cancelled, with the connections
/// that were opened before, unless `max_connections` are open.
///
/// Each connection is spawned on `tasks`; wait for `tasks` to join them, and run this function on it, too, so
/// that the last ones are not missed. `limits` is called
/// when a connection starts, and its result holds for that connection; its `max_connections` counts
/// only when the listener starts. `serve` gets the address of the remote and the request.
///
/// With `look_ahead`, requests of an HTTP/1.1 connection that it allows run while earlier ones are served.
pub async fn serve_listener<L, S, F>(
    listener: TcpListener,
    limits: L,
    shutdown: ShutdownTokens,
    tasks: TaskTracker,
    look_ahead: Option<Arc<LookAhead>>,
    serve: S,
) where
    L: Fn() -> ListenerLimits + Send + 'static,
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let semaphore = Arc::new(Semaphore::new(limits().max_connections));
    let spawn = |(stream, remote, guard)| {
        let close = shutdown.close_connections.clone();
        let ahead = look_ahead.clone();
        let ahead = ahead.map(|rules| Arc::new(AheadState::new(rules, remote, tasks.clone())));
        let connection = serve_connection(stream, remote, limits(), close, ahead, serve.clone());
        tasks.spawn(async move {
            connection.await;
            drop(guard);
        });
    };
    loop {
        tokio::select! {
            accepted = accept(&listener, &semaphore) => accepted.into_iter().for_each(&spawn),
            () = shutdown.stop_accepting.cancelled() => break,
        }
    }
    accept_waiting(listener, &semaphore)
        .into_iter()
        .for_each(spawn);
}

/// Serves an accepted connection until it ends, or until `close` is cancelled and the requests that had
/// arrived are answered.
async fn serve_connection<S, F>(
    stream: TcpStream,
    remote: SocketAddr,
    limits: ListenerLimits,
    close: CancellationToken,
    ahead: Option<Arc<AheadState>>,
    serve: S,
) where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let close_unused = async {
        close.cancelled().await;
        sleep(FIRST_BYTE_GRACE).await;
    };
    let has_begun = tokio::select! {
        biased;
        // hyper's timer begins with the first byte.
        result = timeout(limits.idle_timeout, has_bytes(&stream)) => result.unwrap_or(false),
        () = close_unused => false,
    };
    if !has_begun {
        log::debug!(remote:% = remote; "accepted connection closed: nothing was sent");
        return;
    }
    let active_requests = ActiveRequests::default();
    let counted = active_requests.clone();
    let turns = ahead.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let is_http2 = request.version() == Version::HTTP_2;
        let active = is_http2.then(|| counted.begin());
        let turns = turns.clone().filter(|_| !is_http2);
        let started = turns.as_ref().and_then(|turns| turns.begin(&mut request));
        let response = match started {
            Some(started) => Either::Left(wait_for_response(started)),
            None => Either::Right(serve(remote, request)),
        };
        async move {
            let response = response.await;
            let response = match turns {
                Some(turns) => turns.finish(response),
                None => response,
            };
            Ok::<_, std::convert::Infallible>(match active {
                Some(active) => response.map(|body| active.end_with(body)),
                None => response,
            })
        }
    });
    let head_timer = HeadTimer::new(limits.header_timeout);
    let builder = create_builder(limits, head_timer.clone());
    let timer = head_timer.clone();
    let stream = ObservedStream {
        stream,
        on_read: move |_: &mut Context<'_>, bytes: &[u8]| {
            timer.record_read(bytes);
            Ok(())
        },
    };
    let stream = AheadStream::new(stream, ahead.clone().map(AheadReader::new));
    let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let close = async {
        close.cancelled().await;
        // The runtime looks at all connections before a timer ends.
        sleep(CLOSE_DELAY).await;
        if let Some(ahead) = &ahead {
            // What has been started is answered.
            ahead.wait_until_taken().await;
        }
    };
    let result = tokio::select! {
        // In this order, a request that has arrived is read before the connection is told to close.
        biased;
        result = connection.as_mut() => result,
        () = head_timer.wait_for_unknown_version() => {
            log::debug!(remote:% = remote; "accepted connection closed: no version of HTTP was told");
            return;
        }
        () = wait_for_idle_http2(&active_requests, &head_timer, limits.idle_timeout) => {
            log::debug!(remote:% = remote; "accepted connection closed: idle");
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection.as_mut() => result,
                // The caller has not closed it.
                () = active_requests.wait_until_idle(limits.idle_timeout) => return,
            }
        }
        () = close => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!(remote:% = remote; "accepted connection failed: {error}");
    }
}

/// Waits for the response to a request that was started before its turn.
async fn wait_for_response(started: AbortOnDropHandle<Response<HttpBody>>) -> Response<HttpBody> {
    match started.await {
        Ok(response) => response,
        Err(error) if error.is_panic() => std::panic::resume_unwind(error.into_panic()),
        // The runtime ends.
        Err(_) => std::future::pending().await,
    }
}

/// Waits until bytes have arrived on a connection, which are left there; returns false if it ends or fails
/// before.
async fn has_bytes(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]).await, Ok(1..))
}

/// Waits until an HTTP/2 connection has carried no request for `idle_timeout`; does not return if the
/// connection is HTTP/1.1, which has a timer.
async fn wait_for_idle_http2(
    active_requests: &ActiveRequests,
    head_timer: &HeadTimer,
    idle_timeout: Duration,
) {
    active_requests.wait_until_idle(idle_timeout).await;
    if head_timer.is_http1() {
        std::future::pending::<()>().await;
    }
}

fn create_builder(limits: ListenerLimits, head_timer: HeadTimer) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(head_timer)
        // Between requests; the timer shortens it once a header section has begun.
        .header_read_timeout(limits.idle_timeout)
        // hyper panics if the buffer is smaller than 8192 bytes.
        .max_buf_size(limits.header_bytes.max(8192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .max_concurrent_streams(1000);
    builder
}

/// Waits until fewer connections than the limit of `semaphore` are open, and accepts one; the guard
/// counts it as open until it is dropped. Returns `None` if accepting failed.
async fn accept(listener: &TcpListener, semaphore: &Arc<Semaphore>) -> Option<AcceptedConnection> {
    let connection_guard = semaphore.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, remote)) => {
            stream.set_nodelay(true).ok();
            Some((stream, remote, connection_guard))
        }
        Err(error) => {
            log::warn!("cannot accept a connection: {error}");
            sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Closes a listener, and accepts the connections that the kernel has queued for it, while fewer than the limit
/// of `semaphore` are open. Asks the kernel, since the runtime may not have heard of them yet.
fn accept_waiting(listener: TcpListener, semaphore: &Arc<Semaphore>) -> Vec<AcceptedConnection> {
    let mut accepted = Vec::new();
    let accept_all = || -> std::io::Result<()> {
        let listener = listener.into_std()?;
        while let Ok(guard) = semaphore.clone().try_acquire_owned() {
            match listener.accept() {
                Ok((stream, remote)) => {
                    stream.set_nonblocking(true)?;
                    stream.set_nodelay(true).ok();
                    accepted.push((TcpStream::from_std(stream)?, remote, guard));
                }
                // Closed by its caller before it was accepted.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => return Err(error),
            }
        }
        Ok(())
    };
    if let Err(error) = accept_all() {
        log::warn!("cannot accept the last connections: {error}");
    }
    accepted
}

/// Binds a listener to `address`; `setting` is the name of its setting as users write it, for the
/// error.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind_listener(
    setting: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, DaemonError> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| DaemonError::Listen(setting, address, error))
}
