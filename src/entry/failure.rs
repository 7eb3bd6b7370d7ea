use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use lentilcart_state::ClaimState;
use serde_json::json;

use super::outcome::Told;
use crate::http::{HttpBody, OUTCOME, full};
use crate::peer::PermitRejection;

/// Why a request got no server's answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request itself cannot be served.
    Bad(&'static str),
    /// The request's body is larger than the limit.
    TooLarge(u64),
    /// No route matches.
    NoRoute,
    /// The entry has no ticket in force yet.
    NoTicket,
    /// No server was given for it.
    Denied(PermitRejection),
    /// Every attempt said that it was not run.
    NotRun(String),
    /// An attempt was sent and not answered.
    Cut(String),
    /// The deadline has passed; holds whether an attempt was sent.
    Deadline(bool),
}

impl Failure {
    pub(crate) fn get_told(&self) -> Told {
        match self {
            Self::Cut(_) | Self::Deadline(true) => Told::Unknown,
            Self::Denied(PermitRejection::Claimed(state)) => match state {
                ClaimState::Running => Told::Running,
                ClaimState::Done => Told::Done,
                ClaimState::Unknown => Told::Unknown,
            },
            _ => Told::NotRun,
        }
    }

    pub(crate) fn get_status(&self) -> StatusCode {
        match self {
            Self::Bad(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Cut(_) => StatusCode::BAD_GATEWAY,
            Self::Deadline(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::Denied(PermitRejection::Claimed(_)) => StatusCode::CONFLICT,
            Self::NoTicket | Self::Denied(_) | Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    fn get_reason(&self) -> String {
        match self {
            Self::Bad(reason) => (*reason).to_owned(),
            Self::TooLarge(limit) => format!("the body is larger than {limit} bytes"),
            Self::NoRoute => "no service of the ticket in force matches host and path".to_owned(),
            Self::NoTicket => "this entry has no ticket in force yet".to_owned(),
            Self::NotRun(reason) => format!("no server ran the request: {reason}"),
            Self::Cut(reason) => format!("the answer was lost: {reason}"),
            Self::Deadline(_) => "the deadline has passed".to_owned(),
            Self::Denied(denial) => match denial {
                PermitRejection::NoServer => "the service has no server in use",
                PermitRejection::Overload => "the service is overloaded",
                PermitRejection::NoBudget => "the budget of retries is spent",
                PermitRejection::Claimed(_) => "a request with this idempotency key came before",
                PermitRejection::ClaimUnavailable => "the idempotency key cannot be stored now",
            }
            .to_owned(),
        }
    }

    pub(crate) fn into_response(self, request_id: &str) -> Response<HttpBody> {
        let (status, told) = (self.get_status(), self.get_told().as_str());
        let body = json!({
            "error": self.get_reason(),
            "outcome": told,
            "request_id": request_id,
        });
        let mut builder = Response::builder()
            .status(status)
            .header("content-type", "application/json")
            .header(OUTCOME, told);
        if status == StatusCode::SERVICE_UNAVAILABLE {
            builder = builder.header(RETRY_AFTER, "1");
        }
        builder
            .body(full(format!("{body}\n")))
            .expect("the parts are valid")
    }
}
