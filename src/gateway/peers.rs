use std::net::SocketAddr;
use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_state::Snapshot;
use lentilcart_util::{Micros, Name};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::beat::{Beat, Gram, encode};
use super::gateway::{Gateway, Kind};
use crate::http::{HttpBody, empty, full};

/// Largest datagram that is read; more than any that is sent.
const GRAM_BYTES: usize = 64 * 1024;
/// Time that an entry's own watch has to bring what another entry knows already.
const OWN_WATCH: Micros = Micros::from_millis(150);
/// Time in which another entry must hand over its mirror.
const FETCH_WAIT: Micros = Micros::from_millis(1000);

/// Sends beats to the other entries, at fixed times and whenever something has changed.
pub(crate) async fn send_beats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let beat = gateway.settings.load().peers.beat;
    let mut timer = tokio::time::interval(beat.into());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = gateway.changed.subscribe();
    loop {
        tokio::select! {
            () = gateway.stop.cancelled() => break,
            _ = timer.tick() => {}
            _ = changed.changed() => {}
        }
        changed.mark_unchanged();
        send(&gateway, &socket, &Gram::Beat(gateway.get_beat())).await;
    }
    // The last one says that this entry is leaving.
    send(&gateway, &socket, &Gram::Beat(gateway.get_beat())).await;
}

/// Sends a datagram to every other entry.
pub(crate) async fn send(gateway: &Gateway, socket: &UdpSocket, gram: &Gram) {
    let bytes = gram.encode();
    for address in get_peers(gateway) {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address; "datagram not sent: {error}");
        }
    }
}

fn get_peers(gateway: &Gateway) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let own = settings.listen.peer;
    let seeds = settings.peers.seeds.iter();
    let mut peers: Vec<SocketAddr> = seeds
        .map(|seed| SocketAddr::new(seed.ip(), own.port()))
        .collect();
    peers.extend(gateway.members().iter().map(|(_, row)| row.peer));
    peers.sort_unstable();
    peers.dedup();
    peers.retain(|peer| *peer != own);
    peers
}

/// Takes the datagrams of the other entries.
pub(crate) async fn take_grams(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; GRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = gateway.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => received,
        };
        let (length, remote) = match received {
            Ok(received) => received,
            Err(error) => {
                log::debug!("datagram not received: {error}");
                continue;
            }
        };
        match Gram::decode(&buffer[..length]) {
            Ok(Gram::Beat(beat)) => take_beat(&gateway, &beat),
            Ok(Gram::Loads(news)) => {
                let view = gateway.get_view();
                for row in news {
                    for desk in view.desks.values() {
                        desk.report(row.get_server(), row.get_load());
                    }
                }
            }
            Err(error) => log::warn!(remote:% = remote; "datagram ignored: {error}"),
        }
    }
}

fn take_beat(gateway: &Arc<Gateway>, beat: &Beat) {
    let now = gateway.clock.now();
    let is_new = {
        let mut members = gateway.members();
        let is_new = !members.is_live(&beat.name, now);
        members.list(&beat.name, &beat.data_center, beat.peer, beat.leaving);
        members.hear(&beat.name, now, beat.number, beat.leaving);
        is_new
    };
    if is_new {
        log::info!(peer:% = beat.name, address:% = beat.peer; "peer heard");
    }
    for kind in Kind::ALL {
        if beat.latest[kind as usize] > gateway.mirror(kind).get_revision() {
            let gateway = gateway.clone();
            let tasks = gateway.tasks.clone();
            let (peer, name, latest) = (beat.peer, beat.name.clone(), beat.latest[kind as usize]);
            tasks.spawn(async move { catch_up(&gateway, kind, peer, &name, latest).await });
        }
    }
}

/// Fetches another entry's mirror where the own watch does not bring the same soon.
async fn catch_up(gateway: &Gateway, kind: Kind, peer: SocketAddr, name: &Name, latest: u64) {
    // An entry that knows nothing yet has no watch to wait for.
    let own = gateway.mirror(kind).get_revision();
    if own > 0 {
        tokio::time::sleep(OWN_WATCH.into()).await;
    }
    if gateway.mirror(kind).get_revision() >= latest {
        return;
    }
    let fetched = tokio::time::timeout(FETCH_WAIT.into(), fetch(gateway, kind, peer)).await;
    match fetched.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(snapshot) => {
            let revision = snapshot.revision;
            let changes = gateway.mirror(kind).merge(snapshot);
            log::info!(peer:% = name, kind:? = kind, own, revision, changes = changes.len(); "mirror taken from peer");
            gateway.take_changes(kind, changes, true);
        }
        Err(reason) => log::info!(peer:% = name, kind:? = kind; "mirror not taken: {reason}"),
    }
}

async fn fetch(gateway: &Gateway, kind: Kind, peer: SocketAddr) -> Result<Snapshot, String> {
    let request = Request::get(format!("/mirror/{}", kind as usize))
        .header("host", peer.to_string())
        .body(empty())
        .map_err(|e| e.to_string())?;
    let reply = gateway.peering.send(peer, request).await;
    let answer = reply.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let status = answer.status();
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let body = answer.into_body().collect().await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    ciborium::from_reader(&body[..]).map_err(|e| e.to_string())
}

/// Hands this entry's mirrors to another entry.
pub(crate) async fn serve_peer(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let number = request.uri().path().strip_prefix("/mirror/");
    let number = number.and_then(|number| number.parse::<usize>().ok());
    let kind = number.and_then(|number| Kind::ALL.get(number));
    let (status, body) = match kind {
        Some(kind) => (
            StatusCode::OK,
            encode(&gateway.mirror(*kind).get_snapshot()),
        ),
        None => (
            StatusCode::NOT_FOUND,
            b"known paths: /mirror/0 to /mirror/2\n".to_vec(),
        ),
    };
    let builder = Response::builder().status(status);
    builder.body(full(body)).expect("the parts are valid")
}
