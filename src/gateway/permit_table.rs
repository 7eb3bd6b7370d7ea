//! Which entry gives a request its server.
//!
//! In each data centre one live entry holds the desk of a service: it knows every request under way
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

/// Time in which a desk must say anything: some pauses of a host that has a quarter of a core.
const ASK_WAIT: Duration = Duration::from_millis(100);
/// Time after which a desk says that a request waits: within `ASK_WAIT`, with room for the way.
const QUEUED_AFTER: Duration = Duration::from_millis(15);
/// Time after which a desk that has a request in its queue is asked whether it still has it.
const QUEUE_WAIT: Duration = Duration::from_millis(300);
/// Time for which a desk that did not answer is not asked.
const DOUBT: Micros = Micros::from_millis(500);
/// Time after a request's deadline at which its server counts as free, if nobody has said so.
const LEASE_SLACK: Micros = Micros::from_millis(1000);

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
    asked: Map<u64, PendingPermit>,
    lent: Map<(SocketAddr, u64), GrantedPermit>,
    doubted: Map<SocketAddr, Micros>,
}

#[derive(Debug)]
struct PendingPermit {
    told: oneshot::Sender<PermitResult>,
    queued: bool,
}

/// What another entry has of this one.
#[derive(Debug)]
struct GrantedPermit {
    /// The server, once there is one.
    lease: Option<Permit>,
    waiting: CancellationToken,
    until: Micros,
}

/// Withdraws a question that nobody waits for any more.
struct PendingGuard<'a> {
    gateway: &'a Gateway,
    owner: SocketAddr,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        let open = self.gateway.desks().asked.remove(&self.id);
        if open.is_some() {
            let settle = Datagram::Release(self.id, AttemptOutcome::Cancelled);
            self.gateway.post(&settle, self.owner);
        }
    }
}

/// Gets a server for a request from the desk of its service.
pub(crate) async fn acquire(
    gateway: &Arc<Gateway>,
    desk: &Arc<Dispatcher>,
    ask: PermitRequest,
) -> Result<Permit, Rejection> {
    if let Some(owner) = get_owner(gateway, &desk.service)
        && let Some(told) = question(gateway, owner, &ask).await
    {
        let lease = told.map(|granted| borrow(gateway, desk, owner, ask.id, granted))?;
        if is_in_use(gateway, &lease.id) {
            return Ok(lease);
        }
        log::info!(owner:% = owner, server:% = lease.id; "granted server is not in use");
        lease.release(AttemptOutcome::Cancelled);
    }
    let now = gateway.clock.now();
    acquire_local(gateway, desk, get_job(desk, &ask, now)).await
}

/// Returns whether a server may get new work by what this entry knows: a desk that is cut off from the
/// store hears later of servers that leave.
fn is_in_use(gateway: &Gateway, server: &Name) -> bool {
    let directory = gateway.directory();
    directory.get(server).is_some_and(|row| !row.leaving)
}

/// Returns the entry to ask, or `None` where this one decides.
pub(crate) fn get_owner(gateway: &Gateway, service: &Name) -> Option<SocketAddr> {
    let settings = gateway.settings.load();
    if !settings.servers.desks {
        return None;
    }
    let now = gateway.clock.now();
    let members = gateway.members();
    let desks = gateway.desks();
    let is_candidate = |name: &&Name| {
        let row = members.get(name);
        row.is_some_and(|row| {
            let doubt = desks.doubted.get(&row.peer_address);
            let is_doubted = doubt.is_some_and(|until| *until > now);
            row.data_center == settings.data_center && !is_doubted
        })
    };
    // While one is silent, all go to the same next one.
    let live = members.get_serving(now).into_iter().filter(is_candidate);
    let ranked = rendezvous_rank(service, live, 1);
    let address = members.get(ranked.first()?)?.peer_address;
    (address != settings.listen.peer).then_some(address)
}

/// Asks another entry for a server; returns `None` where it does not answer.
async fn question(
    gateway: &Gateway,
    owner: SocketAddr,
    ask: &PermitRequest,
) -> Option<PermitResult> {
    let id = ask.id;
    let (told, mut answer) = oneshot::channel();
    let asked = PendingPermit {
        told,
        queued: false,
    };
    gateway.desks().asked.insert(id, asked);
    let question = PendingGuard { gateway, owner, id };
    gateway.post(&Datagram::PermitRequest(ask.clone()), owner);
    let mut ended = timeout(ASK_WAIT, &mut answer).await;
    while ended.is_err() && is_queued(gateway, id) {
        ended = timeout(QUEUE_WAIT, &mut answer).await;
        if ended.is_err() {
            gateway.post(&Datagram::PermitRequest(ask.clone()), owner);
            ended = timeout(ASK_WAIT, &mut answer).await;
        }
    }
    drop(question);
    if ended.is_err() {
        let until = gateway.clock.now() + DOUBT;
        gateway.desks().doubted.insert(owner, until);
        log::info!(owner:% = owner, id; "desk does not answer");
        metrics::counter!("lentilcart_desk_silent_total").increment(1);
    }
    ended.ok()?.ok()
}

/// Returns whether the desk has said that a request waits, since this was asked last.
fn is_queued(gateway: &Gateway, id: u64) -> bool {
    let mut desks = gateway.desks();
    let asked = desks.asked.get_mut(&id);
    asked.is_some_and(|asked| std::mem::take(&mut asked.queued))
}

