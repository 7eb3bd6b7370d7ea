//! Permits between entries: which entry chooses the server of a request.
//!
//! In each data centre one live entry, found by rendezvous hashing, is the owner of a service, and the
//! other entries request permits from it. An entry whose permit request is not answered chooses a
//! server by itself.
//!
//! The owner knows the attempts for which it granted a permit. It does not know hedges, nor the
//! attempts for which another entry chose the server itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_route::{AttemptOutcome, MAX_SEND_DELAY, PendingRequest, Rejection};
use lentilcart_util::{Map, Micros, Name};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::datagram::{Datagram, PermitRequest, ShedReply};
use super::gateway::Gateway;
use super::on_demand_probe::acquire_local_permit;
use super::warmup::count_held_back;
use crate::entry::{Dispatcher, Permit};

/// Timeout for any reply of an owner: long enough for several scheduling pauses of an owner whose host
/// has a quarter of a core.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Delay after which an owner tells the requester that its request is queued: less than
/// [`REPLY_TIMEOUT`], with room for the network latency.
const QUEUED_NOTICE_DELAY: Duration = Duration::from_millis(15);
/// Interval at which the permit request is sent again to an owner that has queued it, to confirm that
/// the owner still holds it.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which an owner that did not answer is suspected and gets no permit requests.
const SUSPICION_TIME: Micros = Micros::from_millis(500);
/// Time after the start in which entries that are listed and were not heard yet may be owners: three
/// heartbeats. Without it, each of many entries that start at a time takes itself for the owner of all
/// services until it hears of others.
const MEMBERSHIP_TIME: Micros = Micros::from_millis(1500);
/// Grace period after a request's deadline, at the end of which its permit is released if the requester
/// has not done so.
const RELEASE_GRACE: Micros = Micros::from_millis(1000);

/// A permit, or the owner's rejection.
type PermitResult = Result<PermitReply, Rejection>;

/// An owner's reply that grants a permit.
#[derive(Debug)]
struct PermitReply {
    address: SocketAddr,
    server_id: Name,
    hedge_after: Option<Micros>,
    /// Whether the owner knew that the server is cold.
    paced: bool,
    /// Time after which the owner granted the permit.
    granted_after: Micros,
}

/// The permit requests and permits that this entry exchanges with others.
#[derive(Debug, Default)]
pub(crate) struct PermitTable {
    /// Unanswered permit requests of this entry, by their identifier.
    unanswered: Map<u64, PendingPermit>,
    /// Permit requests of other entries, queued or granted, by the requester's address and its
    /// identifier of the permit request.
    peer_requests: Map<(SocketAddr, u64), PeerRequest>,
    /// Owners that did not answer this entry lately, and when each gets permit requests again.
    suspected: Map<SocketAddr, Micros>,
}

/// A permit request to an owner that has not been answered.
#[derive(Debug)]
struct PendingPermit {
    reply: oneshot::Sender<PermitResult>,
    /// Whether the owner has reported the request as queued since that was last checked.
    queued: bool,
    /// When the first permit request was sent, and when the last one.
    asked: (Micros, Micros),
    /// Number of permit requests sent that the owner has not yet reported as queued.
    unconfirmed: u32,
}

impl PendingPermit {
    /// Returns a time before which the owner did not grant the permit: the last permit request was sent then,
    /// if the owner had queued the request when it arrived there. Otherwise it may be as old as the first one.
    fn get_grant_bound(&self) -> Micros {
        match self.unconfirmed {
            0 => self.asked.1,
            _ => self.asked.0,
        }
    }
}

/// A permit request of another entry, queued or granted.
#[derive(Debug)]
struct PeerRequest {
    /// The permit, once a server has been chosen.
    permit: Option<Permit>,
    /// Cancels the wait for a server.
    cancel: CancellationToken,
    /// When the request is removed, and its permit released, if no release has arrived.
    expires_at: Micros,
}

/// On drop, withdraws a permit request unless it has been answered.
struct WithdrawGuard<'a> {
    gateway: &'a Gateway,
    owner: SocketAddr,
    id: u64,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        let open = self.gateway.lock_permits().unanswered.remove(&self.id);
        if open.is_some() {
            let release = Datagram::Release(self.id, AttemptOutcome::Cancelled);
            self.gateway.send_datagram(&release, self.owner);
        }
    }
}

