//! Limit on the requests of cold servers.

use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, NoticeSource, PendingRequest, PoolConfig, Rejection, Restriction,
    ServerConfig, ServerNotice, ServerPool, WarmthSource, WarmupRules, WarmupTerm, get_policy,
};
use lentilcart_util::Micros;

const DEADLINE: Micros = Micros::from_millis(1000);
const DURATION: Micros = Micros::from_millis(3000);
/// Rate of a cold server, and the factor and the number of requests beyond in a second.
const LIMIT: (f64, f64, f64) = (4.6, 1.5, 8.0);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn rules() -> WarmupRules {
    let (rate, overage, slack) = LIMIT;
    WarmupRules::new(DURATION, rate, overage, slack)
}

fn term(until: Micros) -> WarmupTerm {
    WarmupTerm {
        data_centers: vec!["a".into()],
        until,
    }
}

fn cold(millis: u64) -> ServerNotice {
    ServerNotice {
        warmup: Some(ms(millis)),
        ..ServerNotice::EMPTY
    }
}

fn servers(count: u8, started_ms: u64) -> Vec<ServerConfig> {
    (0..count)
        .map(|number| ServerConfig {
            started_ms,
            data_center: "a".into(),
            ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
        })
        .collect()
}

/// Returns a pool of warm servers with a limit for cold ones, and with the right to pace them.
fn pool(count: u8) -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: "a".into(),
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    pool.set_warmup(ms(0), Some(rules()));
    pool.set_servers(ms(0), &servers(count, 1));
    pool.set_warmup_term(ms(0), term(ms(100_000)));
    pool
}

/// Offers a request each 10 ms for a time, each of which takes 20 ms. Returns the starts at server 0, those at
/// others, and the number of rejected requests.
fn run(pool: &mut ServerPool, start: Micros, time: Micros) -> (Vec<Micros>, usize, usize) {
    let (mut starts, mut others, mut rejected) = (Vec::new(), 0, 0);
    let mut running = Vec::new();
    let mut now = start;
    while now < start + time {
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(end, _, _)| *end <= now);
        running = rest;
        let mut decisions = pool.tick(now);
        for (_, request_id, server) in ended {
            let outcome = AttemptOutcome::answered(None);
            decisions.extend(pool.finish_attempt(now, request_id, server, outcome));
        }
        decisions.extend(pool.offer(now, PendingRequest::new(now.0, now, now + DEADLINE)));
        for decision in decisions {
            match decision {
                Decision::Start { request_id, server } => {
                    running.push((now + ms(20), request_id, server));
                    if server == 0 {
                        starts.push(now);
                    } else {
                        others += 1;
                    }
                }
                Decision::Reject { .. } => rejected += 1,
            }
        }
        now += ms(10);
    }
    (starts, others, rejected)
}

/// Guards against a cold server that gets more requests than it takes, and against requests that are rejected
/// although other servers have room.
#[test]
fn cold_server_is_paced_beside_warm_ones() {
    let mut pool = pool(2);
    pool.record_notice(ms(0), 0, None, cold(3000), NoticeSource::Probe);
    let (starts, others, rejected) = run(&mut pool, ms(0), ms(3000));
    assert!((8..=14).contains(&starts.len()), "{starts:?}");
    assert!(others > 0);
    assert_eq!(rejected, 0);
    let (starts, _, _) = run(&mut pool, ms(3000), ms(1000));
    assert!(starts.len() > 20, "{starts:?}");
}

/// Guards against a share of a cold server that does not rise as it warms up.
#[test]
fn pace_rises_during_warmup() {
    let mut pool = pool(2);
    pool.record_notice(ms(0), 0, None, cold(3000), NoticeSource::Probe);
    let (starts, _, _) = run(&mut pool, ms(0), ms(3000));
    let gaps: Vec<Micros> = starts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps[0] >= ms(350), "{gaps:?}");
    assert!(*gaps.last().unwrap() <= ms(260), "{gaps:?}");
}

/// Guards against an entry that sends requests to a cold server without being the one that paces them.
#[test]
fn cold_server_gets_nothing_without_term() {
    for term in [WarmupTerm::default(), term(ms(1))] {
        let mut pool = pool(2);
        pool.set_warmup_term(ms(0), term);
        pool.record_notice(ms(2), 0, None, cold(2000), NoticeSource::Probe);
        let (starts, _, rejected) = run(&mut pool, ms(10), ms(1980));
        assert_eq!((starts, rejected), (vec![], 0));
    }
}

