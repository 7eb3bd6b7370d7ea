use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lentilcart_state::{MirrorSnapshot, rendezvous_rank};
use lentilcart_util::{Micros, Name};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::datagram::{Datagram, GatewayHeartbeat, encode};
use super::gateway::{Gateway, MirrorKind};
use super::permit_table::{grant_permit, record_reply, settle};
use crate::http::{HttpBody, empty, full};

/// Largest datagram that is read; more than any that is sent.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Time in which an entry's own watch, or an entry nearby, may bring what one further off knows.
const OWN_WATCH: Micros = Micros::from_millis(150);
/// Time in which another entry must hand over its mirror.
const FETCH_WAIT: Micros = Micros::from_millis(1000);

/// Sends beats to the other entries, at fixed times and whenever something has changed.
pub(crate) async fn send_heartbeats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
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
        send_heartbeat(&gateway, &socket).await;
    }
    // The last one says that this entry is leaving.
    send_heartbeat(&gateway, &socket).await;
}

/// Tells the entries of the own data centre, and all of them where this entry watches the store
/// for the others.
async fn send_heartbeat(gateway: &Gateway, socket: &UdpSocket) {
    let beat = gateway.get_heartbeat();
    let mut peers = if beat.watching {
        get_peers(gateway, usize::MAX)
    } else {
        get_peers(gateway, 0)
    };
    if gateway.members().iter().count() <= 1 {
        peers.extend(get_seeds(gateway));
    }
    send(socket, &Datagram::Heartbeat(beat), &peers).await;
}

/// Sends a datagram to some other entries.
pub(crate) async fn send(socket: &UdpSocket, gram: &Datagram, peers: &[SocketAddr]) {
    let bytes = gram.encode();
    for address in peers {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address; "datagram not sent: {error}");
        }
    }
}

/// Returns the other entries of the own data centre, and those of the others where they are no more
/// than `far`.
pub(crate) fn get_peers(gateway: &Gateway, far: usize) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let members = gateway.members();
    let rows = members.iter().map(|(_, row)| row);
    let others = rows.filter(|row| row.peer_address != settings.listen.peer);
    let (mut near, away): (Vec<_>, Vec<_>) =
        others.partition(|row| row.data_center == settings.data_center);
    if away.len() <= far {
        near.extend(away);
    }
    near.into_iter().map(|row| row.peer_address).collect()
}

fn get_seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let own = settings.listen.peer;
    let seeds = settings.peers.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Takes the datagrams of the other entries.
pub(crate) async fn receive_datagrams(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
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
        match Datagram::decode(&buffer[..length]) {
            Ok(Datagram::Heartbeat(beat)) => {
                record_heartbeat(&gateway, &beat);
                if is_behind(&gateway, &beat) {
                    let own = Datagram::Heartbeat(gateway.get_heartbeat());
                    send(&socket, &own, &[beat.peer]).await;
                }
            }
            Ok(Datagram::PermitRequest(ask)) => grant_permit(&gateway, remote, ask),
            Ok(Datagram::Release(id, outcome)) => settle(&gateway, remote, id, outcome),
            Ok(Datagram::LoadUpdates(news)) => {
                let view = gateway.get_routes();
                for row in news {
                    for desk in view.desks.values() {
                        desk.record_load(row.get_server(), row.get_load());
                    }
                }
            }
            Ok(gram) => record_reply(&gateway, remote, gram),
            Err(error) => log::warn!(remote:% = remote; "datagram ignored: {error}"),
        }
    }
}

/// Returns whether an entry knows nothing of what this one knows: it may not reach the store, and
/// has nobody else to ask.
fn is_behind(gateway: &Gateway, beat: &GatewayHeartbeat) -> bool {
    beat.number == 0 && gateway.get_routes().table.number > 0
}

