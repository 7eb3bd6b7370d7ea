//! Evacuated data centres in a server pool.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, Rejection, ServerConfig, ServerPhase,
    ServerPool, get_policy,
};
use lentilcart_util::{Micros, Name, Set};

const DEADLINE: Micros = Micros::from_millis(1000);
const RAMP: Micros = Micros::from_millis(3000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

/// Returns servers with 3 slots; the data centre of each is `z1` or `z2`, in turn.
fn servers(count: u8) -> Vec<ServerConfig> {
    let numbers = 0..count;
    numbers
        .map(|number| ServerConfig {
            data_center: if number % 2 == 0 { "z1" } else { "z2" }.into(),
            ..ServerConfig::new(address(number), 3)
        })
        .collect()
}

fn pool(count: u8) -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: "z1".into(),
        overcommit: 0,
        return_slow_start: RAMP,
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    pool.set_servers(Micros::ZERO, &servers(count));
    pool
}

fn names(names: &[&str]) -> Set<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn offer(pool: &mut ServerPool, now: Micros, id: u64) -> Vec<Decision> {
    pool.offer(now, PendingRequest::new(id, now, now + DEADLINE))
}

/// Returns the servers of the starts among decisions.
fn starts(decisions: &[Decision]) -> Vec<usize> {
    let starts = decisions.iter().filter_map(|decision| match decision {
        Decision::Start { server, .. } => Some(*server),
        Decision::Reject { .. } => None,
    });
    starts.collect()
}

fn rejections(decisions: &[Decision]) -> Vec<(u64, Rejection)> {
    let rejections = decisions.iter().filter_map(|decision| match decision {
        Decision::Reject { request_id, reason } => Some((*request_id, *reason)),
        Decision::Start { .. } => None,
    });
    rejections.collect()
}

/// Guards against requests that are sent to a server of an evacuated data centre: new ones, queued ones, and
/// hedges.
#[test]
fn evacuated_servers_get_nothing() {
    let mut pool = pool(2);
    pool.set_evacuated(Micros::ZERO, &names(&["z1"]));
    for id in 0..3 {
        assert_eq!(starts(&offer(&mut pool, Micros(id), id)), [1]);
    }
    assert!(offer(&mut pool, Micros(3), 3).is_empty());
    assert!(pool.dispatch(Micros(4)).is_empty());
    assert!(
        pool.get_servers_to_refresh(Micros(4), Micros::ZERO)
            .is_empty()
    );
    let decisions = pool.finish_attempt(Micros(5), 0, 1, AttemptOutcome::answered(None));
    assert_eq!(starts(&decisions), [1]);
    let hedge = PendingRequest {
        excluded: vec![address(1)],
        ..PendingRequest::new(9, Micros(6), DEADLINE)
    };
    assert_eq!(pool.start_hedge(Micros(6), &hedge), None);
    assert!(pool.is_evacuated(address(0)) && !pool.is_evacuated(address(1)));
    assert_eq!(pool.get_evacuated_count(), 1);
}

/// Guards against an attempt that is forgotten when the data centre of its server is evacuated, and against one
/// whose end starts another there.
#[test]
fn evacuation_lets_running_attempts_end() {
    let mut pool = pool(1);
    assert_eq!(starts(&offer(&mut pool, Micros::ZERO, 1)), [0]);
    pool.set_evacuated(Micros(1), &names(&["z1"]));
    assert_eq!(pool.get_server_state(0).unwrap().get_outstanding(), 1);
    pool.finish_attempt(Micros(2), 1, 0, AttemptOutcome::answered(None));
    assert_eq!(pool.get_server_state(0).unwrap().get_outstanding(), 0);
    let rejected = rejections(&offer(&mut pool, Micros(3), 2));
    assert_eq!(rejected, [(2, Rejection::NoServer)]);
    assert!(pool.is_all_evacuated());
}

/// Guards against requests that wait in the queue until their deadline, though no server is left that might get
/// them.
#[test]
fn evacuation_of_all_rejects_queued_requests_at_once() {
    let mut pool = pool(2);
    for id in 0..8 {
        offer(&mut pool, Micros::ZERO, id);
    }
    assert_eq!(pool.get_queue_len(), 2);
    let decisions = pool.set_evacuated(Micros(1), &names(&["z1", "z2"]));
    let rejected = rejections(&decisions);
    assert_eq!(
        rejected,
        [(6, Rejection::NoServer), (7, Rejection::NoServer)]
    );
    assert_eq!(pool.get_queue_len(), 0);
}

