//! HTTP: bodies, headers, a client with connection pools, and listeners.

mod active_requests;
mod ahead_reader;
mod ahead_state;
mod ahead_stream;
mod body;
mod chunked_body;
mod connect;
mod head_timer;
mod headers;
mod http_client;
mod listener;
mod look_ahead;
mod observed_stream;
mod read_limit;
mod request_head;

pub use self::body::{
    BodyEnd, BodyTimes, BoxError, HttpBody, NotifyOnEnd, build_get, collect_arriving_body,
    collect_body, empty_body, full_body, stream_body,
};
pub use self::connect::{ConnectTimeouts, connect};
pub use self::headers::{
    ATTEMPT_HEADER, DEADLINE_HEADER, ENTRY_HEADER, IDEMPOTENCY_KEY_HEADER, LEAVING_HEADER,
    LOAD_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, find_request_error, get_header_duration,
    get_header_number, get_header_text, is_final_status, set_header, strip_hop_by_hop,
};
pub use self::http_client::{
    ConnectionCheck, ConnectionUse, HttpClient, MAX_HEALTH_BYTES, SendError, ServerResponse,
};
pub use self::listener::{ListenerLimits, ShutdownTokens, bind_listener, serve_listener};
pub use self::look_ahead::{ArrivalTime, EarlyRequest, LookAhead};
