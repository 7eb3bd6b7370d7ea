//! Rate limits that servers name.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, NoticeSource, PendingRequest, PoolConfig, Rejection, ServerConfig,
    ServerNotice, ServerPool, get_policy,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const DEADLINE: Micros = Micros::from_millis(1000);
/// Time in which the requests to a server are counted against its limit.
const WINDOW: Micros = Micros::from_millis(4000);
/// Factor on what the limit allows in that time that a server may get, and the number of requests beyond.
const ALLOWED: (f64, f64) = (1.5, 5.0);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn limit(per_second: f64) -> ServerNotice {
    ServerNotice {
        rate_limit: Some(per_second),
        ..ServerNotice::EMPTY
    }
}

fn answer(notice: ServerNotice) -> AttemptOutcome {
    AttemptOutcome::Answered { load: None, notice }
}

/// Returns a pool of servers with 3 slots that have started at `started_ms`.
fn pool(count: u8, started_ms: u64) -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    pool.set_servers(Micros::ZERO, &servers(count, started_ms));
    pool
}

fn servers(count: u8, started_ms: u64) -> Vec<ServerConfig> {
    (0..count)
        .map(|number| ServerConfig {
            started_ms,
            ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
        })
        .collect()
}

/// Returns the notice of a server where server 0 names a limit and the others name none.
fn limit_first(per_second: f64) -> impl Fn(usize) -> ServerNotice {
    move |server| match server {
        0 => limit(per_second),
        _ => ServerNotice::default(),
    }
}

/// Offers a request each 10 ms for a time; each that is started is answered at once with the notice of
/// its server. Returns the number of requests that server 0 got, and that of rejected requests.
fn run(
    pool: &mut ServerPool,
    start: Micros,
    time: Micros,
    get_notice: impl Fn(usize) -> ServerNotice,
) -> (usize, usize) {
    let (mut starts, mut rejected) = (0, 0);
    let mut now = start;
    while now < start + time {
        let mut decisions = pool.tick(now);
        decisions.extend(pool.offer(now, PendingRequest::new(now.0, now, now + DEADLINE)));
        while let Some(decision) = decisions.pop() {
            match decision {
                Decision::Start { request_id, server } => {
                    starts += usize::from(server == 0);
                    let outcome = answer(get_notice(server));
                    decisions.extend(pool.finish_attempt(now, request_id, server, outcome));
                }
                Decision::Reject { .. } => rejected += 1,
            }
        }
        now += ms(10);
    }
    (starts, rejected)
}

/// Guards against a server that gets more requests than the limit that it names, though others have room.
#[test]
fn offer_paces_limited_server() {
    let mut pool = pool(2, 1);
    let (starts, rejected) = run(&mut pool, ms(0), ms(10_000), limit_first(2.0));
    assert!((18..=21).contains(&starts), "{starts}");
    assert_eq!(rejected, 0);
}

/// Guards against entries that each use the whole limit.
#[test]
fn offer_paces_by_share() {
    let mut pool = pool(2, 1);
    pool.set_rate_share(0.25);
    let (starts, rejected) = run(&mut pool, ms(0), ms(10_000), limit_first(2.0));
    assert!((4..=6).contains(&starts), "{starts}");
    assert_eq!(rejected, 0);
    pool.set_rate_share(0.0);
    let without_share = run(&mut pool, ms(10_000), ms(10_000), limit_first(2.0));
    assert_eq!(without_share, (0, 0));
}

/// Guards against a limit that outlives the need of the server.
#[test]
fn limit_ends_with_answer_without_one() {
    let mut pool = pool(1, 1);
    pool.record_notice(ms(0), 0, None, limit(1.0), NoticeSource::Request);
    assert!(pool.has_rate_limits());
    let counts = run(&mut pool, ms(0), ms(1000), |_| ServerNotice::default());
    assert!(!pool.has_rate_limits());
    assert_eq!(counts, (100, 0));
}

/// Guards against a probe that ends the limit of a server that names limits in answers to requests only,
/// and against one that does not end the limit of a server that names them in answers to probes as well.
#[test]
fn limit_ends_with_probe_only_where_probes_name_limits() {
    let mut pool = pool(1, 1);
    pool.record_notice(ms(0), 0, None, limit(1.0), NoticeSource::Request);
    assert!(!pool.record_notice(ms(0), 0, None, ServerNotice::default(), NoticeSource::Probe));
    assert!(pool.has_rate_limits());
    assert!(!pool.record_notice(ms(0), 0, None, limit(1.0), NoticeSource::Probe));
    assert!(pool.record_notice(ms(0), 0, None, ServerNotice::default(), NoticeSource::Probe));
    assert!(!pool.has_rate_limits());
}

