use std::net::SocketAddr;

use lentilcart_util::{Map, Micros, Name};

use super::{LoadReport, PendingRequest, PoolConfig, ServerConfig, ServerPhase, Shard};
use crate::limits::{RatePacer, TokenBucket, Warmth};

/// Weight of the newest answer in the mean latency of a server.
const LATENCY_WEIGHT: f64 = 0.1;
/// Age from which a load digest is no longer counted.
const MAX_DIGEST_AGE: Micros = Micros::from_millis(250);
/// Factor of the estimated slots after a report of too many requests.
const SLOTS_DECREASE_FACTOR: f64 = 0.9;
/// Slots added to the estimate by an answer whose report does not show too many requests, or that
/// has no report.
const SLOTS_INCREASE: f64 = 0.1;
/// Burst of the probe budgets of a new server, in probes. It has no effect: both budgets start
/// empty with a rate of 0, and `ServerPool::take_due_probes` sets a burst of 1 for the number of
/// probes and of 2 for their bytes before it first refills them.
const PROBE_BURST: f64 = 2.0;
/// Lower bound of the time constant with which reported requests decay.
const MIN_REPORT_TIME_CONSTANT: Micros = Micros::from_millis(60);
/// Time constant with which the reported requests of others decay, in base service times; more than
/// 1, since requests that end are followed by others while the load is high.
const REPORT_TIME_FACTOR: f64 = 3.0;
/// Time constant with which a reported slowdown decays; the slowdown of a server by other load on
/// its host changes about as often.
const SLOWDOWN_TIME_CONSTANT: Micros = Micros::from_millis(225);
/// Slowdown factor that is assumed for a server without a fresh report.
const ASSUMED_SLOWDOWN: f64 = 1.75;
/// Factor by which the slowdown of a server is larger during its warm-up.
const WARMUP_FACTOR: f64 = 2.0;
/// Share of occupied slots above which a server takes longer for a request.
const BUSY_SHARE: f64 = 0.8;
/// Latency that is added above [`BUSY_SHARE`], in multiples of the server's service time.
const BUSY_COST: f64 = 0.7;
/// Latency that is added in proportion to the share of occupied slots, up to [`BUSY_SHARE`], in
/// multiples of the server's service time for a share of 1; breaks ties between servers with free
/// slots.
const SLOT_COST: f64 = 0.05;
/// Weight of the newest attempt or unanswered probe in the failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Time constant with which the failure rate decays.
const FAILURE_TIME_CONSTANT: Micros = Micros::from_millis(2000);

/// Bytes of a probe, its answer and their headers that are charged before the answer is known.
pub(crate) const PROBE_BYTES: f64 = 300.0;

/// State of one server as this entry knows it.
#[derive(Debug)]
pub struct ServerState {
    pub(crate) config: ServerConfig,
    pub(crate) phase: ServerPhase,
    /// Whether the server is in the latest list of servers.
    pub(crate) listed: bool,
    /// Whether the server is in an evacuated data centre, and gets no new requests.
    pub(crate) evacuated: bool,
    /// Duration of the slow start after an evacuation; `None` for that of the pool.
    pub(crate) return_ramp: Option<Micros>,
    /// Outstanding attempts of this entry. Each counts as one outstanding request: the first
    /// attempt of a request and its hedge are two.
    pub(crate) attempts: Vec<Attempt>,
    /// Load digests of other entries: outstanding requests at the server, and when the digest came.
    pub(crate) digests: Map<Name, (u32, Micros)>,
    /// Latest load report of the server.
    pub(crate) report: Option<ReceivedReport>,
    /// Answer to the last load probe: number of requests, latency of the probe, and when the answer
    /// came.
    pub(crate) probe: Option<(u32, Micros, Micros)>,
    /// Moving average of the latency, in microseconds; 0 before the first answer.
    pub(crate) mean_latency: f64,
    /// Estimate of the server's real number of slots, which follows the load reports of its
    /// answers; at most the configured slots.
    pub(crate) estimated_slots: f64,
    /// Failures since the last answer; some kinds count several times.
    pub(crate) consecutive_failures: u32,
    /// Moving average of the failures among recent attempts, from 0 to 1, and when it was last
    /// updated. An unanswered probe counts as a failure; an answered probe does not count.
    pub(crate) failure_rate: (f64, Micros),
    /// Ejections since the last answer while `Serving`; each doubles the time of the next, up to 32
    /// times the first.
    pub(crate) ejections: u32,
    /// Number of answered requests since the server was added.
    pub(crate) answered: u64,
    /// Number of failed attempts and unanswered probes since the server was added. With `answered`,
    /// which has no probes, it gives no failure rate; see `get_failure_rate`.
    pub(crate) failed: u64,
    /// Time of the last answer to a request.
    pub(crate) last_answered: Option<Micros>,
    /// Rate limit that the server names.
    pub(crate) pacer: RatePacer,
    /// Whether the server is cold; it never is in a pool without rules for cold servers.
    pub(crate) warmth: Warmth,
    /// Until when the server wants no requests from each sender, an entry by its address.
    pub(crate) hold_offs: Map<Option<SocketAddr>, Micros>,
    /// Budget of load probes.
    pub(crate) probe_tokens: TokenBucket,
    /// Budget of bytes of load probes and their answers.
    pub(crate) byte_tokens: TokenBucket,
}

