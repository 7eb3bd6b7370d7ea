//! Policy `late-paced`: it picks by load reports of requests and slowdown, for servers whose load
//! shifts within milliseconds. The last three tests (`record_probe_failure_ejects`,
//! `set_servers_restarted_server`, `retry_budget_shared_by_entries`) use this policy, but what they
//! check holds for every one.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, RetryLimits, ServerConfig,
    ServerPhase, ServerPool, get_policy,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

/// Data centre of the entry.
const LOCAL: &str = "z1";

fn config() -> PoolConfig {
    PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: LOCAL.into(),
        overcommit: 0,
        remote_reserve: 1,
        remote_cost: 0.25,
        wait_share: 1.0,
        initial_retries: 0.0,
        ..PoolConfig::default()
    }
}

fn server(number: u8, data_center: &str) -> ServerConfig {
    ServerConfig {
        data_center: data_center.into(),
        ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
    }
}

fn pool(data_centers: &[&str]) -> ServerPool {
    let mut pool = ServerPool::new(config(), 1);
    let servers = data_centers.iter().zip(0..);
    let servers: Vec<_> = servers
        .map(|(data_center, number)| server(number, data_center))
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    pool
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Creates a request with an objective of 200 ms and a deadline of 1200 ms.
fn request(id: u64, arrived: Micros) -> PendingRequest {
    PendingRequest {
        objective: arrived + ms(200),
        ..PendingRequest::new(id, arrived, arrived + ms(1200))
    }
}

fn report(running: u32, slowdown: f64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: Some(3),
        slowdown: Some(slowdown),
    }
}

/// Returns the id of the request and the index of the server of each start.
fn started(decisions: &[Decision]) -> Vec<(u64, usize)> {
    let start = |decision: &Decision| match decision {
        Decision::Start { request_id, server } => Some((*request_id, *server)),
        Decision::Reject { .. } => None,
    };
    decisions.iter().filter_map(start).collect()
}

/// Guards against picking a server that other load on its host slows down.
#[test]
fn pick_avoids_slow_server() {
    let mut pool = pool(&[LOCAL, LOCAL]);
    pool.record_load_report(ms(0), 0, report(0, 4.0));
    pool.record_load_report(ms(0), 1, report(0, 1.0));
    for id in 0..2 {
        assert_eq!(started(&pool.offer(ms(5), request(id, ms(5)))), [(id, 1)]);
    }
}

/// Guards against avoiding a server for good because of one old report of a slowdown.
#[test]
fn slowdown_of_old_report_decays() {
    let mut pool = pool(&[LOCAL, LOCAL]);
    pool.record_load_report(ms(0), 0, report(0, 4.0));
    pool.record_load_report(ms(0), 1, report(0, 1.0));
    let now = ms(3000);
    let picked = (0..20).map(|id| {
        let server = started(&pool.offer(now, request(id, now)))[0].1;
        pool.finish_attempt(now, id, server, AttemptOutcome::Cancelled);
        server
    });
    let picked: Vec<usize> = picked.collect();
    assert!(picked.contains(&0) && picked.contains(&1), "{picked:?}");
}

/// Guards against sending a request to a slow server where it will be late, although a fast one
/// will be free in time.
#[test]
fn offer_waits_for_fast_server() {
    let mut pool = pool(&[LOCAL, LOCAL]);
    pool.record_load_report(ms(0), 0, report(0, 6.0));
    pool.record_load_report(ms(0), 1, report(3, 1.0));
    // The fast server is full and the slow one is idle: the request is queued for the fast one.
    let decisions = pool.offer(ms(1), request(1, ms(1)));
    assert!(decisions.is_empty());
    pool.record_load_report(ms(20), 1, report(0, 1.0));
    assert_eq!(started(&pool.dispatch(ms(20))), [(1, 1)]);
}

/// Guards against queueing a request for a faster server where there is none.
#[test]
fn offer_to_only_server_although_slow() {
    let mut pool = pool(&[LOCAL]);
    pool.record_load_report(ms(0), 0, report(0, 6.0));
    assert_eq!(started(&pool.offer(ms(1), request(1, ms(1)))), [(1, 0)]);
}

