use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use futures::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::time::Sleep;

use super::ahead_reader::AheadReader;
use super::observed_stream::ObservedStream;

/// Largest number of bytes that are read at once while a request is served.
const READ_BYTES: usize = 2048;
/// Interval of asking whether the caller has left while no more bytes are read, since too many wait. With it,
/// a caller that leaves is noticed within 500 ms.
const FULL_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The stream of a connection, from which hyper gets the bytes of one HTTP/1.1 request at a time. What the
/// caller sends while a request is served is read all the same, so that requests among it can be started, and
/// hyper sees the end of the stream at once.
///
/// Without a reader it passes all on unchanged, as it does for HTTP/2 and behind a body of unknown length.
pub(super) struct AheadStream<F> {
    inner: ObservedStream<F>,
    reader: Option<AheadReader>,
    /// Runs while too many bytes wait.
    full_check: Option<Pin<Box<Sleep>>>,
}

impl<F> AheadStream<F>
where
    F: Fn(&mut Context<'_>, &[u8]) -> io::Result<()> + Unpin,
{
    /// Wraps a stream on which nothing has been read.
    pub(super) fn new(inner: ObservedStream<F>, reader: Option<AheadReader>) -> Self {
        Self {
            inner,
            reader,
            full_check: None,
        }
    }

    /// Reads what the caller sends while a request is served. Returns [`Poll::Ready`] where the stream has
    /// ended.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(reader) = &mut self.reader else {
            return Poll::Pending;
        };
        while reader.get_room() > 0 {
            self.full_check = None;
            let mut bytes = [const { MaybeUninit::uninit() }; READ_BYTES];
            let size = reader.get_room().min(READ_BYTES);
            let mut read = ReadBuf::uninit(&mut bytes[..size]);
            match Pin::new(&mut self.inner).poll_read(cx, &mut read) {
                Poll::Ready(Ok(())) if read.filled().is_empty() => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(())) => reader.add_waiting(read.filled(), Instant::now()),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => break,
            }
        }
        reader.look_ahead();
        if reader.has_waiting() {
            reader.get_state().wake_when_waiting(cx);
        }
        if reader.get_room() == 0 {
            return self.poll_left(cx);
        }
        Poll::Pending
    }

    /// Waits until the caller has left, without reading.
    fn poll_left(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let check = self
            .full_check
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(FULL_CHECK_INTERVAL)));
        while check.poll_unpin(cx).is_ready() {
            let readiness = self.inner.stream.ready(Interest::READABLE).now_or_never();
            match readiness.transpose()? {
                Some(readiness) if readiness.is_read_closed() => return Poll::Ready(Ok(())),
                _ => {
                    let next = tokio::time::Instant::now() + FULL_CHECK_INTERVAL;
                    check.as_mut().reset(next);
                }
            }
        }
        Poll::Pending
    }
}

impl<F> AsyncRead for AheadStream<F>
where
    F: Fn(&mut Context<'_>, &[u8]) -> io::Result<()> + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match &mut this.reader {
            None => Pin::new(&mut this.inner).poll_read(cx, buf),
            Some(reader) if !reader.may_pass() => this.poll_ahead(cx),
            Some(reader) if reader.has_waiting() => {
                let bytes = reader.take_waiting(buf.remaining());
                buf.put_slice(&bytes);
                Poll::Ready(Ok(()))
            }
            Some(reader) => {
                let before = buf.filled().len();
                ready!(Pin::new(&mut this.inner).poll_read(cx, buf))?;
                let passed = reader.pass_on(&buf.filled()[before..], Instant::now);
                buf.set_filled(before + passed);
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl<F: Unpin> AsyncWrite for AheadStream<F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
