use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, Rejection, ServerConfig,
    ServerPool, ShedRule, get_policy,
};
use lentilcart_util::{Map, Micros, Rng, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp, LogNormal};

use super::shed_pattern::{END, INCIDENT, KINDS, ShedPattern};

const SERVERS: usize = 20;
const SLOTS: u32 = 3;
/// Requests at a server that it completes fastest; with a third one, each takes longer.
const FAST_SLOTS: f64 = 2.0;
/// Service time at a server that runs a third request.
const BUSY_FACTOR: f64 = 1.7;
/// Standard deviation of the logarithm of the service time.
const SIGMA: f64 = 0.3;
const TICK: Micros = Micros::from_millis(15);
/// Interval between two load reports of each server.
const REPORT_INTERVAL: Micros = Micros::from_millis(45);
/// Times that a refused caller comes back.
const MAX_RETURNS: u32 = 2;
/// Delay of a caller that ignores `Retry-After`.
const AT_ONCE: Micros = Micros::from_millis(2);
/// Bounds of today's `Retry-After`, the upper one also as a share of the remaining time.
const RETRY_AFTER: (Micros, Micros, f64) =
    (Micros::from_millis(30), Micros::from_millis(250), 0.25);
/// Time that an answer or a refusal takes from the service to the caller, and a request back.
const ROUND_TRIP: Micros = Micros::from_millis(7);
/// Number of accounts, and the share of the first one in the usual load.
const ACCOUNTS: (usize, f64) = (10, 0.15);
const WINDOW: Micros = Micros::from_millis(2000);
const LATE_VALUE: f64 = 0.1;
/// Share of the objective up to which a refusal costs nothing.
const FREE_REFUSAL_SHARE: f64 = 0.125;
/// Share of the time until the deadline from which a refusal costs the whole credit.
const WHOLE_REFUSAL_SHARE: f64 = 0.75;

/// Results of a rule on a pattern.
#[derive(Debug, Clone, Default)]
pub struct ShedScore {
    /// Shares of the requests, which come to 1 with those whose server was lost.
    pub in_time: f64,
    /// Share of the requests that were answered late.
    pub late: f64,
    /// Share of the requests whose last attempt was refused.
    pub refused: f64,
    /// Value over all requests, as a share of that of answers in time to all.
    pub value: f64,
    /// Value less the cost of refusals that come late, as a share of the same.
    pub net: f64,
    /// Lowest value of requests that came in two seconds.
    pub worst_window: f64,
    /// Lowest value of the requests of a kind, and of an account.
    pub worst_kind: f64,
    /// Lowest value of the requests of an account.
    pub worst_account: f64,
    /// Time for which refused attempts were held, at the 50th and 95th percentile.
    pub held: (Micros, Micros),
}

/// A caller's request, which may be sent several times.
#[derive(Debug, Clone)]
struct Call {
    sent: Micros,
    kind: usize,
    account: usize,
    service_time: Micros,
    /// Random number from 0 to 1 for today's `Retry-After`, per return.
    jitter: [f64; MAX_RETURNS as usize],
    returns: u32,
    value: f64,
    /// Cost of its refusals, from 0 to 1: nothing up to an eighth of the objective, and all where it was held for three
    /// quarters of its time.
    refusal_cost: f64,
    outcome: Outcome,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Open,
    InTime,
    Late,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Complete(u64, usize),
    Tick,
}

struct Simulation {
    pattern: ShedPattern,
    pool: ServerPool,
    running: Vec<u32>,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    calls: Vec<Call>,
    /// Call of each attempt, and when it came.
    attempts: Map<u64, (usize, Micros)>,
    held: Vec<Micros>,
    sequence: u64,
}

/// Draws the calls of a pattern: the same for each rule.
fn draw_calls(pattern: &ShedPattern, seed: u64) -> Vec<Call> {
    let mut rng = seeded_rng(seed);
    let spread = LogNormal::new(-SIGMA * SIGMA / 2.0, SIGMA).expect("the spread is finite");
    let mean: f64 = KINDS
        .iter()
        .map(|kind| kind.share * kind.service_time.as_secs())
        .sum();
    let capacity = SERVERS as f64 * FAST_SLOTS / mean;
    let mut calls = Vec::new();
    let mut now = Micros::ZERO;
    while now < END {
        let gap = Exp::new(capacity * pattern.get_load(now)).expect("the rate is above 0");
        now += Micros::from_secs(gap.sample(&mut rng));
        let kind = draw_kind(&mut rng);
        let additional = 1.0 - pattern.load.0 / pattern.get_load(now);
        let is_large = if pattern.one_account && rng.random::<f64>() < additional {
            true
        } else {
            rng.random::<f64>() < ACCOUNTS.1
        };
        let other = rng.random_range(1..ACCOUNTS.0);
        calls.push(Call {
            sent: now,
            kind,
            account: if is_large { 0 } else { other },
            service_time: KINDS[kind].service_time.scaled(spread.sample(&mut rng)),
            jitter: [rng.random(), rng.random()],
            returns: 0,
            value: 0.0,
            refusal_cost: 0.0,
            outcome: Outcome::Open,
        });
    }
    calls
}

