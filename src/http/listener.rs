use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::HttpBody;
use crate::error::DaemonError;

/// Connections that the kernel queues until they are accepted.
const BACKLOG: u32 = 4096;
/// Time between an accept that failed and the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of a listener and of its connections.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Largest header section of a request, in bytes. For HTTP/1.1 it is the size of the read buffer,
    /// which is at least 8192.
    pub header_bytes: usize,
    /// Time within which the first byte must arrive on a new connection, and the header section of a request;
    /// the latter HTTP/1.1 only.
    pub header_timeout: Duration,
    /// Largest number of connections that are open at once.
    pub max_connections: usize,
}

/// Tokens that stop a listener in two steps when they are cancelled: first it accepts no more
/// connections, then open connections close after their request in flight.
#[derive(Debug, Clone, Default)]
pub struct ShutdownTokens {
    /// Stops accepting connections.
    pub stop_accepting: CancellationToken,
    /// Closes open connections after their request in flight.
    pub close_connections: CancellationToken,
}

/// Serves HTTP/1.1 and HTTP/2 on a listener until `shutdown.stop_accepting` is cancelled.
///
/// Each connection is spawned on `tasks`; wait for `tasks` to join them. `limits` is called
/// when a connection starts, and its result holds for that connection; its `max_connections` counts
/// only when the listener starts. `serve` gets the address of the remote and the request.
pub async fn serve_listener<L, S, F>(
    listener: TcpListener,
    limits: L,
    shutdown: ShutdownTokens,
    tasks: TaskTracker,
    serve: S,
) where
    L: Fn() -> ListenerLimits + Send + 'static,
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<HttpBody>> + Send + 'static,
{
    let semaphore = Arc::new(Semaphore::new(limits().max_connections));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &semaphore) => accepted,
            // `biased`, so that connections already in the backlog are accepted before the listener
            // stops. If `max_connections` are open, they are not.
            () = shutdown.stop_accepting.cancelled() => return,
        };
        let Some((stream, remote, connection_guard)) = accepted else {
            continue;
        };
        let limits = limits();
        let builder = create_builder(limits);
        let (close, serve) = (shutdown.close_connections.clone(), serve.clone());
        tasks.spawn(async move {
            // hyper's timer begins with the first byte.
            let first_byte = timeout(limits.header_timeout, async { stream.peek(&mut [0]).await });
            let has_begun = tokio::select! {
                result = first_byte => matches!(result, Ok(Ok(1..))),
                () = close.cancelled() => false,
            };
            if !has_begun {
                log::debug!(remote:% = remote; "accepted connection closed: nothing was sent");
                return;
            }
            let service = service_fn(move |request| {
                let response = serve(remote, request);
                async move { Ok::<_, std::convert::Infallible>(response.await) }
            });
            let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let result = tokio::select! {
                result = connection.as_mut() => result,
                () = close.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = result {
                log::debug!(remote:% = remote; "accepted connection failed: {error}");
            }
            drop(connection_guard);
        });
    }
}

fn create_builder(limits: ListenerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
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
async fn accept(
    listener: &TcpListener,
    semaphore: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let connection_guard = semaphore.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, remote)) => {
            stream.set_nodelay(true).ok();
            Some((stream, remote, connection_guard))
        }
        Err(error) => {
            log::warn!("cannot accept a connection: {error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
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