/// An outstanding attempt at a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Attempt {
    pub(crate) request_id: u64,
    pub(crate) started: Micros,
    /// Address of the entry that sends it; `None` if the request named none.
    pub(crate) sender: Option<SocketAddr>,
    /// Latency objective of its kind of request; `None` for none.
    pub(crate) latency_objective: Option<Micros>,
    /// Expected latency at its start, in base service times.
    pub(crate) latency_factor: f64,
    /// Whether the server was known to be cold when it was chosen.
    pub(crate) is_paced: bool,
}

/// Load report of a server, with the time and the requests of this entry when it came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReceivedReport {
    pub(crate) load: LoadReport,
    pub(crate) received: Micros,
    /// Outstanding requests of this entry at the server when the report came.
    pub(crate) own_outstanding: u32,
}

/// Summary of the state of one server, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerSummary {
    /// Settings of the server.
    pub config: ServerConfig,
    /// Phase of the server.
    pub phase: ServerPhase,
    /// Outstanding requests of this entry at the server.
    pub outstanding: u32,
    /// Moving average of the latency, in microseconds; 0 before the first answer.
    pub mean_latency: f64,
    /// Number of answered requests since the server was added.
    pub answered: u64,
    /// Number of failed attempts and unanswered probes since the server was added. With `answered`,
    /// which has no probes, it gives no failure rate; see `get_failure_rate`.
    pub failed: u64,
    /// Time of the last answer to a request.
    pub last_answered: Option<Micros>,
    /// Latest load report, and when it came.
    pub report: Option<(LoadReport, Micros)>,
}

impl ServerState {
    pub(crate) fn new(config: ServerConfig, phase: ServerPhase, now: Micros) -> Self {
        Self {
            estimated_slots: f64::from(config.slots),
            config,
            phase,
            listed: true,
            evacuated: false,
            return_ramp: None,
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
            pacer: RatePacer::default(),
            warmth: Warmth::default(),
            hold_offs: Map::default(),
            probe_tokens: TokenBucket::new(0.0, PROBE_BURST, now),
            byte_tokens: TokenBucket::new(0.0, PROBE_BURST * PROBE_BYTES, now),
        }
    }

