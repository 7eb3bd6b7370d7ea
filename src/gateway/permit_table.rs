//! Which entry gives a request its server.
//!
//! In each data centre one live entry holds the dispatcher of a service: it knows every request under way
//! from there, and the others ask it. An entry whose question is not answered decides by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_route::{AttemptOutcome, PendingRequest, Rejection};
use lentilcart_state::rendezvous_rank;
use lentilcart_util::{Map, Micros, Name};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::datagram::{Datagram, PermitRequest};
use super::gateway::Gateway;
use super::on_demand_probe::acquire_local;
use crate::entry::{Dispatcher, Permit};

/// Time in which a dispatcher must say anything: some pauses of a host that has a quarter of a core.
const REPLY_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which a dispatcher says that a request waits: within `REPLY_TIMEOUT`, with room for the way.
const QUEUED_NOTICE_DELAY: Duration = Duration::from_millis(15);
/// Time after which a dispatcher that has a request in its queue is asked whether it still has it.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which a dispatcher that did not answer is not asked.
const SUSPICION_TIME: Micros = Micros::from_millis(500);
/// Time after a request's deadline at which its server counts as free, if nobody has said so.
const RELEASE_GRACE: Micros = Micros::from_millis(1000);

type PermitResult = Result<PermitReply, Rejection>;

/// A server that another entry granted.
#[derive(Debug)]
struct PermitReply {
    address: SocketAddr,
    instance: Name,
    hedge_after: Option<Micros>,
}

/// Questions under way, and servers granted to other entries.
#[derive(Debug, Default)]
pub(crate) struct PermitTable {
    pending: Map<u64, PendingPermit>,
    granted: Map<(SocketAddr, u64), GrantedPermit>,
    suspected: Map<SocketAddr, Micros>,
}

#[derive(Debug)]
struct PendingPermit {
    reply: oneshot::Sender<PermitResult>,
    queued: bool,
}

/// What another entry has of this one.
#[derive(Debug)]
struct GrantedPermit {
    /// The server, once there is one.
    permit: Option<Permit>,
    cancel: CancellationToken,
    expires: Micros,
}

/// Withdraws a question that nobody waits for any more.
struct PendingGuard<'a> {
    gateway: &'a Gateway,
    owner: SocketAddr,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let open = self.gateway.lock_permits().pending.remove(&self.id);
        if open.is_some() {
            let release = Datagram::Release(self.id, AttemptOutcome::Cancelled);
            self.gateway.send_datagram(&release, self.owner);
        }
    }
}

/// Gets a server for a request from the dispatcher of its service.
pub(crate) async fn acquire(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    request: PermitRequest,
) -> Result<Permit, Rejection> {
    if let Some(owner) = get_owner(gateway, &dispatcher.service)
        && let Some(reply) = request_permit(gateway, owner, &request).await
    {
        let permit =
            reply.map(|reply| permit_from_reply(gateway, dispatcher, owner, request.id, reply))?;
        if is_serving(gateway, &permit.id) {
            return Ok(permit);
        }
        log::info!(owner:% = owner, server:% = permit.id; "granted server is not in use");
        permit.release(AttemptOutcome::Cancelled);
    }
    let now = gateway.clock.now();
    acquire_local(
        gateway,
        dispatcher,
        get_pending_request(dispatcher, &request, now),
    )
    .await
}

/// Returns whether a server may get new work by what this entry knows: a dispatcher that is cut off from the
/// store hears later of servers that leave.
fn is_serving(gateway: &Gateway, server: &Name) -> bool {
    let directory = gateway.lock_directory();
    directory.get(server).is_some_and(|server| !server.leaving)
}

