use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use hyper::{Method, StatusCode};
use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use lentilcart_util::Name;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio_util::task::TaskTracker;

use super::model::{HostList, WatchOutcome};
use super::platform_client::{CallCounters, PlatformClient};
use super::transport::Transport;
use crate::http::HttpClient;

struct Client {
    transport: Transport,
    timeout: Duration,
    calls: Arc<CallCounters>,
}

/// Reads the platform's address, such as `http://10.0.0.1:2379`.
///
/// # Errors
///
/// Fails with what is allowed.
pub fn parse_platform_address(text: &str) -> Result<SocketAddr, String> {
    let address = text
        .strip_prefix("http://")
        .unwrap_or(text)
        .trim_end_matches('/');
    address.parse().map_err(|_| {
        "expected an IP address and a port, such as \"http://10.0.0.1:2379\"".to_owned()
    })
}

/// Creates a client of the platform at an address. Nothing is sent until the first call.
#[must_use]
pub fn create_platform_client(
    address: SocketAddr,
    source: IpAddr,
    timeout: Duration,
    tasks: TaskTracker,
) -> PlatformClient {
    let calls = Arc::<CallCounters>::default();
    let http_client = HttpClient::new(source, tasks);
    let client = Arc::new(Client {
        transport: Transport {
            http_client,
            address,
        },
        timeout,
        calls: calls.clone(),
    });
    let [asks, watches, leases, lists] = [(); 4].map(|()| client.clone());
    PlatformClient {
        call_kv: Box::new(move |ask| {
            let client = asks.clone();
            async move { client.ask(ask).await }.boxed()
        }),
        watch_key: Box::new(move |(key, version, wait)| {
            let client = watches.clone();
            async move { client.watch(key, version, wait).await }.boxed()
        }),
        acquire_lease: Box::new(move |(name, holder, length)| {
            let client = leases.clone();
            async move { client.lease(name, holder, length).await }.boxed()
        }),
        watch_hosts: Box::new(move |(version, wait)| {
            let client = lists.clone();
            async move { client.hosts(version, wait).await }.boxed()
        }),
        calls,
    }
}

impl Client {
    async fn ask(&self, ask: KvRequest) -> KvReply {
        let (method, key, body) = match ask {
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
            &self.calls.gets
        } else {
            &self.calls.swaps
        };
        let path = format!("/kv/{key}");
        let answer = self.call(counter, method, &path, body, self.timeout).await;
        let reply = match answer {
            Err(reason) => Err(reason),
            Ok((StatusCode::OK, body)) if is_get => read(&body).map(|v| KvReply::Value(Some(v))),
            Ok((StatusCode::NOT_FOUND, _)) if is_get => Ok(KvReply::Value(None)),
            Ok((StatusCode::OK, body)) => read(&body).map(KvReply::Swapped),
            Ok((StatusCode::CONFLICT, body)) => read(&body).map(KvReply::Refused),
            Ok((status, _)) => Err(format!("status {status}")),
        };
        reply.unwrap_or_else(KvReply::Lost)
    }

    async fn watch(&self, key: Name, version: u64, wait: Duration) -> WatchOutcome<VersionedValue> {
        let path = format!(
            "/watch/{key}?version={version}&wait_ms={}",
            wait.as_millis()
        );
        self.wait(&path, wait).await
    }

    async fn hosts(&self, version: u64, wait: Duration) -> WatchOutcome<HostList> {
        let path = format!("/hosts?version={version}&wait_ms={}", wait.as_millis());
        self.wait(&path, wait).await
    }

    async fn wait<T: DeserializeOwned>(&self, path: &str, wait: Duration) -> WatchOutcome<T> {
        let timeout = self.timeout + wait;
        let counter = &self.calls.watches;
        match self
            .call(counter, Method::GET, path, Bytes::new(), timeout)
            .await
        {
            Ok((StatusCode::OK, body)) => match read(&body) {
                Ok(value) => WatchOutcome::Changed(value),
                Err(reason) => WatchOutcome::Failed(reason),
            },
            Ok((StatusCode::NO_CONTENT | StatusCode::NOT_FOUND, _)) => WatchOutcome::Unchanged,
            Ok((status, _)) => WatchOutcome::Failed(format!("status {status}")),
            Err(reason) => WatchOutcome::Failed(reason),
        }
    }

    async fn lease(&self, name: Name, holder: Name, length: Duration) -> Result<bool, String> {
        let body = json!({ "holder": holder, "ttl_ms": length.as_millis() as u64 }).to_string();
        let path = format!("/lease/{name}");
        let counter = &self.calls.leases;
        match self
            .call(counter, Method::PUT, &path, body.into(), self.timeout)
            .await?
        {
            (StatusCode::OK, _) => Ok(true),
            (StatusCode::CONFLICT, _) => Ok(false),
            (status, _) => Err(format!("status {status}")),
        }
    }

    async fn call(
        &self,
        counter: &AtomicU64,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), String> {
        CallCounters::increment(counter);
        let ended = self.transport.call(method, path, body, timeout).await;
        if ended.is_err() {
            CallCounters::increment(&self.calls.unanswered);
        }
        ended
    }
}

fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| format!("unreadable answer: {e}"))
}
