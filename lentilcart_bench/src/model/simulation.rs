use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, MAX_PREFLIGHT_PROBES, PendingRequest, PoolConfig, ServerConfig,
    ServerNotice, ServerPool, get_policy, is_latency_much_higher,
};
use lentilcart_util::{Map, Micros, Rng, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};
use serde::Serialize;

use super::server_model::{Admission, ServerModel};

/// One-way network latency between the dispatcher and a server.
const ONE_WAY_LATENCY: Micros = Micros(700);
/// Time from sending a probe until its load report arrives.
const PROBE_DELAY: Micros = Micros(1500);
/// Interval of the pool's periodic work.
const TICK_INTERVAL: Micros = Micros::from_millis(15);
/// Standard deviation of the logarithm of the service time, which is log-normal.
const SERVICE_TIME_SIGMA: f64 = 0.3;
/// Share of requests that are stragglers.
const STRAGGLER_SHARE: f64 = 0.03;
/// Service time of a straggler, as a multiple of that of another request; the bench has its own factor,
/// [`STRAGGLER_FACTOR`](crate::cluster::STRAGGLER_FACTOR).
const STRAGGLER_FACTOR: f64 = 7.0;

/// Settings of the model: servers, objective and deadline of the requests, and probing by the
/// dispatcher.
#[derive(Debug, Clone, Copy)]
pub struct ModelConfig {
    /// Number of servers.
    pub servers: usize,
    /// Share of the time that each server is slow, from 0 to 1.
    pub slow_share: f64,
    /// Mean service time at an idle server that is not slow.
    pub service_time: Micros,
    /// Latency up to which a response counts as prompt.
    pub objective: Micros,
    /// Deadline of each request, from its arrival. Only the pool acts on it: callers do not give up.
    pub deadline: Micros,
    /// Age from which a load report is too old to send a request on it: the server is probed first.
    pub probe_age: Micros,
    /// Age from which a server's load report is renewed by a probe while requests are queued.
    pub queued_probe_age: Micros,
    /// Share of the servers that are in need, from 0 to 1.
    pub need_share: f64,
    /// Requests a second that a server in need accepts; it turns others away.
    pub need_limit: f64,
    /// Whether servers in need name that limit in their answers.
    pub names_limit: bool,
}

/// A phase of the load with a constant mean rate.
#[derive(Debug, Clone, Copy)]
pub struct LoadPhase {
    /// Start of the phase, since the start of the run.
    pub starts_at: Micros,
    /// Mean arrival rate, in requests per second; arrivals are a Poisson process.
    pub rate: f64,
}

/// Counts of the requests that arrived in a phase, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PhaseTally {
    /// Requests sent by callers.
    #[serde(rename = "asked")]
    pub sent: u32,
    /// Requests answered within the objective ([`ModelConfig::objective`]).
    pub prompt: u32,
    /// Requests answered after the objective, even after the deadline.
    pub late: u32,
    /// Requests rejected by the dispatcher.
    #[serde(rename = "refused")]
    pub rejected: u32,
    /// Preflight probes: those of a server chosen for a request, before it is sent or offered to the
    /// pool again. Probes that renew load reports are not counted.
    #[serde(rename = "checks")]
    pub preflight_probes: u32,
    /// Requests that a server turned away, counted each time.
    pub turned_away: u32,
}

/// Something that happens at a virtual time.
///
/// A request is given by its id, a server by its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next request arrives.
    Arrival,
    /// The pool's periodic work is due.
    Tick,
    /// A server (second) answers the preflight probe for a request (first).
    PreflightReply(u64, usize),
    /// A server answers a probe that renews its load report, for no request in particular.
    RefreshReply(usize),
    /// A request (first) reaches a server (second).
    ReachServer(u64, usize),
    /// A request (first) completes at a server (second).
    Completion(u64, usize),
}

/// A request that has not been answered or rejected.
struct ModelRequest {
    pending: PendingRequest,
    service_time: Micros,
    /// Index of the phase in which it arrived.
    phase: usize,
    /// Preflight probes sent for it so far; at most [`MAX_PREFLIGHT_PROBES`].
    probe_count: u32,
    /// Expected latency at the chosen server before the last preflight probe, in base service times.
    factor_before: f64,
}

/// State of a run of the discrete-event simulation.
struct Simulation {
    config: ModelConfig,
    pool: ServerPool,
    servers: Vec<ServerModel>,
    /// Due time, sequence number and event; the sequence number orders events of one time.
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    requests: Map<u64, ModelRequest>,
    tallies: Vec<PhaseTally>,
    /// Last number given to an event or a request.
    sequence: u64,
    rng: Rng,
}

