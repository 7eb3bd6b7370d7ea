use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use super::request_error::RequestError;
use crate::http::{HttpBody, empty, full, stream};

const MAX_REPLAY_BYTES: u64 = 65_536;

/// Body of a caller's request: kept for another attempt where that is allowed and it is small,
/// streamed once otherwise.
pub(crate) enum Payload {
    Buffered(Bytes),
    Streamed(Option<HttpBody>),
}

impl Payload {
    /// Reads a small body, or prepares to stream a larger one.
    pub(crate) async fn read(
        body: Incoming,
        may_repeat: bool,
        max_bytes: u64,
    ) -> Result<Self, RequestError> {
        let size = body.size_hint();
        match size.upper() {
            _ if size.lower() > max_bytes => Err(RequestError::TooLarge(max_bytes)),
            Some(0) => Ok(Self::Buffered(Bytes::new())),
            Some(upper) if may_repeat && upper <= MAX_REPLAY_BYTES => {
                let read = body.collect().await;
                let read =
                    read.map_err(|_| RequestError::BadRequest("the request's body was cut short"))?;
                Ok(Self::Buffered(read.to_bytes()))
            }
            Some(_) => Ok(Self::Streamed(Some(stream(body)))),
            None => {
                let limited = Limited::new(body, max_bytes as usize);
                Ok(Self::Streamed(Some(stream(limited))))
            }
        }
    }

    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for the next attempt, if there is one.
    pub(crate) fn next_body(&mut self) -> Option<HttpBody> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(empty()),
            Self::Buffered(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Takes back the body of an attempt that sent no byte.
    pub(crate) fn restore(&mut self, unsent: HttpBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
}