    /// Returns the number of outstanding requests of this entry at the server; each outstanding
    /// attempt counts as one.
    #[must_use]
    pub fn get_outstanding(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Returns the number of outstanding requests of other entries at the server, by the load
    /// digests that are still fresh.
    #[must_use]
    pub fn get_digest_requests(&self, now: Micros) -> u32 {
        let fresh = self
            .digests
            .values()
            .filter(|(_, received)| now - *received < MAX_DIGEST_AGE);
        fresh.map(|(count, _)| count).sum()
    }

    /// Returns the age of the latest load report; `None` without a report.
    #[must_use]
    pub fn get_report_age(&self, now: Micros) -> Option<Micros> {
        self.report.map(|report| now - report.received)
    }

    /// Returns the estimated number of requests of others at the server: those of its latest load
    /// report beyond this entry's own, which decay exponentially with the age of the report.
    ///
    /// `base_service_time` is in microseconds; the time constant is 3 of them, and at least 60 ms.
    #[must_use]
    pub fn get_other_requests(&self, now: Micros, base_service_time: f64) -> f64 {
        self.report.map_or(0.0, |report| {
            let others = report
                .load
                .get_requests()
                .saturating_sub(report.own_outstanding);
            let time_constant = MIN_REPORT_TIME_CONSTANT
                .max(Micros((base_service_time * REPORT_TIME_FACTOR) as u64));
            f64::from(others) * get_decay_factor(now - report.received, time_constant)
        })
    }

    /// Returns the estimated slowdown factor: the current service time as a multiple of the base
    /// service time.
    ///
    /// The estimate moves from the reported factor to the assumed one of 1.75 as the report ages,
    /// and is twice as large during the warm-up of the server.
    #[must_use]
    pub fn get_slowdown(&self, now: Micros) -> f64 {
        let reported = self.report.and_then(|report| {
            let slowdown = report.load.slowdown?;
            let weight = get_decay_factor(now - report.received, SLOWDOWN_TIME_CONSTANT);
            Some(ASSUMED_SLOWDOWN + (slowdown - ASSUMED_SLOWDOWN) * weight)
        });
        let slowdown = reported.unwrap_or(ASSUMED_SLOWDOWN);
        if now < self.config.warmup_until || self.warmth.is_cold(now) {
            slowdown * WARMUP_FACTOR
        } else {
            slowdown
        }
    }

    /// Returns the expected latency of one more request at the server, in multiples of
    /// `base_service_time`, which is in microseconds.
    #[must_use]
    pub fn get_latency_factor(&self, now: Micros, base_service_time: f64) -> f64 {
        self.get_latency_factor_at(now, base_service_time, self.get_outstanding() + 1)
    }

    /// Returns the latency that is expected now of a request that is already outstanding at the
    /// server, in multiples of `base_service_time`, which is in microseconds. Without an
    /// outstanding request, it is that of the first one.
    #[must_use]
    pub fn get_current_latency_factor(&self, now: Micros, base_service_time: f64) -> f64 {
        self.get_latency_factor_at(now, base_service_time, self.get_outstanding().max(1))
    }

    /// Returns the expected latency of a request when this entry has `own_outstanding` requests at
    /// the server, this one included, in multiples of `base_service_time`.
    fn get_latency_factor_at(
        &self,
        now: Micros,
        base_service_time: f64,
        own_outstanding: u32,
    ) -> f64 {
        let slots = f64::from(self.config.slots.max(1));
        let requests = f64::from(own_outstanding) + self.get_other_requests(now, base_service_time);
        let queue_cost = (requests - slots).max(0.0) / slots;
        let busy_cost = if requests > slots * BUSY_SHARE {
            BUSY_COST
        } else {
            requests / slots * SLOT_COST
        };
        self.get_slowdown(now) * (1.0 + busy_cost + queue_cost)
    }

    /// Returns the number of requests and the latency of the last load probe if it is younger than
    /// `max_age`.
    #[must_use]
    pub fn get_probe_result(&self, now: Micros, max_age: Micros) -> Option<(u32, Micros)> {
        let probe = self
            .probe
            .filter(|(_, _, received)| now - *received < max_age);
        probe.map(|(requests, latency, _)| (requests, latency))
    }

    /// Returns the server's settings.
    #[must_use]
    pub fn get_config(&self) -> &ServerConfig {
        &self.config
    }

    /// Returns the number of requests of this entry that have been outstanding for longer than
    /// `min_age`.
    #[must_use]
    pub fn get_overdue_count(&self, now: Micros, min_age: Micros) -> u32 {
        let overdue = self
            .attempts
            .iter()
            .filter(|attempt| now - attempt.started > min_age);
        overdue.count() as u32
    }

    /// Returns the number of slots of the server that belong to a shard.
    ///
    /// The slots of all servers are numbered in order of the server `index`, as if each server had
    /// as many slots as this one, and dealt to the shards in turn.
    #[must_use]
    pub fn get_shard_slots(&self, index: usize, shard: Shard) -> u32 {
        let slots = self.config.slots;
        let first = index as u32 * slots;
        let is_in_shard = |slot: &u32| slot % shard.count.max(1) == shard.index;
        (first..first + slots).filter(is_in_shard).count() as u32
    }

    /// Returns the concurrency limit: how many requests the server may have at once, before the
    /// limit of an overload is applied. Requests of this entry count against it and, with
    /// [`LoadSource::Reports`](crate::LoadSource::Reports), those of others that its load report
    /// shows.
    #[must_use]
    pub fn get_limit(&self, now: Micros, config: &PoolConfig) -> u32 {
        let full = match (config.policy.late_binding, self.estimated_slots) {
            (true, slots) => slots.round().max(1.0) as u32 + config.overcommit,
            (false, _) => config.max_connections,
        };
        let limit = match self.phase {
            _ if !self.listed || self.evacuated => 0,
            ServerPhase::Serving => full,
            ServerPhase::SlowStart { since } => {
                let duration = self.get_slow_start(config);
                let ramp_share = (now - since).0 as f64 / duration.0.max(1) as f64;
                ((f64::from(full) * ramp_share) as u32).clamp(1, full)
            }
            ServerPhase::Probation => 1,
            ServerPhase::Ejected { .. } | ServerPhase::Leaving => 0,
        };
        limit.min(config.max_connections)
    }

    /// Returns the duration of the server's slow start.
    pub(crate) fn get_slow_start(&self, config: &PoolConfig) -> Micros {
        self.return_ramp.unwrap_or(config.slow_start)
    }

    /// Returns whether the server is listed and gets requests as far as its phase and its data centre are
    /// concerned: it is neither leaving nor evacuated.
    pub(crate) fn is_open(&self) -> bool {
        self.listed && self.phase != ServerPhase::Leaving && !self.evacuated
    }

    /// Sets whether the server is in an evacuated data centre. One that is taken back begins with a slow
    /// start, unless it is ejected, on probation or leaving.
    pub(crate) fn set_evacuated(&mut self, now: Micros, evacuated: bool, config: &PoolConfig) {
        let is_back = self.evacuated && !evacuated;
        self.evacuated = evacuated;
        if let (true, ServerPhase::Serving | ServerPhase::SlowStart { .. }) = (is_back, self.phase)
        {
            self.phase = ServerPhase::SlowStart { since: now };
            self.return_ramp = Some(config.return_slow_start);
        }
    }

    /// Adds an attempt; an attempt of the same request is replaced by one that starts now.
    pub(crate) fn start_attempt(
        &mut self,
        now: Micros,
        request: &PendingRequest,
        base_service_time: f64,
    ) {
        let replaced = self.remove_attempt(request.id);
        self.pacer.record_start(now);
        let attempt = Attempt {
            request_id: request.id,
            started: now,
            sender: request.sender,
            latency_objective: request.latency_objective,
            latency_factor: self.get_latency_factor(now, base_service_time),
            is_paced: replaced.map_or(self.warmth.is_cold(now), |replaced| replaced.is_paced),
        };
        self.attempts.push(attempt);
    }

    /// Records that the server wants no requests from a sender for a time; returns whether it wanted some
    /// before.
    pub(crate) fn hold_off(
        &mut self,
        now: Micros,
        sender: Option<SocketAddr>,
        time: Micros,
    ) -> bool {
        self.hold_offs.retain(|_, end| *end > now);
        let end = self.hold_offs.entry(sender).or_insert(now);
        let has_changed = *end <= now;
        *end = (*end).max(now + time);
        has_changed && *end > now
    }

    /// Returns until when the server wants no requests from a sender; zero if it wants them.
    pub(crate) fn get_hold_off_end(&self, sender: Option<SocketAddr>) -> Micros {
        self.hold_offs.get(&sender).copied().unwrap_or_default()
    }

    /// Returns whether the server wants no requests from some sender now.
    pub(crate) fn is_held_off(&self, now: Micros) -> bool {
        self.hold_offs.values().any(|end| *end > now)
    }

    /// Removes and returns the attempt of a request.
    pub(crate) fn remove_attempt(&mut self, request_id: u64) -> Option<Attempt> {
        let index = self
            .attempts
            .iter()
            .position(|other| other.request_id == request_id)?;
        Some(self.attempts.swap_remove(index))
    }

    /// Records an answer, and adapts the estimate of the server's real slots: additive increase,
    /// multiplicative decrease (AIMD).
    ///
    /// The estimate falls while the load reports of answers show more requests than the configured
    /// slots and `overcommit` together, and grows back to the configured slots otherwise. A refusal
    /// ([`AttemptOutcome::Full`](super::AttemptOutcome::Full)) does not lower it.
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
        self.estimated_slots = match load {
            Some(load) if load.get_requests() > self.config.slots + overcommit => {
                (self.estimated_slots * SLOTS_DECREASE_FACTOR).max(1.0)
            }
            _ => (self.estimated_slots + SLOTS_INCREASE).min(slots),
        };
        self.update_failure_rate(now, false);
        self.record_report(now, load);
    }

    /// Records the load report of an answer or a probe, if it has one.
    pub(crate) fn record_report(&mut self, now: Micros, load: Option<LoadReport>) {
        let own_outstanding = self.get_outstanding();
        let report = load.map(|load| ReceivedReport {
            load,
            received: now,
            own_outstanding,
        });
        self.report = report.or(self.report);
    }

    /// Updates the failure rate with an attempt that failed or not, or with an unanswered probe.
    pub(crate) fn update_failure_rate(&mut self, now: Micros, failed: bool) {
        let old_rate = self.get_failure_rate(now);
        let sample = f64::from(u8::from(failed));
        self.failure_rate = (old_rate + FAILURE_WEIGHT * (sample - old_rate), now);
    }

    /// Returns the moving average of the failures among recent attempts, from 0 to 1, which decays
    /// while there are none. An unanswered probe counts as a failure; an answered probe does not
    /// count.
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

/// Returns the weight of a value of this age under exponential decay, from 1 down to 0.
fn get_decay_factor(age: Micros, time_constant: Micros) -> f64 {
    (-age.as_secs() / time_constant.as_secs()).exp()
}
