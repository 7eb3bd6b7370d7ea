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

/// A run: the dispatcher's pool, the servers, and when each request arrived.
struct Model {
    pool: ServerPool,
    servers: Vec<Server>,
    arrivals: Map<u64, Micros>,
    tally: Tally,
    now: Micros,
}

impl Model {
    /// Creates a run; `remote` is the number of warm servers in another data centre.
    fn new(has_limit: bool, remote: u8) -> Self {
        let config = PoolConfig {
            policy: get_policy("late-paced").unwrap(),
            data_center: "a".into(),
            overcommit: 0,
            reserve: 1,
            remote_reserve: 1,
            remote_cost: 0.25,
            ..PoolConfig::default()
        };
        let servers: Vec<ServerConfig> = (0..SERVERS + remote)
            .map(|number| ServerConfig {
                data_center: if number < SERVERS { "a" } else { "b" }.into(),
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
        Self {
            pool,
            servers: vec![Server::default(); servers.len()],
            arrivals: Map::default(),
            tally: Tally::default(),
            now: ms(0),
        }
    }

    /// Runs the load, during which the servers of the own data centre become cold at once.
    fn run(&mut self) {
        let (cold_at, end) = TIMES;
        let mut rng = seeded_rng(1);
        let mut next_id = 0;
        while self.now < end {
            self.now += STEP;
            if self.now == cold_at {
                for server in &mut self.servers[..usize::from(SERVERS)] {
                    server.cold_until = cold_at + WARMUP;
                }
            }
            self.report_warmth();
            let mut decisions = self.pool.tick(self.now);
            decisions.extend(self.end_requests());
            let load = LOAD * f64::from(SERVERS) * STEP.as_secs();
            if rng.random_range(0.0..1.0) < load {
                next_id += 1;
                self.arrivals.insert(next_id, self.now);
                self.tally.sent += usize::from(self.now >= cold_at);
                let request = PendingRequest::new(next_id, self.now, self.now + DEADLINE);
                decisions.extend(self.pool.offer(self.now, request));
            }
            while let Some(decision) = decisions.pop() {
                match decision {
                    Decision::Start { request_id, server } => {
                        decisions.extend(self.start_request(request_id, server));
                    }
                    Decision::Reject { request_id, .. } => self.record_rejection(request_id),
                }
            }
        }
    }

    /// Tells the pool how long each server is cold, as probes and answers do.
    fn report_warmth(&mut self) {
        for (index, server) in self.servers.iter().enumerate() {
            let notice = ServerNotice {
                warmup: Some(server.cold_until - self.now),
                ..ServerNotice::EMPTY
            };
            let source = NoticeSource::Probe;
            self.pool
                .record_notice(self.now, index, None, notice, source);
        }
    }

    fn end_requests(&mut self) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (index, server) in self.servers.iter_mut().enumerate() {
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut server.running)
                .into_iter()
                .partition(|(end, _)| *end <= self.now);
            server.running = running;
            for (_, id) in ended {
                self.tally.served += usize::from(self.arrivals[&id] >= TIMES.0);
                let outcome = AttemptOutcome::answered(None);
                decisions.extend(self.pool.finish_attempt(self.now, id, index, outcome));
            }
        }
        decisions
    }

    fn record_rejection(&mut self, id: u64) {
        let arrived = self.arrivals[&id];
        if arrived >= TIMES.0 {
            self.tally.refused += 1;
            self.tally.held += usize::from(self.now - arrived > DEADLINE.scaled(0.25));
        }
    }

    /// Starts a request at a server, which crashes if it gets too many while it is cold.
    fn start_request(&mut self, id: u64, index: usize) -> Vec<Decision> {
        let now = self.now;
        let server = &mut self.servers[index];
        if now < server.down_until {
            self.tally.lost += 1;
            let outcome = AttemptOutcome::Unreachable;
            return self.pool.finish_attempt(now, id, index, outcome);
        }
        let is_cold = now < server.cold_until;
        let factor = if is_cold { COLD_FACTOR } else { 1.0 };
        server.running.push((now + SERVICE_TIME.scaled(factor), id));
        if !is_cold {
            return Vec::new();
        }
        server.recent.push_back(now);
        server.recent.retain(|at| *at + ms(1000) > now);
        self.tally.largest_count = self.tally.largest_count.max(server.recent.len());
        if server.recent.len() <= CRASH_COUNT {
            return Vec::new();
        }
        self.tally.crashes += 1;
        server.recent.clear();
        server.down_until = now + DOWN_TIME;
        server.cold_until = now + DOWN_TIME + WARMUP;
        let mut decisions = Vec::new();
        for (_, id) in std::mem::take(&mut server.running) {
            self.tally.lost += 1;
            let outcome = AttemptOutcome::Failed;
            decisions.extend(self.pool.finish_attempt(now, id, index, outcome));
        }
        decisions
    }
}

fn run(has_limit: bool, remote: u8) -> Tally {
    let mut model = Model::new(has_limit, remote);
    model.run();
    model.tally
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

/// Guards against a `Retry-After` that ignores when the servers of a cold data centre have room.
#[test]
fn refused_request_learns_when_cold_servers_have_room() {
    let mut model = Model::new(true, 0);
    for server in &mut model.servers {
        server.cold_until = WARMUP;
    }
    model.report_warmth();
    let (room, restriction) = model.pool.get_restriction(ms(0), None, &[]).unwrap();
    assert_eq!(restriction, Restriction::Warmup);
    assert!(ms(200) <= room && room <= ms(500), "{room:?}");
}