fn borrow(
    gateway: &Arc<Gateway>,
    desk: &Arc<Dispatcher>,
    owner: SocketAddr,
    id: u64,
    granted: PermitReply,
) -> Permit {
    let (shared, desk) = (gateway.clone(), desk.clone());
    let started = gateway.clock.now();
    Permit::with_callback(
        granted.address,
        granted.instance,
        granted.hedge_after,
        move |outcome| {
            let took = shared.clock.now() - started;
            desk.with_pool(|pool, now| pool.record_permit_outcome(now, took, &outcome));
            shared.post(&Datagram::Release(id, outcome), owner);
        },
    )
}

pub(crate) fn get_job(desk: &Dispatcher, ask: &PermitRequest, now: Micros) -> PendingRequest {
    let excluded = desk.read_pool(|pool| {
        ask.tried
            .iter()
            .filter_map(|at| pool.get_server_index(*at))
            .collect()
    });
    PendingRequest {
        id: ask.id,
        priority: ask.priority,
        at_most_once: ask.once,
        arrived: now - ask.age,
        deadline: now + ask.left,
        objective: now + ask.prompt,
        origin: None,
        excluded,
    }
}

/// Answers another entry's question for a server, or one that is asked again.
pub(crate) fn grant_permit(gateway: &Arc<Gateway>, asker: SocketAddr, ask: PermitRequest) {
    let known = {
        let desks = gateway.desks();
        let lent = desks.lent.get(&(asker, ask.id));
        lent.map(|lent| match &lent.lease {
            Some(lease) => get_grant(ask.id, lease),
            None => Datagram::Queued(ask.id),
        })
    };
    if let Some(answer) = known {
        gateway.post(&answer, asker);
        return;
    }
    let Some(desk) = gateway.get_routes().desks.get(&ask.service).cloned() else {
        let id = ask.id;
        gateway.post(
            &Datagram::Deny {
                id,
                no_server: true,
            },
            asker,
        );
        return;
    };
    let (gateway, tasks) = (gateway.clone(), gateway.tasks.clone());
    tasks.spawn(async move {
        let (id, now) = (ask.id, gateway.clock.now());
        let waiting = CancellationToken::new();
        let lent = GrantedPermit {
            lease: None,
            waiting: waiting.clone(),
            until: now + ask.left + LEASE_SLACK,
        };
        gateway.desks().lent.insert((asker, id), lent);
        // Numbers of other entries may be those of own requests.
        let job = PendingRequest {
            id: gateway.next_serial(),
            ..get_job(&desk, &ask, now)
        };
        let mut acquired = Box::pin(acquire_local(&gateway, &desk, job));
        let soon = timeout(QUEUED_AFTER, &mut acquired).await;
        let acquired = if let Ok(acquired) = soon {
            acquired
        } else {
            gateway.post(&Datagram::Queued(id), asker);
            tokio::select! {
                () = waiting.cancelled() => return,
                acquired = acquired => acquired,
            }
        };
        let answer = match &acquired {
            Ok(lease) => get_grant(id, lease),
            Err(denial) => Datagram::Deny {
                id,
                no_server: *denial == Rejection::NoServer,
            },
        };
        {
            let mut desks = gateway.desks();
            match (acquired, desks.lent.get_mut(&(asker, id))) {
                (Ok(lease), Some(lent)) => lent.lease = Some(lease),
                _ => {
                    desks.lent.remove(&(asker, id));
                }
            }
        }
        gateway.post(&answer, asker);
    });
}

fn get_grant(id: u64, lease: &Permit) -> Datagram {
    Datagram::Grant {
        id,
        address: lease.address,
        instance: lease.id.clone(),
        hedge_after: lease.hedge_after,
    }
}

/// Takes an answer to a question of this entry.
pub(crate) fn record_reply(gateway: &Gateway, owner: SocketAddr, gram: Datagram) {
    let (id, told) = match gram {
        Datagram::Queued(id) => {
            if let Some(asked) = gateway.desks().asked.get_mut(&id) {
                asked.queued = true;
            }
            return;
        }
        Datagram::Grant {
            id,
            address,
            instance,
            hedge_after,
        } => {
            let granted = PermitReply {
                address,
                instance,
                hedge_after,
            };
            (id, Ok(granted))
        }
        Datagram::Deny {
            id,
            no_server: true,
        } => (id, Err(Rejection::NoServer)),
        Datagram::Deny { id, .. } => (id, Err(Rejection::Overload)),
        _ => return,
    };
    let is_grant = told.is_ok();
    let asked = gateway.desks().asked.remove(&id);
    let is_taken = asked.is_some_and(|asked| asked.told.send(told).is_ok());
    if is_grant && !is_taken {
        gateway.post(&Datagram::Release(id, AttemptOutcome::Cancelled), owner);
    }
}

/// Takes the end of an attempt, or of a question, of another entry.
pub(crate) fn settle(gateway: &Gateway, asker: SocketAddr, id: u64, outcome: AttemptOutcome) {
    let lent = gateway.desks().lent.remove(&(asker, id));
    if let Some(lent) = lent {
        lent.waiting.cancel();
        if let Some(lease) = lent.lease {
            lease.release(outcome);
        }
    }
}

/// Takes back the servers whose requests are over, though nobody has said so.
pub(crate) fn sweep(gateway: &Gateway) {
    let now = gateway.clock.now();
    let due: Vec<GrantedPermit> = {
        let mut desks = gateway.desks();
        desks.doubted.retain(|_, until| *until > now);
        let due = desks.lent.iter().filter(|(_, lent)| lent.until <= now);
        let due: Vec<(SocketAddr, u64)> = due.map(|(key, _)| *key).collect();
        due.iter()
            .filter_map(|key| desks.lent.remove(key))
            .collect()
    };
    if !due.is_empty() {
        log::info!(count = due.len(); "servers taken back");
    }
    // Their pools are told as they are dropped, outside the lock.
    drop(due);
}