/// Guards against one service time for all requests of a service that answers short and long ones: the
/// mean of both is above the objective of the short ones, so that a slow server would seem as good to
/// them as any.
///
/// Load pattern: lookups of 880 ms with an objective of 4 s beside payments of 150 ms with one of 400 ms.
#[test]
fn offer_short_request_beside_long_ones() {
    let payment = |id, now| PendingRequest {
        objective: now + ms(400),
        latency_objective: Some(ms(400)),
        ..PendingRequest::new(id, now, now + ms(1000))
    };
    let lookup = |id, now| PendingRequest {
        objective: now + ms(4000),
        latency_objective: Some(ms(4000)),
        ..PendingRequest::new(id, now, now + ms(5000))
    };
    let mut pool = pool(&[LOCAL, LOCAL]);
    let mut now = ms(0);
    for id in 0..60 {
        pool.record_load_report(now, 0, report(0, 1.0));
        let (request, service_time) = match id % 2 {
            0 => (payment(id, now), ms(150)),
            _ => (lookup(id, now), ms(880)),
        };
        let server = started(&pool.offer(now, request))[0].1;
        now += service_time;
        pool.finish_attempt(now, id, server, AttemptOutcome::answered(None));
    }
    // The fast server is busy for a moment, and a payment at the slow one would take 750 ms.
    pool.record_load_report(now, 0, report(3, 1.0));
    pool.record_load_report(now, 1, report(0, 5.0));
    assert!(pool.offer(now, payment(100, now)).is_empty());
    // A lookup would take 4.4 s at the slow one, and is kept for the fast one as well.
    assert!(pool.offer(now, lookup(101, now)).is_empty());
    pool.record_load_report(now + ms(20), 0, report(0, 1.0));
    let started = started(&pool.dispatch(now + ms(20)));
    assert_eq!(started, [(100, 0), (101, 0)]);
}

/// Guards against connections from every entry to every server: among idle servers, an entry prefers some
/// and differs in that from the others, and every server still gets requests.
///
/// Load pattern: 50 entries that send one request at a time to 50 idle servers.
#[test]
fn pick_prefers_servers_of_sender() {
    let mut pool = pool(&[LOCAL; 50]);
    let mut counts = std::collections::BTreeMap::new();
    for id in 0..5000_u64 {
        let sender = SocketAddr::from(([10, 1, 0, (id % 50) as u8], 80));
        let request = PendingRequest {
            sender: Some(sender),
            ..request(id, ms(0))
        };
        let server = started(&pool.offer(ms(0), request))[0].1;
        pool.finish_attempt(ms(0), id, server, AttemptOutcome::Cancelled);
        *counts.entry((sender, server)).or_insert(0) += 1;
    }
    let preferred = counts.values().filter(|count| **count > 50).count();
    assert_eq!(preferred, 50, "each sender has one");
    let servers: std::collections::BTreeSet<_> = counts.keys().map(|(_, server)| server).collect();
    assert_eq!(servers.len(), 50, "each server is used");
}

/// Guards against late requests that occupy slow servers, and so make others late as well.
#[test]
fn offer_late_request_waits_for_fast_server() {
    let mut pool = pool(&[LOCAL, LOCAL]);
    pool.record_load_report(ms(0), 1, report(3, 1.0));
    assert!(
        pool.offer(
            ms(0),
            PendingRequest {
                at_most_once: true,
                excluded: vec![SocketAddr::from(([10, 0, 0, 0], 80))],
                ..request(1, ms(0))
            }
        )
        .is_empty()
    );
    pool.record_load_report(ms(300), 0, report(0, 6.0));
    pool.record_load_report(ms(300), 1, report(3, 1.0));
    // At the slow server, it would hold a slot for 6 base service times, longer than three
    // requests at the busy fast server (1.7 each) that can still be answered before their objective.
    assert!(pool.offer(ms(300), request(2, ms(0))).is_empty());
    pool.record_load_report(ms(310), 1, report(0, 1.0));
    assert_eq!(started(&pool.dispatch(ms(310))), [(1, 1), (2, 1)]);
}

