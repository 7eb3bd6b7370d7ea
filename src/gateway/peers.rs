use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use hyper::StatusCode;
use hyper::header::HeaderValue;
use lentilcart_state::MirrorSnapshot;
use lentilcart_util::{Micros, Name};
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::account_limits::{handle_credit_ask, handle_credit_reply};
use super::datagram::{Datagram, GatewayHeartbeat};
use super::gateway::{Gateway, MirrorKind};
use super::mirror_server::GAPS_HEADER;
use super::permit_table::{handle_permit_request, record_owner_reply, release_permit};
use super::remote_bytes::{RemoteTraffic, count_remote_bytes};
use crate::http::{build_get, collect_body};

/// Maximum size of a datagram that is read, in bytes; larger than any that is sent.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Delay before a mirror is fetched from another entry, in which this entry's own watch, or an entry of
/// its data centre, may bring the same changes.
const CATCH_UP_DELAY: Micros = Micros::from_millis(150);
/// Largest snapshot of a mirror that is fetched, in bytes.
const MAX_MIRROR_BYTES: usize = 32 * 1024 * 1024;
/// Timeout for fetching the mirror of another entry.
const FETCH_TIMEOUT: Micros = Micros::from_millis(1000);

/// Largest number of entries found in an interval of the housekeeping that are logged one by one.
const MAX_PEER_LINES: usize = 4;
/// Interval at which a watcher's heartbeat goes to all entries if nothing has changed and another one watches
/// too: every second one. Three watchers send each to all entries of other data centres, 157 at deployment N.
const FULL_INTERVAL: Micros = Micros::from_millis(900);

/// Sends heartbeats to the other entries, at a fixed interval and whenever one is due.
pub(crate) async fn send_heartbeats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let interval = gateway.settings.load().peers.heartbeat_interval;
    let mut timer = tokio::time::interval(interval.into());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = gateway.heartbeat_due.subscribe();
    let mut last_full = None;
    loop {
        tokio::select! {
            () = gateway.stop.cancelled() => break,
            _ = timer.tick() => {}
            _ = changed.changed() => {}
        }
        changed.mark_unchanged();
        let heartbeat = gateway.get_heartbeat();
        let now = gateway.clock.now();
        let is_due = last_full
            .as_ref()
            .is_none_or(|(sent, before)| now - *sent >= FULL_INTERVAL || *before != heartbeat);
        let is_full = is_due || !gateway.has_other_watcher();
        if is_full {
            last_full = Some((now, heartbeat.clone()));
        }
        send_heartbeat(&gateway, &socket, heartbeat, is_full).await;
    }
    // The last heartbeat says that this entry is leaving.
    send_heartbeat(&gateway, &socket, gateway.get_heartbeat(), true).await;
}

/// Sends a heartbeat to the entries of this entry's data centre, or to all entries if this one watches
/// the store on their behalf and `is_full` is true; also to the other watchers, and to the seeds while no
/// other entry is known. A full heartbeat of a watcher says what its mirror of the servers holds.
async fn send_heartbeat(
    gateway: &Gateway,
    socket: &UdpSocket,
    mut heartbeat: GatewayHeartbeat,
    is_full: bool,
) {
    if heartbeat.watching && is_full {
        let mirror = gateway.lock_mirror(MirrorKind::Servers);
        let content = (mirror.get_revision(), mirror.get_digest());
        let has_all = content.0 > 0 && mirror.is_settled();
        heartbeat.servers_content = has_all.then_some(content);
        heartbeat.routes_age = gateway.get_routes_age();
    }
    let mut peers = match heartbeat.watching {
        true if is_full => get_peers(gateway, usize::MAX),
        true => [get_peers(gateway, 0), gateway.get_remote_watchers()].concat(),
        false => get_peers(gateway, 0),
    };
    if gateway.lock_members().iter().count() <= 1 {
        peers.extend(get_seeds(gateway));
    }
    send_to_all(gateway, socket, &Datagram::Heartbeat(heartbeat), &peers).await;
}

/// Sends a datagram to several entries; failures are logged only.
pub(crate) async fn send_to_all(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    peers: &[SocketAddr],
) {
    let bytes = datagram.encode();
    let traffic = match datagram {
        Datagram::LoadUpdates(_) => RemoteTraffic::LoadUpdates,
        _ => RemoteTraffic::Heartbeats,
    };
    for address in peers {
        if gateway.is_remote_entry(address.ip()) {
            count_remote_bytes(traffic, bytes.len());
        }
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address; "datagram not sent: {error}");
        }
    }
}

