use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::StatusCode;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderValue};
use lentilcart_state::{
    DEFAULT_WEIGHT, FetchOutcome, FetchPlan, FetchSource, FetchStep, MirrorSnapshot,
};
use lentilcart_util::{Micros, Name};
use tokio::time::timeout;

use super::compression::{ENCODING, decompress};
use super::datagram::GatewayHeartbeat;
use super::gateway::{Gateway, MirrorKind};
use super::mirror::sleep_unless_stopped;
use super::mirror_server::GAPS_HEADER;
use crate::http::{BodyTimes, build_get, collect_arriving_body, get_header_text};

/// Delay before a mirror is fetched from another entry, in which this entry's own watch, or an entry of
/// its data centre, may bring the same changes.
const CATCH_UP_DELAY: Micros = Micros::from_millis(150);
/// Largest snapshot of a mirror that is fetched, in bytes.
const MAX_MIRROR_BYTES: usize = 32 * 1024 * 1024;
/// Time within which the answer to a fetch must begin.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Times within which its body must arrive.
const FETCH_BODY_TIMES: BodyTimes = BodyTimes {
    gap: Duration::from_millis(500),
    total: Duration::from_secs(2),
};
/// Interval at which the next step is looked for while fetches are in flight or peers are passed over.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Why a mirror was not fetched.
enum FetchError {
    /// The other entry has no room to serve it.
    Busy,
    /// No usable reply came; holds the reason.
    Failed(String),
}

impl From<String> for FetchError {
    fn from(reason: String) -> Self {
        Self::Failed(reason)
    }
}

impl Gateway {
    fn lock_fetch_plan(&self, kind: MirrorKind) -> MutexGuard<'_, FetchPlan> {
        self.fetch_plans[kind as usize]
            .lock()
            .expect("no panic under lock")
    }

    /// Returns whether this entry is the one of its data centre that fetches from other data centres first; the
    /// others fetch from it.
    fn is_remote_fetcher(&self) -> bool {
        let settings = self.settings.load();
        let now = self.clock.now();
        let members = self.lock_members();
        let is_local = |name: &&Name| {
            let member = members.get(name);
            member.is_some_and(|member| member.data_center == settings.data_center)
        };
        let local = members.get_serving(now).into_iter().filter(is_local);
        let first = members.rank("fetch", local, 1);
        first.first().is_some_and(|name| **name == settings.name)
    }

    /// Merges a snapshot that was fetched from another entry.
    fn merge_fetched(&self, kind: MirrorKind, source: &FetchSource, snapshot: MirrorSnapshot) {
        let revision = snapshot.revision;
        self.record_place(revision);
        let (own, changes, is_current) = {
            let mut mirror = self.lock_mirror(kind);
            let own = mirror.get_revision();
            let changes = mirror.merge(snapshot);
            (own, changes, mirror.get_revision() >= source.latest)
        };
        if kind == MirrorKind::Routes && !is_current {
            self.record_partial_mirror(&source.name);
        }
        log::info!(peer:% = source.name, kind:? = kind, own, revision, changes = changes.len(); "mirror fetched from peer");
        self.apply_changes(kind, changes, true);
    }

    /// Records the end of a fetch.
    fn record_fetch(
        &self,
        kind: MirrorKind,
        source: &FetchSource,
        fetched: Result<MirrorSnapshot, FetchError>,
    ) {
        let outcome = match fetched {
            Ok(snapshot) => {
                self.merge_fetched(kind, source, snapshot);
                FetchOutcome::Merged
            }
            Err(FetchError::Busy) => {
                log::debug!(peer:% = source.name, kind:? = kind; "peer has no room to serve its mirror");
                FetchOutcome::Busy
            }
            Err(FetchError::Failed(reason)) => {
                self.record_failed_fetch(kind);
                log::info!(peer:% = source.name, kind:? = kind; "fetch failed: {reason}");
                FetchOutcome::Failed
            }
        };
        let now = self.clock.now();
        self.lock_fetch_plan(kind)
            .record_end(&source.name, outcome, now);
    }
}

