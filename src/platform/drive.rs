use lentilcart_state::{Next, Reply};

use super::Platform;

/// Runs a protocol of `lentilcart_state` to its end.
pub async fn drive<T>(platform: &Platform, mut step: impl FnMut(Option<Reply>) -> Next<T>) -> T {
    let mut reply = None;
    loop {
        reply = match step(reply.take()) {
            Next::Done(result) => return result,
            Next::Ask(ask) => Some((platform.ask)(ask).await),
            Next::Wait(length) => {
                tokio::time::sleep(length.into()).await;
                None
            }
        };
    }
}
