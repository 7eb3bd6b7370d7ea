use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::{Method, Request};

use crate::http::{BodyTimes, HttpClient, collect_arriving_body, full_body};

/// Largest body of a response, in bytes: many times that of a page of a listing, which is about 1 MB.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
/// Time within which a body that goes on arriving must be complete: 600 KB at a quarter of 10 Mbit/s.
const MAX_BODY_TIME: Duration = Duration::from_secs(2);

/// Makes HTTP calls to one address of the platform.
pub(super) struct Transport {
    pub(super) http_client: HttpClient,
    pub(super) address: SocketAddr,
}

impl Transport {
    /// Makes a call and returns the head and the whole body of the response.
    ///
    /// Fails with the reason if the status did not arrive within `timeout`, or no part of the body within `gap`, or not
    /// all of it within [`MAX_BODY_TIME`].
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
        gap: Duration,
    ) -> Result<(Parts, Bytes), String> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let request = request.body(full_body(body)).map_err(|e| e.to_string())?;
        let exchange = async {
            let sending = self.http_client.send(self.address, request);
            let response = tokio::time::timeout(timeout, sending).await;
            let response = response.map_err(|_| format!("no response within {timeout:?}"))?;
            let response = response.map_err(|e| e.to_string())?.into_streamed(|_| ());
            let (head, body) = response.into_parts();
            let times = BodyTimes {
                gap,
                total: MAX_BODY_TIME,
            };
            let body = collect_arriving_body(body, MAX_BODY_BYTES, times).await;
            Ok((head, body?))
        };
        let result: Result<_, String> = exchange.await;
        result.map_err(|reason| format!("platform {}: {reason}", self.address))
    }
}