/// Gets a permit for a request from the owner of its service. This entry's own dispatcher decides if
/// this entry is the owner or owner dispatch is off, if no server wants requests from this entry, or if the
/// owner does not answer or grants a permit for a server that is not serving or wants none.
///
/// # Errors
///
/// Returns the rejection of the owner or of this entry's dispatcher.
pub(crate) async fn acquire_permit(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: PermitRequest,
) -> Result<Permit, Rejection> {
    let own_address = gateway.settings.load().listen.peer;
    let pool_request = to_pool_request(own_address, &request, gateway.clock.now());
    // Where this entry may use none of the servers that it knows, no owner can help.
    let may_ask = request.excluded.is_empty()
        || dispatcher
            .read_pool(|pool| pool.has_wanting_server(dispatcher.get_now(), &pool_request));
    if may_ask
        && let Some(owner) = get_owner(gateway, &dispatcher.service)
        && let Some(reply) = request_permit(gateway, owner, &request).await
    {
        let permit =
            reply.map(|reply| permit_from_reply(gateway, dispatcher, owner, &request, reply))?;
        let is_held_off = dispatcher.is_held_off(permit.address, own_address);
        // Owners of an earlier version do not exclude another instance at the same address.
        let is_excluded = request.excluded.contains(&permit.address);
        // The owner may not know yet that the server is cold, or its permit may be late.
        let is_within_warmup = gateway.is_within_warmup(dispatcher, &permit);
        if is_serving(gateway, &permit.server_id)
            && !is_held_off
            && !is_excluded
            && is_within_warmup
        {
            return Ok(permit);
        }
        let is_evacuated = dispatcher.is_evacuated(permit.address);
        if !is_within_warmup {
            count_held_back(dispatcher);
        }
        log::info!(owner:% = owner, server:% = permit.server_id, is_held_off, is_excluded, is_evacuated, is_within_warmup; "server of the granted permit is not serving");
        permit.release(AttemptOutcome::Cancelled);
    }
    let pool_request = PendingRequest {
        max_outstanding: get_share(gateway, dispatcher),
        ..pool_request
    };
    acquire_local_permit(gateway, dispatcher, pool_request).await
}

/// Returns the largest number of attempts that this entry may have outstanding at the servers that it chooses
/// itself: no limit for the owner of the service, or without owners; else its share of the slots, since
/// the owner that does not answer may still grant permits, and others choose for themselves as well.
fn get_share(gateway: &Gateway, dispatcher: &Dispatcher) -> Option<u32> {
    // An owner that did not answer is suspected now: the next in rank has taken over.
    get_owner(gateway, &dispatcher.service)?;
    let data_center = gateway.settings.load().data_center.clone();
    let entries = gateway.lock_members().get_count(&data_center);
    metrics::counter!("lentilcart_requests_without_owner_total").increment(1);
    Some(dispatcher.read_pool(|pool| pool.get_slot_share(entries)))
}

/// Returns whether this entry knows a server, and neither as leaving nor as evacuated. It is checked after a
/// grant because an owner that is cut off from the store learns later than this entry that a server leaves
/// or is evacuated, and after a probe of the server.
pub(crate) fn is_serving(gateway: &Gateway, server: &Name) -> bool {
    let directory = gateway.lock_directory();
    directory
        .get(server)
        .is_some_and(|server| !server.leaving && !gateway.is_evacuated(&server.data_center))
}

/// Returns the address of a service's owner, or `None` if this entry chooses servers itself.
pub(crate) fn get_owner(gateway: &Gateway, service: &Name) -> Option<SocketAddr> {
    let settings = gateway.settings.load();
    if !settings.servers.owner_dispatch {
        return None;
    }
    let now = gateway.clock.now();
    let members = gateway.lock_members();
    let permits = gateway.lock_permits();
    let is_trusted = |name: &&Name| {
        let member = members.get(name);
        member.is_some_and(|member| {
            let suspected_until = permits.suspected.get(&member.peer_address);
            suspected_until.is_none_or(|until| *until <= now)
        })
    };
    let is_starting = now < MEMBERSHIP_TIME;
    let candidates = members.get_candidates(&settings.data_center, is_starting, now);
    // Each entry suspects owners by itself; those that suspect an owner agree on the next one.
    let ranked = members.rank(service, candidates.into_iter().filter(is_trusted), 1);
    let address = members.get(ranked.first()?)?.peer_address;
    (address != settings.listen.peer).then_some(address)
}

/// Requests a permit from another entry and waits for its reply.
///
/// Returns `None` if the owner does not answer; it is suspected from then on.
async fn request_permit(
    gateway: &Gateway,
    owner: SocketAddr,
    request: &PermitRequest,
) -> Option<PermitResult> {
    let id = request.id;
    let (reply, mut received) = oneshot::channel();
    let pending = PendingPermit {
        reply,
        queued: false,
        asked: (gateway.clock.now(), gateway.clock.now()),
        unconfirmed: 1,
    };
    gateway.lock_permits().unanswered.insert(id, pending);
    let guard = WithdrawGuard { gateway, owner, id };
    gateway.send_datagram(&Datagram::PermitRequest(request.clone()), owner);
    let mut result = timeout(REPLY_TIMEOUT, &mut received).await;
    while result.is_err() && take_queued_notice(gateway, id) {
        result = timeout(QUEUE_CHECK_INTERVAL, &mut received).await;
        if result.is_err() {
            record_repeated_request(gateway, id);
            gateway.send_datagram(&Datagram::PermitRequest(request.clone()), owner);
            result = timeout(REPLY_TIMEOUT, &mut received).await;
        }
    }
    drop(guard);
    if result.is_err() {
        let until = gateway.clock.now() + SUSPICION_TIME;
        gateway.lock_permits().suspected.insert(owner, until);
        log::info!(owner:% = owner, id; "owner does not answer");
        metrics::counter!("lentilcart_desk_silent_total").increment(1);
    }
    result.ok()?.ok()
}

