use lentilcart_util::{Map, Micros, Name};

use super::{LoadReport, PoolConfig, ServerConfig, ServerPhase, Shard};
use crate::limits::TokenBucket;

const LATENCY_WEIGHT: f64 = 0.1;
const DIGEST_LIFE: Micros = Micros::from_millis(250);
const LIMIT_DECREASE: f64 = 0.9;
const LIMIT_INCREASE: f64 = 0.1;
const PROBE_BURST: f64 = 2.0;
/// Shortest time constant with which a report of requests loses its meaning.
const QUEUE_MEMORY: Micros = Micros::from_millis(60);
/// Time constant with which the requests of others are forgotten, in usual work times: those that end
/// are followed by others, as long as there is much to do.
const OTHERS_MEMORY: f64 = 3.0;
/// Time constant with which a report of speed loses its meaning; noise changes about as often.
const SPEED_MEMORY: Micros = Micros::from_millis(225);
/// Slowness that is expected of a server without a fresh report.
const MEAN_SLOWNESS: f64 = 1.75;
/// Slowness of a server that has just started.
const COLD_SLOWNESS: f64 = 2.0;
/// Share of its slots beyond which a server slows down.
const BUSY_SHARE: f64 = 0.8;
/// Cost of such a slowdown, in usual work times.
const BUSY_COST: f64 = 0.7;
/// Cost of a server's load below that share, for each of its slots that is taken; breaks ties.
const SHARED_COST: f64 = 0.05;
/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which failures are forgotten.
const FAILURE_MEMORY: Micros = Micros::from_millis(2000);

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
    pub(crate) peers: Map<Name, (u32, Micros)>,
    /// Load by the server's own report.
    pub(crate) report: Option<Report>,
    /// Load and latency by the last probe.
    pub(crate) probe: Option<(u32, Micros, Micros)>,
    pub(crate) mean_latency: f64,
    pub(crate) limit: f64,
    pub(crate) failures: u32,
    /// Share of the recent attempts that failed, and when it was last changed.
    pub(crate) failing: (f64, Micros),
    pub(crate) ejections: u32,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) last_answered: Option<Micros>,
    pub(crate) probes: TokenBucket,
    pub(crate) bytes: TokenBucket,
}

/// A request under way at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) job: u64,
    pub(crate) started: Micros,
    /// Time that it was expected to take, in usual work times.
    pub(crate) times: f64,
}

