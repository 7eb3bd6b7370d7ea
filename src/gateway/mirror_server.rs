use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap};
use hyper::{Request, Response, StatusCode};
use lentilcart_route::TokenBucket;
use lentilcart_util::Micros;

use super::compression::ENCODING;
use super::datagram::encode;
use super::gateway::{Gateway, MirrorKind};
use super::remote_bytes::{RemoteTraffic, count_remote_bytes};
use crate::http::{HttpBody, full_body, get_header_text};

/// Header of requests for a mirror from entries that know of gaps in its removals.
pub(crate) const GAPS_HEADER: &str = "lentilcart-gaps";

/// Share of the link that serving mirrors may take; what the entry sends otherwise does not wait for long behind them.
const LINK_SHARE: f64 = 0.25;
/// Time for which mirrors may be served ahead of that share, in seconds.
const BURST_SECONDS: f64 = 0.25;

/// Limits the bytes of mirrors that this entry serves to what its link can bear beside its other work.
///
/// An entry that is refused fetches from another one. The last snapshot before a refusal may exceed what is left.
/// Mirrors of the routes are also served when the others have used that up.
#[derive(Debug)]
pub(crate) struct ServeBudget {
    /// Bytes that may be served.
    tokens: TokenBucket,
    burst: f64,
}

impl ServeBudget {
    /// Creates the budget of a link, whose rate is in bytes a second.
    pub(crate) fn new(link: f64, now: Micros) -> Self {
        let rate = link * LINK_SHARE;
        let burst = rate * BURST_SECONDS;
        let mut tokens = TokenBucket::new(rate, burst, now);
        tokens.deposit(burst);
        Self { tokens, burst }
    }

    /// Returns whether a mirror may be served.
    fn may_serve(&mut self, kind: MirrorKind, now: Micros) -> bool {
        self.tokens.refill(now);
        let reserve = match kind {
            MirrorKind::Routes => self.burst,
            MirrorKind::Servers | MirrorKind::Hosts => 0.0,
        };
        self.tokens.get_tokens() + reserve > 0.0
    }
}

/// Snapshots of mirrors that this entry has served since they were last logged.
#[derive(Debug, Default)]
pub(crate) struct ServedMirrors {
    /// Snapshots of changes only.
    changes: usize,
    /// Snapshots of all items.
    complete: usize,
    /// Requests that were refused.
    refused: usize,
    bytes: usize,
}

impl Gateway {
    /// Logs the snapshots that were served since the last call, if there were any.
    pub(crate) fn log_served_mirrors(&self) {
        let served = std::mem::take(&mut *self.served_mirrors.lock().expect("no panic under lock"));
        if served.bytes + served.refused > 0 {
            let ServedMirrors {
                changes,
                complete,
                refused,
                bytes,
            } = served;
            log::info!(changes, complete, refused, bytes; "mirrors served");
        }
    }

    fn lock_serve_budget(&self) -> MutexGuard<'_, ServeBudget> {
        self.serve_budget.lock().expect("no panic under lock")
    }

    /// Returns whether a mirror may be served now, and counts the request if not.
    fn may_serve_mirror(&self, kind: MirrorKind) -> bool {
        let may_serve = self.lock_serve_budget().may_serve(kind, self.clock.now());
        if !may_serve {
            metrics::counter!("lentilcart_mirrors_refused_total", "mirror" => kind.as_str())
                .increment(1);
            let mut served = self.served_mirrors.lock().expect("no panic under lock");
            served.refused += 1;
        }
        may_serve
    }

    fn compress_mirror(&self, kind: MirrorKind, body: &Bytes) -> Option<Bytes> {
        let mut compressor = self.compressors[kind as usize]
            .lock()
            .expect("no panic under lock");
        compressor.compress(body)
    }

    fn record_served_mirror(&self, kind: MirrorKind, is_complete: bool, bytes: usize) {
        let content = if is_complete { "complete" } else { "changes" };
        metrics::counter!(
            "lentilcart_mirror_served_bytes_total",
            "mirror" => kind.as_str(), "content" => content
        )
        .increment(bytes as u64);
        self.lock_serve_budget().tokens.force_take(bytes as f64);
        let mut served = self.served_mirrors.lock().expect("no panic under lock");
        served.changes += usize::from(!is_complete);
        served.complete += usize::from(is_complete);
        served.bytes += bytes;
    }
}

/// Serves snapshots of this entry's mirrors to other entries.
///
/// The path is `/mirror/{index}?{after}`: the index of the mirror in [`MirrorKind::ALL`], and the
/// revision after which changes are wanted. Without a valid revision it is 0, that is, all items. The snapshot is
/// compressed if the request accepts that. The status is 503 if the link of this entry has no room for more.
pub(crate) async fn serve_peer(
    gateway: Arc<Gateway>,
    remote: SocketAddr,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let number = request.uri().path().strip_prefix("/mirror/");
    let number = number.and_then(|number| number.parse::<usize>().ok());
    let kind = number.and_then(|number| MirrorKind::ALL.get(number));
    let after = request.uri().query().and_then(|after| after.parse().ok());
    let after: u64 = after.unwrap_or_default();
    let mut builder = Response::builder();
    let (status, body) = match kind {
        Some(kind) if !gateway.may_serve_mirror(*kind) => {
            (StatusCode::SERVICE_UNAVAILABLE, Bytes::from("busy\n"))
        }
        Some(kind) => {
            let knows_gaps = request.headers().contains_key(GAPS_HEADER);
            let snapshot = {
                let mirror = gateway.lock_mirror(*kind);
                if knows_gaps {
                    mirror.get_snapshot(after)
                } else {
                    mirror.get_snapshot_without_gaps(after)
                }
            };
            let mut body = Bytes::from(encode(&snapshot));
            if accepts_compression(request.headers())
                && let Some(compressed) = gateway.compress_mirror(*kind, &body)
            {
                body = compressed;
                builder = builder.header(CONTENT_ENCODING, ENCODING);
            }
            gateway.record_served_mirror(*kind, snapshot.removals.is_none(), body.len());
            (StatusCode::OK, body)
        }
        None => (
            StatusCode::NOT_FOUND,
            Bytes::from("known paths: /mirror/0 to /mirror/2\n"),
        ),
    };
    if gateway.is_remote_entry(remote.ip()) {
        count_remote_bytes(RemoteTraffic::Mirrors, body.len());
    }
    let response = builder.status(status).body(full_body(body));
    response.expect("the parts are valid")
}

/// Returns whether the sender of a request can read a compressed response.
fn accepts_compression(headers: &HeaderMap) -> bool {
    let accepted = get_header_text(headers, ACCEPT_ENCODING.as_str()).unwrap_or_default();
    accepted.split(',').any(|name| name.trim() == ENCODING)
}
