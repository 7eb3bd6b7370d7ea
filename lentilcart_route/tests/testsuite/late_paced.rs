//! Choice by reports of load and speed, for servers whose load shifts in milliseconds.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, RetryLimits, ServerConfig,
    ServerPhase, ServerPool, get_policy,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const NEAR: &str = "z1";

fn config() -> PoolConfig {
    PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: NEAR.into(),
        overcommit: 0,
        remote_reserve: 1,
        remote_cost: 0.25,
        wait_share: 1.0,
        initial_retries: 0.0,
        ..PoolConfig::default()
    }
}

fn server(number: u8, center: &str) -> ServerConfig {
    ServerConfig {
        data_center: center.into(),
        ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
    }
}

fn pool(centers: &[&str]) -> ServerPool {
    let mut pool = ServerPool::new(config(), 1);
    let servers = centers.iter().zip(0..);
    let servers: Vec<_> = servers
        .map(|(center, number)| server(number, center))
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    pool
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// A request with an objective of 200 ms and a deadline of 1200 ms.
fn job(id: u64, arrived: Micros) -> PendingRequest {
    PendingRequest {
        objective: arrived + ms(200),
        ..PendingRequest::new(id, arrived, arrived + ms(1200))
    }
}

fn load(running: u32, slowdown: f64) -> LoadReport {
    LoadReport {
        running,
        waiting: 0,
        slots: Some(3),
        slowdown: Some(slowdown),
    }
}

fn started(steps: &[Decision]) -> Vec<(u64, usize)> {
    let start = |step: &Decision| match step {
        Decision::Start { request_id, server } => Some((*request_id, *server)),
        Decision::Reject { .. } => None,
    };
    steps.iter().filter_map(start).collect()
}

#[test]
fn noisy_neighbour_is_avoided() {
    let mut pool = pool(&[NEAR, NEAR]);
    pool.record_load_report(ms(0), 0, load(0, 4.0));
    pool.record_load_report(ms(0), 1, load(0, 1.0));
    for id in 0..2 {
        assert_eq!(started(&pool.offer(ms(5), job(id, ms(5)))), [(id, 1)]);
    }
}

#[test]
fn old_report_of_speed_counts_no_more() {
    let mut pool = pool(&[NEAR, NEAR]);
    pool.record_load_report(ms(0), 0, load(0, 4.0));
    pool.record_load_report(ms(0), 1, load(0, 1.0));
    let now = ms(3000);
    let first = (0..20).map(|id| {
        let server = started(&pool.offer(now, job(id, now)))[0].1;
        pool.finish_attempt(now, id, server, AttemptOutcome::Cancelled);
        server
    });
    let first: Vec<usize> = first.collect();
    assert!(first.contains(&0) && first.contains(&1), "{first:?}");
}

#[test]
fn slow_server_is_not_given_what_can_be_prompt_elsewhere() {
    let mut pool = pool(&[NEAR, NEAR]);
    pool.record_load_report(ms(0), 0, load(0, 6.0));
    pool.record_load_report(ms(0), 1, load(3, 1.0));
    // The fast one is full and the slow one idle: requests wait for the fast one.
    let held = pool.offer(ms(1), job(1, ms(1)));
    assert!(held.is_empty());
    pool.record_load_report(ms(20), 1, load(0, 1.0));
    assert_eq!(started(&pool.dispatch(ms(20))), [(1, 1)]);
}

#[test]
fn slow_server_is_taken_where_no_other_is_faster() {
    let mut pool = pool(&[NEAR]);
    pool.record_load_report(ms(0), 0, load(0, 6.0));
    assert_eq!(started(&pool.offer(ms(1), job(1, ms(1)))), [(1, 0)]);
}

#[test]
fn slow_server_is_not_given_late_requests_either() {
    let mut pool = pool(&[NEAR, NEAR]);
    pool.record_load_report(ms(0), 1, load(3, 1.0));
    assert!(
        pool.offer(
            ms(0),
            PendingRequest {
                at_most_once: true,
                excluded: vec![0],
                ..job(1, ms(0))
            }
        )
        .is_empty()
    );
    pool.record_load_report(ms(300), 0, load(0, 6.0));
    pool.record_load_report(ms(300), 1, load(3, 1.0));
    // It would take the slot of three requests that can be prompt.
    assert!(pool.offer(ms(300), job(2, ms(0))).is_empty());
    pool.record_load_report(ms(310), 1, load(0, 1.0));
    assert_eq!(started(&pool.dispatch(ms(310))), [(1, 1), (2, 1)]);
}

#[test]
fn waiting_requests_make_doubtful_servers_known() {
    let mut pool = pool(&[NEAR, NEAR, "z2"]);
    for server in 0..3 {
        pool.record_load_report(ms(0), server, load(0, 6.0));
    }
    pool.record_load_report(ms(0), 1, load(3, 1.0));
    assert!(pool.get_stale_servers(ms(50), ms(40)).is_empty());
    assert!(pool.offer(ms(1), job(1, ms(1))).is_empty());
    assert!(pool.get_stale_servers(ms(30), ms(40)).is_empty());
    // Not the far one.
    assert_eq!(pool.get_stale_servers(ms(50), ms(40)).len(), 2);
}

#[test]
fn usual_work_does_not_grow_with_load() {
    // The third request at a server of three slots takes 1.7 times as long.
    let mut pool = pool(&[NEAR]);
    for round in 0..200 {
        let now = ms(round * 200);
        pool.record_load_report(now, 0, load(0, 1.0));
        for id in 0..3 {
            pool.offer(now, job(round * 3 + id, now));
        }
        for (id, took) in [(0, 50), (1, 50), (2, 85)] {
            pool.finish_attempt(
                now + ms(took),
                round * 3 + id,
                0,
                AttemptOutcome::answered(None),
            );
        }
    }
    let work = pool.get_service_time().unwrap().as_millis();
    assert!((45.0..55.0).contains(&work), "{work}");
}

#[test]
fn overload_of_many_servers_keeps_a_slot_of_each_free() {
    let given = |reserve: u32| {
        let mut pool = ServerPool::new(
            PoolConfig {
                reserve,
                ..config()
            },
            1,
        );
        let servers: Vec<_> = (0..10).map(|number| server(number, NEAR)).collect();
        pool.set_servers(Micros::ZERO, &servers);
        let mut running = Vec::new();
        for id in 0..90 {
            running.extend(started(&pool.offer(ms(0), job(id, ms(0)))));
        }
        // Each answer makes room for one of those that wait.
        for (id, at) in running {
            pool.finish_attempt(ms(30), id, at, AttemptOutcome::answered(None));
        }
        let views = pool.get_summaries();
        views.iter().map(|row| row.outstanding).max()
    };
    assert_eq!((given(0), given(1)), (Some(3), Some(2)));
}

#[test]
fn load_of_other_entries_is_spared() {
    let mut pool = pool(&[NEAR, NEAR]);
    pool.record_load_report(ms(0), 0, load(3, 1.0));
    pool.record_load_report(ms(0), 1, load(0, 1.0));
    assert_eq!(started(&pool.offer(ms(1), job(1, ms(1)))), [(1, 1)]);
}

#[test]
fn own_data_center_first_far_one_when_slow() {
    let mut pool = pool(&[NEAR, "z2"]);
    pool.record_load_report(ms(0), 0, load(0, 1.0));
    pool.record_load_report(ms(0), 1, load(0, 1.0));
    assert_eq!(started(&pool.offer(ms(1), job(1, ms(1)))), [(1, 0)]);
    pool.record_load_report(ms(2), 0, load(0, 6.0));
    assert_eq!(started(&pool.offer(ms(2), job(2, ms(2)))), [(2, 1)]);
}

#[test]
fn overload_does_not_change_places() {
    // All near slots are taken; one slot of each far server stays free for its own data centre.
    let mut pool = pool(&[NEAR, "z2"]);
    let steps = (0..10).flat_map(|id| pool.offer(ms(0), job(id, ms(0))));
    let steps: Vec<Decision> = steps.collect();
    let far = started(&steps)
        .iter()
        .filter(|(_, server)| *server == 1)
        .count();
    assert_eq!((started(&steps).len(), far), (5, 2));
}

#[test]
fn overload_serves_whom_it_can_serve_in_time() {
    let mut pool = pool(&[NEAR]);
    for id in 0..3 {
        pool.offer(ms(0), job(id, ms(0)));
    }
    // One has waited past its objective, one nearly, one has just come.
    for (id, at) in [(10, 0), (11, 60), (12, 240)] {
        assert!(pool.offer(ms(at), job(id, ms(at))).is_empty());
    }
    let next = |pool: &mut ServerPool, id| {
        let steps = pool.finish_attempt(ms(250), id, 0, AttemptOutcome::answered(None));
        started(&steps).first().map(|(job, _)| *job)
    };
    assert_eq!(next(&mut pool, 0), Some(12));
    assert_eq!(next(&mut pool, 1), Some(11));
    // The late one is served too, when nobody else waits.
    assert_eq!(next(&mut pool, 2), Some(10));
}

#[test]
fn short_queue_is_served_in_order() {
    let mut pool = pool(&[NEAR]);
    for id in 0..3 {
        pool.offer(ms(0), job(id, ms(0)));
    }
    for (id, at) in [(10, 1), (11, 2)] {
        pool.offer(ms(at), job(id, ms(at)));
    }
    let steps = pool.finish_attempt(ms(20), 0, 0, AttemptOutcome::answered(None));
    assert_eq!(started(&steps), [(10, 0)]);
}

#[test]
fn grey_server_gets_little() {
    // It fails what it gets at once, and looks idle.
    let mut pool = pool(&[NEAR, NEAR, NEAR]);
    let mut given = [0; 3];
    for id in 0..300 {
        let now = ms(id * 10);
        let steps = pool.offer(now, job(id, now));
        let (_, server) = started(&steps)[0];
        given[server] += 1;
        let outcome = if server == 0 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::answered(None)
        };
        pool.finish_attempt(now + ms(1), id, server, outcome);
    }
    assert!(given[0] < 30, "{given:?}");
}

