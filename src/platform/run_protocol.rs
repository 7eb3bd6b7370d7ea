use lentilcart_state::{KvReply, ProtocolStep};

use super::PlatformClient;

/// Runs a protocol of `lentilcart_state` to its end.
pub async fn run_protocol<T>(
    platform: &PlatformClient,
    mut step: impl FnMut(Option<KvReply>) -> ProtocolStep<T>,
) -> T {
    let mut reply = None;
    loop {
        reply = match step(reply.take()) {
            ProtocolStep::Done(result) => return result,
            ProtocolStep::Request(ask) => Some((platform.call_kv)(ask).await),
            ProtocolStep::Wait(length) => {
                tokio::time::sleep(length.into()).await;
                None
            }
        };
    }
}
