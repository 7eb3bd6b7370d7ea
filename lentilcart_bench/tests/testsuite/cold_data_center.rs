//! All servers of a data centre come back cold at once, simulated on virtual time with one dispatcher.

use std::collections::VecDeque;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, NoticeSource, PendingRequest, PoolConfig, Restriction, ServerConfig,
    ServerNotice, ServerPool, WarmupRules, WarmupTerm, get_policy,
};
use lentilcart_util::{Map, Micros, seeded_rng};
use rand::RngExt;

const STEP: Micros = Micros::from_millis(5);
const SERVICE_TIME: Micros = Micros::from_millis(180);
/// Factor on the service time while a server is cold.
const COLD_FACTOR: f64 = 2.0;
const WARMUP: Micros = Micros::from_millis(3000);
/// Rate of a cold server, factor on it and number of requests beyond, which a server may get in a second.
const LIMIT: (f64, f64, f64) = (4.6, 1.5, 8.0);
/// Requests in a second from which a cold server crashes: 1.5 times its rate.
const CRASH_COUNT: usize = 7;
/// Time for which a crashed server is down; it is cold when it comes back.
const DOWN_TIME: Micros = Micros::from_millis(1000);
const DEADLINE: Micros = Micros::from_millis(1500);
const SERVERS: u8 = 20;
/// Requests a second at each server of the data centre, of the 16 that a warm one can serve.
const LOAD: f64 = 8.0;
/// When the servers become cold, and the end of the run.
const TIMES: (Micros, Micros) = (Micros::from_millis(3000), Micros::from_millis(12_000));

#[derive(Default, Clone)]
struct Server {
    cold_until: Micros,
    down_until: Micros,
    /// Latest requests that came while it was cold.
    recent: VecDeque<Micros>,
    running: Vec<(Micros, u64)>,
}

