use std::time::Duration;

use tokio::sync::watch;
use tokio::time::timeout;

use super::body::{HttpBody, NotifyOnEnd, stream_body};

/// Number of requests that a connection carries, which HTTP/2 does not bound in time. Clones share it.
#[derive(Debug, Clone, Default)]
pub(super) struct ActiveRequests(watch::Sender<usize>);

/// A request that counts until this is dropped.
#[derive(Debug)]
pub(super) struct ActiveRequest(ActiveRequests);

impl ActiveRequests {
    /// Counts a request.
    pub(super) fn begin(&self) -> ActiveRequest {
        self.0.send_modify(|count| *count += 1);
        ActiveRequest(self.clone())
    }

    /// Waits until the connection has carried no request for `idle_timeout`.
    pub(super) async fn wait_until_idle(&self, idle_timeout: Duration) {
        let mut count = self.0.subscribe();
        loop {
            // `self` holds a sender, so that this does not fail.
            count.wait_for(|count| *count == 0).await.ok();
            if timeout(idle_timeout, count.changed()).await.is_err() {
                return;
            }
        }
    }
}

impl ActiveRequest {
    /// Returns the body of the response, with whose end the request no longer counts.
    pub(super) fn end_with(self, body: HttpBody) -> HttpBody {
        stream_body(NotifyOnEnd::new(body, move |_| drop(self)))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
