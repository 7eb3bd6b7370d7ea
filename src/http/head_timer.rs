use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use hyper::rt::{Sleep, Timer};

/// Length of what each HTTP/2 connection begins with, in bytes. Until they have come, it may be HTTP/1.1.
const HTTP2_PREFACE_BYTES: usize = 24;

/// Timer for hyper's header read timeout, of one connection.
///
/// hyper starts it as soon as it waits for a request. This one bounds the time from the first byte of a
/// header section apart from the idle time before it. Clones belong to the same connection.
///
/// Bytes that the caller sent before the last response was complete do not begin a header section: until
/// more come, the idle time goes on.
#[derive(Debug, Clone)]
pub(super) struct HeadTimer {
    header_timeout: Duration,
    /// When the first byte arrived.
    started: Instant,
    progress: Arc<ReadProgress>,
}

#[derive(Debug, Default)]
struct ReadProgress {
    /// Number of bytes read.
    bytes: AtomicUsize,
    /// Whether the connection is known to be HTTP/1.1.
    is_http1: AtomicBool,
}

impl HeadTimer {
    /// Creates the timer of a connection whose first byte has just arrived.
    pub(super) fn new(header_timeout: Duration) -> Self {
        Self {
            header_timeout,
            started: Instant::now(),
            progress: Arc::default(),
        }
    }

    /// Records bytes that were read. Line ends alone do not count: they are allowed between requests.
    pub(super) fn record_read(&self, bytes: &[u8]) {
        if bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            self.progress
                .bytes
                .fetch_add(bytes.len(), Ordering::Relaxed);
        }
    }

    /// Waits until the time for a header section has passed without telling the version of HTTP; hyper
    /// waits for that without a timer. Does not return if the version is known by then.
    pub(super) async fn wait_for_unknown_version(&self) {
        tokio::time::sleep_until((self.started + self.header_timeout).into()).await;
        if self.is_http1() || self.count_bytes() >= HTTP2_PREFACE_BYTES {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether the connection is known to be HTTP/1.1.
    pub(super) fn is_http1(&self) -> bool {
        self.progress.is_http1.load(Ordering::Relaxed)
    }

    fn count_bytes(&self) -> usize {
        self.progress.bytes.load(Ordering::Relaxed)
    }
}

impl Timer for HeadTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        // The first header section has begun: its first bytes told the version.
        let is_first = !self.progress.is_http1.swap(true, Ordering::Relaxed);
        let deadline = if is_first {
            self.started + self.header_timeout
        } else {
            deadline
        };
        Box::pin(HeadSleep {
            inner: Box::pin(tokio::time::sleep_until(deadline.into())),
            has_begun: is_first,
            bytes_before: self.count_bytes(),
            timer: self.clone(),
        })
    }
}

/// Waits for the end of the idle time, or of the time for a header section once it has begun.
#[derive(Debug)]
struct HeadSleep {
    inner: Pin<Box<tokio::time::Sleep>>,
    has_begun: bool,
    bytes_before: usize,
    timer: HeadTimer,
}

impl Future for HeadSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        if !self.has_begun && self.timer.count_bytes() > self.bytes_before {
            self.has_begun = true;
            let deadline = Instant::now() + self.timer.header_timeout;
            self.inner.as_mut().reset(deadline.into());
        }
        self.inner.as_mut().poll(cx)
    }
}

impl Sleep for HeadSleep {}
