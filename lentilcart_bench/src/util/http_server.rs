use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinSet;

/// Length of the queue of connections that the kernel has accepted and the stub has not.
const BACKLOG: u32 = 4096;

/// How a stub treats new connections.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionOptions {
    /// Delay before the first request on a new connection is served.
    pub open_delay: Duration,
    /// Connections open at the same time; further ones are closed at once.
    pub max_open: usize,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            open_delay: Duration::ZERO,
            max_open: 10_000,
        }
    }
}

/// Serves HTTP/1.1 until the task is dropped.
///
/// `service` gets the client's address and the request; `None` instead of a response cuts the
/// connection. `refused` counts the connections closed because of [`ConnectionOptions::max_open`].
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or if a connection cannot be accepted or set up.
pub async fn serve<S, F>(
    address: SocketAddr,
    options: ConnectionOptions,
    refused: Arc<AtomicUsize>,
    service: S,
) -> std::io::Result<()>
where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
{
    let listener = bind_listener(address)?;
    let mut tasks = JoinSet::new();
    loop {
        let (stream, remote) = listener.accept().await?;
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= options.max_open {
            refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        stream.set_nodelay(true)?;
        let service = service.clone();
        tasks.spawn(async move {
            if !options.open_delay.is_zero() {
                tokio::time::sleep(options.open_delay).await;
            }
            let handler = service_fn(move |request| {
                let pending = service(remote, request);
                async move { pending.await.ok_or("no response") }
            });
            let io = TokioIo::new(stream);
            hyper::server::conn::http1::Builder::new()
                .serve_connection(io, handler)
                .await
                .ok();
        });
    }
}

fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &serde_json::Value) -> Response<Full<Bytes>> {
    text_response(status, value.to_string())
}

/// Returns a response with a text body.
pub fn text_response(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