fn draw_kind(rng: &mut Rng) -> usize {
    let mut number = rng.random::<f64>();
    let found = KINDS.iter().position(|kind| {
        number -= kind.share;
        number < 0.0
    });
    found.unwrap_or(KINDS.len() - 1)
}

fn get_servers(lost: usize) -> Vec<ServerConfig> {
    (lost..SERVERS)
        .map(|index| ServerConfig::new(SocketAddr::from(([10, 0, 0, index as u8], 80)), SLOTS))
        .collect()
}

/// Plays a pattern by a rule, and returns its score.
///
/// # Panics
///
/// Panics if the policy of the gateways is not listed.
#[must_use]
pub fn simulate_shedding(
    pattern: ShedPattern,
    rule: &'static ShedRule,
    fair_shares: bool,
    seed: u64,
) -> ShedScore {
    let config = PoolConfig {
        policy: get_policy("late-paced").expect("the policy is listed"),
        overcommit: 0,
        reserve: 1,
        shedding: rule,
        fair_shares,
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, seed);
    pool.set_servers(Micros::ZERO, &get_servers(0));
    let mut sim = Simulation {
        pattern,
        pool,
        running: vec![0; SERVERS],
        events: BinaryHeap::new(),
        calls: draw_calls(&pattern, seed),
        attempts: Map::default(),
        held: Vec::new(),
        sequence: 0,
    };
    for index in 0..sim.calls.len() {
        sim.schedule(sim.calls[index].sent, Event::Arrive(index));
    }
    sim.schedule(TICK, Event::Tick);
    while let Some(Reverse((now, _, event))) = sim.events.pop() {
        match event {
            Event::Arrive(call) => sim.arrive(now, call),
            Event::Complete(id, server) => sim.complete(now, id, server),
            Event::Tick => sim.tick(now),
        }
    }
    sim.score()
}

