use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};

use crate::http::{HttpClient, collect_body, full_body};

/// Largest body of a response, in bytes: many times that of a page of a listing, which is about 1 MB.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Makes HTTP calls to one address of the platform.
pub(super) struct Transport {
    pub(super) http_client: HttpClient,
    pub(super) address: SocketAddr,
}

impl Transport {
    /// Makes a call and returns the status and the whole body of the response.
    ///
    /// Fails with the reason if these did not arrive within `timeout`.
    pub(super) async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string());
        if !body.is_empty() {
            request = request.header("content-type", "application/json");
        }
        let request = request.body(full_body(body)).map_err(|e| e.to_string())?;
        let exchange = async {
            let response = self
                .http_client
                .send(self.address, request)
                .await
                .map_err(|e| e.to_string())?;
            let response = response.into_streamed(|_| ());
            let status = response.status();
            let body = collect_body(response.into_body(), MAX_BODY_BYTES).await;
            Ok((status, body?))
        };
        let result = tokio::time::timeout(timeout, exchange).await;
        let result = result.unwrap_or_else(|_| Err(format!("no response within {timeout:?}")));
        result.map_err(|reason| format!("platform {}: {reason}", self.address))
    }
}