#[derive(Debug, Default)]
struct Tally {
    sent: usize,
    served: usize,
    refused: usize,
    /// Refused requests that had waited for longer than a quarter of their time.
    held: usize,
    lost: usize,
    crashes: usize,
    largest_count: usize,
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Runs the load from the moment when the servers of the own data centre become cold; `remote` is the number of
/// warm servers in another one.
fn run(has_limit: bool, remote: u8) -> Tally {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: "a".into(),
        overcommit: 0,
        reserve: 1,
        remote_reserve: 1,
        remote_cost: 0.25,
        ..PoolConfig::default()
    };
    let count = usize::from(SERVERS + remote);
    let servers: Vec<ServerConfig> = (0..SERVERS + remote)
        .map(|number| ServerConfig {
            data_center: if number < SERVERS {
                "a".into()
            } else {
                "b".into()
            },
            ..ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3)
        })
        .collect();
    let mut pool = ServerPool::new(config, 1);
    if has_limit {
        let (rate, overage, slack) = LIMIT;
        let rules = WarmupRules::new(WARMUP, rate, overage, slack);
        pool.set_warmup(ms(0), Some(rules));
    }
    pool.set_servers(ms(0), &servers);
    let term = WarmupTerm {
        data_centers: vec!["a".into()],
        until: Micros(u64::MAX),
    };
    pool.set_warmup_term(ms(0), term);
    let mut states = vec![Server::default(); count];
    let mut tally = Tally::default();
    let mut arrivals: Map<u64, Micros> = Map::default();
    let mut rng = seeded_rng(1);
    let (cold_at, end) = TIMES;
    let (mut now, mut next_id) = (ms(0), 0);
    while now < end {
        now += STEP;
        if now == cold_at {
            for state in &mut states[..usize::from(SERVERS)] {
                state.cold_until = now + WARMUP;
            }
        }
        // Probes and answers tell the pool.
        for (index, state) in states.iter().enumerate() {
            let notice = ServerNotice {
                warmup: Some(state.cold_until - now),
                ..ServerNotice::EMPTY
            };
            pool.record_notice(now, index, None, notice, NoticeSource::Probe);
        }
        let mut decisions = pool.tick(now);
        for (index, state) in states.iter_mut().enumerate() {
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut state.running)
                .into_iter()
                .partition(|(end, _)| *end <= now);
            state.running = running;
            for (_, id) in ended {
                tally.served += usize::from(arrivals[&id] >= cold_at);
                let outcome = AttemptOutcome::answered(None);
                decisions.extend(pool.finish_attempt(now, id, index, outcome));
            }
        }
        let load = LOAD * f64::from(SERVERS) * STEP.as_secs();
        if rng.random_range(0.0..1.0) < load {
            next_id += 1;
            arrivals.insert(next_id, now);
            tally.sent += usize::from(now >= cold_at);
            decisions.extend(pool.offer(now, PendingRequest::new(next_id, now, now + DEADLINE)));
        }
        while let Some(decision) = decisions.pop() {
            let (id, index) = match decision {
                Decision::Start { request_id, server } => (request_id, server),
                Decision::Reject { request_id, .. } => {
                    let arrived = arrivals[&request_id];
                    if arrived >= cold_at {
                        tally.refused += 1;
                        tally.held += usize::from(now - arrived > DEADLINE.scaled(0.25));
                    }
                    continue;
                }
            };
            let state = &mut states[index];
            if now < state.down_until {
                tally.lost += 1;
                let outcome = AttemptOutcome::Unreachable;
                decisions.extend(pool.finish_attempt(now, id, index, outcome));
                continue;
            }
            let is_cold = now < state.cold_until;
            let factor = if is_cold { COLD_FACTOR } else { 1.0 };
            state.running.push((now + SERVICE_TIME.scaled(factor), id));
            if !is_cold {
                continue;
            }
            state.recent.push_back(now);
            state.recent.retain(|at| *at + ms(1000) > now);
            tally.largest_count = tally.largest_count.max(state.recent.len());
            if state.recent.len() > CRASH_COUNT {
                tally.crashes += 1;
                state.recent.clear();
                state.down_until = now + DOWN_TIME;
                state.cold_until = now + DOWN_TIME + WARMUP;
                for (_, id) in std::mem::take(&mut state.running) {
                    tally.lost += 1;
                    let outcome = AttemptOutcome::Failed;
                    decisions.extend(pool.finish_attempt(now, id, index, outcome));
                }
            }
        }
    }
    if remote == 0 && has_limit {
        // While the servers are cold, those that are refused learn when there is room.
        for index in 0..count {
            let notice = ServerNotice {
                warmup: Some(WARMUP),
                ..ServerNotice::EMPTY
            };
            pool.record_notice(now, index, None, notice, NoticeSource::Probe);
        }
        let (room, restriction) = pool.get_restriction(now, None, &[]).unwrap();
        assert_eq!(restriction, Restriction::Warmup);
        assert!(room <= ms(500), "{room:?}");
    }
    tally
}

/// Guards against servers that crash again and again since they get the load of warm ones, and against requests
/// beyond their rate that are held before they are refused.
#[test]
fn cold_data_center_serves_its_rate_and_refuses_the_rest() {
    let before = run(false, 0);
    let after = run(true, 0);
    println!("before {before:?}\nafter {after:?}");
    assert!(before.crashes > 0);
    assert_eq!((after.crashes, after.lost), (0, 0));
    assert!(after.served > before.served);
    assert!(after.held * 20 <= after.refused, "{after:?}");
    // In the warm-up, three quarters of the rate on average; later, all.
    let rest = (TIMES.1 - TIMES.0 - WARMUP).as_secs() * LOAD;
    let possible = f64::from(SERVERS) * (WARMUP.as_secs() * LIMIT.0 * 0.75 + rest);
    assert!(
        after.served as f64 > 0.85 * possible,
        "{after:?}, {possible}"
    );
}

/// Guards against requests that are refused, or sent to cold servers beyond their rate, while another data centre
/// has room.
#[test]
fn other_data_center_serves_what_a_cold_one_does_not() {
    let after = run(true, SERVERS);
    println!("{after:?}");
    assert_eq!((after.crashes, after.lost, after.refused), (0, 0, 0));
}