/// Simulates the phases of a load on virtual time and returns the tally of each.
///
/// Requests arrive until `end`; the run goes on until those that were sent have completed.
/// `configure` changes the pool's settings from the defaults of the model: policy `late-paced` and no
/// overcommit.
///
/// # Panics
///
/// Panics if the rate of a phase is negative.
#[must_use]
pub fn simulate(
    config: ModelConfig,
    configure: impl FnOnce(&mut PoolConfig),
    phases: &[LoadPhase],
    end: Micros,
    seed: u64,
) -> Vec<PhaseTally> {
    let mut pool_config = PoolConfig {
        policy: get_policy("late-paced").expect("the policy is listed"),
        overcommit: 0,
        ..PoolConfig::default()
    };
    configure(&mut pool_config);
    let mut pool = ServerPool::new(pool_config, seed);
    let server_configs: Vec<ServerConfig> = (0..config.servers)
        .map(|index| ServerConfig::new(get_address(index), 3))
        .collect();
    pool.set_servers(Micros::ZERO, &server_configs);
    let model = |index| {
        let server = ServerModel::new(config.slow_share, seed << 16 | index as u64);
        if config.is_in_need(index) {
            server.with_limit(config.need_limit)
        } else {
            server
        }
    };
    let mut sim = Simulation {
        config,
        pool,
        servers: (0..config.servers).map(model).collect(),
        events: BinaryHeap::new(),
        requests: Map::default(),
        tallies: vec![PhaseTally::default(); phases.len()],
        sequence: 0,
        rng: seeded_rng(seed),
    };
    sim.schedule(Micros::ZERO, Event::Arrival);
    sim.schedule(TICK_INTERVAL, Event::Tick);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        match event {
            Event::Arrival if now < end => sim.handle_arrival(now, phases),
            Event::Tick if now < end + config.deadline => sim.tick(now),
            Event::Arrival | Event::Tick => {}
            Event::PreflightReply(request_id, server) => {
                sim.finish_preflight(now, request_id, server);
            }
            Event::RefreshReply(server) => {
                let load = sim.servers[server].report_load(now);
                sim.pool.record_load_report(now, server, load);
                let decisions = sim.pool.dispatch(now);
                sim.apply_decisions(now, decisions);
            }
            Event::ReachServer(request_id, server) => sim.reach_server(now, request_id, server),
            Event::Completion(request_id, server) => sim.complete(now, request_id, server),
        }
    }
    sim.tallies
}

impl ModelConfig {
    fn is_in_need(&self, server: usize) -> bool {
        (server as f64) < self.servers as f64 * self.need_share
    }

    /// Returns what a server says of itself in its answers.
    fn get_notice(&self, server: usize) -> ServerNotice {
        ServerNotice {
            rate_limit: (self.names_limit && self.is_in_need(server)).then_some(self.need_limit),
            ..ServerNotice::EMPTY
        }
    }
}

fn get_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 80))
}

impl Simulation {
    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Offers a new request to the pool and schedules the arrival of the next one.
    fn handle_arrival(&mut self, now: Micros, phases: &[LoadPhase]) {
        let phase = phases
            .iter()
            .rposition(|load| load.starts_at <= now)
            .unwrap_or(0);
        let gap = Exp::new(phases[phase].rate).expect("the rate is not negative");
        let gap = Micros((gap.sample(&mut self.rng) * 1e6) as u64);
        self.schedule(now + gap, Event::Arrival);
        self.sequence += 1;
        let id = self.sequence;
        let pending = PendingRequest {
            objective: now + self.config.objective,
            ..PendingRequest::new(id, now, now + self.config.deadline)
        };
        let request = ModelRequest {
            pending: pending.clone(),
            service_time: self.draw_service_time(),
            phase,
            probe_count: 0,
            factor_before: 0.0,
        };
        self.requests.insert(id, request);
        self.tallies[phase].sent += 1;
        let decisions = self.pool.offer(now, pending);
        self.apply_decisions(now, decisions);
    }

