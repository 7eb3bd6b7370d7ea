use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use super::failure::Failure;
use crate::http::{HttpBody, empty, full, stream};

const REPLAY_BYTES: u64 = 65_536;

/// Body of a caller's request: kept for another attempt where that is allowed and it is small,
/// streamed once otherwise.
pub(crate) enum Payload {
    Kept(Bytes),
    Streamed(Option<HttpBody>),
}

impl Payload {
    /// Reads a small body, or prepares to stream a larger one.
    pub(crate) async fn take(
        body: Incoming,
        may_repeat: bool,
        limit: u64,
    ) -> Result<Self, Failure> {
        let size = body.size_hint();
        match size.upper() {
            _ if size.lower() > limit => Err(Failure::TooLarge(limit)),
            Some(0) => Ok(Self::Kept(Bytes::new())),
            Some(upper) if may_repeat && upper <= REPLAY_BYTES => {
                let read = body.collect().await;
                let read = read.map_err(|_| Failure::Bad("the request's body was cut short"))?;
                Ok(Self::Kept(read.to_bytes()))
            }
            Some(_) => Ok(Self::Streamed(Some(stream(body)))),
            None => {
                let limited = Limited::new(body, limit as usize);
                Ok(Self::Streamed(Some(stream(limited))))
            }
        }
    }

    pub(crate) fn is_kept(&self) -> bool {
        matches!(self, Self::Kept(_))
    }

    /// Returns the body for the next attempt, if there is one.
    pub(crate) fn next(&mut self) -> Option<HttpBody> {
        match self {
            Self::Kept(bytes) if bytes.is_empty() => Some(empty()),
            Self::Kept(bytes) => Some(full(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Takes back the body of an attempt that sent no byte.
    pub(crate) fn put_back(&mut self, unsent: HttpBody) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }
}
