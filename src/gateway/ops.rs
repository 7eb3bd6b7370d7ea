use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_platform::READY_PATH;

use super::gateway::Gateway;
use crate::http::{HttpBody, full_body};
use crate::ops::render_metrics;

/// Serves the readiness check of the platform: status 200 if new connections should be sent to this
/// entry, else 503. An entry that is leaving replies 503 but still accepts connections for the notice
/// period.
pub(crate) async fn serve_ready(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let status = match request.uri().path() {
        READY_PATH if gateway.is_ready() => StatusCode::OK,
        READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    respond(status, String::new())
}

/// Serves the liveness check and the metrics for operators.
pub(crate) async fn serve_ops(
    _gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    match request.uri().path() {
        "/live" => respond(StatusCode::OK, "live\n".to_owned()),
        "/metrics" => respond(StatusCode::OK, render_metrics()),
        _ => respond(
            StatusCode::NOT_FOUND,
            "known paths: /live, /metrics\n".to_owned(),
        ),
    }
}

/// Builds a response with a text body.
fn respond(status: StatusCode, text: String) -> Response<HttpBody> {
    let builder = Response::builder().status(status);
    builder.body(full_body(text)).expect("the parts are valid")
}
