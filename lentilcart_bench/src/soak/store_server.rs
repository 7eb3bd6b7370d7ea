use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lentilcart_platform::{StoreHttpRequest, decode_call, encode_reply};

use super::store::{CallResult, Store};
use crate::util::{ConnectionOptions, serve, text_response};

/// Serves the calls to a store over HTTP until the task is dropped.
///
/// # Errors
///
/// Returns an error if the address cannot be bound, or if a connection cannot be accepted.
pub(crate) async fn serve_store(store: Store, address: SocketAddr) -> std::io::Result<()> {
    let handler = move |caller, request| {
        let store = store.clone();
        async move { answer(&store, caller, request).await }
    };
    let options = ConnectionOptions::default();
    serve(address, options, Arc::default(), handler).await
}

async fn answer(
    store: &Store,
    caller: SocketAddr,
    request: Request<Incoming>,
) -> Option<Response<Full<Bytes>>> {
    let method = match *request.method() {
        Method::GET => "GET",
        Method::POST => "POST",
        Method::DELETE => "DELETE",
        _ => "other",
    };
    let path = request.uri().path_and_query()?.to_string();
    let body = request.into_body().collect().await.ok()?.to_bytes();
    let request = StoreHttpRequest {
        method,
        path,
        body: body.to_vec(),
    };
    let call = match decode_call(&request) {
        Ok(call) => call,
        Err(error) => {
            log::warn!("call to the store rejected: {error}");
            return Some(text_response(StatusCode::BAD_REQUEST, error.to_string()));
        }
    };
    match store.answer(caller.ip(), call).await {
        CallResult::Reply(reply) => {
            let (status, body) = encode_reply(&reply);
            let status = StatusCode::from_u16(status).ok()?;
            Some(text_response(status, body))
        }
        CallResult::Unavailable => Some(text_response(StatusCode::SERVICE_UNAVAILABLE, "{}")),
        CallResult::Lost => None,
    }
}
