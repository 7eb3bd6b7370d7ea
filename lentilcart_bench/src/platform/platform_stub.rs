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
use super::stub_state::PlatformStubState;
use crate::util::{ConnectionOptions, json_response, serve, text_response};

/// Response to a call; `None` cuts the connection instead.
type ResponseOrCut = Option<Response<Full<Bytes>>>;

/// Stub of the platform's service: keys, leases, watches and the host list over HTTP and JSON.
///
/// `PUT /faults` sets the faults that it injects, `GET /calls` returns the number of calls by kind,
/// and `PUT /hosts` replaces the host list.
#[derive(Debug, Clone)]
pub struct PlatformStub {
    state: Arc<Mutex<PlatformStubState>>,
    /// Number of changes so far; a send wakes the watches.
    changed: watch::Sender<u64>,
}

/// Body of `PUT /kv/KEY`, a compare-and-swap: writes the value if the key has the expected version.
#[derive(Deserialize)]
struct SwapRequest {
    /// Expected version, 0 for a key that does not exist.
    expect: u64,
    value: String,
}

/// Body of `PUT /lease/NAME`: grants or renews the lease for its time to live.
#[derive(Deserialize)]
struct LeaseRequest {
    holder: String,
    ttl_ms: u64,
}

impl Default for PlatformStub {
    fn default() -> Self {
        let state = Arc::default();
        let changed = watch::Sender::new(0);
        Self { state, changed }
    }
}

impl PlatformStub {
    /// Serves until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or if a connection cannot be accepted or set
    /// up.
    pub async fn serve(self, address: SocketAddr) -> std::io::Result<()> {
        let handler = move |remote, request| {
            let stub = self.clone();
            async move { stub.respond(remote, request).await }
        };
        serve(
            address,
            ConnectionOptions::default(),
            Arc::default(),
            handler,
        )
        .await
    }

    /// Replaces the faults that it injects.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Changes the faults that it injects.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Replaces the host list, under the next version.
    pub fn set_hosts(&self, hosts: Vec<HostInfo>) {
        let version = self.lock().hosts.version + 1;
        self.lock().hosts = HostList { version, hosts };
        self.notify_watchers();
    }

    /// Changes one host of the list; an unknown name only raises the version of the list.
    pub fn update_host(&self, name: &str, change: impl FnOnce(&mut HostInfo)) {
        let mut hosts = self.lock().hosts.hosts.clone();
        if let Some(host) = hosts.iter_mut().find(|host| &*host.name == name) {
            change(host);
        }
        self.set_hosts(hosts);
    }

    /// Returns the number of calls of a kind: `get`, `swap`, `watch`, `hosts` or `lease`.
    #[must_use]
    pub fn get_call_count(&self, kind: &str) -> u64 {
        self.lock().calls.get(kind).copied().unwrap_or_default()
    }

    /// Returns the value of a key.
    #[must_use]
    pub fn get_value(&self, key: &str) -> Option<String> {
        self.lock()
            .keys
            .get(key)
            .map(|versioned| versioned.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, PlatformStubState> {
        self.state.lock().expect("no panic under lock")
    }

    /// Wakes the watches, which compare versions again.
    fn notify_watchers(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    /// Handles a call: first the settings of the stub, which no fault affects, then the platform's
    /// own calls.
    async fn respond(&self, remote: SocketAddr, request: Request<Incoming>) -> ResponseOrCut {
        let (parts, body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        let query = parts.uri.query().unwrap_or_default().to_owned();
        let body = body.collect().await.ok()?.to_bytes();
        match (path.as_str(), &parts.method) {
            ("/faults", &Method::PUT) => {
                self.set_faults(serde_json::from_slice(&body).ok()?);
                return Some(text_response(StatusCode::OK, ""));
            }
            ("/calls", _) => return Some(json_response(StatusCode::OK, &json!(self.lock().calls))),
            ("/hosts", &Method::PUT) => {
                self.set_hosts(serde_json::from_slice(&body).ok()?);
                return Some(text_response(StatusCode::OK, ""));
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
            // Without a second slash, `kind` is the whole path.
            ("/hosts", _) => self.watch(remote, "hosts", "", &query).await,
            ("lease", &Method::PUT) => self.lease(name, &body),
            _ => Some(text_response(StatusCode::NOT_FOUND, "unknown path")),
        }
    }

    /// Returns whether a fault cuts the connections of a client.
    fn is_cut(&self, remote: SocketAddr) -> bool {
        let state = self.lock();
        state.faults.outage || state.faults.cut.contains(&remote.ip())
    }

    fn count_call(&self, kind: &'static str) {
        *self.lock().calls.entry(kind).or_default() += 1;
    }

    fn get(&self, key: &str) -> Response<Full<Bytes>> {
        self.count_call("get");
        match self.lock().keys.get(key) {
            Some(versioned) => json_response(StatusCode::OK, &json!(versioned)),
            None => text_response(StatusCode::NOT_FOUND, ""),
        }
    }

    fn swap(&self, key: &str, body: &[u8]) -> ResponseOrCut {
        self.count_call("swap");
        let swap: SwapRequest = serde_json::from_slice(body).ok()?;
        let swapped = self.lock().swap(key, swap.expect, swap.value);
        let response = match swapped {
            Ok(version) => {
                self.notify_watchers();
                json_response(StatusCode::OK, &json!(version))
            }
            Err(versioned) => json_response(StatusCode::CONFLICT, &json!(versioned)),
        };
        let mut state = self.lock();
        match (state.faults.lose_swaps, key) {
            (0, _) => Some(response),
            (remaining, _) => {
                state.faults.lose_swaps = remaining - 1;
                None
            }
        }
    }

    /// Waits up to `wait_ms` until the version of the key, or of the host list if `kind` is `hosts`,
    /// differs from `version`, and responds with it; responds with status 204 if it does not.
    async fn watch(
        &self,
        remote: SocketAddr,
        kind: &'static str,
        key: &str,
        query: &str,
    ) -> ResponseOrCut {
        self.count_call(kind);
        let parse_field = |name: &str| {
            let pair = query.split('&').find_map(|pair| pair.strip_prefix(name));
            pair.and_then(|value| value.parse::<u64>().ok())
                .unwrap_or_default()
        };
        let (version, wait_ms) = (parse_field("version="), parse_field("wait_ms="));
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        let mut changed = self.changed.subscribe();
        loop {
            if self.is_cut(remote) {
                return None;
            }
            let current = {
                let state = self.lock();
                match kind {
                    "hosts" => (state.hosts.version, json!(state.hosts)),
                    _ => state.keys.get(key).map_or((0, json!(null)), |versioned| {
                        (versioned.version, json!(versioned))
                    }),
                }
            };
            if current.0 != version {
                return Some(json_response(StatusCode::OK, &current.1));
            }
            let waited = tokio::time::timeout_at(deadline, changed.changed()).await;
            if waited.is_err() {
                return Some(text_response(StatusCode::NO_CONTENT, ""));
            }
        }
    }

    fn lease(&self, name: &str, body: &[u8]) -> ResponseOrCut {
        self.count_call("lease");
        let lease: LeaseRequest = serde_json::from_slice(body).ok()?;
        let ttl = Duration::from_millis(lease.ttl_ms);
        let is_granted = self.lock().lease(name, &lease.holder, ttl);
        let status = if is_granted {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        Some(text_response(status, ""))
    }
}