impl Simulation {
    fn schedule(&mut self, at: Micros, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn arrive(&mut self, now: Micros, index: usize) {
        let call = &self.calls[index];
        let kind = KINDS[call.kind];
        self.sequence += 1;
        let id = self.sequence;
        // An entry knows nothing of earlier attempts but the time that the caller has left.
        let request = PendingRequest {
            priority: kind.priority,
            objective: now + kind.objective,
            latency_objective: Some(kind.objective),
            account: Some(format!("a{}", call.account).as_str().into()),
            weight: Some(1.0 + f64::from(u8::from(call.account == 0))),
            ..PendingRequest::new(id, now, call.sent + kind.deadline)
        };
        self.attempts.insert(id, (index, now));
        let decisions = self.pool.offer(now, request);
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: Micros, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { request_id, server } => {
                    self.running[server] += 1;
                    let is_busy = f64::from(self.running[server]) > FAST_SLOTS;
                    let busy = if is_busy { BUSY_FACTOR } else { 1.0 };
                    let slowdown = self.pattern.get_slowdown(now, server, SERVERS);
                    let call = &self.calls[self.attempts[&request_id].0];
                    let end = now + call.service_time.scaled(busy * slowdown);
                    self.schedule(end, Event::Complete(request_id, server));
                }
                Decision::Reject { request_id, reason } => self.refuse(now, request_id, reason),
            }
        }
    }

    fn refuse(&mut self, now: Micros, id: u64, reason: Rejection) {
        let (index, came) = self.attempts[&id];
        let call = &mut self.calls[index];
        self.held.push(now - came);
        let deadline = call.sent + KINDS[call.kind].deadline;
        let (free, whole) = (
            KINDS[call.kind].objective.scaled(FREE_REFUSAL_SHARE),
            (deadline - came).scaled(WHOLE_REFUSAL_SHARE),
        );
        let cost = ((now - came) - free).as_secs() / (whole - free).as_secs().max(1e-3);
        call.refusal_cost = (call.refusal_cost + cost).min(1.0);
        let retry_after = match reason {
            _ if self.pattern.at_once => AT_ONCE,
            Rejection::Shed { room_after, .. } => room_after,
            _ => {
                let (shortest, longest, share) = RETRY_AFTER;
                let longest = (deadline - now).scaled(share).min(longest);
                let shortest = shortest.min(longest);
                let jitter = call.jitter[call.returns.min(MAX_RETURNS - 1) as usize];
                shortest + (longest - shortest).scaled(jitter)
            }
        };
        let at = now + ROUND_TRIP + retry_after;
        if call.returns < MAX_RETURNS && at < deadline {
            call.returns += 1;
            self.schedule(at, Event::Arrive(index));
        } else {
            call.outcome = Outcome::Refused;
        }
    }

    fn complete(&mut self, now: Micros, id: u64, server: usize) {
        self.running[server] -= 1;
        let call = &mut self.calls[self.attempts[&id].0];
        let kind = KINDS[call.kind];
        if server >= self.pattern.get_lost_count(now, SERVERS) {
            let latency = now - call.sent;
            (call.outcome, call.value) = match () {
                () if latency <= kind.objective => (Outcome::InTime, 1.0),
                () if latency <= kind.deadline => (Outcome::Late, LATE_VALUE),
                () => (Outcome::Late, 0.0),
            };
        }
        let load = self.get_report(now, server);
        let outcome = AttemptOutcome::answered(Some(load));
        let decisions = self.pool.finish_attempt(now, id, server, outcome);
        self.apply(now, decisions);
    }

    fn get_report(&self, now: Micros, server: usize) -> LoadReport {
        LoadReport {
            slots: Some(SLOTS),
            slowdown: Some(self.pattern.get_slowdown(now, server, SERVERS)),
            ..LoadReport::of_requests(self.running[server])
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < END + Micros::from_millis(4000) {
            self.schedule(now + TICK, Event::Tick);
        }
        for edge in [INCIDENT.0, INCIDENT.1] {
            if self.pattern.lost > 0.0 && now >= edge && now - edge < TICK {
                let lost = self.pattern.get_lost_count(now, SERVERS);
                self.pool.set_servers(now, &get_servers(lost));
            }
        }
        if (now.0 / TICK.0).is_multiple_of(REPORT_INTERVAL.0 / TICK.0) {
            for server in 0..SERVERS {
                let report = self.get_report(now, server);
                self.pool.record_load_report(now, server, report);
            }
        }
        let decisions = self.pool.tick(now);
        self.apply(now, decisions);
    }

    fn score(mut self) -> ShedScore {
        let total = self.calls.len() as f64;
        let share = |outcome| {
            let count = self.calls.iter().filter(|call| call.outcome == outcome);
            count.count() as f64 / total
        };
        let value = |is_member: &dyn Fn(&Call) -> bool| {
            let weight = |call: &Call| KINDS[call.kind].weight;
            let members = || self.calls.iter().filter(|call| is_member(call));
            let earned: f64 = members().map(|call| call.value * weight(call)).sum();
            let whole: f64 = members().map(weight).sum();
            if whole > 0.0 { earned / whole } else { 1.0 }
        };
        let lowest = |values: &mut dyn Iterator<Item = f64>| values.fold(1.0, f64::min);
        let is_affected = |call: &Call| (INCIDENT.0..INCIDENT.1 + WINDOW).contains(&call.sent);
        let windows = END.0 / WINDOW.0;
        self.held.sort_unstable();
        let held = |quantile: f64| {
            let index = (self.held.len() as f64 * quantile) as usize;
            self.held.get(index).copied().unwrap_or_default()
        };
        ShedScore {
            in_time: share(Outcome::InTime),
            late: share(Outcome::Late),
            refused: share(Outcome::Refused),
            value: value(&|_| true),
            net: value(&|_| true)
                - self.calls.iter().map(|call| call.refusal_cost).sum::<f64>() / total,
            worst_window: lowest(
                &mut (0..windows).map(|window| value(&|call| call.sent.0 / WINDOW.0 == window)),
            ),
            worst_kind: lowest(
                &mut (0..KINDS.len())
                    .map(|kind| value(&|call| call.kind == kind && is_affected(call))),
            ),
            worst_account: lowest(
                &mut (1..ACCOUNTS.0)
                    .map(|account| value(&|call| call.account == account && is_affected(call))),
            ),
            held: (held(0.5), held(0.95)),
        }
    }
}

/// Returns a bound of the value of any dispatcher, which knows all arrivals and service times: requests that come in
/// each of the three parts of a run take the servers from its start to the last objective, in the order of value for
/// work, and the others are late. Uploads, which have the longest objective, take no work.
#[must_use]
pub fn bound_value(pattern: ShedPattern, seed: u64) -> f64 {
    let calls = draw_calls(&pattern, seed);
    let longest = Micros::from_millis(600);
    let parts = [
        (Micros::ZERO, INCIDENT.0),
        INCIDENT,
        (INCIDENT.1, END + WINDOW),
    ];
    let step = Micros::from_millis(10);
    let mut earned = 0.0;
    let mut whole = 0.0;
    for (start, end) in parts {
        let mut room = 0.0;
        let mut now = start;
        while now < end + longest {
            let usable = pattern.get_lost_count(now, SERVERS)..SERVERS;
            let speeds = usable.map(|server| 1.0 / pattern.get_slowdown(now, server, SERVERS));
            room += speeds.sum::<f64>() * FAST_SLOTS * step.as_secs();
            now += step;
        }
        let mut members: Vec<&Call> = calls
            .iter()
            .filter(|call| (start..end).contains(&call.sent))
            .collect();
        members.sort_by_key(|call| call.service_time);
        for call in members {
            let kind = KINDS[call.kind];
            whole += kind.weight;
            let work = if kind.objective > longest {
                0.0
            } else {
                call.service_time.as_secs()
            };
            let is_served = room >= work;
            room -= if is_served { work } else { 0.0 };
            earned += kind.weight * if is_served { 1.0 } else { LATE_VALUE };
        }
    }
    earned / whole
}
