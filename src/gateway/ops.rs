use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_platform::READY_PATH;

use super::gateway::Gateway;
use crate::http::{HttpBody, full};
use crate::ops::render;

/// Answers whether new connections are welcome.
pub(crate) async fn serve_ready(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let status = match request.uri().path() {
        READY_PATH if gateway.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    answer(status, String::new())
}

/// Answers operators.
pub(crate) async fn serve_ops(
    _gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match request.uri().path() {
        "/live" => answer(StatusCode::OK, "live\n".to_owned()),
        "/metrics" => answer(StatusCode::OK, render()),
        _ => answer(
            StatusCode::NOT_FOUND,
            "known paths: /live, /metrics\n".to_owned(),
        ),
    }
}

fn answer(status: StatusCode, text: String) -> Response<HttpBody> {
    let builder = Response::builder().status(status);
    builder.body(full(text)).expect("the parts are valid")
}