/// Returns the entry to ask, or `None` where this one decides.
pub(crate) fn get_owner(gateway: &Gateway, service: &Name) -> Option<SocketAddr> {
    let settings = gateway.settings.load();
    if !settings.servers.desks {
        return None;
    }
    let now = gateway.clock.now();
    let members = gateway.lock_members();
    let permits = gateway.lock_permits();
    let is_candidate = |name: &&Name| {
        let member = members.get(name);
        member.is_some_and(|member| {
            let suspected_until = permits.suspected.get(&member.peer_address);
            let is_suspected = suspected_until.is_some_and(|until| *until > now);
            member.data_center == settings.data_center && !is_suspected
        })
    };
    // While one is silent, all go to the same next one.
    let live = members.get_serving(now).into_iter().filter(is_candidate);
    let ranked = rendezvous_rank(service, live, 1);
    let address = members.get(ranked.first()?)?.peer_address;
    (address != settings.listen.peer).then_some(address)
}

/// Asks another entry for a server; returns `None` where it does not answer.
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
    };
    gateway.lock_permits().pending.insert(id, pending);
    let guard = PendingGuard { gateway, owner, id };
    gateway.send_datagram(&Datagram::PermitRequest(request.clone()), owner);
    let mut result = timeout(REPLY_TIMEOUT, &mut received).await;
    while result.is_err() && take_queued_notice(gateway, id) {
        result = timeout(QUEUE_CHECK_INTERVAL, &mut received).await;
        if result.is_err() {
            gateway.send_datagram(&Datagram::PermitRequest(request.clone()), owner);
            result = timeout(REPLY_TIMEOUT, &mut received).await;
        }
    }
    drop(guard);
    if result.is_err() {
        let until = gateway.clock.now() + SUSPICION_TIME;
        gateway.lock_permits().suspected.insert(owner, until);
        log::info!(owner:% = owner, id; "desk does not answer");
        metrics::counter!("lentilcart_desk_silent_total").increment(1);
    }
    result.ok()?.ok()
}

/// Returns whether the dispatcher has said that a request waits, since this was asked last.
fn take_queued_notice(gateway: &Gateway, id: u64) -> bool {
    let mut permits = gateway.lock_permits();
    let pending = permits.pending.get_mut(&id);
    pending.is_some_and(|pending| std::mem::take(&mut pending.queued))
}

fn permit_from_reply(
    gateway: &Arc<Gateway>,
    dispatcher: &Arc<Dispatcher>,
    owner: SocketAddr,
    id: u64,
    reply: PermitReply,
) -> Permit {
    let (shared, dispatcher) = (gateway.clone(), dispatcher.clone());
    let started = gateway.clock.now();
    Permit::with_callback(
        reply.address,
        reply.instance,
        reply.hedge_after,
        move |outcome| {
            let elapsed = shared.clock.now() - started;
            dispatcher.with_pool(|pool, now| pool.record_permit_outcome(now, elapsed, &outcome));
            shared.send_datagram(&Datagram::Release(id, outcome), owner);
        },
    )
}

pub(crate) fn get_pending_request(
    dispatcher: &Dispatcher,
    request: &PermitRequest,
    now: Micros,
) -> PendingRequest {
    let excluded = dispatcher.read_pool(|pool| {
        request
            .excluded
            .iter()
            .filter_map(|at| pool.get_server_index(*at))
            .collect()
    });
    PendingRequest {
        id: request.id,
        priority: request.priority,
        at_most_once: request.at_most_once,
        arrived: now - request.age,
        deadline: now + request.remaining,
        objective: now + request.until_objective,
        origin: None,
        excluded,
    }
}

