use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, Rejection, ServerConfig,
    ServerPhase, ServerPool, get_policy,
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

fn strict() -> PoolConfig {
    PoolConfig {
        overcommit: 0,
        ..PoolConfig::default()
    }
}

fn offer(pool: &mut ServerPool, now: Micros, id: u64) -> Vec<Decision> {
    pool.offer(now, PendingRequest::new(id, now, now + DEADLINE))
}

#[test]
fn offer_waits_for_a_slot() {
    let mut pool = pool(1, strict());
    for id in 0..3 {
        assert_eq!(offer(&mut pool, Micros::ZERO, id).len(), 1);
    }
    assert!(offer(&mut pool, Micros::ZERO, 3).is_empty());
    let steps = pool.finish_attempt(Micros(10), 0, 0, AttemptOutcome::answered(None));
    assert_eq!(
        steps,
        [Decision::Start {
            request_id: 3,
            server: 0
        }]
    );
}

#[test]
fn offer_by_priority() {
    let mut pool = pool(1, strict());
    (0..3).for_each(|id| drop(offer(&mut pool, Micros::ZERO, id)));
    for (id, priority) in [(3, 1), (4, 8), (5, 8)] {
        let job = PendingRequest {
            priority,
            ..PendingRequest::new(id, Micros::ZERO, DEADLINE)
        };
        pool.offer(Micros::ZERO, job);
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

#[test]
fn offer_refused_when_late() {
    let mut pool = pool(1, strict());
    (0..4).for_each(|id| drop(offer(&mut pool, Micros::ZERO, id)));
    assert!(pool.tick(Micros::from_millis(500)).is_empty());
    let steps = pool.tick(Micros::from_millis(501));
    assert_eq!(
        steps,
        [Decision::Reject {
            request_id: 3,
            reason: Rejection::Overload
        }]
    );
}

#[test]
fn offer_without_servers() {
    let mut pool = pool(0, strict());
    let steps = offer(&mut pool, Micros::ZERO, 1);
    assert_eq!(
        steps,
        [Decision::Reject {
            request_id: 1,
            reason: Rejection::NoServer
        }]
    );
}

#[test]
fn eject_bounded_share() {
    let mut pool = pool(6, strict());
    let mut id = 0;
    for server in 0..6 {
        for _ in 0..40 {
            id += 1;
            for step in offer(&mut pool, Micros(id), id) {
                let Decision::Start {
                    request_id,
                    server: chosen,
                } = step
                else {
                    panic!("refused")
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
    let views = pool.get_summaries();
    let ejected = views.iter().filter(|row| {
        matches!(
            row.phase,
            ServerPhase::Ejected { .. } | ServerPhase::Probation
        )
    });
    assert!(ejected.count() <= 2, "at most 34% of 6 servers are ejected");
}

#[test]
fn eject_probation_ramp() {
    let mut pool = pool(
        3,
        PoolConfig {
            slow_start: Micros::from_millis(100),
            ..strict()
        },
    );
    for round in 0..20 {
        // All slots at once, so that the failing server is not simply left out.
        let started: Vec<Decision> = (0..9)
            .flat_map(|n| offer(&mut pool, Micros(round), round * 10 + n))
            .collect();
        for step in started {
            let Decision::Start { request_id, server } = step else {
                panic!("refused")
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
    // A request that runs at most once is not used to try a doubtful server.
    for id in 1000..1006 {
        let job = PendingRequest {
            at_most_once: true,
            ..PendingRequest::new(id, Micros::from_millis(1100), Micros::from_millis(9000))
        };
        let steps = pool.offer(Micros::from_millis(1100), job);
        assert!(
            steps
                .iter()
                .all(|step| matches!(step, Decision::Start { server, .. } if *server != 0))
        );
    }
    let steps = pool.offer(
        Micros::from_millis(1100),
        PendingRequest::new(2000, Micros::from_millis(1100), Micros::from_millis(9000)),
    );
    assert_eq!(
        steps,
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
fn leaving_gets_nothing_new() {
    let mut pool = pool(2, strict());
    offer(&mut pool, Micros::ZERO, 1);
    pool.set_leaving(Micros::ZERO, 0, true);
    for id in 2..20 {
        for step in offer(&mut pool, Micros::ZERO, id) {
            assert!(matches!(step, Decision::Start { server: 1, .. }));
        }
    }
}

#[test]
fn limit_ignores_own_overcommit() {
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
        for step in started {
            let Decision::Start { request_id, server } = step else {
                panic!("refused")
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
fn probes_within_budget() {
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
                pool.record_probe(now, *server, 1, Micros(100), 250.0);
            }
            due.len()
        })
        .sum();
    // 10 probes a second for each server, shared by 8 entries.
    let budget = 10.0 / 8.0 * 4.0 * seconds as f64;
    assert!(count as f64 <= budget, "{count} probes, budget {budget}");
    assert!(
        count as f64 > budget * 0.9,
        "{count} probes, budget {budget}"
    );
}
