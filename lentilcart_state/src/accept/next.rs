use lentilcart_util::Micros;

use crate::platform::Ask;

/// What a protocol needs next.
#[derive(Debug)]
pub enum Next<T> {
    /// An answer from the platform.
    Ask(Ask),
    /// A pause, after which it is called again without an answer.
    Wait(Micros),
    /// Nothing: it has ended with this result.
    Done(T),
}