#[test]
fn silent_server_is_ejected() {
    let mut pool = pool(&[NEAR, NEAR, NEAR]);
    pool.record_probe_failure(ms(0), 0);
    pool.record_probe_failure(ms(50), 0);
    assert!(matches!(
        pool.get_summaries()[0].phase,
        ServerPhase::Ejected { .. }
    ));
}

#[test]
fn restart_under_the_same_name_begins_anew() {
    let mut pool = pool(&[NEAR]);
    for id in 0..3 {
        pool.offer(ms(0), job(id, ms(0)));
    }
    let restarted = ServerConfig {
        started_ms: 7,
        ..server(0, NEAR)
    };
    pool.set_servers(ms(1), &[restarted]);
    assert_eq!(started(&pool.offer(ms(1), job(9, ms(1)))).len(), 1);
}

proptest! {
    /// Whatever entries do, each within its part, retries stay within the ratio and the burst.
    #[test]
    fn retries_stay_within_the_shared_budget(
        answered in proptest::collection::vec(any::<bool>(), 1..400),
        entries in 1_usize..6,
    ) {
        let (ratio, burst) = (0.2, 56.0);
        let limits = RetryLimits { ratio, burst: burst / entries as f64, hedge: 0.0 };
        let config = PoolConfig { retry: limits, ..config() };
        let mut pools: Vec<ServerPool> = (0..entries)
            .map(|seed| {
                let mut pool = ServerPool::new(config.clone(), seed as u64);
                pool.set_servers(Micros::ZERO, &[server(0, NEAR)]);
                pool
            })
            .collect();
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (id, good) in answered.into_iter().enumerate() {
            let pool = &mut pools[id % entries];
            let now = ms(id as u64);
            requests += 1;
            for (_, at) in started(&pool.offer(now, job(id as u64, now))) {
                let outcome = if good { AttemptOutcome::answered(None) } else { AttemptOutcome::Cancelled };
                pool.finish_attempt(now, id as u64, at, outcome);
            }
            retries += u32::from(pool.take_retry_token());
        }
        prop_assert!(f64::from(retries) <= ratio * f64::from(requests) + burst);
    }
}