/// Guards against old reports that keep requests queued although a server has become fast.
#[test]
fn get_servers_to_refresh_while_queued() {
    let mut pool = pool(&[LOCAL, LOCAL, "z2"]);
    for server in 0..3 {
        pool.record_load_report(ms(0), server, report(0, 6.0));
    }
    pool.record_load_report(ms(0), 1, report(3, 1.0));
    assert!(pool.get_servers_to_refresh(ms(50), ms(40)).is_empty());
    assert!(pool.offer(ms(1), request(1, ms(1))).is_empty());
    assert!(pool.get_servers_to_refresh(ms(30), ms(40)).is_empty());
    // The server in the other data centre is left out.
    assert_eq!(pool.get_servers_to_refresh(ms(50), ms(40)).len(), 2);
}

/// Guards against an estimate of the service time at an idle server that grows with the load, and
/// so with the latencies.
#[test]
fn base_service_time_independent_of_load() {
    // The third request at a server with three slots takes 1.7 times as long.
    let mut pool = pool(&[LOCAL]);
    for round in 0..200 {
        let now = ms(round * 200);
        pool.record_load_report(now, 0, report(0, 1.0));
        for id in 0..3 {
            pool.offer(now, request(round * 3 + id, now));
        }
        for (id, elapsed) in [(0, 50), (1, 50), (2, 85)] {
            pool.finish_attempt(
                now + ms(elapsed),
                round * 3 + id,
                0,
                AttemptOutcome::answered(None),
            );
        }
    }
    let service_time = pool.get_base_service_time().unwrap().as_millis();
    assert!((45.0..55.0).contains(&service_time), "{service_time}");
}

/// Guards against full servers in an overload: servers take longer for a request when all their
/// slots are occupied.
#[test]
fn overload_reserves_a_slot() {
    let max_outstanding = |reserve: u32| {
        let mut pool = ServerPool::new(
            PoolConfig {
                reserve,
                ..config()
            },
            1,
        );
        let servers: Vec<_> = (0..10).map(|number| server(number, LOCAL)).collect();
        pool.set_servers(Micros::ZERO, &servers);
        let mut running = Vec::new();
        for id in 0..90 {
            running.extend(started(&pool.offer(ms(0), request(id, ms(0)))));
        }
        // Each answer frees a slot for a queued request.
        for (id, at) in running {
            pool.finish_attempt(ms(30), id, at, AttemptOutcome::answered(None));
        }
        let summaries = pool.get_summaries();
        summaries.iter().map(|summary| summary.outstanding).max()
    };
    assert_eq!((max_outstanding(0), max_outstanding(1)), (Some(3), Some(2)));
}

/// Guards against picking a server that is full of requests of other entries.
#[test]
fn pick_counts_requests_of_others() {
    let mut pool = pool(&[LOCAL, LOCAL]);
    pool.record_load_report(ms(0), 0, report(3, 1.0));
    pool.record_load_report(ms(0), 1, report(0, 1.0));
    assert_eq!(started(&pool.offer(ms(1), request(1, ms(1)))), [(1, 1)]);
}

/// Guards against a wrong cost of another data centre: a local server must win over an equal remote
/// one (cost too small), and a remote one over a slow local one (cost too large).
#[test]
fn pick_remote_when_local_is_slow() {
    let mut pool = pool(&[LOCAL, "z2"]);
    pool.record_load_report(ms(0), 0, report(0, 1.0));
    pool.record_load_report(ms(0), 1, report(0, 1.0));
    assert_eq!(started(&pool.offer(ms(1), request(1, ms(1)))), [(1, 0)]);
    pool.record_load_report(ms(2), 0, report(0, 6.0));
    assert_eq!(started(&pool.offer(ms(2), request(2, ms(2)))), [(2, 1)]);
}

/// Guards against data centres that swap requests in an overload.
#[test]
fn remote_reserve_bounds_remote_requests() {
    // All local slots are occupied; one slot of each remote server stays reserved for its own data
    // centre.
    let mut pool = pool(&[LOCAL, "z2"]);
    let decisions = (0..10).flat_map(|id| pool.offer(ms(0), request(id, ms(0))));
    let decisions: Vec<Decision> = decisions.collect();
    let remote = started(&decisions)
        .iter()
        .filter(|(_, server)| *server == 1)
        .count();
    assert_eq!((started(&decisions).len(), remote), (5, 2));
}

