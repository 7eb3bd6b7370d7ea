use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::BoxFuture;
use hyper::Method;
use lentilcart_platform::{ERA_HEADER, decode_era, decode_reply, encode_call, place_in_era};
use lentilcart_state::{StoreCall, StoreReply};
use tokio_util::task::TaskTracker;

use super::transport::Transport;
use crate::http::{ConnectTimeouts, HttpClient, get_header_text};

/// An asynchronous function that makes a call to the store.
type CallStore =
    Box<dyn Fn(StoreCall) -> BoxFuture<'static, Result<StoreReply, String>> + Send + Sync>;

/// A client of the store of the users' platform, as a function that an embedder or a test can
/// replace. A gateway uses it; other entries use [`PlatformClient`](super::PlatformClient).
pub struct StoreClient {
    /// Makes a call; fails with the reason if no usable answer came. A write that failed may have
    /// taken effect, or may still do so.
    pub call: CallStore,
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StoreClient").finish_non_exhaustive()
    }
}

/// Creates a client of the store at `address` that connects from the local address `source`.
///
/// Nothing is sent until the first call. The answer to a call must begin within `timeout`, that to a watch within its
/// longest wait plus `timeout`, and go on arriving then.
#[must_use]
pub fn create_store_client(
    address: SocketAddr,
    source: IpAddr,
    timeout: Duration,
    tasks: TaskTracker,
) -> StoreClient {
    let timeouts = ConnectTimeouts {
        connect: timeout,
        user_timeout: Some(timeout * 2),
    };
    let http_client = HttpClient::new(source, tasks).with_timeouts(timeouts);
    let transport = Arc::new(Transport {
        http_client,
        address,
    });
    StoreClient {
        call: Box::new(move |call| {
            let transport = transport.clone();
            async move { call_store(&transport, timeout, &call).await }.boxed()
        }),
    }
}

/// Makes a call, and counts it in the metric `lentilcart_store_calls_total`.
async fn call_store(
    transport: &Transport,
    timeout: Duration,
    call: &StoreCall,
) -> Result<StoreReply, String> {
    let gap = timeout;
    let timeout = match call {
        StoreCall::Watch { max_wait, .. } => timeout + Duration::from(*max_wait),
        _ => timeout,
    };
    let request = encode_call(call);
    let method = Method::from_bytes(request.method.as_bytes()).map_err(|e| e.to_string())?;
    let body = Bytes::from(request.body);
    let response = transport
        .call(method, &request.path, body, timeout, gap)
        .await;
    let result = response.and_then(|(head, body)| {
        let era = decode_era(get_header_text(&head.headers, ERA_HEADER));
        let reply = decode_reply(call, head.status.as_u16(), &body);
        let placed = era.and_then(|era| Ok(place_in_era(call, reply?, era)));
        placed.map_err(|e| e.to_string())
    });
    let outcome = if result.is_ok() { "answered" } else { "failed" };
    metrics::counter!("lentilcart_store_calls_total", "call" => call.as_str(), "outcome" => outcome)
        .increment(1);
    result
}
