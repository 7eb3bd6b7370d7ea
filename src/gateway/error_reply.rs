use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use lentilcart_util::{Micros, common};
use serde_json::json;

use crate::http::{HttpBody, full};

common! { value,
    /// Why a request got no server's answer.
    pub(crate) enum ErrorReason {
        /// The request cannot be understood.
        BadRequest,
        /// Its body is larger than the limit.
        TooLarge,
        /// Its body did not arrive in time.
        SlowBody,
        /// This entry knows no routes yet.
        NoRoutes,
        /// No route in force matches.
        UnknownRoute,
        /// No route in force matches, and newer routes are on their way.
        RoutesBehind,
        /// The service has no server in use.
        NoServer,
        /// It cannot be served in time.
        Overload,
        /// The budget of retries is spent.
        NoBudget,
        /// No server could be reached.
        Unreachable,
        /// Every server that it was sent to said that it did not run it.
        NotRun,
        /// It was sent, and no usable answer came.
        Cut,
        /// Its time was over before it was sent.
        TimeoutUnsent,
        /// Its time was over after it was sent.
        TimeoutSent,
    }
}

/// A request that is answered without a server.
#[derive(Debug)]
pub(crate) struct ErrorReply {
    pub(crate) reason: ErrorReason,
    /// What is known beyond the reason.
    pub(crate) detail: String,
    /// When the caller may come back, where the request did not run.
    pub(crate) retry_after: Option<Micros>,
}

impl ErrorReason {
    /// Returns the fixed word for logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::NoRoutes => "no-routes",
            Self::UnknownRoute => "unknown-route",
            Self::RoutesBehind => "routes-behind",
            Self::NoServer => "no-server",
            Self::Overload => "overload",
            Self::NoBudget => "no-budget",
            Self::Unreachable => "unreachable",
            Self::NotRun => "not-run",
            Self::Cut => "cut",
            Self::TimeoutUnsent => "timeout-unsent",
            Self::TimeoutSent => "timeout-sent",
        }
    }

    /// Returns the status that the caller gets. 408 and 503 promise that the request did not run.
    pub(crate) const fn get_status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::Cut => StatusCode::BAD_GATEWAY,
            Self::TimeoutSent => StatusCode::GATEWAY_TIMEOUT,
            Self::NoRoutes
            | Self::RoutesBehind
            | Self::NoServer
            | Self::Overload
            | Self::NoBudget
            | Self::Unreachable
            | Self::NotRun
            | Self::TimeoutUnsent => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl ErrorReply {
    pub(crate) fn new(reason: ErrorReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates the caller's answer.
    pub(crate) fn into_response(self) -> Response<HttpBody> {
        let status = self.reason.get_status();
        let body = json!({ "error": self.reason.as_str(), "detail": self.detail });
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json");
        if let (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)) = (status, self.retry_after) {
            builder = builder.header(RETRY_AFTER, format!("{:.3}", retry_after.as_secs()));
        }
        builder
            .body(full(format!("{body}\n")))
            .expect("the parts are valid")
    }
}
