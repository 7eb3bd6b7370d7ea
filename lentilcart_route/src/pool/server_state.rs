use lentilcart_util::{Map, Micros, Name};

use super::{LoadReport, PoolConfig, ServerConfig, ServerPhase, Shard};
use crate::limits::TokenBucket;

const LATENCY_WEIGHT: f64 = 0.1;
const MAX_DIGEST_AGE: Micros = Micros::from_millis(250);
const LIMIT_DECREASE: f64 = 0.9;
const LIMIT_INCREASE: f64 = 0.1;
const PROBE_BURST: f64 = 2.0;
/// Shortest time constant with which a report of requests loses its meaning.
const MIN_REPORT_TIME_CONSTANT: Micros = Micros::from_millis(60);
/// Time constant with which the requests of others are forgotten, in usual work times: those that end
/// are followed by others, as long as there is much to do.
const REPORT_TIME_FACTOR: f64 = 3.0;
/// Time constant with which a report of speed loses its meaning; noise changes about as often.
const SLOWDOWN_TIME_CONSTANT: Micros = Micros::from_millis(225);
/// Slowness that is expected of a server without a fresh report.
const MEAN_SLOWDOWN: f64 = 1.75;
/// Slowness of a server that has just started.
const WARMUP_FACTOR: f64 = 2.0;
/// Share of its slots beyond which a server slows down.
const BUSY_SHARE: f64 = 0.8;
/// Cost of such a slowdown, in usual work times.
const BUSY_COST: f64 = 0.7;
/// Cost of a server's load below that share, for each of its slots that is taken; breaks ties.
const SLOT_COST: f64 = 0.05;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which failures are forgotten.
const FAILURE_TIME_CONSTANT: Micros = Micros::from_millis(2000);

/// Bytes of a probe, its answer and their headers, as charged before the answer is known.
pub(crate) const PROBE_BYTES: f64 = 300.0;

/// What an entry knows of one server.
#[derive(Debug)]
pub struct ServerState {
    pub(crate) config: ServerConfig,
    pub(crate) phase: ServerPhase,
    /// Whether the ticket still names the server.
    pub(crate) listed: bool,
    /// Requests of this entry under way there.
    pub(crate) attempts: Vec<Attempt>,
    /// Requests of other entries under way there, with the age of that knowledge.
    pub(crate) digests: Map<Name, (u32, Micros)>,
    /// Load by the server's own report.
    pub(crate) report: Option<ReceivedReport>,
    /// Load and latency by the last probe.
    pub(crate) probe: Option<(u32, Micros, Micros)>,
    pub(crate) mean_latency: f64,
    pub(crate) adaptive_limit: f64,
    pub(crate) consecutive_failures: u32,
    /// Share of the recent attempts that failed, and when it was last changed.
    pub(crate) failure_rate: (f64, Micros),
    pub(crate) ejections: u32,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) last_answered: Option<Micros>,
    pub(crate) probe_tokens: TokenBucket,
    pub(crate) byte_tokens: TokenBucket,
}

/// A request under way at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) request_id: u64,
    pub(crate) started: Micros,
    /// Time that it was expected to take, in usual work times.
    pub(crate) latency_factor: f64,
}

/// What a server told of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReceivedReport {
    pub(crate) load: LoadReport,
    pub(crate) received: Micros,
    /// Requests of this entry under way there at that time.
    pub(crate) own_outstanding: u32,
}

/// What an operator is shown of one server.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSummary {
    /// Settings of the server.
    pub config: ServerConfig,
    /// Whether and how far it is used.
    pub phase: ServerPhase,
    /// Requests of this entry under way there.
    pub outstanding: u32,
    /// Mean latency in microseconds.
    pub mean_latency: f64,
    /// Answers since the entry knows the server.
    pub answered: u64,
    /// Failures since the entry knows the server.
    pub failed: u64,
    /// When the server last answered.
    pub last_answered: Option<Micros>,
    /// Load by its own report, and when that came.
    pub report: Option<(LoadReport, Micros)>,
}