/// Returns the addresses of the other entries of this entry's data centre, and also those of all remote
/// entries if there are at most `max_remote` of them: 0 leaves them out, and `usize::MAX` includes them
/// always.
pub(crate) fn get_peers(gateway: &Gateway, max_remote: usize) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let members = gateway.lock_members();
    let peers = members.iter().map(|(_, member)| member);
    let others = peers.filter(|member| member.peer_address != settings.listen.peer);
    let (mut local, remote): (Vec<_>, Vec<_>) =
        others.partition(|member| member.data_center == settings.data_center);
    if remote.len() <= max_remote {
        local.extend(remote);
    }
    local
        .into_iter()
        .map(|member| member.peer_address)
        .collect()
}

/// Returns the addresses of the configured seeds, with the port of this entry's peer address.
fn get_seeds(gateway: &Gateway) -> Vec<SocketAddr> {
    let settings = gateway.settings.load();
    let own = settings.listen.peer;
    let seeds = settings.peers.seeds.iter();
    let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
    seeds.filter(|seed| *seed != own).collect()
}

/// Receives the datagrams of other entries and handles them.
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
            Ok(Datagram::Heartbeat(heartbeat)) => {
                record_heartbeat(&gateway, &heartbeat);
                if needs_routes(&gateway, &heartbeat) {
                    let own = Datagram::Heartbeat(gateway.get_heartbeat());
                    send_to_all(&gateway, &socket, &own, &[heartbeat.peer]).await;
                }
            }
            Ok(Datagram::PermitRequest(request)) => {
                handle_permit_request(&gateway, remote, request);
            }
            Ok(Datagram::CreditAsk(ask)) => handle_credit_ask(&gateway, remote, &ask),
            Ok(Datagram::CreditReply(reply)) => handle_credit_reply(&gateway, &reply),
            Ok(Datagram::Release(id, outcome)) => release_permit(&gateway, remote, id, outcome),
            Ok(Datagram::Notice(service, server, notice)) => {
                gateway.record_peer_notice(remote, &service, server, notice);
            }
            Ok(Datagram::LoadUpdates(updates)) => {
                let routes = gateway.get_active_routes();
                for update in updates {
                    for dispatcher in routes.dispatchers.values() {
                        dispatcher.record_load(update.get_server(), update.get_load());
                    }
                }
            }
            Ok(datagram) => record_owner_reply(&gateway, remote, datagram),
            Err(error) => log::warn!(remote:% = remote; "datagram ignored: {error}"),
        }
    }
}

/// Returns whether an entry has no routes while this one does: it may not reach the store, and may
/// know no other entry to fetch them from.
fn needs_routes(gateway: &Gateway, heartbeat: &GatewayHeartbeat) -> bool {
    heartbeat.routes_version == 0 && gateway.get_active_routes().table.version > 0
}

/// Records a heartbeat, and starts to catch up if its entry knows of later changes.
fn record_heartbeat(gateway: &Arc<Gateway>, heartbeat: &GatewayHeartbeat) {
    let now = gateway.clock.now();
    gateway.record_watcher(&heartbeat.name, heartbeat.watching);
    let was_down = {
        let mut members = gateway.lock_members();
        let was_down = !members.is_live(&heartbeat.name, now);
        members.upsert(
            &heartbeat.name,
            &heartbeat.data_center,
            heartbeat.peer,
            heartbeat.leaving,
        );
        members.record_heartbeat(
            &heartbeat.name,
            now,
            heartbeat.routes_version,
            heartbeat.leaving,
        );
        members.set_weight(&heartbeat.name, heartbeat.weight);
        members.set_overloaded(&heartbeat.name, heartbeat.overloaded);
        was_down
    };
    if was_down {
        let mut found = gateway.found_peers.lock().expect("no panic under lock");
        found.push((heartbeat.name.clone(), heartbeat.peer));
    }
    let latest_routes = heartbeat.latest_revisions[MirrorKind::Routes as usize];
    let routes_age = heartbeat.routes_age.filter(|_| heartbeat.watching);
    gateway.record_peer_routes(latest_routes, routes_age);
    for kind in MirrorKind::ALL {
        // The peer's latest change counts, not its revision, which also advances without changes under
        // the prefix. A mirror complete up to that change has all that the peer has.
        let mut latest = heartbeat.latest_revisions[kind as usize];
        // But the peer cannot count a removal that came before its first listing: then the contents
        // differ.
        if let (MirrorKind::Servers, Some((revision, digest))) = (kind, heartbeat.servers_content)
            && !gateway.lock_mirror(kind).compare(revision, digest)
        {
            latest = latest.max(revision);
        }
        let is_partial =
            kind == MirrorKind::Routes && gateway.is_partial_mirror(&heartbeat.name, now);
        if latest > gateway.lock_mirror(kind).get_revision() && !is_partial {
            let gateway = gateway.clone();
            let tasks = gateway.tasks.clone();
            let (peer, name) = (heartbeat.peer, heartbeat.name.clone());
            tasks.spawn(async move { catch_up(&gateway, kind, peer, &name, latest).await });
        }
    }
}