/// Guards against a server of another data centre that this entry sends requests while it is cold.
#[test]
fn cold_remote_server_gets_nothing() {
    let mut pool = pool(2);
    let mut servers = servers(2, 1);
    servers[0].data_center = "b".into();
    servers[0].started_ms = 2;
    pool.set_servers(ms(0), &servers);
    let cold_servers = pool.get_cold_data_centers(ms(0));
    assert_eq!(cold_servers.into_iter().collect::<Vec<_>>(), ["b".into()]);
    let address = servers[0].address;
    assert!(pool.is_cold(ms(2999), address));
    let (starts, _, _) = run(&mut pool, ms(0), ms(2900));
    assert_eq!(starts, []);
}

/// Guards against a new owner that starts a request right after the last one of its predecessor, and against
/// one whose term has lapsed and that begins anew.
#[test]
fn term_waits_for_one_interval() {
    let mut pool = pool(2);
    pool.record_notice(ms(0), 0, None, cold(3000), NoticeSource::Probe);
    pool.set_warmup_term(ms(0), WarmupTerm::default());
    pool.set_warmup_term(ms(1000), term(ms(1500)));
    let (starts, _, _) = run(&mut pool, ms(1000), ms(700));
    assert!(starts[0] >= ms(1200), "{starts:?}");
    assert!(starts.iter().all(|start| *start < ms(1500)), "{starts:?}");
    pool.set_warmup_term(ms(1700), term(ms(3000)));
    let (starts, _, _) = run(&mut pool, ms(1700), ms(700));
    assert!(starts[0] >= ms(1900), "{starts:?}");
}

/// Guards against a server that was restarted at its address, or added during operation, and gets the requests
/// of a warm one; and against servers of the first list that are taken as cold.
#[test]
fn added_server_is_cold_until_it_says_otherwise() {
    let mut pool = pool(2);
    assert_eq!(pool.get_cold_count(ms(1)), 0);
    let restarted = [servers(1, 2), servers(2, 1)[1..].to_vec()].concat();
    pool.set_servers(ms(10), &restarted);
    assert_eq!(pool.get_cold_count(ms(11)), 1);
    let changes = pool.take_warmth_changes(ms(11));
    assert_eq!(changes[0].source, WarmthSource::Start);
    let index = pool.get_server_index(restarted[0].address).unwrap();
    pool.record_notice(ms(12), index, None, cold(0), NoticeSource::Probe);
    assert_eq!(pool.get_cold_count(ms(12)), 0);
    let changes = pool.take_warmth_changes(ms(12));
    assert_eq!(
        (changes[0].source, changes[0].remaining),
        (WarmthSource::Notice, ms(0))
    );
}

/// Guards against an answer from before a warm-up that is read after one that names it and ends it, and against
/// a wrong warm-up that nothing ends.
#[test]
fn older_answer_does_not_end_warmup() {
    let mut pool = pool(1);
    pool.record_notice(ms(0), 0, None, cold(30_000), NoticeSource::Probe);
    pool.record_notice(ms(100), 0, None, cold(0), NoticeSource::Probe);
    pool.record_notice(ms(100), 0, None, cold(500), NoticeSource::Probe);
    assert_eq!(pool.get_cold_count(ms(601)), 1);
    pool.record_notice(ms(1200), 0, None, cold(0), NoticeSource::Probe);
    assert_eq!(pool.get_cold_count(ms(1200)), 0);
}

/// Guards against a registration that is applied again with each list, so that its warm-up does not end.
#[test]
fn registered_warmup_ends_once() {
    let mut pool = pool(1);
    let mut servers = servers(1, 1);
    servers[0].warmup_until = ms(1000);
    pool.set_servers(ms(0), &servers);
    assert_eq!(pool.get_cold_count(ms(999)), 1);
    pool.set_servers(ms(900), &servers);
    assert_eq!(pool.get_cold_count(ms(1000)), 0);
    pool.set_servers(ms(1100), &servers);
    assert_eq!(pool.get_cold_count(ms(1100)), 0);
}

