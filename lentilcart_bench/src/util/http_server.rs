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

const BACKLOG: u32 = 4096;

/// What a stand-in's connections cost and how many it takes.
#[derive(Debug, Clone, Copy)]
pub struct Conn {
    /// Time to open a connection.
    pub open_wait: Duration,
    /// Connections open at once; more are closed.
    pub most: usize,
}

impl Default for Conn {
    fn default() -> Self {
        Self {
            open_wait: Duration::ZERO,
            most: 10_000,
        }
    }
}

/// Serves HTTP/1.1 until the task is dropped; a service that gives no answer cuts its connection.
///
/// # Errors
///
/// Fails where the address cannot be listened on.
pub async fn serve<S, F>(
    address: SocketAddr,
    conn: Conn,
    refused: Arc<AtomicUsize>,
    service: S,
) -> std::io::Result<()>
where
    S: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Option<Response<Full<Bytes>>>> + Send + 'static,
{
    let listener = open(address)?;
    let mut tasks = JoinSet::new();
    loop {
        let (stream, remote) = listener.accept().await?;
        while tasks.try_join_next().is_some() {}
        if tasks.len() >= conn.most {
            refused.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        stream.set_nodelay(true)?;
        let service = service.clone();
        tasks.spawn(async move {
            if !conn.open_wait.is_zero() {
                tokio::time::sleep(conn.open_wait).await;
            }
            let call = service_fn(move |request| {
                let answer = service(remote, request);
                async move { answer.await.ok_or("no answer") }
            });
            let io = TokioIo::new(stream);
            hyper::server::conn::http1::Builder::new()
                .serve_connection(io, call)
                .await
                .ok();
        });
    }
}

fn open(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Returns an answer with a JSON body.
#[must_use]
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response<Full<Bytes>> {
    text(status, value.to_string())
}

/// Returns an answer with a text body.
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