/// What a server told of its load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Report {
    pub(crate) load: LoadReport,
    pub(crate) at: Micros,
    /// Requests of this entry under way there at that time.
    pub(crate) own: u32,
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
            limit: f64::from(config.slots),
            config,
            phase,
            listed: true,
            attempts: Vec::new(),
            peers: Map::default(),
            report: None,
            probe: None,
            mean_latency: 0.0,
            failures: 0,
            failing: (0.0, now),
            ejections: 0,
            answered: 0,
            failed: 0,
            last_answered: None,
            probes: TokenBucket::new(0.0, PROBE_BURST, now),
            bytes: TokenBucket::new(0.0, PROBE_BURST * PROBE_BYTES, now),
        }
    }

    /// Returns the requests of this entry under way at the server.
    #[must_use]
    pub fn get_outstanding(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns the requests of other entries under way there, as far as their digests are fresh.
    #[must_use]
    pub fn get_peers(&self, now: Micros) -> u32 {
        let fresh = self
            .peers
            .values()
            .filter(|(_, at)| now - *at < DIGEST_LIFE);
        fresh.map(|(count, _)| count).sum()
    }

    /// Returns the age of the server's last report of its load.
    #[must_use]
    pub fn get_report_age(&self, now: Micros) -> Option<Micros> {
        self.report.map(|report| now - report.at)
    }

    /// Returns the requests of others at the server by its own report, as far as it is fresh: they
    /// end after about the usual time of work, in microseconds.
    #[must_use]
    pub fn get_other_requests(&self, now: Micros, work: f64) -> f64 {
        self.report.map_or(0.0, |report| {
            let others = report.load.get_requests().saturating_sub(report.own);
            let memory = QUEUE_MEMORY.max(Micros((work * OTHERS_MEMORY) as u64));
            f64::from(others) * get_freshness(now - report.at, memory)
        })
    }

    /// Returns how long work takes at the server, as a multiple of its usual time: by its own
    /// report while that is fresh, and as long as on average later.
    #[must_use]
    pub fn get_slowdown(&self, now: Micros) -> f64 {
        let told = self.report.and_then(|report| {
            let slowness = report.load.slowdown?;
            let fresh = get_freshness(now - report.at, SPEED_MEMORY);
            Some(MEAN_SLOWNESS + (slowness - MEAN_SLOWNESS) * fresh)
        });
        let slowness = told.unwrap_or(MEAN_SLOWNESS);
        if now < self.config.warmup_until {
            slowness * COLD_SLOWNESS
        } else {
            slowness
        }
    }

    /// Returns the time that one more request would take at the server, in usual work times.
    #[must_use]
    pub fn get_expected(&self, now: Micros, work: f64) -> f64 {
        self.get_expected_at(now, work, self.get_outstanding() + 1)
    }

    /// Returns the same for the request that it was given last.
    #[must_use]
    pub fn get_expected_last(&self, now: Micros, work: f64) -> f64 {
        self.get_expected_at(now, work, self.get_outstanding().max(1))
    }

    fn get_expected_at(&self, now: Micros, work: f64, own: u32) -> f64 {
        let slots = f64::from(self.config.slots.max(1));
        let load = f64::from(own) + self.get_other_requests(now, work);
        let wait = (load - slots).max(0.0) / slots;
        let busy = if load > slots * BUSY_SHARE {
            BUSY_COST
        } else {
            load / slots * SHARED_COST
        };
        self.get_slowdown(now) * (1.0 + busy + wait)
    }

    /// Returns the load and latency of a probe younger than `life`.
    #[must_use]
    pub fn get_probe(&self, now: Micros, life: Micros) -> Option<(u32, Micros)> {
        let probe = self.probe.filter(|(_, _, at)| now - *at < life);
        probe.map(|(load, latency, _)| (load, latency))
    }

    /// Returns the server's settings.
    #[must_use]
    pub fn get_config(&self) -> &ServerConfig {
        &self.config
    }

    /// Returns how many requests of this entry have been under way for longer than a time.
    #[must_use]
    pub fn get_overdue(&self, now: Micros, limit: Micros) -> u32 {
        let overdue = self
            .attempts
            .iter()
            .filter(|attempt| now - attempt.started > limit);
        overdue.count() as u32
    }

    /// Returns the number of the server's slots that fall to a share.
    #[must_use]
    pub fn get_owned(&self, index: usize, share: Shard) -> u32 {
        let slots = self.config.slots;
        let first = index as u32 * slots;
        let mine = |slot: &u32| slot % share.count.max(1) == share.index;
        (first..first + slots).filter(mine).count() as u32
    }

    /// Returns how many requests of this entry the server may have at once.
    #[must_use]
    pub fn get_limit(&self, now: Micros, config: &PoolConfig) -> u32 {
        let full = match (config.policy.late, self.limit) {
            (true, limit) => limit.round().max(1.0) as u32 + config.overcommit,
            (false, _) => config.max_connections,
        };
        let limit = match self.phase {
            _ if !self.listed => 0,
            ServerPhase::Serving => full,
            ServerPhase::SlowStart { since } => {
                let part = (now - since).0 as f64 / config.slow_start.0.max(1) as f64;
                ((f64::from(full) * part) as u32).clamp(1, full)
            }
            ServerPhase::Probation => 1,
            ServerPhase::Ejected { .. } | ServerPhase::Leaving => 0,
        };
        limit.min(config.max_connections)
    }

    /// Adds an attempt, or begins one anew with what is known now.
    pub(crate) fn start(&mut self, now: Micros, job: u64, work: f64) {
        self.finish(job);
        let attempt = Attempt {
            job,
            started: now,
            times: self.get_expected(now, work),
        };
        self.attempts.push(attempt);
    }

    /// Removes an attempt.
    pub(crate) fn finish(&mut self, job: u64) -> Option<Attempt> {
        let at = self.attempts.iter().position(|other| other.job == job)?;
        Some(self.attempts.swap_remove(at))
    }

    /// Records an answer, and follows the server's real slots: the limit falls while the server
    /// reports more requests than this entry may give it, and grows back otherwise.
    pub(crate) fn answer(
        &mut self,
        now: Micros,
        took: Micros,
        load: Option<LoadReport>,
        overcommit: u32,
    ) {
        self.answered += 1;
        self.failures = 0;
        self.last_answered = Some(now);
        self.mean_latency = match self.mean_latency {
            0.0 => took.0 as f64,
            mean => mean + LATENCY_WEIGHT * (took.0 as f64 - mean),
        };
        let slots = f64::from(self.config.slots);
        self.limit = match load {
            Some(load) if load.get_requests() > self.config.slots + overcommit => {
                (self.limit * LIMIT_DECREASE).max(1.0)
            }
            _ => (self.limit + LIMIT_INCREASE).min(slots),
        };
        self.note(now, false);
        self.hear(now, load);
    }

    /// Takes a server's report of its load, from an answer or a probe.
    pub(crate) fn hear(&mut self, now: Micros, load: Option<LoadReport>) {
        let own = self.get_outstanding();
        let report = load.map(|load| Report { load, at: now, own });
        self.report = report.or(self.report);
    }

    /// Records whether an attempt failed.
    pub(crate) fn note(&mut self, now: Micros, failed: bool) {
        let before = self.get_failing(now);
        let target = f64::from(u8::from(failed));
        self.failing = (before + FAILURE_WEIGHT * (target - before), now);
    }

    /// Returns the share of the recent attempts that failed.
    #[must_use]
    pub fn get_failing(&self, now: Micros) -> f64 {
        let (share, at) = self.failing;
        share * (-(now - at).as_secs() / FAILURE_MEMORY.as_secs()).exp()
    }

    pub(crate) fn view(&self) -> ServerSummary {
        ServerSummary {
            config: self.config.clone(),
            phase: self.phase,
            outstanding: self.get_outstanding(),
            mean_latency: self.mean_latency,
            answered: self.answered,
            failed: self.failed,
            last_answered: self.last_answered,
            report: self.report.map(|report| (report.load, report.at)),
        }
    }
}

/// Returns how much a report still counts, from 1 to 0.
fn get_freshness(age: Micros, memory: Micros) -> f64 {
    (-age.as_secs() / memory.as_secs()).exp()
}
