use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::coop::poll_proceed;

/// Value of a [`ReadLimit`] that does not limit.
const UNLIMITED: usize = usize::MAX;

/// Bytes that are read for one unit of a task's budget, of which a task has 128 until other tasks run.
const BYTES_PER_UNIT: usize = 1024;

/// Number of bytes that may still be read from a connection. Clones share it.
#[derive(Debug, Clone)]
pub(super) struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Creates a limit that does not limit.
    pub(super) fn unlimited() -> Self {
        Self(Arc::new(AtomicUsize::new(UNLIMITED)))
    }

    /// Sets the number of bytes that may be read from now on.
    pub(super) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub(super) fn remove(&self) {
        self.set(UNLIMITED);
    }

    /// Takes off bytes that were read; fails if there are more than the limit.
    fn take(&self, count: usize) -> io::Result<()> {
        let take = |left| (left != UNLIMITED).then(|| usize::saturating_sub(left, count));
        match self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
        {
            Ok(left) if left < count => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "too many bytes without the head of a response",
            )),
            _ => Ok(()),
        }
    }
}

/// A TCP stream of which a limited number of bytes is read, in all and before other tasks run: with tokio's
/// own budget, which counts reads, a server that sends without end gets the thread for many megabytes.
pub(super) struct LimitedStream {
    /// The stream itself.
    pub(super) stream: TcpStream,
    /// How much of it may be read.
    pub(super) limit: ReadLimit,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        for _ in 0..count / BYTES_PER_UNIT {
            match poll_proceed(cx) {
                Poll::Ready(unit) => unit.made_progress(),
                // The next read waits for the task's next turn.
                Poll::Pending => break,
            }
        }
        Poll::Ready(self.limit.take(count))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
