use lentilcart_state::{KvReply, ProtocolStep};

use super::Platform;

/// Runs a protocol of `lentilcart_state` to its end.
pub async fn drive<T>(
    platform: &Platform,
    mut step: impl FnMut(Option<KvReply>) -> ProtocolStep<T>,
) -> T {
    let mut reply = None;
    loop {
        reply = match step(reply.take()) {
            ProtocolStep::Done(result) => return result,
            ProtocolStep::Request(ask) => Some((platform.ask)(ask).await),
            ProtocolStep::Wait(length) => {
                tokio::time::sleep(length.into()).await;
                None
            }
        };
    }
}
