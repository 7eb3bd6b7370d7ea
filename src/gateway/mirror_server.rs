use std::net::SocketAddr;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::datagram::encode;
use super::gateway::{Gateway, MirrorKind};
use super::remote_bytes::{RemoteTraffic, count_remote_bytes};
use crate::http::{HttpBody, full_body};

/// Header of requests for a mirror from entries that know of gaps in its removals.
pub(crate) const GAPS_HEADER: &str = "lentilcart-gaps";

/// Snapshots of mirrors that this entry has served since they were last logged.
#[derive(Debug, Default)]
pub(crate) struct ServedMirrors {
    /// Snapshots of changes only.
    changes: usize,
    /// Snapshots of all items.
    complete: usize,
    bytes: usize,
}

impl Gateway {
    /// Logs the snapshots that were served since the last call, if there were any.
    pub(crate) fn log_served_mirrors(&self) {
        let served = std::mem::take(&mut *self.served_mirrors.lock().expect("no panic under lock"));
        if served.bytes > 0 {
            log::info!(changes = served.changes, complete = served.complete, bytes = served.bytes; "mirrors served");
        }
    }

    fn record_served_mirror(&self, kind: MirrorKind, is_complete: bool, bytes: usize) {
        let content = if is_complete { "complete" } else { "changes" };
        metrics::counter!(
            "lentilcart_mirror_served_bytes_total",
            "mirror" => kind.as_str(), "content" => content
        )
        .increment(bytes as u64);
        let mut served = self.served_mirrors.lock().expect("no panic under lock");
        served.changes += usize::from(!is_complete);
        served.complete += usize::from(is_complete);
        served.bytes += bytes;
    }
}

/// Serves snapshots of this entry's mirrors to other entries.
///
/// The path is `/mirror/{index}?{after}`: the index of the mirror in [`MirrorKind::ALL`], and the
/// revision after which changes are wanted. Without a valid revision it is 0, that is, all items.
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
    let (status, body) = match kind {
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
            let body = encode(&snapshot);
            gateway.record_served_mirror(*kind, snapshot.removals.is_none(), body.len());
            (StatusCode::OK, body)
        }
        None => (
            StatusCode::NOT_FOUND,
            b"known paths: /mirror/0 to /mirror/2\n".to_vec(),
        ),
    };
    if gateway.is_remote_entry(remote.ip()) {
        count_remote_bytes(RemoteTraffic::Mirrors, body.len());
    }
    let builder = Response::builder().status(status);
    builder.body(full_body(body)).expect("the parts are valid")
}
