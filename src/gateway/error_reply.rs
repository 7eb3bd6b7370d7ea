use hyper::header::{RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use lentilcart_util::{Micros, common};
use serde_json::json;

use crate::http::{HttpBody, full_body};

common! { value,
    /// Why a caller gets an error reply instead of a server's response.
    pub(crate) enum ErrorReason {
        /// The request is malformed or has no identifier.
        BadRequest,
        /// The request body exceeds the limit.
        TooLarge,
        /// The request body did not arrive before the deadline.
        SlowBody,
        /// This entry has no memory for the request body.
        NoMemory,
        /// This entry has no routes yet.
        NoRoutes,
        /// No route in force matches.
        UnknownRoute,
        /// A live entry has newer routes that this one has yet to get, and no route in force matches, or the key is
        /// not in force, or those in force have expired.
        RoutesBehind,
        /// The route is not public, and the key of a client account is missing, malformed or not in force.
        UnknownKey,
        /// While the request waited, its key became that of another client account; no server has run it.
        AccountChanged,
        /// The client account has used up its limit.
        OverLimit,
        /// The client account has a limit, and no entry that grants credit for it has replied in time.
        NoCredit,
        /// The service has no server that may get requests.
        NoServer,
        /// No server of the service may get requests, since data centres are evacuated.
        Evacuated,
        /// No server would be free in time.
        Overload,
        /// This entry is about to stop, and no server runs the request: it had none yet, or cannot be
        /// expected to end in time.
        Stopping,
        /// This entry is about to stop, and a server may have run the request, which has not ended.
        StoppingMayHaveRun,
        /// The retry budget is exhausted.
        NoBudget,
        /// Connections to the servers tried last failed before anything was sent; no server can have
        /// run the request.
        Unreachable,
        /// Every server that got the request replied that it did not run it.
        NotRun,
        /// The request was sent, and no usable response arrived; also if a later attempt could not be
        /// made.
        NoUsableResponse,
        /// The deadline passed, and no server can have run the request: it was not sent, or each
        /// server that got it replied that it did not run it.
        TimeoutNotRun,
        /// The deadline passed, and a server may have run the request.
        TimeoutMayHaveRun,
    }
}

/// A reply that the gateway generates itself instead of passing on a server's response.
#[derive(Debug)]
pub(crate) struct ErrorReply {
    pub(crate) reason: ErrorReason,
    /// Details for the caller and the log; empty if there are none.
    pub(crate) detail: String,
    /// Time after which the caller may retry; sent with status 429 and 503 only.
    pub(crate) retry_after: Option<Micros>,
}

impl ErrorReason {
    /// Returns the fixed name in logs, metrics and response bodies.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::TooLarge => "too-large",
            Self::SlowBody => "slow-body",
            Self::NoMemory => "no-memory",
            Self::NoRoutes => "no-routes",
            Self::UnknownRoute => "unknown-route",
            Self::RoutesBehind => "routes-behind",
            Self::UnknownKey => "unknown-key",
            Self::AccountChanged => "account-changed",
            Self::OverLimit => "over-limit",
            Self::NoCredit => "no-credit",
            Self::NoServer => "no-server",
            Self::Evacuated => "evacuated",
            Self::Overload => "overload",
            Self::Stopping => "stopping",
            Self::StoppingMayHaveRun => "stopping-sent",
            Self::NoBudget => "no-budget",
            Self::Unreachable => "unreachable",
            Self::NotRun => "not-run",
            Self::NoUsableResponse => "cut",
            Self::TimeoutNotRun => "timeout-unsent",
            Self::TimeoutMayHaveRun => "timeout-sent",
        }
    }

    /// Returns the response status. Of the statuses that the balancer itself gives, 408 and 503 promise
    /// that no server ran the request.
    pub(crate) const fn get_status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverLimit => StatusCode::TOO_MANY_REQUESTS,
            Self::NoUsableResponse => StatusCode::BAD_GATEWAY,
            Self::StoppingMayHaveRun | Self::TimeoutMayHaveRun => StatusCode::GATEWAY_TIMEOUT,
            Self::NoMemory
            | Self::NoRoutes
            | Self::RoutesBehind
            | Self::AccountChanged
            | Self::NoCredit
            | Self::NoServer
            | Self::Evacuated
            | Self::Overload
            | Self::Stopping
            | Self::NoBudget
            | Self::Unreachable
            | Self::NotRun
            | Self::TimeoutNotRun => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

impl ErrorReply {
    /// Creates a reply without a time for a retry.
    pub(crate) fn new(reason: ErrorReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Converts the reply into a response with a JSON body.
    pub(crate) fn into_response(self) -> Response<HttpBody> {
        let status = self.reason.get_status();
        let body = json!({ "error": self.reason.as_str(), "detail": self.detail });
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json");
        let may_retry = [
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::TOO_MANY_REQUESTS,
        ];
        if let (true, Some(retry_after)) = (may_retry.contains(&status), self.retry_after) {
            // Seconds with three decimals, though HTTP defines whole seconds: most values are below one.
            builder = builder.header(RETRY_AFTER, format!("{:.3}", retry_after.as_secs()));
        }
        if status == StatusCode::UNAUTHORIZED {
            builder = builder.header(WWW_AUTHENTICATE, "Bearer");
        }
        builder
            .body(full_body(format!("{body}\n")))
            .expect("the parts are valid")
    }
}
