use lentilcart_util::Micros;

use crate::platform::KvRequest;

/// What a protocol's state machine needs next from the code that drives it.
#[derive(Debug)]
pub enum ProtocolStep<T> {
    /// The code makes this request and passes the reply to the next call of `step`.
    Request(KvRequest),
    /// The code waits this long and then calls `step(None)`. Only
    /// [`TicketSubmission`](crate::TicketSubmission) returns it.
    Wait(Micros),
    /// Nothing: the protocol has ended with this result.
    Done(T),
}