fn record_heartbeat(gateway: &Arc<Gateway>, beat: &GatewayHeartbeat) {
    let now = gateway.clock.now();
    gateway.record_watcher(&beat.name, beat.watching);
    let is_new = {
        let mut members = gateway.members();
        let is_new = !members.is_live(&beat.name, now);
        members.upsert(&beat.name, &beat.data_center, beat.peer, beat.leaving);
        members.record_heartbeat(&beat.name, now, beat.number, beat.leaving);
        is_new
    };
    if is_new {
        log::info!(peer:% = beat.name, address:% = beat.peer; "peer heard");
    }
    for kind in MirrorKind::ALL {
        if beat.latest[kind as usize] > gateway.mirror(kind).get_revision() {
            let gateway = gateway.clone();
            let tasks = gateway.tasks.clone();
            let (peer, name, latest) = (beat.peer, beat.name.clone(), beat.latest[kind as usize]);
            tasks.spawn(async move { catch_up(&gateway, kind, peer, &name, latest).await });
        }
    }
}

/// Returns whether this entry fetches from another one at once: only one entry of a data centre
/// does so from afar, and the others from it.
fn is_fetcher(gateway: &Gateway, peer: SocketAddr) -> bool {
    let settings = gateway.settings.load();
    let now = gateway.clock.now();
    let members = gateway.members();
    let is_near = |name: &&Name| {
        let row = members.get(name);
        row.is_some_and(|row| row.data_center == settings.data_center)
    };
    let near: Vec<&Name> = members
        .get_serving(now)
        .into_iter()
        .filter(is_near)
        .collect();
    let is_peer_near = near.iter().any(|name| {
        members
            .get(name)
            .is_some_and(|row| row.peer_address == peer)
    });
    let first = rendezvous_rank("fetch", near.into_iter(), 1);
    is_peer_near || first.first().is_some_and(|name| **name == settings.name)
}

/// Fetches another entry's mirror where the own watch does not bring the same soon.
async fn catch_up(gateway: &Gateway, kind: MirrorKind, peer: SocketAddr, name: &Name, latest: u64) {
    // An entry that knows nothing yet has no watch to wait for.
    let own = gateway.mirror(kind).get_revision();
    if own > 0 && (gateway.is_watcher() || !is_fetcher(gateway, peer)) {
        tokio::time::sleep(OWN_WATCH.into()).await;
    }
    if gateway.mirror(kind).get_revision() >= latest {
        return;
    }
    let fetching = &gateway.fetching[kind as usize];
    if fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let fetched = tokio::time::timeout(FETCH_WAIT.into(), fetch(gateway, kind, peer)).await;
    fetching.store(false, Ordering::Relaxed);
    match fetched.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(snapshot) => {
            let revision = snapshot.revision;
            let changes = gateway.mirror(kind).merge(snapshot);
            log::info!(peer:% = name, kind:? = kind, own, revision, changes = changes.len(); "mirror taken from peer");
            gateway.apply_changes(kind, changes, true);
        }
        Err(reason) => log::info!(peer:% = name, kind:? = kind; "mirror not taken: {reason}"),
    }
}

async fn fetch(
    gateway: &Gateway,
    kind: MirrorKind,
    peer: SocketAddr,
) -> Result<MirrorSnapshot, String> {
    let after = gateway.mirror(kind).get_revision();
    let request = Request::get(format!("/mirror/{}?{after}", kind as usize))
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
    let kind = number.and_then(|number| MirrorKind::ALL.get(number));
    let after = request.uri().query().and_then(|after| after.parse().ok());
    let after: u64 = after.unwrap_or_default();
    let (status, body) = match kind {
        Some(kind) => (
            StatusCode::OK,
            encode(&gateway.mirror(*kind).get_snapshot(after)),
        ),
        None => (
            StatusCode::NOT_FOUND,
            b"known paths: /mirror/0 to /mirror/2\n".to_vec(),
        ),
    };
    let builder = Response::builder().status(status);
    builder.body(full(body)).expect("the parts are valid")
}