/// Answers another entry's question for a server, or one that is asked again.
pub(crate) fn grant_permit(gateway: &Arc<Gateway>, requester: SocketAddr, request: PermitRequest) {
    let repeated = {
        let permits = gateway.lock_permits();
        let granted = permits.granted.get(&(requester, request.id));
        granted.map(|granted| match &granted.permit {
            Some(permit) => new_grant(request.id, permit),
            None => Datagram::Queued(request.id),
        })
    };
    if let Some(answer) = repeated {
        gateway.send_datagram(&answer, requester);
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
            },
            requester,
        );
        return;
    };
    let (gateway, tasks) = (gateway.clone(), gateway.tasks.clone());
    tasks.spawn(async move {
        let (id, now) = (request.id, gateway.clock.now());
        let cancel = CancellationToken::new();
        let granted = GrantedPermit {
            permit: None,
            cancel: cancel.clone(),
            expires: now + request.remaining + RELEASE_GRACE,
        };
        gateway
            .lock_permits()
            .granted
            .insert((requester, id), granted);
        // Numbers of other entries may be those of own requests.
        let pending = PendingRequest {
            id: gateway.next_attempt_id(),
            ..get_pending_request(&dispatcher, &request, now)
        };
        let mut acquired = Box::pin(acquire_local(&gateway, &dispatcher, pending));
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
        let answer = match &acquired {
            Ok(permit) => new_grant(id, permit),
            Err(rejection) => Datagram::Deny {
                id,
                no_server: *rejection == Rejection::NoServer,
            },
        };
        {
            let mut permits = gateway.lock_permits();
            match (acquired, permits.granted.get_mut(&(requester, id))) {
                (Ok(permit), Some(granted)) => granted.permit = Some(permit),
                _ => {
                    permits.granted.remove(&(requester, id));
                }
            }
        }
        gateway.send_datagram(&answer, requester);
    });
}

fn new_grant(id: u64, permit: &Permit) -> Datagram {
    Datagram::Grant {
        id,
        address: permit.address,
        instance: permit.id.clone(),
        hedge_after: permit.hedge_after,
    }
}

/// Takes an answer to a question of this entry.
pub(crate) fn record_reply(gateway: &Gateway, owner: SocketAddr, datagram: Datagram) {
    let (id, reply) = match datagram {
        Datagram::Queued(id) => {
            if let Some(pending) = gateway.lock_permits().pending.get_mut(&id) {
                pending.queued = true;
            }
            return;
        }
        Datagram::Grant {
            id,
            address,
            instance,
            hedge_after,
        } => {
            let reply = PermitReply {
                address,
                instance,
                hedge_after,
            };
            (id, Ok(reply))
        }
        Datagram::Deny {
            id,
            no_server: true,
        } => (id, Err(Rejection::NoServer)),
        Datagram::Deny { id, .. } => (id, Err(Rejection::Overload)),
        _ => return,
    };
    let is_grant = reply.is_ok();
    let pending = gateway.lock_permits().pending.remove(&id);
    let is_delivered = pending.is_some_and(|pending| pending.reply.send(reply).is_ok());
    if is_grant && !is_delivered {
        gateway.send_datagram(&Datagram::Release(id, AttemptOutcome::Cancelled), owner);
    }
}

/// Takes the end of an attempt, or of a question, of another entry.
pub(crate) fn release_permit(
    gateway: &Gateway,
    requester: SocketAddr,
    id: u64,
    outcome: AttemptOutcome,
) {
    let granted = gateway.lock_permits().granted.remove(&(requester, id));
    if let Some(granted) = granted {
        granted.cancel.cancel();
        if let Some(permit) = granted.permit {
            permit.release(outcome);
        }
    }
}

/// Takes back the servers whose requests are over, though nobody has said so.
pub(crate) fn release_expired(gateway: &Gateway) {
    let now = gateway.clock.now();
    let expired: Vec<GrantedPermit> = {
        let mut permits = gateway.lock_permits();
        permits.suspected.retain(|_, until| *until > now);
        let due = permits
            .granted
            .iter()
            .filter(|(_, granted)| granted.expires <= now);
        let due: Vec<(SocketAddr, u64)> = due.map(|(key, _)| *key).collect();
        due.iter()
            .filter_map(|key| permits.granted.remove(key))
            .collect()
    };
    if !expired.is_empty() {
        log::info!(count = expired.len(); "servers taken back");
    }
    // Their pools are told as they are dropped, outside the lock.
    drop(expired);
}