/// Logs the entries that have been found since the last call: one line for each, or one with their number if
/// they are many, as after a start.
pub(crate) fn log_found_peers(gateway: &Gateway) {
    let mut found = gateway.found_peers.lock().expect("no panic under lock");
    let found = std::mem::take(&mut *found);
    if found.len() > MAX_PEER_LINES {
        log::info!(peers = found.len(); "peers are up");
        return;
    }
    for (peer, address) in found {
        log::info!(peer:% = peer, address:% = address; "peer is up");
    }
}

/// Returns whether this entry fetches from `peer` at once: always if the peer is in its data centre,
/// and from a remote peer only if this entry is the one of its data centre chosen for that; the others
/// fetch from it.
fn is_immediate_fetcher(gateway: &Gateway, peer: SocketAddr) -> bool {
    let settings = gateway.settings.load();
    let now = gateway.clock.now();
    let members = gateway.lock_members();
    let is_local = |name: &&Name| {
        let member = members.get(name);
        member.is_some_and(|member| member.data_center == settings.data_center)
    };
    let local: Vec<&Name> = members
        .get_serving(now)
        .into_iter()
        .filter(is_local)
        .collect();
    let is_peer_local = local.iter().any(|name| {
        members
            .get(name)
            .is_some_and(|member| member.peer_address == peer)
    });
    let first = members.rank("fetch", local.into_iter(), 1);
    is_peer_local || first.first().is_some_and(|name| **name == settings.name)
}

/// Fetches the mirror of another entry unless this entry's mirror reaches revision `latest` meanwhile or
/// is being fetched already.
async fn catch_up(
    gateway: &Gateway,
    kind: MirrorKind,
    peer: SocketAddr,
    peer_name: &Name,
    latest: u64,
) {
    // An entry that has not listed the prefix yet has no watch to wait for.
    let own_revision = gateway.lock_mirror(kind).get_revision();
    if own_revision > 0 && (gateway.has_to_watch() || !is_immediate_fetcher(gateway, peer)) {
        tokio::time::sleep(CATCH_UP_DELAY.into()).await;
    }
    if gateway.lock_mirror(kind).get_revision() >= latest {
        return;
    }
    let fetching = &gateway.is_fetching[kind as usize];
    if fetching.swap(true, Ordering::Relaxed) {
        return;
    }
    let fetched =
        tokio::time::timeout(FETCH_TIMEOUT.into(), fetch_mirror(gateway, kind, peer)).await;
    fetching.store(false, Ordering::Relaxed);
    match fetched.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
        Ok(snapshot) => {
            let revision = snapshot.revision;
            let (changes, is_current) = {
                let mut mirror = gateway.lock_mirror(kind);
                let changes = mirror.merge(snapshot);
                (changes, mirror.get_revision() >= latest)
            };
            if kind == MirrorKind::Routes && !is_current {
                gateway.record_partial_mirror(peer_name);
            }
            log::info!(peer:% = peer_name, kind:? = kind, own = own_revision, revision, changes = changes.len(); "mirror fetched from peer");
            gateway.apply_changes(kind, changes, true);
        }
        Err(reason) => {
            if kind == MirrorKind::Routes {
                gateway.record_failed_routes_fetch();
            }
            log::info!(peer:% = peer_name, kind:? = kind; "fetch failed: {reason}");
        }
    }
}

/// Fetches the changes of another entry's mirror after the revision of this entry's mirror, or all
/// items if the other entry no longer remembers the removals since then.
async fn fetch_mirror(
    gateway: &Gateway,
    kind: MirrorKind,
    peer: SocketAddr,
) -> Result<MirrorSnapshot, String> {
    let after = gateway.lock_mirror(kind).get_revision();
    let mut request = build_get(peer, &format!("/mirror/{}?{after}", kind as usize))?;
    request
        .headers_mut()
        .insert(GAPS_HEADER, HeaderValue::from_static("1"));
    let received = gateway.peer_client.send(peer, request).await;
    let response = received.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let status = response.status();
    if status != StatusCode::OK {
        return Err(format!("status {status}"));
    }
    let body = collect_body(response.into_body(), MAX_MIRROR_BYTES).await?;
    ciborium::from_reader(&body[..]).map_err(|e| e.to_string())
}
