use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool,
};
use lentilcart::state::{AppliedState, NumberedTicket, parse_ticket, rendezvous_rank};
use lentilcart_util::{Micros, Name};
use serde::Serialize;

use crate::cluster::{Layout, TRAVIESAS, format_ticket};
use crate::scenario::get_variant;

/// Number of requests over which the time of a decision is averaged.
const DECISIONS: u64 = 100_000;
/// Number of calls over which the other times are averaged.
const ROUNDS: u64 = 200;

/// Cost of one operation or structure at one size.
#[derive(Debug, Clone, Serialize)]
pub struct ScalingPoint {
    /// Operation or structure that was measured: `decision`, an offer and the end of a request at a
    /// pool; `homes`, a search for the two owners of a service; `state`, the state in force; `ticket`,
    /// the application of a ticket to that state; `snapshot`, the index of the tickets.
    pub what: &'static str,
    /// Number of servers, entries or services at which it was measured.
    pub size: usize,
    /// Result, rounded to a whole number.
    pub value: f64,
    /// Unit of the result.
    pub unit: &'static str,
}

/// Measures how time and state grow with the number of servers, entries and services, for the scenario
/// `slopes` of the command line.
#[must_use]
pub fn measure_scaling() -> Vec<ScalingPoint> {
    let mut points = Vec::new();
    for servers in [4, 16, 64, 256] {
        points.push(new_point(
            "decision",
            servers,
            decision_nanos(servers),
            "ns a request",
        ));
    }
    for entries in [5, 48, 200, 1000] {
        points.push(new_point(
            "homes",
            entries,
            owners_nanos(entries),
            "ns a call",
        ));
    }
    for services in [3, 74, 740] {
        let (state, bytes) = build_state(services);
        points.push(new_point("state", services, bytes as f64, "bytes of JSON"));
        points.push(new_point(
            "ticket",
            services,
            apply_micros(&state),
            "us to apply a ticket",
        ));
        let snapshot = serde_json::to_string(&state.get_ticket_index()).unwrap_or_default();
        points.push(new_point(
            "snapshot",
            services,
            snapshot.len() as f64,
            "bytes",
        ));
    }
    points
}

fn new_point(what: &'static str, size: usize, value: f64, unit: &'static str) -> ScalingPoint {
    ScalingPoint {
        what,
        size,
        value: value.round(),
        unit,
    }
}

/// Returns the mean time of one of `count` operations, in nanoseconds.
fn get_mean_nanos(elapsed: Duration, count: u64) -> f64 {
    elapsed.as_nanos() as f64 / count as f64
}

/// Returns the time, in nanoseconds, to offer one request and finish one at a pool with half of its
/// slots in use.
fn decision_nanos(servers: usize) -> f64 {
    let mut pool = ServerPool::new(PoolConfig::default(), 1);
    let address = |n: usize| ([10, 0, (n / 250) as u8, (n % 250) as u8], 80).into();
    let server_configs: Vec<ServerConfig> = (0..servers)
        .map(|n| ServerConfig::new(address(n), 3))
        .collect();
    pool.set_servers(Micros::ZERO, &server_configs);
    let mut outstanding = std::collections::VecDeque::new();
    let started = Instant::now();
    for id in 0..DECISIONS {
        let now = Micros(id * 10);
        let decisions = pool.offer(
            now,
            PendingRequest::new(id, now, now + Micros::from_millis(1000)),
        );
        for decision in decisions {
            if let Decision::Start { request_id, server } = decision {
                outstanding.push_back((request_id, server));
            }
        }
        if outstanding.len() > servers * 3 / 2
            && let Some((request_id, server)) = outstanding.pop_front()
        {
            pool.finish_attempt(
                now,
                request_id,
                server,
                AttemptOutcome::answered(Some(lentilcart_route::LoadReport::of_requests(1))),
            );
        }
    }
    get_mean_nanos(started.elapsed(), DECISIONS)
}

/// Returns the time, in nanoseconds, to find the two owners of a service among the entries.
fn owners_nanos(entries: usize) -> f64 {
    let names: Vec<Name> = (0..entries).map(|n| format!("entry-{n}").into()).collect();
    let started = Instant::now();
    let owners: usize = (0..ROUNDS)
        .map(|n| rendezvous_rank(&n.to_string(), names.iter(), 2).len())
        .sum();
    // Each call gives 2 owners if there are 2 entries, so the maximum is `ROUNDS`; the sum is used so
    // that the compiler cannot drop the calls.
    get_mean_nanos(started.elapsed(), ROUNDS.max(owners as u64 / 2))
}

/// Returns a state with copies of one service of 28 servers, and its size in bytes of JSON.
fn build_state(services: usize) -> (AppliedState, usize) {
    let mut layout = Layout::new(TRAVIESAS);
    layout.firm.services[0].servers = 28;
    let variant = get_variant("near1-over2").expect("the variant exists");
    let text = format_ticket(&layout, &variant, 0, Micros::from_millis(1000));
    let ticket =
        parse_ticket(&text, &lentilcart::route::get_policy_names()).expect("the ticket is valid");
    let mut copies = ticket.clone();
    copies.services = (0..services)
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
        ticket: Arc::new(copies),
    });
    let bytes = serde_json::to_string(&state).unwrap_or_default().len();
    (state, bytes)
}

/// Returns the time, in microseconds, to apply a ticket that changes one service.
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
    get_mean_nanos(started.elapsed(), ROUNDS) / 1e3
}
