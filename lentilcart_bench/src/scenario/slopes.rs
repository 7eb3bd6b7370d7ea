use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool,
};
use lentilcart::state::{AppliedState, NumberedTicket, parse_ticket, rendezvous_rank};
use lentilcart_util::{Micros, Name};
use serde::Serialize;

use crate::cluster::{Layout, TRAVIESAS, ticket};
use crate::scenario::get_variant;

const DECISIONS: u64 = 100_000;
const ROUNDS: u64 = 200;

/// One measured point of a slope.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// Size at which it was measured.
    pub size: usize,
    /// Result.
    pub value: f64,
    /// Unit of the result.
    pub unit: &'static str,
}

/// Measures state and time for each server, service, entry and ticket, at several sizes.
#[must_use]
pub fn slopes() -> Vec<Slope> {
    let mut rows = Vec::new();
    for servers in [4, 16, 64, 256] {
        rows.push(point(
            "decision",
            servers,
            decision_nanos(servers),
            "ns a request",
        ));
    }
    for entries in [5, 48, 200, 1000] {
        rows.push(point("homes", entries, homes_nanos(entries), "ns a call"));
    }
    for services in [3, 74, 740] {
        let (state, bytes) = state_of(services);
        rows.push(point("state", services, bytes as f64, "bytes of JSON"));
        rows.push(point(
            "ticket",
            services,
            apply_micros(&state),
            "us to apply a ticket",
        ));
        let snapshot = serde_json::to_string(&state.get_ticket_index()).unwrap_or_default();
        rows.push(point("snapshot", services, snapshot.len() as f64, "bytes"));
    }
    rows
}

fn point(what: &'static str, size: usize, value: f64, unit: &'static str) -> Slope {
    Slope {
        what,
        size,
        value: value.round(),
        unit,
    }
}

fn nanos(elapsed: Duration, count: u64) -> f64 {
    elapsed.as_nanos() as f64 / count as f64
}

/// Returns the time of one offer and one end at a pool with half of its slots in use.
fn decision_nanos(servers: usize) -> f64 {
    let mut pool = ServerPool::new(PoolConfig::default(), 1);
    let address = |n: usize| ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into();
    let list: Vec<ServerConfig> = (0..servers)
        .map(|n| ServerConfig::new(address(n), 3))
        .collect();
    pool.set_servers(Micros::ZERO, &list);
    let mut under_way = std::collections::VecDeque::new();
    let started = Instant::now();
    for id in 0..DECISIONS {
        let now = Micros(id * 10);
        let steps = pool.offer(
            now,
            PendingRequest::new(id, now, now + Micros::from_millis(1000)),
        );
        for step in steps {
            if let Decision::Start { request_id, server } = step {
                under_way.push_back((request_id, server));
            }
        }
        if under_way.len() > servers * 3 / 2
            && let Some((request_id, server)) = under_way.pop_front()
        {
            pool.finish_attempt(
                now,
                request_id,
                server,
                AttemptOutcome::answered(Some(lentilcart_route::LoadReport::of_requests(1))),
            );
        }
    }
    nanos(started.elapsed(), DECISIONS)
}

fn homes_nanos(entries: usize) -> f64 {
    let names: Vec<Name> = (0..entries).map(|n| format!("entry-{n}").into()).collect();
    let started = Instant::now();
    let found: usize = (0..ROUNDS)
        .map(|n| rendezvous_rank(&n.to_string(), names.iter(), 2).len())
        .sum();
    nanos(started.elapsed(), ROUNDS.max(found as u64 / 2))
}

/// Returns a state with copies of one service of 28 servers, and its size.
fn state_of(services: usize) -> (AppliedState, usize) {
    let mut layout = Layout::new(TRAVIESAS);
    layout.firm.services[0].servers = 28;
    let variant = get_variant("near1-over2").expect("the variant exists");
    let text = ticket(&layout, &variant, 0, Micros::from_millis(1000));
    let ticket =
        parse_ticket(&text, &lentilcart::route::get_policy_names()).expect("the ticket is valid");
    let mut all = ticket.clone();
    all.services = (0..services)
        .map(|n| {
            let mut service = ticket.services[0].clone();
            service.name = format!("service-{n}").into();
            service
        })
        .collect();
    let mut state = AppliedState::default();
    state.apply(&NumberedTicket {
        number: 1,
        id: "first".into(),
        ticket: Arc::new(all),
    });
    let bytes = serde_json::to_string(&state).unwrap_or_default().len();
    (state, bytes)
}

/// Returns the time to apply a ticket that touches one service.
fn apply_micros(state: &AppliedState) -> f64 {
    let service = state
        .services
        .values()
        .next()
        .map(|(_, service)| (**service).clone());
    let ticket = Arc::new(lentilcart::state::Ticket {
        base: 1,
        note: String::new(),
        services: service.into_iter().collect(),
        removed: Vec::new(),
    });
    let started = Instant::now();
    for _ in 0..ROUNDS {
        let mut next = state.clone();
        next.apply(&NumberedTicket {
            number: 2,
            id: "next".into(),
            ticket: ticket.clone(),
        });
    }
    nanos(started.elapsed(), ROUNDS) / 1e3
}