/// Records that a permit request is about to be sent again.
fn record_repeated_request(gateway: &Gateway, id: u64) {
    let now = gateway.clock.now();
    if let Some(pending) = gateway.lock_permits().unanswered.get_mut(&id) {
        pending.asked.1 = now;
        pending.unconfirmed += 1;
    }
}

/// Returns whether the owner has reported a request as queued since the last call, and resets that.
fn take_queued_notice(gateway: &Gateway, id: u64) -> bool {
    let mut permits = gateway.lock_permits();
    let pending = permits.unanswered.get_mut(&id);
    pending.is_some_and(|pending| std::mem::take(&mut pending.queued))
}

/// Creates a permit from an owner's reply; its release is sent to the owner.
fn permit_from_reply(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    owner: SocketAddr,
    request: &PermitRequest,
    reply: PermitReply,
) -> Permit {
    let (shared, dispatcher) = (gateway.clone(), dispatcher.clone());
    let (id, latency_objective) = (request.id, get_latency_objective(request));
    let started = gateway.clock.now();
    let send_limit = reply.paced.then_some(reply.granted_after + MAX_SEND_DELAY);
    Permit::with_callback(
        reply.address,
        reply.server_id,
        reply.hedge_after,
        move |outcome| {
            let elapsed = shared.clock.now() - started;
            dispatcher.update_pool(|pool, now| {
                pool.record_permit_outcome(now, elapsed, latency_objective, &outcome);
            });
            shared.send_datagram(&Datagram::Release(id, outcome), owner);
        },
    )
    .with_send_limit(send_limit)
}

/// Converts a permit request, whose times are relative, into a request of a dispatcher's pool.
/// `sender` is the peer address of the entry that sends it to the server.
pub(crate) fn to_pool_request(
    sender: SocketAddr,
    request: &PermitRequest,
    now: Micros,
) -> PendingRequest {
    PendingRequest {
        id: request.id,
        priority: request.priority,
        at_most_once: request.at_most_once,
        arrived: now - request.age,
        deadline: now + request.remaining,
        objective: now + request.until_objective,
        latency_objective: get_latency_objective(request),
        origin: None,
        sender: Some(sender),
        excluded: request.excluded.clone(),
        max_outstanding: None,
        account: request.account.clone(),
        weight: request.weight,
    }
}

/// Returns the latency objective of a permit request, or `None` if its sender did not state it.
fn get_latency_objective(request: &PermitRequest) -> Option<Micros> {
    let objective = request.latency_objective;
    (objective > Micros::ZERO).then_some(objective)
}

/// Grants or rejects the permit request of another entry, or queues it and replies later.
///
/// The reply to a permit request that was received before is the current state of its permit.
pub(crate) fn handle_permit_request(
    gateway: &Arc<Gateway>,
    requester: SocketAddr,
    request: PermitRequest,
) {
    let repeated = {
        let permits = gateway.lock_permits();
        let peer_request = permits.peer_requests.get(&(requester, request.id));
        peer_request.map(|peer_request| match &peer_request.permit {
            Some(permit) => new_grant(request.id, permit),
            None => Datagram::Queued(request.id),
        })
    };
    if let Some(reply) = repeated {
        gateway.send_datagram(&reply, requester);
        return;
    }
    let Some(dispatcher) = gateway
        .get_active_routes()
        .dispatchers
        .get(&request.service)
        .cloned()
    else {
        let id = request.id;
        gateway.send_datagram(
            &Datagram::Deny {
                id,
                no_server: true,
                shed: None,
            },
            requester,
        );
        return;
    };
    let (gateway, tasks) = (gateway.clone(), gateway.tasks.clone());
    tasks.spawn(async move {
        let (id, now) = (request.id, gateway.clock.now());
        let cancel = CancellationToken::new();
        let peer_request = PeerRequest {
            permit: None,
            cancel: cancel.clone(),
            expires_at: now + request.remaining + RELEASE_GRACE,
        };
        gateway
            .lock_permits()
            .peer_requests
            .insert((requester, id), peer_request);
        // Identifiers are unique within an entry only, so the requester's may equal one of this entry.
        let pool_request = PendingRequest {
            id: gateway.next_attempt_id(),
            ..to_pool_request(requester, &request, now)
        };
        let mut acquired = Box::pin(acquire_local_permit(&gateway, &dispatcher, pool_request));
        let early = timeout(QUEUED_NOTICE_DELAY, &mut acquired).await;
        let acquired = if let Ok(acquired) = early {
            acquired
        } else {
            gateway.send_datagram(&Datagram::Queued(id), requester);
            tokio::select! {
                () = cancel.cancelled() => return,
                acquired = acquired => acquired,
            }
        };
        let reply = match &acquired {
            Ok(permit) => new_grant(id, permit),
            Err(rejection) => Datagram::Deny {
                id,
                no_server: *rejection == Rejection::NoServer,
                shed: ShedReply::from_rejection(*rejection),
            },
        };
        {
            let mut permits = gateway.lock_permits();
            match (acquired, permits.peer_requests.get_mut(&(requester, id))) {
                (Ok(permit), Some(peer_request)) => peer_request.permit = Some(permit),
                _ => {
                    permits.peer_requests.remove(&(requester, id));
                }
            }
        }
        gateway.send_datagram(&reply, requester);
    });
}

