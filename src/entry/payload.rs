use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use super::request_error::RequestError;
use crate::http::{HttpBody, empty_body, full_body, stream_body};

/// Largest body, in bytes, that is kept in memory so that it can be sent again.
const MAX_REPLAY_BYTES: u64 = 65_536;

/// Body of a caller's request.
pub(crate) enum Payload {
    /// A whole body, which any number of attempts can send.
    Buffered(Bytes),
    /// A body that one attempt can send; `None` once an attempt has it.
    Streamed(Option<HttpBody>),
}

impl Payload {
    /// Reads a whole body if the request is idempotent and the body has a known size of at
    /// most [`MAX_REPLAY_BYTES`], and prepares to stream it otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the declared size is above `max_bytes` or the body ends early. A body without a
    /// declared size fails when it is streamed past `max_bytes`.
    pub(crate) async fn read(
        body: Incoming,
        is_idempotent: bool,
        max_bytes: u64,
    ) -> Result<Self, RequestError> {
        let size = body.size_hint();
        match size.upper() {
            _ if size.lower() > max_bytes => Err(RequestError::TooLarge(max_bytes)),
            Some(0) => Ok(Self::Buffered(Bytes::new())),
            Some(upper) if is_idempotent && upper <= MAX_REPLAY_BYTES => {
                let read = body.collect().await;
                let read =
                    read.map_err(|_| RequestError::BadRequest("the request's body was cut short"))?;
                Ok(Self::Buffered(read.to_bytes()))
            }
            Some(_) => Ok(Self::Streamed(Some(stream_body(body)))),
            None => {
                let limited = Limited::new(body, max_bytes as usize);
                Ok(Self::Streamed(Some(stream_body(limited))))
            }
        }
    }

    /// Returns whether the body can be sent more than once.
    pub(crate) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Returns the body for the next attempt; `None` if it was streamed already.
    pub(crate) fn next_body(&mut self) -> Option<HttpBody> {
        match self {
            Self::Buffered(bytes) if bytes.is_empty() => Some(empty_body()),
            Self::Buffered(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Puts back the body of an attempt that sent none of its bytes.
    pub(crate) fn restore(&mut self, unsent: HttpBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
}