/// Guards against requests beyond the pace that wait where all servers are cold, instead of being rejected at
/// once with the time at which there is room.
#[test]
fn offer_rejects_where_all_servers_are_cold() {
    let mut pool = pool(2);
    for server in 0..2 {
        pool.record_notice(ms(0), server, None, cold(3000), NoticeSource::Probe);
    }
    let offer = |pool: &mut ServerPool, now, id| {
        pool.offer(now, PendingRequest::new(id, now, now + DEADLINE))
    };
    let rejected = (1..=10)
        .filter(|id| {
            let decisions = offer(&mut pool, ms(0), *id);
            let reason = Rejection::Overload;
            decisions
                == [Decision::Reject {
                    request_id: *id,
                    reason,
                }]
        })
        .count();
    assert!((8..=9).contains(&rejected), "{rejected}");
    let (room, restriction) = pool.get_restriction(ms(0), None, &[]).unwrap();
    assert_eq!(restriction, Restriction::Warmup);
    assert!(ms(200) < room && room < ms(450), "{room:?}");
    // Without the right to pace them, there is room when they are warm.
    pool.set_warmup_term(ms(2000), WarmupTerm::default());
    let reason = Rejection::Overload;
    assert_eq!(
        offer(&mut pool, ms(2400), 20),
        [Decision::Reject {
            request_id: 20,
            reason
        }]
    );
    let (starts, others, _) = run(&mut pool, ms(2800), ms(500));
    assert!(starts.iter().all(|start| *start >= ms(3000)) && others > 0);
}

/// Guards against cold servers that are limited although the configuration names no limit.
#[test]
fn cold_server_without_limit_gets_requests() {
    let mut pool = pool(1);
    pool.set_warmup(ms(0), None);
    pool.record_notice(ms(0), 0, None, cold(3000), NoticeSource::Probe);
    pool.set_servers(ms(0), &servers(1, 2));
    assert!(!pool.has_cold_servers(ms(1)));
    let (starts, _, rejected) = run(&mut pool, ms(0), ms(1000));
    assert_eq!((starts.len(), rejected), (100, 0));
}

/// Guards against a pace by which two entries that pace at the same time exceed the limit, with requests that
/// arrive bunched.
#[test]
fn pace_of_two_entries_fits_limit() {
    for (rate, overage, slack) in [LIMIT, (4.6, 1.0, 0.0), (50.0, 1.2, 3.0), (1.0, 1.5, 1.0)] {
        let pace = WarmupRules::new(DURATION, rate, overage, slack).get_pace();
        let in_span = if pace > 0.0 {
            (1.5 * pace).floor() + 1.0
        } else {
            0.0
        };
        assert!(2.0 * in_span <= rate * overage + slack, "{rate}: {in_span}");
        assert!(pace <= rate);
    }
    let (rate, overage, slack) = LIMIT;
    let pace = WarmupRules::new(DURATION, rate, overage, slack).get_pace();
    assert!((pace - rate).abs() < 1e-9, "{pace}");
}

/// Guards against a permit for a server that turned out to be cold after the choice, and against one that is
/// sent long after it was granted.
#[test]
fn permit_from_before_warmup_is_not_sent() {
    let mut pool = pool(1);
    pool.offer(ms(0), PendingRequest::new(1, ms(0), DEADLINE));
    assert!(pool.may_send(ms(0), 1, 0));
    pool.record_notice(ms(5), 0, None, cold(3000), NoticeSource::Probe);
    assert!(!pool.may_send(ms(5), 1, 0));
    pool.finish_attempt(ms(5), 1, 0, AttemptOutcome::Cancelled);
    pool.offer(ms(1000), PendingRequest::new(2, ms(1000), ms(2000)));
    assert!(pool.may_send(ms(1000), 2, 0));
    assert_eq!(pool.get_send_limit(2, 0), Some(ms(1450)));
}

/// Guards against load reports in answers to requests by which a server that has become cold is not probed, and
/// against probes of servers without a limit.
#[test]
fn warmth_is_stale_without_probes() {
    let mut pool = pool(1);
    assert!(pool.is_warmth_stale(ms(0), 0, ms(10)));
    pool.record_probe_answer(ms(100), 0);
    assert!(!pool.is_warmth_stale(ms(149), 0, ms(10)));
    assert!(pool.is_warmth_stale(ms(150), 0, ms(10)));
    assert!(!pool.is_warmth_stale(ms(299), 0, ms(200)));
    pool.set_warmup(ms(300), None);
    assert!(!pool.is_warmth_stale(ms(1000), 0, ms(10)));
}
