use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};

use crate::http::{HttpClient, full_body};

/// Calls to one address of the platform, each within a time.
pub(super) struct Transport {
    pub(super) http_client: HttpClient,
    pub(super) address: SocketAddr,
}

impl Transport {
    /// Makes a call and reads its whole answer.
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
            let reply = self
                .http_client
                .send(self.address, request)
                .await
                .map_err(|e| e.to_string())?;
            let answer = reply.into_streamed(|_| ());
            let status = answer.status();
            let body = answer
                .into_body()
                .collect()
                .await
                .map_err(|e| e.to_string())?;
            Ok((status, body.to_bytes()))
        };
        let ended = tokio::time::timeout(timeout, exchange).await;
        let ended = ended.unwrap_or_else(|_| Err(format!("no answer in {timeout:?}")));
        ended.map_err(|reason| format!("platform {}: {reason}", self.address))
    }
}
