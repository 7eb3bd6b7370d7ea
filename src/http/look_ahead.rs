use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures::future::BoxFuture;
use http_body_util::Empty;
use hyper::{Request, Response};

use super::body::HttpBody;

/// A request without a body that was found in bytes that a caller sent ahead.
pub type EarlyRequest = Request<Empty<Bytes>>;

/// Starts a request, if it may run before earlier ones are answered.
pub type StartEarly = dyn Fn(SocketAddr, EarlyRequest) -> Option<BoxFuture<'static, Response<HttpBody>>>
    + Send
    + Sync;

/// When a request that the caller sent ahead arrived: an extension of requests that had to wait behind
/// others of their HTTP/1.1 connection.
#[derive(Debug, Clone, Copy)]
pub struct ArrivalTime(pub Instant);

/// What a listener needs to start requests of an HTTP/1.1 connection while earlier ones are served.
pub struct LookAhead {
    /// Returns whether a request may run together with others of its connection.
    pub may_overlap: Box<dyn Fn(&EarlyRequest) -> bool + Send + Sync>,
    /// Starts a request, or returns `None` if it has to wait for its turn.
    pub start: Box<StartEarly>,
    /// Returns whether connections are about to be closed: nothing is started early any more, and the last
    /// answer of a connection says so.
    pub is_leaving: Box<dyn Fn() -> bool + Send + Sync>,
}
