//! Decisions, ejection, slow start and probe budget of a server pool.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, NoticeSource, PendingRequest, PoolConfig, Rejection,
    ServerConfig, ServerNotice, ServerPhase, ServerPool, get_policy,
};
use lentilcart_util::Micros;

const DEADLINE: Micros = Micros::from_millis(1000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn servers(count: u8) -> Vec<ServerConfig> {
    (0..count)
        .map(|number| ServerConfig::new(address(number), 3))
        .collect()
}

fn pool(count: u8, config: PoolConfig) -> ServerPool {
    let mut pool = ServerPool::new(config, 1);
    pool.set_servers(Micros::ZERO, &servers(count));
    pool
}

/// Settings without overcommit, so that each server gets as many requests as it has slots.
fn config_without_overcommit() -> PoolConfig {
    PoolConfig {
        overcommit: 0,
        ..PoolConfig::default()
    }
}

fn offer(pool: &mut ServerPool, now: Micros, id: u64) -> Vec<Decision> {
    pool.offer(now, PendingRequest::new(id, now, now + DEADLINE))
}

#[test]
fn offer_queues_without_free_slot() {
    let mut pool = pool(1, config_without_overcommit());
    for id in 0..3 {
        assert_eq!(offer(&mut pool, Micros::ZERO, id).len(), 1);
    }
    assert!(offer(&mut pool, Micros::ZERO, 3).is_empty());
    let decisions = pool.finish_attempt(Micros(10), 0, 0, AttemptOutcome::answered(None));
    assert_eq!(
        decisions,
        [Decision::Start {
            request_id: 3,
            server: 0
        }]
    );
}

#[test]
fn offer_by_priority() {
    let mut pool = pool(1, config_without_overcommit());
    (0..3).for_each(|id| drop(offer(&mut pool, Micros::ZERO, id)));
    for (id, priority) in [(3, 1), (4, 8), (5, 8)] {
        let request = PendingRequest {
            priority,
            ..PendingRequest::new(id, Micros::ZERO, DEADLINE)
        };
        pool.offer(Micros::ZERO, request);
    }
    let order: Vec<Decision> = (0..3)
        .flat_map(|id| pool.finish_attempt(Micros(1), id, 0, AttemptOutcome::answered(None)))
        .collect();
    let expected = [4, 5, 3].map(|request_id| Decision::Start {
        request_id,
        server: 0,
    });
    assert_eq!(order, expected);
}

/// Guards against requests that stay queued beyond half of the time to their deadline.
#[test]
fn tick_rejects_after_longest_wait() {
    let mut pool = pool(1, config_without_overcommit());
    (0..4).for_each(|id| drop(offer(&mut pool, Micros::ZERO, id)));
    assert!(pool.tick(Micros::from_millis(500)).is_empty());
    let decisions = pool.tick(Micros::from_millis(501));
    assert_eq!(
        decisions,
        [Decision::Reject {
            request_id: 3,
            reason: Rejection::Overload
        }]
    );
}

#[test]
fn offer_without_servers() {
    let mut pool = pool(0, config_without_overcommit());
    let decisions = offer(&mut pool, Micros::ZERO, 1);
    assert_eq!(
        decisions,
        [Decision::Reject {
            request_id: 1,
            reason: Rejection::NoServer
        }]
    );
}

/// Guards against ejecting so many servers that the others cannot carry the load.
#[test]
fn eject_bounded_share() {
    let mut pool = pool(6, config_without_overcommit());
    let mut id = 0;
    for server in 0..6 {
        for _ in 0..40 {
            id += 1;
            for decision in offer(&mut pool, Micros(id), id) {
                let Decision::Start {
                    request_id,
                    server: chosen,
                } = decision
                else {
                    panic!("rejected")
                };
                let failed = chosen == server;
                let outcome = if failed {
                    AttemptOutcome::Failed
                } else {
                    AttemptOutcome::answered(None)
                };
                pool.finish_attempt(Micros(id), request_id, chosen, outcome);
            }
        }
    }
    let summaries = pool.get_summaries();
    let ejected = summaries.iter().filter(|summary| {
        matches!(
            summary.phase,
            ServerPhase::Ejected { .. } | ServerPhase::Probation
        )
    });
    assert!(
        ejected.count() <= 2,
        "at most 34% of 6 servers may be ejected"
    );
}

#[test]
fn eject_then_probation_and_slow_start() {
    let mut pool = pool(
        3,
        PoolConfig {
            slow_start: Micros::from_millis(100),
            ..config_without_overcommit()
        },
    );
    for round in 0..20 {
        // All slots are filled at once; otherwise the policy would avoid the failing server.
        let started: Vec<Decision> = (0..9)
            .flat_map(|n| offer(&mut pool, Micros(round), round * 10 + n))
            .collect();
        for decision in started {
            let Decision::Start { request_id, server } = decision else {
                panic!("rejected")
            };
            let outcome = if server == 0 {
                AttemptOutcome::Failed
            } else {
                AttemptOutcome::answered(None)
            };
            pool.finish_attempt(Micros(round), request_id, server, outcome);
        }
    }
    assert!(matches!(
        pool.get_summaries()[0].phase,
        ServerPhase::Ejected { .. }
    ));
    pool.tick(Micros::from_millis(1100));
    assert_eq!(pool.get_summaries()[0].phase, ServerPhase::Probation);
    // A request that must run at most once is not sent to a server on probation.
    for id in 1000..1006 {
        let request = PendingRequest {
            at_most_once: true,
            ..PendingRequest::new(id, Micros::from_millis(1100), Micros::from_millis(9000))
        };
        let decisions = pool.offer(Micros::from_millis(1100), request);
        assert!(
            decisions
                .iter()
                .all(|decision| matches!(decision, Decision::Start { server, .. } if *server != 0))
        );
    }
    let decisions = pool.offer(
        Micros::from_millis(1100),
        PendingRequest::new(2000, Micros::from_millis(1100), Micros::from_millis(9000)),
    );
    assert_eq!(
        decisions,
        [Decision::Start {
            request_id: 2000,
            server: 0
        }]
    );
    pool.finish_attempt(
        Micros::from_millis(1110),
        2000,
        0,
        AttemptOutcome::answered(None),
    );
    assert!(matches!(
        pool.get_summaries()[0].phase,
        ServerPhase::SlowStart { .. }
    ));
    pool.tick(Micros::from_millis(1300));
    assert_eq!(pool.get_summaries()[0].phase, ServerPhase::Serving);
}

#[test]
fn set_leaving_gets_no_new_request() {
    let mut pool = pool(2, config_without_overcommit());
    offer(&mut pool, Micros::ZERO, 1);
    pool.set_leaving(Micros::ZERO, 0, true);
    for id in 2..20 {
        for decision in offer(&mut pool, Micros::ZERO, id) {
            assert!(matches!(decision, Decision::Start { server: 1, .. }));
        }
    }
}

/// Guards against a limit that falls because the server reports this entry's own overcommitted
/// requests.
#[test]
fn finish_attempt_overcommit_keeps_slots() {
    let mut pool = pool(
        1,
        PoolConfig {
            overcommit: 2,
            ..PoolConfig::default()
        },
    );
    for round in 0..50 {
        let now = Micros(round * 100);
        let started: Vec<Decision> = (0..5)
            .flat_map(|n| offer(&mut pool, now, round * 10 + n))
            .collect();
        assert_eq!(started.len(), 5, "round {round}");
        for decision in started {
            let Decision::Start { request_id, server } = decision else {
                panic!("rejected")
            };
            pool.finish_attempt(
                now,
                request_id,
                server,
                AttemptOutcome::answered(Some(LoadReport::of_requests(5))),
            );
        }
    }
}

#[test]
fn take_due_probes_within_budget() {
    let policy = get_policy("probe-pool").unwrap();
    let mut pool = pool(
        4,
        PoolConfig {
            policy,
            ..PoolConfig::default()
        },
    );
    let seconds = 60;
    let count: usize = (0..seconds * 200)
        .map(|tick| {
            let now = Micros::from_millis(tick * 5);
            let due = pool.take_due_probes(now);
            for server in &due {
                pool.record_load_probe(now, *server, 1, Micros(100), 250.0);
            }
            due.len()
        })
        .sum();
    // 10 probes per second for each of 4 servers, shared by 8 entries.
    let budget = 10.0 / 8.0 * 4.0 * seconds as f64;
    assert!(count as f64 <= budget, "{count} probes, budget {budget}");
    assert!(
        count as f64 > budget * 0.9,
        "{count} probes, budget {budget}"
    );
}

/// Guards against a server that says in an answer that it is leaving and is sent further requests.
#[test]
fn leaving_server_gets_no_requests() {
    let mut pool = pool(2, PoolConfig::default());
    let leaving = ServerNotice {
        leaving: true,
        ..ServerNotice::EMPTY
    };
    assert!(pool.record_notice(Micros::ZERO, 0, None, leaving, NoticeSource::Request));
    assert!(!pool.record_notice(
        Micros::ZERO,
        0,
        None,
        ServerNotice::EMPTY,
        NoticeSource::Request
    ));
    let decisions: Vec<Decision> = (0..6)
        .flat_map(|id| offer(&mut pool, Micros::ZERO, id))
        .collect();
    assert_eq!(decisions.len(), 5);
    let is_at_other = |decision: &Decision| matches!(decision, Decision::Start { server: 1, .. });
    assert!(decisions.iter().all(is_at_other), "{decisions:?}");
    assert!(pool.record_notice(Micros::ZERO, 1, None, leaving, NoticeSource::Probe));
    let rejection = Decision::Reject {
        request_id: 7,
        reason: Rejection::NoServer,
    };
    assert_eq!(offer(&mut pool, Micros::ZERO, 7), [rejection]);
}

/// Guards against what a restarted server says of itself that is recorded for the instance before it, where
/// that is still listed at the address.
#[test]
fn get_server_index_is_that_of_newest_instance() {
    let instance = |id: &str, started_ms| ServerConfig {
        id: id.into(),
        started_ms,
        ..ServerConfig::new(address(0), 3)
    };
    let now = Micros::ZERO;
    for ids in [[("old", 1), ("new", 2)], [("new", 2), ("old", 1)]] {
        let mut pool = ServerPool::new(PoolConfig::default(), 1);
        let servers = ids.map(|(id, started_ms)| instance(id, started_ms));
        pool.set_servers(now, &servers);
        let index = pool.get_server_index(address(0)).unwrap();
        let state = pool.get_server_state(index).unwrap();
        assert_eq!(*state.get_config().id, *"new");
        // The older one counts again once it is the only one.
        pool.set_servers(now, &[instance("old", 1)]);
        let index = pool.get_server_index(address(0)).unwrap();
        let state = pool.get_server_state(index).unwrap();
        assert_eq!(*state.get_config().id, *"old");
    }
}

/// Guards against a request that goes once more to the process which has turned it away, where that is
/// listed under two identifiers, as after a restart, or is listed again while the request waits.
#[test]
fn offer_excluded_address_excludes_every_instance() {
    let instance = |id: &str| ServerConfig {
        id: id.into(),
        ..ServerConfig::new(address(0), 3)
    };
    let other = ServerConfig::new(address(1), 1);
    let now = Micros::ZERO;
    let config = PoolConfig {
        overcommit: 0,
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    pool.set_servers(now, &[instance("old"), instance("new"), other.clone()]);
    let request = |id| PendingRequest {
        excluded: vec![address(0)],
        ..PendingRequest::new(id, now, Micros::from_millis(1000))
    };
    let started = |decisions: Vec<Decision>| -> Vec<usize> {
        let servers = decisions.into_iter().filter_map(|decision| match decision {
            Decision::Start { server, .. } => Some(server),
            Decision::Reject { .. } => None,
        });
        servers.collect()
    };
    assert_eq!(started(pool.offer(now, request(1))), [2]);
    // Waits, since the only server that it may get is full.
    assert_eq!(started(pool.offer(now, request(2))), []);
    pool.set_servers(now, &[instance("old"), instance("newest"), other]);
    assert_eq!(started(pool.tick(now)), []);
    let ended = pool.finish_attempt(now, 1, 2, AttemptOutcome::answered(None));
    assert_eq!(started(ended), [2]);
}
