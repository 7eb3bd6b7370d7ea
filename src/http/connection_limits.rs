use std::time::Duration;

use super::listener::ListenerLimits;

/// Limits of a listener whose connections may be idle for another time than a header section may take.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The other limits.
    pub listener: ListenerLimits,
    /// Time within which the first byte must arrive, on a new connection and after a response. With HTTP/2,
    /// time for which a connection may carry no request.
    pub idle_timeout: Duration,
}

impl From<ListenerLimits> for ConnectionLimits {
    /// Uses the header timeout for both.
    fn from(listener: ListenerLimits) -> Self {
        Self {
            listener,
            idle_timeout: listener.header_timeout,
        }
    }
}
