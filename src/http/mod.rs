//! HTTP parts: bodies, header rules, connections to servers and entries, and listeners.

mod body;
mod dialer;
mod headers;
mod listener;
mod source;

pub use self::body::{BoxError, End, HttpBody, Tail, empty, full, stream};
pub use self::dialer::{Dialer, Reply, SendError};
pub use self::headers::{
    ATTEMPT, DEADLINE_MS, FORWARDED, IDEMPOTENCY_KEY, LEAVING, LOAD, OUTCOME, REQUEST_ID,
    check_request, millis_of, number_of, set, strip_hop_by_hop, text_of,
};
pub use self::listener::{Limits, Stop, bind, listen};
pub use self::source::{ConnectLimits, connect};
