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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::HttpBody;
use crate::error::DaemonError;

const BACKLOG: u32 = 4096;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerLimits {
    /// Bytes of a request's header section.
    pub header_bytes: usize,
    /// Time in which a header section must arrive.
    pub header_timeout: Duration,
    /// Connections open at once.
    pub max_connections: usize,
}

/// How a listener is stopped: first it takes no more connections, then those that are open end
/// after their request in flight.
#[derive(Debug, Clone, Default)]
pub struct ShutdownTokens {
    /// No more connections are taken.
    pub stop_accepting: CancellationToken,
    /// Open connections end.
    pub close_connections: CancellationToken,
}

/// Serves HTTP/1.1 and HTTP/2 on a listener until it is stopped.
///
/// Connections are spawned on `tasks`, which the caller joins.
///
/// The limits of a connection are those at its start; the number of connections that of the
/// listener's.
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
    let open = Arc::new(Semaphore::new(limits().max_connections));
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &open) => accepted,
            // Whoever has connected already is served.
            () = shutdown.stop_accepting.cancelled() => return,
        };
        let Some((stream, remote, permit)) = accepted else {
            continue;
        };
        let builder = builder_of(limits());
        let (stop, serve) = (shutdown.close_connections.clone(), serve.clone());
        tasks.spawn(async move {
            let service = service_fn(move |request| {
                let answer = serve(remote, request);
                async move { Ok::<_, std::convert::Infallible>(answer.await) }
            });
            let connection = builder.serve_connection_with_upgrades(TokioIo::new(stream), service);
            tokio::pin!(connection);
            let ended = tokio::select! {
                ended = connection.as_mut() => ended,
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            };
            if let Err(error) = ended {
                log::debug!(remote:% = remote; "connection ended: {error}");
            }
            drop(permit);
        });
    }
}

fn builder_of(limits: ListenerLimits) -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8192));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(limits.header_bytes as u32)
        .max_concurrent_streams(1000);
    builder
}

async fn accept(
    listener: &TcpListener,
    open: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, tokio::sync::OwnedSemaphorePermit)> {
    let permit = open.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, remote)) => {
            stream.set_nodelay(true).ok();
            Some((stream, remote, permit))
        }
        Err(error) => {
            log::warn!("cannot accept a connection: {error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

/// Opens a listener at the address of a setting.
///
/// # Errors
///
/// Fails where the address cannot be bound.
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
