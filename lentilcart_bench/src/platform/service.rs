use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lentilcart::platform::{HostInfo, HostList};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::watch;

use super::faults::Faults;
use super::store::Store;
use crate::util::{Conn, json, serve, text};

type Answer = Option<Response<Full<Bytes>>>;

/// Stand-in of the platform's service: keys, leases, watches and the host list over HTTP and JSON.
///
/// `PUT /faults` sets how it misbehaves, `GET /calls` returns the calls by kind, and `PUT /hosts`
/// replaces the host list.
#[derive(Debug, Clone)]
pub struct PlatformStub {
    store: Arc<Mutex<Store>>,
    changed: watch::Sender<u64>,
}

#[derive(Deserialize)]
struct Swap {
    expect: u64,
    value: String,
}

#[derive(Deserialize)]
struct Lease {
    holder: String,
    ttl_ms: u64,
}

impl Default for PlatformStub {
    fn default() -> Self {
        let store = Arc::default();
        let changed = watch::Sender::new(0);
        Self { store, changed }
    }
}

impl PlatformStub {
    /// Serves until the task is dropped.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on.
    pub async fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let answer = move |remote, request| {
            let stub = self.clone();
            async move { stub.answer(remote, request).await }
        };
        serve(address, Conn::default(), Arc::default(), answer).await
    }

    /// Sets how it misbehaves.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Changes how it misbehaves.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostInfo>) {
        let version = self.lock().hosts.version + 1;
        self.lock().hosts = HostList { version, hosts };
        self.announce();
    }

    /// Changes one host of the list.
    pub fn change_host(&self, name: &str, change: impl FnOnce(&mut HostInfo)) {
        let mut hosts = self.lock().hosts.hosts.clone();
        if let Some(host) = hosts.iter_mut().find(|host| &*host.name == name) {
            change(host);
        }
        self.set_hosts(hosts);
    }

    /// Returns the number of calls of a kind: `get`, `swap`, `watch`, `hosts` or `lease`.
    #[must_use]
    pub fn get_calls(&self, kind: &str) -> u64 {
        self.lock().calls.get(kind).copied().unwrap_or_default()
    }

    /// Returns the text of a key.
    #[must_use]
    pub fn get_value(&self, key: &str) -> Option<String> {
        self.lock().keys.get(key).map(|stored| stored.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no panic under lock")
    }

    fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    async fn answer(&self, remote: SocketAddr, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let body = body.collect().await.ok()?.to_bytes();
        match (path.as_str(), &parts.method) {
            ("/faults", &Method::PUT) => {
                self.set_faults(serde_json::from_slice(&body).ok()?);
                return Some(text(StatusCode::OK, ""));
            }
            ("/calls", _) => return Some(json(StatusCode::OK, &json!(self.lock().calls))),
            ("/hosts", &Method::PUT) => {
                self.set_hosts(serde_json::from_slice(&body).ok()?);
                return Some(text(StatusCode::OK, ""));
            }
            _ => {}
        }
        let delay = self.lock().faults.delay_ms;
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        if self.is_cut(remote) {
            return None;
        }
        let (kind, name) = path
            .trim_start_matches('/')
            .split_once('/')
            .unwrap_or((&path, ""));
        match (kind, &parts.method) {
            ("kv", &Method::GET) => Some(self.get(name)),
            ("kv", &Method::PUT) => self.swap(name, &body),
            ("watch", _) => self.watch(remote, "watch", name, &query).await,
            ("/hosts", _) => self.watch(remote, "hosts", "", &query).await,
            ("lease", &Method::PUT) => self.lease(name, &body),
            _ => Some(text(StatusCode::NOT_FOUND, "unknown path")),
        }
    }

    fn is_cut(&self, remote: SocketAddr) -> bool {
        let store = self.lock();
        store.faults.outage || store.faults.cut.contains(&remote.ip())
    }

    fn count(&self, kind: &'static str) {
        *self.lock().calls.entry(kind).or_default() += 1;
    }

    fn get(&self, key: &str) -> Response<Full<Bytes>> {
        self.count("get");
        match self.lock().keys.get(key) {
            Some(stored) => json(StatusCode::OK, &json!(stored)),
            None => text(StatusCode::NOT_FOUND, ""),
        }
    }

    fn swap(&self, key: &str, body: &[u8]) -> Answer {
        self.count("swap");
        let swap: Swap = serde_json::from_slice(body).ok()?;
        let swapped = self.lock().swap(key, swap.expect, swap.value);
        let answer = match swapped {
            Ok(version) => {
                self.announce();
                json(StatusCode::OK, &json!(version))
            }
            Err(stored) => json(StatusCode::CONFLICT, &json!(stored)),
        };
        let mut store = self.lock();
        match (store.faults.lose_swaps, key) {
            (0, _) => Some(answer),
            (left, _) => {
                store.faults.lose_swaps = left - 1;
                None
            }
        }
    }

    async fn watch(
        &self,
        remote: SocketAddr,
        kind: &'static str,
        key: &str,
        query: &str,
    ) -> Answer {
        self.count(kind);
        let field = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name));
            pair.and_then(|value| value.parse::<u64>().ok())
                .unwrap_or_default()
        };
        let (version, wait) = (field("version="), field("wait_ms="));
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut changed = self.changed.subscribe();
        loop {
            if self.is_cut(remote) {
                return None;
            }
            let found = {
                let store = self.lock();
                match kind {
                    "hosts" => (store.hosts.version, json!(store.hosts)),
                    _ => store
                        .keys
                        .get(key)
                        .map_or((0, json!(null)), |stored| (stored.version, json!(stored))),
                }
            };
            if found.0 != version {
                return Some(json(StatusCode::OK, &found.1));
            }
            let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
            if waited.is_err() {
                return Some(text(StatusCode::NO_CONTENT, ""));
            }
        }
    }

    fn lease(&self, name: &str, body: &[u8]) -> Answer {
        self.count("lease");
        let lease: Lease = serde_json::from_slice(body).ok()?;
        let length = Duration::from_millis(lease.ttl_ms);
        let taken = self.lock().lease(name, &lease.holder, length);
        let status = if taken {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Some(text(status, ""))
    }
}