/// Guards against queued requests that wait though the servers that are left cannot start them in time, and
/// against a choice that is not by priority.
#[test]
fn evacuation_rejects_what_remaining_servers_cannot_start() {
    let mut pool = pool(10);
    // A service time of 200 ms is learned, so that the waits of queued requests are known.
    for round in 0..200 {
        let now = Micros::from_millis(round * 200);
        let started = starts(&offer(&mut pool, now, round));
        let end = now + Micros::from_millis(200);
        pool.finish_attempt(end, round, started[0], AttemptOutcome::answered(None));
    }
    let now = Micros::from_millis(60_000);
    for id in 1000..1030 {
        assert_eq!(starts(&offer(&mut pool, now, id)).len(), 1);
    }
    for id in 2000..2040 {
        let request = PendingRequest {
            priority: u8::from(id >= 2020),
            ..PendingRequest::new(id, now, now + DEADLINE)
        };
        let decisions = pool.offer(now, request);
        assert!(decisions.is_empty(), "{decisions:?}");
    }
    // One server of ten is left, in z2.
    pool.set_servers(now, &servers(2));
    let rejected = rejections(&pool.set_evacuated(now, &names(&["z1"])));
    assert!(!rejected.is_empty());
    assert!(rejected.len() < 40, "{}", rejected.len());
    assert_eq!(pool.get_queue_len(), 40 - rejected.len());
    // Those of the lower priority, and of the higher one only if none of the lower is left.
    let low = rejected.iter().filter(|(id, _)| *id < 2020).count();
    assert!(low == 20 || low == rejected.len(), "{rejected:?}");
    assert!(
        rejected
            .iter()
            .all(|(_, reason)| *reason == Rejection::Overload)
    );
}

/// Guards against an evacuation that does not hold for servers which are added later, where the data centre was
/// not known.
#[test]
fn evacuation_of_unknown_data_center_holds_for_later_servers() {
    let mut pool = pool(2);
    assert!(pool.set_evacuated(Micros::ZERO, &names(&["z3"])).is_empty());
    assert_eq!(pool.get_evacuated_count(), 0);
    let mut servers = servers(2);
    servers.push(ServerConfig {
        data_center: "z3".into(),
        ..ServerConfig::new(address(9), 3)
    });
    pool.set_servers(Micros(1), &servers);
    assert!(pool.is_evacuated(address(9)));
    let started: Vec<usize> = (0..7)
        .flat_map(|id| starts(&offer(&mut pool, Micros(2), id)))
        .collect();
    assert_eq!(started.len(), 6);
    assert!(!started.contains(&2));
}

/// Guards against slots that stay free for requests of their data centre, which has few, while the requests of an
/// evacuated one are refused.
#[test]
fn evacuated_origin_gets_reserved_slots() {
    for (is_evacuated, expected) in [(false, 2), (true, 3)] {
        let config = PoolConfig {
            remote_reserve: 1,
            ..pool(0).get_config().clone()
        };
        let mut pool = ServerPool::new(config, 1);
        pool.set_servers(Micros::ZERO, &servers(2)[1..]);
        if is_evacuated {
            pool.set_evacuated(Micros::ZERO, &names(&["z1"]));
        }
        let started = (0..4).flat_map(|id| starts(&offer(&mut pool, Micros::ZERO, id)));
        assert_eq!(started.count(), expected);
    }
}

/// Guards against servers that get their full load at once when their data centre is taken back, and against a
/// slow start of servers that were not evacuated.
#[test]
fn servers_taken_back_begin_with_slow_start() {
    let mut pool = pool(2);
    pool.set_evacuated(Micros::ZERO, &names(&["z1"]));
    let back = Micros::from_millis(60_000);
    pool.tick(back);
    pool.set_evacuated(back, &names(&[]));
    let config = pool.get_config().clone();
    let limit = |pool: &ServerPool, now| pool.get_server_state(0).unwrap().get_limit(now, &config);
    assert_eq!(
        pool.get_summaries()[0].phase,
        ServerPhase::SlowStart { since: back }
    );
    assert_eq!(pool.get_summaries()[1].phase, ServerPhase::Serving);
    let mut last = 0;
    for share in [0.0, 0.4, 0.7, 0.99] {
        let now = back + RAMP.scaled(share);
        pool.tick(now);
        let current = limit(&pool, now);
        assert!(
            current >= last && (1..3).contains(&current),
            "{share}: {current}"
        );
        last = current;
    }
    assert_eq!(last, 2);
    pool.tick(back + RAMP);
    assert_eq!(pool.get_summaries()[0].phase, ServerPhase::Serving);
    assert_eq!(limit(&pool, back + RAMP), 3);
}

/// Guards against a pool that changes phases, its queue or its decisions where no data centre is evacuated.
#[test]
fn no_evacuation_changes_nothing() {
    let (mut with, mut without) = (pool(4), pool(4));
    for id in 0..40 {
        let now = Micros::from_millis(id * 7);
        assert!(with.set_evacuated(now, &names(&[])).is_empty());
        let decisions = offer(&mut with, now, id);
        assert_eq!(decisions, offer(&mut without, now, id));
        assert_eq!(with.tick(now), without.tick(now));
        assert_eq!(with.get_summaries(), without.get_summaries());
        if let [Decision::Start { request_id, server }] = decisions[..] {
            for pool in [&mut with, &mut without] {
                let outcome = AttemptOutcome::answered(None);
                pool.finish_attempt(now + Micros(1), request_id, server, outcome);
            }
        }
    }
}
