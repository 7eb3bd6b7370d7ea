use lentilcart_util::Micros;

use crate::platform::KvRequest;

/// What a protocol needs next.
#[derive(Debug)]
pub enum ProtocolStep<T> {
    /// An answer from the platform.
    Request(KvRequest),
    /// A pause, after which it is called again without an answer.
    Wait(Micros),
    /// Nothing: it has ended with this result.
    Done(T),
}