/// Guards against an overload in which every request is served in order and therefore late.
#[test]
fn overload_serves_newest_in_time() {
    let mut pool = pool(&[LOCAL]);
    for id in 0..3 {
        pool.offer(ms(0), request(id, ms(0)));
    }
    // The first has waited beyond its objective, the second nearly so, the third has just arrived.
    for (id, at) in [(10, 0), (11, 60), (12, 240)] {
        assert!(pool.offer(ms(at), request(id, ms(at))).is_empty());
    }
    let next_started = |pool: &mut ServerPool, id| {
        let decisions = pool.finish_attempt(ms(250), id, 0, AttemptOutcome::answered(None));
        started(&decisions)
            .first()
            .map(|(request_id, _)| *request_id)
    };
    assert_eq!(next_started(&mut pool, 0), Some(12));
    assert_eq!(next_started(&mut pool, 1), Some(11));
    // The late request is served as well when no other is queued.
    assert_eq!(next_started(&mut pool, 2), Some(10));
}

/// Guards against serving the newest request first while the oldest still has slack.
#[test]
fn queue_in_order_with_slack() {
    let mut pool = pool(&[LOCAL]);
    for id in 0..3 {
        pool.offer(ms(0), request(id, ms(0)));
    }
    for (id, at) in [(10, 1), (11, 2)] {
        pool.offer(ms(at), request(id, ms(at)));
    }
    let decisions = pool.finish_attempt(ms(20), 0, 0, AttemptOutcome::answered(None));
    assert_eq!(started(&decisions), [(10, 0)]);
}

/// Guards against a grey failure: a server that fails every request at once looks idle, and would
/// attract most requests.
#[test]
fn pick_avoids_failing_server() {
    let mut pool = pool(&[LOCAL, LOCAL, LOCAL]);
    let mut counts = [0; 3];
    for id in 0..300 {
        let now = ms(id * 10);
        let decisions = pool.offer(now, request(id, now));
        let (_, server) = started(&decisions)[0];
        counts[server] += 1;
        let outcome = if server == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::answered(None)
        };
        pool.finish_attempt(now + ms(1), id, server, outcome);
    }
    assert!(counts[0] < 30, "{counts:?}");
}

/// Guards against a server that hangs and is kept in use: it answers no probe.
#[test]
fn record_probe_failure_ejects() {
    let mut pool = pool(&[LOCAL, LOCAL, LOCAL]);
    pool.record_probe_failure(ms(0), 0);
    pool.record_probe_failure(ms(50), 0);
    assert!(matches!(
        pool.get_summaries()[0].phase,
        ServerPhase::Ejected { .. }
    ));
}

/// Guards against a restarted server that seems full, since requests of its previous instance at
/// the same address were never answered.
#[test]
fn set_servers_restarted_server() {
    let mut pool = pool(&[LOCAL]);
    for id in 0..3 {
        pool.offer(ms(0), request(id, ms(0)));
    }
    let restarted = ServerConfig {
        started_ms: 7,
        ..server(0, LOCAL)
    };
    pool.set_servers(ms(1), &[restarted]);
    assert_eq!(started(&pool.offer(ms(1), request(9, ms(1)))).len(), 1);
}

proptest! {
    /// Guards against too many retries of all entries together: if each entry keeps to its part of
    /// the budget, the sum stays within the ratio and the burst.
    #[test]
    fn retry_budget_shared_by_entries(
        outcomes in proptest::collection::vec(any::<bool>(), 1..400),
        entries in 1_usize..6,
    ) {
        let (ratio, burst) = (0.2, 56.0);
        let limits = RetryLimits { ratio, burst: burst / entries as f64, hedge: 0.0 };
        let config = PoolConfig { retry: limits, ..config() };
        let mut pools: Vec<ServerPool> = (0..entries)
            .map(|seed| {
                let mut pool = ServerPool::new(config.clone(), seed as u64);
                pool.set_servers(Micros::ZERO, &[server(0, LOCAL)]);
                pool
            })
            .collect();
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (id, is_answered) in outcomes.into_iter().enumerate() {
            let pool = &mut pools[id % entries];
            let now = ms(id as u64);
            requests += 1;
            for (_, at) in started(&pool.offer(now, request(id as u64, now))) {
                let outcome = if is_answered {
                    AttemptOutcome::answered(None)
                } else {
                    AttemptOutcome::Cancelled
                };
                pool.finish_attempt(now, id as u64, at, outcome);
            }
            retries += u32::from(pool.take_retry_token());
        }
        prop_assert!(f64::from(retries) <= ratio * f64::from(requests) + burst);
    }
}