/// Creates the datagram that grants a permit.
fn new_grant(id: u64, permit: &Permit) -> Datagram {
    Datagram::Grant {
        id,
        address: permit.address,
        server_id: permit.server_id.clone(),
        hedge_after: permit.hedge_after,
        paced: permit.get_send_limit().is_some(),
    }
}

/// Records an owner's reply to a permit request of this entry. A permit that nobody waits for any more
/// is released at once.
pub(crate) fn record_owner_reply(gateway: &Gateway, owner: SocketAddr, datagram: Datagram) {
    let (id, reply) = match datagram {
        Datagram::Queued(id) => {
            if let Some(pending) = gateway.lock_permits().unanswered.get_mut(&id) {
                pending.queued = true;
                pending.unconfirmed = pending.unconfirmed.saturating_sub(1);
            }
            return;
        }
        Datagram::Grant {
            id,
            address,
            server_id,
            hedge_after,
            paced,
        } => {
            let reply = PermitReply {
                address,
                server_id,
                hedge_after,
                paced,
                // Known where the reply is delivered.
                granted_after: Micros::ZERO,
            };
            (id, Ok(reply))
        }
        Datagram::Deny {
            id,
            no_server: true,
            ..
        } => (id, Err(Rejection::NoServer)),
        Datagram::Deny { id, shed, .. } => {
            let rejection = shed.map_or(Rejection::Overload, ShedReply::to_rejection);
            (id, Err(rejection))
        }
        _ => return,
    };
    let is_grant = reply.is_ok();
    let pending = gateway.lock_permits().unanswered.remove(&id);
    let is_delivered = pending.is_some_and(|pending| {
        let granted_after = pending.get_grant_bound();
        let reply = reply.map(|reply| PermitReply {
            granted_after,
            ..reply
        });
        pending.reply.send(reply).is_ok()
    });
    if is_grant && !is_delivered {
        gateway.send_datagram(&Datagram::Release(id, AttemptOutcome::Cancelled), owner);
    }
}

/// Releases the permit of another entry with the outcome of its attempt, or withdraws its permit
/// request.
pub(crate) fn release_permit(
    gateway: &Gateway,
    requester: SocketAddr,
    id: u64,
    outcome: AttemptOutcome,
) {
    let peer_request = gateway
        .lock_permits()
        .peer_requests
        .remove(&(requester, id));
    if let Some(peer_request) = peer_request {
        peer_request.cancel.cancel();
        if let Some(permit) = peer_request.permit {
            let server = permit.server_id.clone();
            permit.release(outcome);
            if outcome.get_notice().leaving {
                gateway.record_server_leaving(&server);
            }
        }
    }
}

/// Removes the permit requests of other entries, queued or granted, whose release has not arrived
/// within the grace period after their deadlines. Their permits are released. Also forgets suspicions
/// that have ended.
pub(crate) fn release_expired(gateway: &Gateway) {
    let now = gateway.clock.now();
    let expired: Vec<PeerRequest> = {
        let mut permits = gateway.lock_permits();
        permits.suspected.retain(|_, until| *until > now);
        let due = permits
            .peer_requests
            .iter()
            .filter(|(_, peer_request)| peer_request.expires_at <= now);
        let due: Vec<(SocketAddr, u64)> = due.map(|(key, _)| *key).collect();
        due.iter()
            .filter_map(|key| permits.peer_requests.remove(key))
            .collect()
    };
    if !expired.is_empty() {
        log::info!(count = expired.len(); "expired permit requests removed");
    }
    // Dropping a permit updates its pool, which must happen outside the lock.
    drop(expired);
}
