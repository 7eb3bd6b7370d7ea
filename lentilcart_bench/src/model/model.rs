use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, MAX_PREFLIGHT_PROBES, PendingRequest, PoolConfig, ServerConfig,
    ServerPool, get_policy, has_slowed_down,
};
use lentilcart_util::{Map, Micros, Rng, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;

use super::server::{ServerModel, Taken};

/// Way between the desk and a server.
const WAY: Micros = Micros(700);
/// Time until a question about load is answered.
const ASKED: Micros = Micros(1500);
const TICK: Micros = Micros::from_millis(15);
/// Spread of the logarithm of work, and the share and factor of stragglers.
const SPREAD: f64 = 0.3;
const STRAGGLERS: f64 = 0.03;
const STRAGGLER_TIMES: f64 = 7.0;

/// What the servers are like, and how the desk is set.
#[derive(Debug, Clone, Copy)]
pub struct World {
    /// Number of servers.
    pub servers: usize,
    /// Share of the time that each is slow for.
    pub noise: f64,
    /// Mean time of work at an idle server of the usual speed.
    pub work: Micros,
    /// Time within which an answer is prompt.
    pub objective: Micros,
    /// Time that callers wait.
    pub deadline: Micros,
    /// Age of a report from which a server is asked before it gets a request.
    pub check: Micros,
    /// The same while requests wait.
    pub wait_check: Micros,
}

/// Requests a second, by phases.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// When the phase begins.
    pub from: Micros,
    /// Requests a second in it.
    pub rate: f64,
}

/// What became of the requests of a phase.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Tally {
    /// Requests sent by callers.
    pub asked: u32,
    /// Requests answered within the objective.
    pub prompt: u32,
    /// Requests answered later.
    pub late: u32,
    /// Requests refused.
    pub refused: u32,
    /// Questions to servers before a request was sent.
    pub checks: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Tick,
    Checked(u64, usize),
    Reported(usize),
    Reach(u64, usize),
    End(u64, usize),
}

struct Request {
    job: PendingRequest,
    work: Micros,
    phase: usize,
    asked: u32,
    before: f64,
}

struct Play {
    world: World,
    pool: ServerPool,
    servers: Vec<ServerModel>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    requests: Map<u64, Request>,
    tallies: Vec<Tally>,
    serial: u64,
    rng: Rng,
}

/// Plays the phases of a load until `ends`, and returns a tally of each.
#[must_use]
pub fn play(
    world: World,
    config: impl FnOnce(&mut PoolConfig),
    phases: &[Load],
    ends: Micros,
    seed: u64,
) -> Vec<Tally> {
    let mut settings = PoolConfig {
        policy: get_policy("late-paced").expect("the policy is listed"),
        overcommit: 0,
        ..PoolConfig::default()
    };
    config(&mut settings);
    let mut pool = ServerPool::new(settings, seed);
    let rows: Vec<ServerConfig> = (0..world.servers)
        .map(|index| ServerConfig::new(address_of(index), 3))
        .collect();
    pool.set_servers(Micros::ZERO, &rows);
    let model = |index| ServerModel::new(world.noise, seed << 16 | index as u64);
    let mut play = Play {
        world,
        pool,
        servers: (0..world.servers).map(model).collect(),
        events: BinaryHeap::new(),
        requests: Map::default(),
        tallies: vec![Tally::default(); phases.len()],
        serial: 0,
        rng: seeded_rng(seed),
    };
    play.add(Micros::ZERO, Event::Arrive);
    play.add(TICK, Event::Tick);
    while let Some(Reverse((now, _, event))) = play.events.pop() {
        match event {
            Event::Arrive if now < ends => play.arrive(now, phases),
            Event::Tick if now < ends + world.deadline => play.tick(now),
            Event::Arrive | Event::Tick => {}
            Event::Checked(job, server) => play.checked(now, job, server),
            Event::Reported(server) => {
                let load = play.servers[server].report(now);
                play.pool.record_load_report(now, server, load);
                let steps = play.pool.dispatch(now);
                play.apply(now, steps);
            }
            Event::Reach(job, server) => play.reach(now, job, server),
            Event::End(job, server) => play.end(now, job, server),
        }
    }
    play.tallies
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 80))
}

