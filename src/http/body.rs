use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};

/// Error of any layer below a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or an answer, streamed or whole.
pub type HttpBody = UnsyncBoxBody<Bytes, BoxError>;

/// Creates a body of bytes that are all there.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an empty body.
#[must_use]
pub fn empty_body() -> HttpBody {
    full_body(Bytes::new())
}

/// Creates a body that streams another one.
pub fn stream_body<B>(body: B) -> HttpBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// It was read to its end.
    Complete,
    /// The side that sent it failed.
    Failed,
    /// The side that read it gave up.
    Abandoned,
}

/// Calls a function when a body has ended, with how it ended.
pub struct NotifyOnEnd<B: Body, F: FnOnce(BodyEnd)> {
    inner: B,
    at_end: Option<F>,
}

impl<B: Body, F: FnOnce(BodyEnd)> NotifyOnEnd<B, F> {
    /// Wraps a body.
    pub fn new(inner: B, at_end: F) -> Self {
        Self {
            inner,
            at_end: Some(at_end),
        }
    }

    fn end(&mut self, end: BodyEnd) {
        if let Some(at_end) = self.at_end.take() {
            at_end(end);
        }
    }
}

impl<B: Body + Unpin, F: FnOnce(BodyEnd) + Unpin> Body for NotifyOnEnd<B, F> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.inner).poll_frame(cx));
        match &frame {
            None => self.end(BodyEnd::Complete),
            Some(Err(_)) => self.end(BodyEnd::Failed),
            Some(Ok(_)) if self.inner.is_end_stream() => self.end(BodyEnd::Complete),
            Some(Ok(_)) => {}
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B: Body, F: FnOnce(BodyEnd)> Drop for NotifyOnEnd<B, F> {
    fn drop(&mut self) {
        let complete = self.inner.is_end_stream();
        self.end(if complete {
            BodyEnd::Complete
        } else {
            BodyEnd::Abandoned
        });
    }
}
