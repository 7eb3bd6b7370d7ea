use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::{Method, StatusCode};
use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use lentilcart_util::{Micros, Name};
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio_util::task::TaskTracker;

use super::host_list::{HostList, WatchOutcome};
use super::platform_client::{CallCounters, PlatformClient};
use super::transport::Transport;
use crate::http::HttpClient;

/// Makes the calls of a [`PlatformClient`] over HTTP.
struct HttpPlatform {
    transport: Transport,
    timeout: Duration,
    call_counters: Arc<CallCounters>,
}

/// Parses the address of the platform, such as `http://10.0.0.1:2379`; the scheme is optional.
///
/// # Errors
///
/// Fails with a message that says what is expected.
pub fn parse_platform_address(text: &str) -> Result<SocketAddr, String> {
    let address = text
        .strip_prefix("http://")
        .unwrap_or(text)
        .trim_end_matches('/');
    address.parse().map_err(|_| {
        "expected an IP address and a port, such as \"http://10.0.0.1:2379\"".to_owned()
    })
}

/// Creates a client of the platform at `address` that connects from the local address `source`.
///
/// Nothing is sent until the first call. A call must be answered within `timeout`, a watch within its
/// longest wait plus `timeout`.
#[must_use]
pub fn create_platform_client(
    address: SocketAddr,
    source: IpAddr,
    timeout: Duration,
    tasks: TaskTracker,
) -> PlatformClient {
    let call_counters = Arc::<CallCounters>::default();
    let http_client = HttpClient::new(source, tasks);
    let client = Arc::new(HttpPlatform {
        transport: Transport {
            http_client,
            address,
        },
        timeout,
        call_counters: call_counters.clone(),
    });
    let [kv, keys, leases, hosts] = [(); 4].map(|()| client.clone());
    PlatformClient {
        call_kv: Box::new(move |request| {
            let client = kv.clone();
            async move { client.call_kv(request).await }.boxed()
        }),
        watch_key: Box::new(move |(key, version, max_wait)| {
            let client = keys.clone();
            async move { client.watch_key(key, version, max_wait).await }.boxed()
        }),
        acquire_lease: Box::new(move |(name, holder, ttl)| {
            let client = leases.clone();
            async move { client.acquire_lease(name, holder, ttl).await }.boxed()
        }),
        watch_hosts: Box::new(move |(version, max_wait)| {
            let client = hosts.clone();
            async move { client.watch_hosts(version, max_wait).await }.boxed()
        }),
        call_counters,
    }
}

impl HttpPlatform {
    async fn call_kv(&self, request: KvRequest) -> KvReply {
        let (method, key, body) = match request {
            KvRequest::Get { key } => (Method::GET, key, Bytes::new()),
            KvRequest::CompareAndSwap {
                key,
                expected_version,
                value,
            } => {
                let body = json!({ "expect": expected_version, "value": value }).to_string();
                (Method::PUT, key, body.into())
            }
        };
        let is_get = method == Method::GET;
        let counter = if is_get {
            &self.call_counters.gets
        } else {
            &self.call_counters.swaps
        };
        let path = format!("/kv/{key}");
        let response = self.call(counter, method, &path, body, self.timeout).await;
        let reply = match response {
            Err(reason) => Err(reason),
            Ok((StatusCode::OK, body)) if is_get => parse(&body).map(|v| KvReply::Value(Some(v))),
            Ok((StatusCode::NOT_FOUND, _)) if is_get => Ok(KvReply::Value(None)),
            Ok((StatusCode::OK, body)) => parse(&body).map(KvReply::Swapped),
            Ok((StatusCode::CONFLICT, body)) => parse(&body).map(KvReply::Refused),
            Ok((status, _)) => Err(format!("status {status}")),
        };
        reply.unwrap_or_else(KvReply::Lost)
    }

    async fn watch_key(
        &self,
        key: Name,
        version: u64,
        max_wait: Duration,
    ) -> WatchOutcome<VersionedValue> {
        let wait_ms = Micros::from(max_wait).as_millis_ceil();
        let path = format!("/watch/{key}?version={version}&wait_ms={wait_ms}");
        self.watch(&path, max_wait).await
    }

    async fn watch_hosts(&self, version: u64, max_wait: Duration) -> WatchOutcome<HostList> {
        let wait_ms = Micros::from(max_wait).as_millis_ceil();
        let path = format!("/hosts?version={version}&wait_ms={wait_ms}");
        self.watch(&path, max_wait).await
    }

    /// Makes a call that the platform answers at the next change or when `max_wait` has passed.
    async fn watch<T: DeserializeOwned>(&self, path: &str, max_wait: Duration) -> WatchOutcome<T> {
        let timeout = self.timeout + max_wait;
        let counter = &self.call_counters.watches;
        match self
            .call(counter, Method::GET, path, Bytes::new(), timeout)
            .await
        {
            Ok((StatusCode::OK, body)) => match parse(&body) {
                Ok(value) => WatchOutcome::Changed(value),
                Err(reason) => WatchOutcome::Failed(reason),
            },
            Ok((StatusCode::NO_CONTENT | StatusCode::NOT_FOUND, _)) => WatchOutcome::Unchanged,
            Ok((status, _)) => WatchOutcome::Failed(format!("status {status}")),
            Err(reason) => WatchOutcome::Failed(reason),
        }
    }

    async fn acquire_lease(&self, name: Name, holder: Name, ttl: Duration) -> Result<bool, String> {
        let body =
            json!({ "holder": holder, "ttl_ms": Micros::from(ttl).as_millis_ceil() }).to_string();
        let path = format!("/lease/{name}");
        let counter = &self.call_counters.leases;
        match self
            .call(counter, Method::PUT, &path, body.into(), self.timeout)
            .await?
        {
            (StatusCode::OK, _) => Ok(true),
            (StatusCode::CONFLICT, _) => Ok(false),
            (status, _) => Err(format!("status {status}")),
        }
    }

    /// Makes a call, and counts it in `counter` and, if it fails, as unanswered.
    async fn call(
        &self,
        counter: &AtomicU64,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        CallCounters::increment(counter);
        let gap = self.timeout;
        let result = self.transport.call(method, path, body, timeout, gap).await;
        let result = result.map(|(head, body)| (head.status, body));
        if result.is_err() {
            CallCounters::increment(&self.call_counters.unanswered);
        }
        result
    }
}

/// Parses a JSON body.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("unreadable response: {e}"))
}
