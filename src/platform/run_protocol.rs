use lentilcart_state::{KvReply, ProtocolStep};

use super::PlatformClient;

/// Runs a protocol of `lentilcart_state`, a state machine that returns its next request to the
/// store, to its end and returns its result.
///
/// `step` is the protocol: it takes the reply to its last request, if there was one, and returns
/// what to do next. Requests go to the key-value store of `platform`.
pub async fn run_protocol<T>(
    platform: &PlatformClient,
    mut step: impl FnMut(Option<KvReply>) -> ProtocolStep<T>,
) -> T {
    let mut reply = None;
    loop {
        reply = match step(reply.take()) {
            ProtocolStep::Done(result) => return result,
            ProtocolStep::Request(request) => Some((platform.call_kv)(request).await),
            ProtocolStep::Wait(delay) => {
                tokio::time::sleep(delay.into()).await;
                None
            }
        };
    }
}
