use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::Request;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::HOST;
use tokio::time::timeout;

/// Error of any layer that reads or writes a body.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a request or a response, either streamed or held in memory.
pub type HttpBody = UnsyncBoxBody<Bytes, BoxError>;

/// Returns a body whose bytes are all in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an empty body.
#[must_use]
pub fn empty_body() -> HttpBody {
    full_body(Bytes::new())
}

/// Boxes a body, which is passed on frame by frame.
pub fn stream_body<B>(body: B) -> HttpBody
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<BoxError>,
{
    body.map_err(Into::into).boxed_unsync()
}

/// Returns a request with GET and without a body for a path of the host at `address`.
///
/// # Errors
///
/// Fails with the reason if `path` is not a valid path.
pub fn build_get(address: SocketAddr, path: &str) -> Result<Request<HttpBody>, String> {
    let request = Request::get(path).header(HOST, address.to_string());
    request
        .body(empty_body())
        .map_err(|error| error.to_string())
}

/// Reads a body completely into one buffer. Frames are copied: each may be a single byte and keep the read
/// buffer that it came in.
///
/// # Errors
///
/// Fails if the body cannot be read; the rest is not read.
async fn read_body<B: Body<Data = Bytes>>(body: B) -> Result<Bytes, B::Error> {
    let mut body = pin!(body);
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
    }
    Ok(read.freeze())
}

/// Reads a body that has to fit into memory completely.
///
/// # Errors
///
/// Fails with the reason if the body has more than `max_bytes` bytes or cannot be read; the rest is not
/// read.
pub async fn collect_body<B>(body: B, max_bytes: usize) -> Result<Bytes, String>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    // The error as a text, since futures that convert a boxed error are not accepted as `Send`.
    let body = body.map_err(|error| error.to_string());
    read_body(Limited::new(body, max_bytes))
        .await
        .map_err(|error| {
            if error.is::<LengthLimitError>() {
                format!("more than {max_bytes} bytes")
            } else {
                error.to_string()
            }
        })
}

/// Times within which a body must arrive.
#[derive(Debug, Clone, Copy)]
pub struct BodyTimes {
    /// Longest time without any part of it.
    pub gap: Duration,
    /// Longest time in all.
    pub total: Duration,
}

/// Reads a body as [`collect_body`] does, if it goes on arriving: a large one may take long on a small link, and one
/// that stops is given up at once.
///
/// # Errors
///
/// Fails as [`collect_body`] does, and if the body does not arrive within its `times`.
pub async fn collect_arriving_body<B>(
    body: B,
    max_bytes: usize,
    times: BodyTimes,
) -> Result<Bytes, String>
where
    B: Body<Data = Bytes>,
    B::Error: std::fmt::Display,
{
    let mut body = pin!(body);
    let mut read = BytesMut::new();
    let arrival = async {
        loop {
            let frame = timeout(times.gap, body.frame()).await;
            let frame = frame.map_err(|_| format!("no more of the body within {:?}", times.gap))?;
            let Some(frame) = frame else {
                return Ok(());
            };
            let Ok(data) = frame.map_err(|error| error.to_string())?.into_data() else {
                continue;
            };
            read.extend_from_slice(&data);
            if read.len() > max_bytes {
                return Err(format!("more than {max_bytes} bytes"));
            }
        }
    };
    let arrived = timeout(times.total, arrival).await;
    arrived.unwrap_or_else(|_| Err(format!("no whole body within {:?}", times.total)))?;
    Ok(read.freeze())
}

/// How a body ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// The body was read to its end.
    Complete,
    /// Reading the body failed before its end.
    Failed,
    /// The reader dropped the body before its end.
    Abandoned,
}

/// Wraps a body and calls a function once, when the body ends, fails or is dropped, with how it
/// ended.
pub struct NotifyOnEnd<B: Body, F: FnOnce(BodyEnd)> {
    inner: B,
    on_end: Option<F>,
}

impl<B: Body, F: FnOnce(BodyEnd)> NotifyOnEnd<B, F> {
    /// Wraps a body; `on_end` is called when it ends or is dropped.
    pub fn new(inner: B, on_end: F) -> Self {
        Self {
            inner,
            on_end: Some(on_end),
        }
    }

    fn notify(&mut self, end: BodyEnd) {
        if let Some(on_end) = self.on_end.take() {
            on_end(end);
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
            None => self.notify(BodyEnd::Complete),
            Some(Err(_)) => self.notify(BodyEnd::Failed),
            Some(Ok(_)) if self.inner.is_end_stream() => self.notify(BodyEnd::Complete),
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
        let is_complete = self.inner.is_end_stream();
        self.notify(if is_complete {
            BodyEnd::Complete
        } else {
            BodyEnd::Abandoned
        });
    }
}
