use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::task::coop::poll_proceed;

/// Value of a [`ReadLimit`] that does not limit.
const UNLIMITED: usize = usize::MAX;

/// Bytes that are read for one unit of a task's budget, of which a task has 128 until other tasks run.
const BYTES_PER_UNIT: usize = 1024;

/// Number of bytes that may still be read from a connection, in all and before other tasks run: with tokio's
/// own budget, which counts reads, a server that sends without end gets the thread for many megabytes. Clones
/// share it.
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

    /// Records bytes that a task has read, and takes them off its budget.
    ///
    /// # Errors
    ///
    /// Fails if there are more than the limit.
    pub(super) fn record_read(&self, cx: &mut Context<'_>, bytes: &[u8]) -> io::Result<()> {
        for _ in 0..bytes.len() / BYTES_PER_UNIT {
            match poll_proceed(cx) {
                Poll::Ready(unit) => unit.made_progress(),
                // The next read waits for the task's next turn.
                Poll::Pending => break,
            }
        }
        self.take(bytes.len())
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
