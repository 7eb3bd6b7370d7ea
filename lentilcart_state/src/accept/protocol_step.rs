use lentilcart_util::Micros;

use crate::platform::KvRequest;

/// What a protocol's state machine needs from its caller next.
#[derive(Debug)]
pub enum ProtocolStep<T> {
    /// The reply to this request, which is passed to the next step.
    Request(KvRequest),
    /// A wait of this length, after which the next step is called without a reply.
    Wait(Micros),
    /// Nothing: the protocol has ended with this result.
    Done(T),
}
