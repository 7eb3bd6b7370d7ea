use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_platform::{HEADER_NAMES, encode_load_report};
use lentilcart_route::LoadReport;

use crate::util::{ConnectionOptions, serve, text_response};

/// Path of the health endpoint.
pub(super) const HEALTH_PATH: &str = "/health";
/// Requests that a server runs at once.
pub(super) const SLOTS: u32 = 3;
/// Time that a request takes once its body has been read.
const SERVICE_TIME: Duration = Duration::from_millis(66);

/// A stand-in of a server, which reads and drops the bodies of requests.
#[derive(Default)]
pub(super) struct Server {
    running: AtomicU32,
}

impl Server {
    /// Serves requests until the task is dropped.
    pub(super) async fn serve(self: Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let service = move |_: SocketAddr, request| {
            let server = self.clone();
            async move { server.answer(request).await }
        };
        serve(
            address,
            ConnectionOptions::default(),
            Arc::default(),
            service,
        )
        .await
    }

    async fn answer(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let (parts, mut body) = request.into_parts();
        let mut response = text_response(StatusCode::OK, "done");
        if parts.uri.path() != HEALTH_PATH {
            self.running.fetch_add(1, Ordering::Relaxed);
            while let Some(Ok(_)) = body.frame().await {}
            tokio::time::sleep(SERVICE_TIME).await;
            self.running.fetch_sub(1, Ordering::Relaxed);
            let id = parts.headers.get(HEADER_NAMES.request_id)?.clone();
            response.headers_mut().insert(HEADER_NAMES.request_id, id);
            let signature = "s".parse().ok()?;
            let headers = response.headers_mut();
            headers.insert(HEADER_NAMES.signature, signature);
        }
        let report = encode_load_report(&LoadReport {
            running: self.running.load(Ordering::Relaxed),
            waiting: 0,
            slots: Some(SLOTS),
            slowdown: Some(1.0),
        });
        let headers = response.headers_mut();
        headers.insert(HEADER_NAMES.load, report.parse().ok()?);
        Some(response)
    }
}