    /// Draws a service time: log-normal, longer for stragglers, with the configured mean.
    fn draw_service_time(&mut self) -> Micros {
        let spread = LogNormal::new(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2.0,
            SERVICE_TIME_SIGMA,
        )
        .expect("the spread is finite");
        let straggler = if self.rng.random::<f64>() < STRAGGLER_SHARE {
            STRAGGLER_FACTOR
        } else {
            1.0
        };
        let mean_factor = 1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0);
        let factor = spread.sample(&mut self.rng) * straggler / mean_factor;
        self.config.service_time.scaled(factor)
    }

    fn apply_decisions(&mut self, now: Micros, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { request_id, server } => self.start(now, request_id, server),
                Decision::Reject { request_id, .. } => {
                    if let Some(request) = self.requests.remove(&request_id) {
                        self.tallies[request.phase].rejected += 1;
                    }
                }
            }
        }
    }

    /// Sends a request to the server that the pool chose, or probes the server first if its load
    /// report is too old and the request has probes left.
    fn start(&mut self, now: Micros, request_id: u64, server: usize) {
        let state = self.pool.get_server_state(server);
        let age = state.and_then(|state| state.get_report_age(now));
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        if request.probe_count < MAX_PREFLIGHT_PROBES
            && age.is_none_or(|age| age >= self.config.probe_age)
        {
            request.probe_count += 1;
            request.factor_before = self.pool.get_current_latency_factor(now, server);
            self.tallies[request.phase].preflight_probes += 1;
            self.schedule(now + PROBE_DELAY, Event::PreflightReply(request_id, server));
        } else {
            self.send(now, request_id, server);
        }
    }

    fn send(&mut self, now: Micros, request_id: u64, server: usize) {
        if let Some(request) = self.requests.get(&request_id) {
            self.pool.reset_attempt_start(now, &request.pending, server);
        }
        self.schedule(
            now + ONE_WAY_LATENCY,
            Event::ReachServer(request_id, server),
        );
    }

    /// Takes in the reply of a preflight probe: sends the request, or offers it to the pool again
    /// if the server has slowed down.
    fn finish_preflight(&mut self, now: Micros, request_id: u64, server: usize) {
        let load = self.servers[server].report_load(now);
        self.pool.record_load_report(now, server, load);
        let factor_after = self.pool.get_current_latency_factor(now, server);
        let Some(request) = self.requests.get(&request_id) else {
            return;
        };
        if !is_latency_much_higher(request.factor_before, factor_after) {
            return self.send(now, request_id, server);
        }
        let retry = request.pending.clone();
        let mut decisions =
            self.pool
                .finish_attempt(now, request_id, server, AttemptOutcome::Cancelled);
        decisions.extend(self.pool.offer(now, retry));
        self.apply_decisions(now, decisions);
    }

    /// Hands a request to the server; one that is turned away is offered to the pool again, for another
    /// server.
    fn reach_server(&mut self, now: Micros, request_id: u64, server: usize) {
        let notice = self.config.get_notice(server);
        let Some(request) = self.requests.get_mut(&request_id) else {
            return;
        };
        match self.servers[server].admit(now, request_id, request.service_time) {
            Admission::Started(end) => self.schedule(end, Event::Completion(request_id, server)),
            Admission::Queued => {}
            Admission::Full => {
                request.pending.excluded.push(get_address(server));
                let retry = request.pending.clone();
                self.tallies[request.phase].turned_away += 1;
                let load = Some(self.servers[server].report_load(now));
                let mut decisions = self.pool.finish_attempt(
                    now,
                    request_id,
                    server,
                    AttemptOutcome::Full { load, notice },
                );
                decisions.extend(self.pool.offer(now, retry));
                self.apply_decisions(now, decisions);
            }
        }
    }

    /// Completes a request; its response reaches the caller one network latency later.
    fn complete(&mut self, now: Micros, request_id: u64, server: usize) {
        if let Some((next, end)) = self.servers[server].complete(now) {
            self.schedule(end, Event::Completion(next, server));
        }
        let load = Some(self.servers[server].report_load(now));
        let at = now + ONE_WAY_LATENCY;
        if let Some(request) = self.requests.remove(&request_id) {
            let tally = &mut self.tallies[request.phase];
            if at <= request.pending.objective {
                tally.prompt += 1;
            } else {
                tally.late += 1;
            }
        }
        let notice = self.config.get_notice(server);
        let outcome = AttemptOutcome::Answered { load, notice };
        let decisions = self.pool.finish_attempt(at, request_id, server, outcome);
        self.apply_decisions(at, decisions);
    }

    /// Runs the pool's periodic work and probes the servers whose load reports are stale.
    fn tick(&mut self, now: Micros) {
        self.schedule(now + TICK_INTERVAL, Event::Tick);
        let decisions = self.pool.tick(now);
        self.apply_decisions(now, decisions);
        for address in self
            .pool
            .get_servers_to_refresh(now, self.config.queued_probe_age)
        {
            if let Some(server) = self.pool.get_server_index(address) {
                self.schedule(now + PROBE_DELAY, Event::RefreshReply(server));
            }
        }
    }
}