impl Play {
    fn add(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((at, self.serial, event)));
    }

    fn arrive(&mut self, now: Micros, phases: &[Load]) {
        let phase = phases
            .iter()
            .rposition(|load| load.from <= now)
            .unwrap_or(0);
        let pause = Exp::new(phases[phase].rate).expect("the rate is above 0");
        let pause = Micros((pause.sample(&mut self.rng) * 1e6) as u64);
        self.add(now + pause, Event::Arrive);
        self.serial += 1;
        let id = self.serial;
        let job = PendingRequest {
            objective: now + self.world.objective,
            ..PendingRequest::new(id, now, now + self.world.deadline)
        };
        let request = Request {
            job: job.clone(),
            work: self.draw_work(),
            phase,
            asked: 0,
            before: 0.0,
        };
        self.requests.insert(id, request);
        self.tallies[phase].asked += 1;
        let steps = self.pool.offer(now, job);
        self.apply(now, steps);
    }

    fn draw_work(&mut self) -> Micros {
        let spread = LogNormal::new(-SPREAD * SPREAD / 2.0, SPREAD).expect("the spread is finite");
        let straggler = if self.rng.random::<f64>() < STRAGGLERS {
            STRAGGLER_TIMES
        } else {
            1.0
        };
        let usual = 1.0 + STRAGGLERS * (STRAGGLER_TIMES - 1.0);
        let times = spread.sample(&mut self.rng) * straggler / usual;
        self.world.work.scaled(times)
    }

    fn apply(&mut self, now: Micros, steps: Vec<Decision>) {
        for step in steps {
            match step {
                Decision::Start { request_id, server } => self.start(now, request_id, server),
                Decision::Reject { request_id, .. } => {
                    if let Some(request) = self.requests.remove(&request_id) {
                        self.tallies[request.phase].refused += 1;
                    }
                }
            }
        }
    }

    fn start(&mut self, now: Micros, job: u64, server: usize) {
        let row = self.pool.get_server_state(server);
        let age = row.and_then(|row| row.get_report_age(now));
        let Some(request) = self.requests.get_mut(&job) else {
            return;
        };
        if request.asked < MAX_PREFLIGHT_PROBES && age.is_none_or(|age| age >= self.world.check) {
            request.asked += 1;
            request.before = self.pool.get_expected_latency(now, server);
            self.tallies[request.phase].checks += 1;
            self.add(now + ASKED, Event::Checked(job, server));
        } else {
            self.send(now, job, server);
        }
    }

    fn send(&mut self, now: Micros, job: u64, server: usize) {
        self.pool.restart_attempt(now, job, server);
        self.add(now + WAY, Event::Reach(job, server));
    }

    fn checked(&mut self, now: Micros, job: u64, server: usize) {
        let load = self.servers[server].report(now);
        self.pool.record_load_report(now, server, load);
        let after = self.pool.get_expected_latency(now, server);
        let Some(request) = self.requests.get(&job) else {
            return;
        };
        if !has_slowed_down(request.before, after) {
            return self.send(now, job, server);
        }
        let again = request.job.clone();
        let mut steps = self
            .pool
            .finish_attempt(now, job, server, AttemptOutcome::Cancelled);
        steps.extend(self.pool.offer(now, again));
        self.apply(now, steps);
    }

    fn reach(&mut self, now: Micros, job: u64, server: usize) {
        let Some(request) = self.requests.get(&job) else {
            return;
        };
        match self.servers[server].take(now, job, request.work) {
            Taken::Begun(ends) => self.add(ends, Event::End(job, server)),
            Taken::Waits => {}
            Taken::Full => {
                let again = request.job.clone();
                let load = Some(self.servers[server].report(now));
                let mut steps =
                    self.pool
                        .finish_attempt(now, job, server, AttemptOutcome::Full { load });
                steps.extend(self.pool.offer(now, again));
                self.apply(now, steps);
            }
        }
    }

    fn end(&mut self, now: Micros, job: u64, server: usize) {
        if let Some((next, ends)) = self.servers[server].end(now) {
            self.add(ends, Event::End(next, server));
        }
        let load = Some(self.servers[server].report(now));
        let at = now + WAY;
        if let Some(request) = self.requests.remove(&job) {
            let tally = &mut self.tallies[request.phase];
            if at <= request.job.objective {
                tally.prompt += 1;
            } else {
                tally.late += 1;
            }
        }
        let steps = self
            .pool
            .finish_attempt(at, job, server, AttemptOutcome::answered(load));
        self.apply(at, steps);
    }

    fn tick(&mut self, now: Micros) {
        self.add(now + TICK, Event::Tick);
        let steps = self.pool.tick(now);
        self.apply(now, steps);
        for address in self.pool.get_stale_servers(now, self.world.wait_check) {
            if let Some(server) = self.pool.get_server_index(address) {
                self.add(now + ASKED, Event::Reported(server));
            }
        }
    }
}
