use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use lentilcart_state::ClaimState;
use serde_json::json;

use super::caller_outcome::CallerOutcome;
use crate::http::{HttpBody, OUTCOME_HEADER, full_body};
use crate::peer::PermitRejection;

/// Why the caller of a request gets no answer from a server.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The request is malformed or not supported; holds the message.
    BadRequest(&'static str),
    /// The request's body is larger than the limit; holds the limit in bytes.
    TooLarge(u64),
    /// No route matches.
    NoRoute,
    /// The entry has no ticket in force yet.
    NoTicket,
    /// This entry is about to stop, and the request had no permit yet, cannot be expected to end in time, or
    /// its body was still being read.
    Stopping,
    /// No permit was granted.
    PermitRejected(PermitRejection),
    /// No attempt of the retry loop is known to have run the request; holds the last reason. It is
    /// replaced by `AnswerLost` if `PreparedRequest::may_have_run` is true.
    NotRun(String),
    /// An attempt was sent and not answered, so that a server may have run the request; holds the
    /// reason.
    AnswerLost(String),
    /// The deadline has passed; true if an attempt was started, so that a server may have run
    /// the request.
    DeadlineExceeded(bool),
}

impl RequestError {
    /// Returns the error of a request that a server may be running while this entry stops.
    pub(crate) fn stopping_while_run() -> Self {
        Self::AnswerLost("this entry is about to stop".to_owned())
    }

    /// Returns what the caller is told about whether the request was run.
    pub(crate) fn get_outcome(&self) -> CallerOutcome {
        match self {
            Self::AnswerLost(_) | Self::DeadlineExceeded(true) => CallerOutcome::Unknown,
            Self::PermitRejected(PermitRejection::Claimed(state)) => match state {
                ClaimState::Running => CallerOutcome::Running,
                ClaimState::Done => CallerOutcome::Done,
                ClaimState::Unknown => CallerOutcome::Unknown,
            },
            _ => CallerOutcome::NotRun,
        }
    }

    /// Returns the HTTP status.
    pub(crate) fn get_status(&self) -> StatusCode {
        match self {
            Self::BadRequest(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::AnswerLost(_) => StatusCode::BAD_GATEWAY,
            Self::DeadlineExceeded(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::PermitRejected(PermitRejection::Claimed(_)) => StatusCode::CONFLICT,
            Self::NoTicket | Self::Stopping | Self::PermitRejected(_) | Self::NotRun(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
        }
    }

    /// Returns the message for the caller.
    fn get_message(&self) -> String {
        match self {
            Self::BadRequest(reason) => (*reason).to_owned(),
            Self::TooLarge(limit) => format!("the body is larger than {limit} bytes"),
            Self::NoRoute => "no service of the ticket in force matches host and path".to_owned(),
            Self::NoTicket => "this entry has no ticket in force yet".to_owned(),
            Self::Stopping => "this entry is about to stop".to_owned(),
            Self::NotRun(reason) => format!("no server ran the request: {reason}"),
            Self::AnswerLost(reason) => format!("the answer was lost: {reason}"),
            Self::DeadlineExceeded(_) => "the deadline has passed".to_owned(),
            Self::PermitRejected(rejection) => match rejection {
                PermitRejection::NoServer => "the service has no server in use",
                PermitRejection::Overload => "the service is overloaded",
                PermitRejection::NoBudget => "the budget of retries is spent",
                PermitRejection::Claimed(_) => "a request with this idempotency key came before",
                PermitRejection::ClaimUnavailable => "the idempotency key cannot be stored now",
            }
            .to_owned(),
        }
    }

    /// Returns the response: message, outcome and request id as JSON, the outcome in a header too,
    /// and `Retry-After` (RFC 9110, section 10.2.3) of one second if the status is 503.
    pub(crate) fn into_response(self, request_id: &str) -> Response<HttpBody> {
        let (status, outcome) = (self.get_status(), self.get_outcome().as_str());
        let body = json!({
            "error": self.get_message(),
            "outcome": outcome,
            "request_id": request_id,
        });
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header(OUTCOME_HEADER, outcome);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            builder = builder.header(RETRY_AFTER, "1");
        }
        builder
            .body(full_body(format!("{body}\n")))
            .expect("the parts are valid")
    }
}