/// Guards against a notice that another entry passes on for another reason and that ends a limit, and
/// against one that makes probes end it.
#[test]
fn limit_does_not_end_with_notice_of_peer() {
    let mut pool = pool(1, 1);
    let source = NoticeSource::Peer;
    assert!(pool.record_notice(ms(0), 0, None, limit(1.0), source));
    assert!(!pool.record_notice(ms(0), 0, None, ServerNotice::EMPTY, source));
    assert!(!pool.record_notice(ms(0), 0, None, ServerNotice::EMPTY, NoticeSource::Probe));
    assert!(pool.has_rate_limits());
    assert!(pool.record_notice(ms(0), 0, None, ServerNotice::EMPTY, NoticeSource::Request));
    assert!(!pool.has_rate_limits());
}

/// Guards against the limit of an instance that is kept for the next one at its address.
#[test]
fn limit_ends_with_instance() {
    let mut pool = pool(1, 1);
    pool.record_notice(ms(0), 0, None, limit(0.0), NoticeSource::Request);
    pool.set_servers(ms(10), &servers(1, 2));
    assert!(!pool.has_rate_limits());
    let (_, rejected) = run(&mut pool, ms(10), ms(1000), |_| ServerNotice::default());
    assert_eq!(rejected, 0);
}

/// Guards against a request that waits for a turn that comes too late for it, instead of being rejected
/// at once, and against one that is rejected although its turn comes in time.
#[test]
fn offer_rejects_without_turn_in_time() {
    let mut pool = pool(1, 1);
    pool.record_notice(ms(0), 0, None, limit(2.5), NoticeSource::Request);
    let offer = |pool: &mut ServerPool, now, id| {
        pool.offer(now, PendingRequest::new(id, now, now + DEADLINE))
    };
    let rejection = |request_id| Decision::Reject {
        request_id,
        reason: Rejection::Overload,
    };
    let first = offer(&mut pool, ms(0), 1);
    assert!(matches!(first[..], [Decision::Start { .. }]));
    // The next turns are at 400 and 800 ms, and a request may wait for half of its 1000 ms.
    assert_eq!(offer(&mut pool, ms(0), 2), []);
    assert_eq!(offer(&mut pool, ms(0), 3), [rejection(3)]);
    pool.set_rate_share(0.0);
    assert_eq!(offer(&mut pool, ms(1), 4), [rejection(4)]);
}

/// Guards against a server with a limit of zero that never gets a request whose answer could end it.
#[test]
fn limit_of_zero_leaves_trial_requests() {
    let mut pool = pool(2, 1);
    let (starts, _) = run(&mut pool, ms(0), ms(60_000), limit_first(0.0));
    assert!((5..=8).contains(&starts), "{starts}");
}

proptest! {
    /// Guards against an order of arrivals and lost owners in which a server gets more than its limit
    /// allows from all entries together.
    #[test]
    fn starts_of_all_entries_keep_limit(
        per_second in 0.0..20.0_f64,
        entries in 1..5_usize,
        gaps in prop::collection::vec(1..200_u64, 200),
        // At this arrival, another entry takes the place of an owner that has stopped.
        lost_at in 0..200_usize,
    ) {
        let notice = limit(per_second);
        let new_pool = || {
            let mut pool = pool(1, 1);
            pool.record_notice(ms(0), 0, None, notice, NoticeSource::Request);
            pool.set_rate_share(1.0 / entries as f64);
            pool
        };
        let mut pools: Vec<ServerPool> = (0..entries).map(|_| new_pool()).collect();
        let (mut now, mut starts) = (ms(0), Vec::new());
        for (index, gap) in gaps.into_iter().enumerate() {
            now += ms(gap);
            if index == lost_at {
                pools[0] = new_pool();
            }
            for pool in &mut pools {
                let mut decisions = pool.tick(now);
                decisions.extend(pool.offer(now, PendingRequest::new(now.0, now, now + DEADLINE)));
                while let Some(decision) = decisions.pop() {
                    if let Decision::Start { request_id, server } = decision {
                        starts.push(now);
                        let outcome = answer(notice);
                        decisions.extend(pool.finish_attempt(now, request_id, server, outcome));
                    }
                }
            }
        }
        let allowed = per_second * ALLOWED.0 * WINDOW.as_secs() + ALLOWED.1;
        for (index, start) in starts.iter().enumerate() {
            let in_window = starts[index..].iter().take_while(|at| **at - *start < WINDOW);
            let count = in_window.count() as f64;
            prop_assert!(count <= allowed, "{count} requests, allowed {allowed}");
        }
    }
}
