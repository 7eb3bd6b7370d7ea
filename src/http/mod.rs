//! HTTP parts: bodies, header rules, connections to servers and entries, and listeners.

mod body;
mod connect;
mod headers;
mod http_client;
mod listener;

pub use self::body::{BoxError, End, HttpBody, Tail, empty, full, stream};
pub use self::connect::{ConnectTimeouts, connect};
pub use self::headers::{
    ATTEMPT, DEADLINE_MS, FORWARDED, IDEMPOTENCY_KEY, LEAVING, LOAD, OUTCOME, REQUEST_ID,
    check_request, millis_of, number_of, set, strip_hop_by_hop, text_of,
};
pub use self::http_client::{HttpClient, SendError, ServerResponse};
pub use self::listener::{Limits, Stop, bind, listen};