/// Starts to fetch the changes that a peer has announced, unless they are being fetched already, in which case the
/// peer is one more to fetch them from.
pub(super) fn fetch_changes(
    gateway: &Arc<Gateway>,
    kind: MirrorKind,
    heartbeat: &GatewayHeartbeat,
    latest: u64,
) {
    let weight = gateway
        .lock_members()
        .get(&heartbeat.name)
        .map(|member| member.weight);
    let source = FetchSource {
        name: heartbeat.name.clone(),
        address: heartbeat.peer,
        is_local: heartbeat.data_center == gateway.settings.load().data_center,
        weight: weight.unwrap_or(DEFAULT_WEIGHT),
        latest,
    };
    if gateway.lock_fetch_plan(kind).record_source(source) {
        let shared = gateway.clone();
        gateway
            .tasks
            .spawn(async move { catch_up(&shared, kind).await });
    }
}

/// Fetches from other entries until this entry's mirror has what they have announced.
///
/// An entry that watches the store waits a moment first, and one that is not chosen to fetch from other data centres
/// asks these only a moment later.
async fn catch_up(gateway: &Gateway, kind: MirrorKind) {
    let has_listed = gateway.lock_mirror(kind).get_revision() > 0;
    let has_to_watch = has_listed && gateway.has_to_watch();
    if has_to_watch {
        sleep_unless_stopped(gateway, CATCH_UP_DELAY.into()).await;
    }
    let may_ask_all = !has_listed || has_to_watch || gateway.is_remote_fetcher();
    let ask_all_from = match gateway.clock.now() {
        now if may_ask_all => now,
        now => now + CATCH_UP_DELAY,
    };
    let mut in_flight = FuturesUnordered::new();
    while !gateway.stop.is_cancelled() {
        let now = gateway.clock.now();
        let revision = gateway.lock_mirror(kind).get_revision();
        let step = gateway
            .lock_fetch_plan(kind)
            .next(now, revision, now >= ask_all_from);
        match step {
            FetchStep::Done => return,
            FetchStep::Wait => {}
            FetchStep::Fetch(source) => in_flight.push(async move {
                let fetched = fetch_mirror(gateway, kind, source.address).await;
                (source, fetched)
            }),
        }
        tokio::select! {
            Some((source, fetched)) = in_flight.next() => gateway.record_fetch(kind, &source, fetched),
            () = sleep_unless_stopped(gateway, STEP_INTERVAL) => {}
        }
    }
}

/// Fetches the changes of another entry's mirror after the revision of this entry's mirror, or all
/// items if the other entry no longer remembers the removals since then.
async fn fetch_mirror(
    gateway: &Gateway,
    kind: MirrorKind,
    peer: SocketAddr,
) -> Result<MirrorSnapshot, FetchError> {
    let after = gateway.lock_mirror(kind).get_revision();
    let mut request = build_get(peer, &format!("/mirror/{}?{after}", kind as usize))?;
    let headers = request.headers_mut();
    headers.insert(GAPS_HEADER, HeaderValue::from_static("1"));
    headers.insert(ACCEPT_ENCODING, HeaderValue::from_static(ENCODING));
    let received = timeout(FETCH_TIMEOUT, gateway.peer_client.send(peer, request)).await;
    let received = received.map_err(|_| "no answer in time".to_owned())?;
    let response = received.map_err(|e| e.to_string())?.into_streamed(|_| ());
    match response.status() {
        StatusCode::OK => {}
        StatusCode::SERVICE_UNAVAILABLE => return Err(FetchError::Busy),
        status => return Err(format!("status {status}").into()),
    }
    let encoding = get_header_text(response.headers(), CONTENT_ENCODING.as_str());
    let is_compressed = match encoding {
        None => false,
        Some(ENCODING) => true,
        Some(other) => return Err(format!("unknown encoding {other:?}").into()),
    };
    let body = response.into_body();
    let mut body = collect_arriving_body(body, MAX_MIRROR_BYTES, FETCH_BODY_TIMES).await?;
    if is_compressed {
        body = decompress(&body, MAX_MIRROR_BYTES)?.into();
    }
    ciborium::from_reader(&body[..]).map_err(|e| e.to_string().into())
}