impl ServerState {
    pub(crate) fn new(config: ServerConfig, phase: ServerPhase, now: Micros) -> Self {
        Self {
            adaptive_limit: f64::from(config.slots),
            config,
            phase,
            listed: true,
            attempts: Vec::new(),
            digests: Map::default(),
            report: None,
            probe: None,
            mean_latency: 0.0,
            consecutive_failures: 0,
            failure_rate: (0.0, now),
            ejections: 0,
            answered: 0,
            failed: 0,
            last_answered: None,
            probe_tokens: TokenBucket::new(0.0, PROBE_BURST, now),
            byte_tokens: TokenBucket::new(0.0, PROBE_BURST * PROBE_BYTES, now),
        }
    }

    /// Returns the requests of this entry under way at the server.
    #[must_use]
    pub fn get_outstanding(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns the requests of other entries under way there, as far as their digests are fresh.
    #[must_use]
    pub fn get_digest_requests(&self, now: Micros) -> u32 {
        let fresh = self
            .digests
            .values()
            .filter(|(_, at)| now - *at < MAX_DIGEST_AGE);
        fresh.map(|(count, _)| count).sum()
    }

    /// Returns the age of the server's last report of its load.
    #[must_use]
    pub fn get_report_age(&self, now: Micros) -> Option<Micros> {
        self.report.map(|report| now - report.received)
    }

    /// Returns the requests of others at the server by its own report, as far as it is fresh: they
    /// end after about the usual time of work, in microseconds.
    #[must_use]
    pub fn get_other_requests(&self, now: Micros, service_time: f64) -> f64 {
        self.report.map_or(0.0, |report| {
            let others = report
                .load
                .get_requests()
                .saturating_sub(report.own_outstanding);
            let time_constant =
                MIN_REPORT_TIME_CONSTANT.max(Micros((service_time * REPORT_TIME_FACTOR) as u64));
            f64::from(others) * get_decay_factor(now - report.received, time_constant)
        })
    }

    /// Returns how long work takes at the server, as a multiple of its usual time: by its own
    /// report while that is fresh, and as long as on average later.
    #[must_use]
    pub fn get_slowdown(&self, now: Micros) -> f64 {
        let reported = self.report.and_then(|report| {
            let slowdown = report.load.slowdown?;
            let weight = get_decay_factor(now - report.received, SLOWDOWN_TIME_CONSTANT);
            Some(MEAN_SLOWDOWN + (slowdown - MEAN_SLOWDOWN) * weight)
        });
        let slowdown = reported.unwrap_or(MEAN_SLOWDOWN);
        if now < self.config.warmup_until {
            slowdown * WARMUP_FACTOR
        } else {
            slowdown
        }
    }

    /// Returns the time that one more request would take at the server, in usual work times.
    #[must_use]
    pub fn get_latency_factor(&self, now: Micros, service_time: f64) -> f64 {
        self.get_latency_factor_at(now, service_time, self.get_outstanding() + 1)
    }

    /// Returns the same for the request that it was given last.
    #[must_use]
    pub fn get_last_latency_factor(&self, now: Micros, service_time: f64) -> f64 {
        self.get_latency_factor_at(now, service_time, self.get_outstanding().max(1))
    }

    fn get_latency_factor_at(&self, now: Micros, service_time: f64, own_outstanding: u32) -> f64 {
        let slots = f64::from(self.config.slots.max(1));
        let load = f64::from(own_outstanding) + self.get_other_requests(now, service_time);
        let queue_cost = (load - slots).max(0.0) / slots;
        let busy_cost = if load > slots * BUSY_SHARE {
            BUSY_COST
        } else {
            load / slots * SLOT_COST
        };
        self.get_slowdown(now) * (1.0 + busy_cost + queue_cost)
    }

    /// Returns the load and latency of a probe younger than `life`.
    #[must_use]
    pub fn get_probe_result(&self, now: Micros, max_age: Micros) -> Option<(u32, Micros)> {
        let probe = self.probe.filter(|(_, _, at)| now - *at < max_age);
        probe.map(|(load, latency, _)| (load, latency))
    }

    /// Returns the server's settings.
    #[must_use]
    pub fn get_config(&self) -> &ServerConfig {
        &self.config
    }

    /// Returns how many requests of this entry have been under way for longer than a time.
    #[must_use]
    pub fn get_overdue(&self, now: Micros, min_age: Micros) -> u32 {
        let overdue = self
            .attempts
            .iter()
            .filter(|attempt| now - attempt.started > min_age);
        overdue.count() as u32
    }

    /// Returns the number of the server's slots that fall to a share.
    #[must_use]
    pub fn get_shard_slots(&self, index: usize, shard: Shard) -> u32 {
        let slots = self.config.slots;
        let first = index as u32 * slots;
        let is_owned = |slot: &u32| slot % shard.count.max(1) == shard.index;
        (first..first + slots).filter(is_owned).count() as u32
    }

    /// Returns how many requests of this entry the server may have at once.
    #[must_use]
    pub fn get_limit(&self, now: Micros, config: &PoolConfig) -> u32 {
        let full = match (config.policy.late_binding, self.adaptive_limit) {
            (true, limit) => limit.round().max(1.0) as u32 + config.overcommit,
            (false, _) => config.max_connections,
        };
        let limit = match self.phase {
            _ if !self.listed => 0,
            ServerPhase::Serving => full,
            ServerPhase::SlowStart { since } => {
                let ramp_share = (now - since).0 as f64 / config.slow_start.0.max(1) as f64;
                ((f64::from(full) * ramp_share) as u32).clamp(1, full)
            }
            ServerPhase::Probation => 1,
            ServerPhase::Ejected { .. } | ServerPhase::Leaving => 0,
        };
        limit.min(config.max_connections)
    }

    /// Adds an attempt, or begins one anew with what is known now.
    pub(crate) fn start_attempt(&mut self, now: Micros, request_id: u64, service_time: f64) {
        self.remove_attempt(request_id);
        let attempt = Attempt {
            request_id,
            started: now,
            latency_factor: self.get_latency_factor(now, service_time),
        };
        self.attempts.push(attempt);
    }

    /// Removes an attempt.
    pub(crate) fn remove_attempt(&mut self, request_id: u64) -> Option<Attempt> {
        let at = self
            .attempts
            .iter()
            .position(|other| other.request_id == request_id)?;
        Some(self.attempts.swap_remove(at))
    }

    /// Records an answer, and follows the server's real slots: the limit falls while the server
    /// reports more requests than this entry may give it, and grows back otherwise.
    pub(crate) fn record_answer(
        &mut self,
        now: Micros,
        elapsed: Micros,
        load: Option<LoadReport>,
        overcommit: u32,
    ) {
        self.answered += 1;
        self.consecutive_failures = 0;
        self.last_answered = Some(now);
        self.mean_latency = match self.mean_latency {
            0.0 => elapsed.0 as f64,
            mean => mean + LATENCY_WEIGHT * (elapsed.0 as f64 - mean),
        };
        let slots = f64::from(self.config.slots);
        self.adaptive_limit = match load {
            Some(load) if load.get_requests() > self.config.slots + overcommit => {
                (self.adaptive_limit * LIMIT_DECREASE).max(1.0)
            }
            _ => (self.adaptive_limit + LIMIT_INCREASE).min(slots),
        };
        self.record_result(now, false);
        self.record_report(now, load);
    }

    /// Takes a server's report of its load, from an answer or a probe.
    pub(crate) fn record_report(&mut self, now: Micros, load: Option<LoadReport>) {
        let own_outstanding = self.get_outstanding();
        let report = load.map(|load| ReceivedReport {
            load,
            received: now,
            own_outstanding,
        });
        self.report = report.or(self.report);
    }

    /// Records whether an attempt failed.
    pub(crate) fn record_result(&mut self, now: Micros, failed: bool) {
        let old_rate = self.get_failure_rate(now);
        let sample = f64::from(u8::from(failed));
        self.failure_rate = (old_rate + FAILURE_WEIGHT * (sample - old_rate), now);
    }

    /// Returns the share of the recent attempts that failed.
    #[must_use]
    pub fn get_failure_rate(&self, now: Micros) -> f64 {
        let (rate, updated) = self.failure_rate;
        rate * (-(now - updated).as_secs() / FAILURE_TIME_CONSTANT.as_secs()).exp()
    }

    pub(crate) fn summarize(&self) -> ServerSummary {
        ServerSummary {
            config: self.config.clone(),
            phase: self.phase,
            outstanding: self.get_outstanding(),
            mean_latency: self.mean_latency,
            answered: self.answered,
            failed: self.failed,
            last_answered: self.last_answered,
            report: self.report.map(|report| (report.load, report.received)),
        }
    }
}

/// Returns how much a report still counts, from 1 to 0.
fn get_decay_factor(age: Micros, time_constant: Micros) -> f64 {
    (-age.as_secs() / time_constant.as_secs()).exp()
}
