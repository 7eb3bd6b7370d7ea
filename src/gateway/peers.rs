use std::net::SocketAddr;
use std::sync::Arc;

use lentilcart_state::AnnouncementBudget;
use lentilcart_util::Micros;
use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;

use super::account_limits::{handle_credit_ask, handle_credit_reply};
use super::catch_up::fetch_changes;
use super::datagram::{Datagram, GatewayHeartbeat};
use super::gateway::{Gateway, MirrorKind};
use super::permit_table::{handle_permit_request, record_owner_reply, release_permit};
use super::remote_bytes::{RemoteTraffic, count_remote_bytes};

/// Maximum size of a datagram that is read, in bytes; larger than any that is sent.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Largest number of entries found in an interval of the housekeeping that are logged one by one.
const MAX_PEER_LINES: usize = 4;
/// Interval at which a watcher's heartbeat goes to all entries if nothing has changed, the store has not confirmed the
/// routes to it, and another one watches too. Three watchers send each to all entries of other data centres.
const FULL_INTERVAL: Micros = Micros::from_millis(1100);

/// Sends heartbeats to the other entries, at a fixed interval and whenever one is due.
pub(crate) async fn send_heartbeats(gateway: Arc<Gateway>, socket: Arc<UdpSocket>) {
    let interval = gateway.settings.load().peers.heartbeat_interval;
    let mut timer = tokio::time::interval(interval.into());
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut changed = gateway.heartbeat_due.subscribe();
    let mut last_full: Option<(Micros, GatewayHeartbeat)> = None;
    let mut announced = None;
    let link = gateway.settings.load().limits.get_link_bytes();
    let mut budget = AnnouncementBudget::new(link, gateway.clock.now());
    loop {
        tokio::select! {
            () = gateway.stop.cancelled() => break,
            _ = timer.tick() => {}
            _ = changed.changed() => {}
        }
        changed.mark_unchanged();
        let heartbeat = gateway.get_heartbeat();
        let now = gateway.clock.now();
        let before = last_full.as_ref();
        let is_due = before
            .is_none_or(|(sent, before)| now - *sent >= FULL_INTERVAL || *before != heartbeat);
        let confirmed = gateway.get_own_confirmation();
        let is_urgent = before.is_none_or(|(_, before)| differs_urgently(before, &heartbeat))
            || confirmed > announced
            || !gateway.has_other_watcher();
        let is_full = (is_due || is_urgent) && budget.may_announce(now, is_urgent);
        if is_full {
            announced = confirmed;
            last_full = Some((now, heartbeat.clone()));
        }
        let bytes = send_heartbeat(&gateway, &socket, heartbeat, is_full).await;
        if is_full {
            budget.record(bytes);
        }
    }
    // The last heartbeat says that this entry is leaving.
    send_heartbeat(&gateway, &socket, gateway.get_heartbeat(), true).await;
}

/// Returns whether a heartbeat tells more than changes of servers and entries, which can wait for a part of a second.
fn differs_urgently(before: &GatewayHeartbeat, heartbeat: &GatewayHeartbeat) -> bool {
    let mut known = before.clone();
    for kind in [MirrorKind::Servers, MirrorKind::Hosts] {
        known.latest_revisions[kind as usize] = heartbeat.latest_revisions[kind as usize];
    }
    known != *heartbeat
}

/// Sends a heartbeat to the entries of this entry's data centre, or to all entries if this one watches
/// the store on their behalf and `is_full` is true; also to the other watchers, and to the seeds while no
/// other entry is known. A full heartbeat of a watcher says what its mirror of the servers holds, and each one how old
/// the knowledge of the routes is. Returns the number of bytes sent.
async fn send_heartbeat(
    gateway: &Gateway,
    socket: &UdpSocket,
    mut heartbeat: GatewayHeartbeat,
    is_full: bool,
) -> usize {
    if heartbeat.watching && is_full {
        let mirror = gateway.lock_mirror(MirrorKind::Servers);
        let content = (mirror.get_revision(), mirror.get_digest());
        let has_all = content.0 > 0 && mirror.is_settled();
        heartbeat.servers_content = has_all.then_some(content);
    }
    heartbeat.routes_age = gateway.get_routes_age();
    let mut peers = match heartbeat.watching {
        true if is_full => get_peers(gateway, usize::MAX),
        true => [get_peers(gateway, 0), gateway.get_remote_watchers()].concat(),
        false => get_peers(gateway, 0),
    };
    if gateway.lock_members().iter().count() <= 1 {
        peers.extend(get_seeds(gateway));
    }
    send_to_all(gateway, socket, &Datagram::Heartbeat(heartbeat), &peers).await
}

/// Sends a datagram to several entries, and returns the number of bytes; failures are logged only.
pub(crate) async fn send_to_all(
    gateway: &Gateway,
    socket: &UdpSocket,
    datagram: &Datagram,
    peers: &[SocketAddr],
) -> usize {
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
    bytes.len() * peers.len()
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
            gateway.record_behind(kind, latest);
            fetch_changes(gateway, kind, heartbeat, latest);
        }
    }
    let latest = heartbeat.latest_revisions[MirrorKind::Routes as usize];
    if let Some(age) = heartbeat.routes_age
        && latest <= gateway.lock_mirror(MirrorKind::Routes).get_revision()
    {
        gateway.record_relayed_age(age);
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
