use lentilcart_util::{Micros, Name, Rng, seeded_rng};

use super::server_state::PROBE_BYTES;
use super::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, PoolConfig, Rejection, ServerConfig,
    ServerPhase, ServerState, ServerSummary, Shard,
};
use crate::limits::{Hedger, TokenBucket};
use crate::policy::{LoadSource, PickContext};
use crate::queue::Queue;

const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Failures that an unanswered question about load counts for.
const DOUBT_WEIGHT: u32 = 3;
/// Time of work that is reckoned with before the first answer, in microseconds.
const FIRST_WORK: f64 = 50_000.0;
const MEAN_WEIGHT: f64 = 0.02;
/// Waiting requests for each server of the own data centre, from which and down to which slots are
/// reserved.
const PRESSED_FROM: f64 = 2.5;
const PRESSED_LEAST: f64 = 0.5;
/// Servers of the own data centre from which slots are reserved: among fewer, a free slot is too often the
/// only one.
const RESERVE_SERVERS: f64 = 8.0;
/// Answers after which the usual time of work is known well.
const SETTLED: u64 = 50;
/// Usual times of work that the work of a request counts for at most.
const STRAGGLER: f64 = 2.0;
const TYPICAL_QUANTILE: f64 = 0.5;

/// What one entry knows of a service's servers, and the requests it gave them.
#[derive(Debug)]
pub struct ServerPool {
    config: PoolConfig,
    rows: Vec<ServerState>,
    queue: Queue,
    retries: TokenBucket,
    hedger: Hedger,
    share: Shard,
    mean: f64,
    /// Usual time of work at the usual speed, in microseconds.
    work: f64,
    answers: u64,
    turn: u64,
    /// Whether requests wait for long.
    pressed: bool,
    rng: Rng,
    open: Vec<usize>,
}

impl ServerPool {
    /// Creates a pool without servers.
    #[must_use]
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        let mut retries = TokenBucket::new(0.0, config.retry.burst, Micros::ZERO);
        retries.deposit(config.initial_retries);
        Self {
            rows: Vec::new(),
            queue: Queue::default(),
            retries,
            hedger: Hedger::new(config.retry.hedge, Micros::ZERO),
            share: Shard::default(),
            mean: 0.0,
            work: FIRST_WORK,
            answers: 0,
            turn: 0,
            pressed: false,
            rng: seeded_rng(seed),
            open: Vec::new(),
            config,
        }
    }

    /// Changes the settings; servers, queue and what is known of them stay.
    pub fn set_config(&mut self, config: PoolConfig) {
        self.retries.set_rate(0.0, config.retry.burst);
        self.hedger.set_share(config.retry.hedge);
        self.config = config;
    }

    /// Replaces the list of servers.
    ///
    /// A server that is no longer listed gets no new request and its row stays until its last
    /// request has ended. Servers of the first list are in full use at once; later ones ramp up.
    pub fn set_servers(&mut self, now: Micros, servers: &[ServerConfig]) {
        let first = self.rows.is_empty();
        for row in &mut self.rows {
            row.listed = servers.iter().any(|s| s.is_same(&row.config));
        }
        for server in servers {
            let known = self.rows.iter_mut().find(|row| row.config.is_same(server));
            match known {
                Some(row) if row.config == *server => {}
                Some(row) => {
                    row.limit = f64::from(server.slots);
                    row.config = server.clone();
                }
                None => {
                    let is_cold = !first && self.config.slow_start > Micros::ZERO;
                    let phase = if is_cold {
                        ServerPhase::SlowStart { since: now }
                    } else {
                        ServerPhase::Serving
                    };
                    self.add(ServerState::new(server.clone(), phase, now));
                }
            }
        }
    }

    /// Sets this entry's place among the entries that dispatch for the service.
    pub fn set_shard(&mut self, share: Shard) {
        self.share = share;
    }

    /// Marks a server as leaving, or as staying again; returns whether that changed it.
    pub fn set_leaving(&mut self, now: Micros, server: usize, leaving: bool) -> bool {
        let Some(row) = self.rows.get_mut(server) else {
            return false;
        };
        let is_leaving = row.phase == ServerPhase::Leaving;
        if leaving != is_leaving {
            row.phase = if leaving {
                ServerPhase::Leaving
            } else {
                ServerPhase::SlowStart { since: now }
            };
        }
        leaving != is_leaving
    }
}

/// Reflection.
impl ServerPool {
    /// Returns the settings.
    #[must_use]
    pub fn get_config(&self) -> &PoolConfig {
        &self.config
    }

    /// Returns a server's row.
    #[must_use]
    pub fn get_server_state(&self, server: usize) -> Option<&ServerState> {
        self.rows.get(server)
    }

    /// Returns the row of an address.
    #[must_use]
    pub fn get_server_index(&self, address: std::net::SocketAddr) -> Option<usize> {
        self.rows
            .iter()
            .position(|row| row.listed && row.config.address == address)
    }

    /// Returns what an operator is shown of every listed server.
    #[must_use]
    pub fn get_summaries(&self) -> Vec<ServerSummary> {
        self.rows
            .iter()
            .filter(|row| row.listed)
            .map(ServerState::view)
            .collect()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn get_queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns this entry's outstanding requests at each listed server.
    pub fn get_load_digest(&self) -> impl Iterator<Item = (std::net::SocketAddr, u32)> {
        let listed = self.rows.iter().filter(|row| row.listed);
        listed.map(|row| (row.config.address, row.get_outstanding()))
    }

    /// Returns a latency quantile of the last seconds.
    #[must_use]
    pub fn get_latency_quantile(&self, quantile: f64) -> Option<Micros> {
        self.hedger.get_quantile(quantile)
    }

    /// Returns the usual time of work at a server at its usual speed, once there was an answer.
    #[must_use]
    pub fn get_service_time(&self) -> Option<Micros> {
        (self.answers > 0).then_some(Micros(self.work as u64))
    }

    /// Returns the time that a request which was started at a server is expected to take there, in
    /// microseconds.
    #[must_use]
    pub fn get_expected_latency(&self, now: Micros, server: usize) -> f64 {
        let row = self.rows.get(server);
        let times = row.map_or(0.0, |row| row.get_expected_last(now, self.work));
        times * self.work
    }

    /// Returns whether there is a server in use that a request was not sent to.
    #[must_use]
    pub fn has_alternative(&self, now: Micros, job: &PendingRequest) -> bool {
        let mut rows = self.rows.iter().enumerate();
        rows.any(|(at, row)| self.get_limit(now, row) > 0 && !job.excluded.contains(&at))
    }

    /// Returns how long to wait for an answer before asking for a hedge.
    #[must_use]
    pub fn get_hedge_delay(&self) -> Option<Micros> {
        self.hedger.get_delay()
    }
}

/// Decisions on requests.
impl ServerPool {
    /// Takes a request: starts it, queues it or refuses it.
    pub fn offer(&mut self, now: Micros, job: PendingRequest) -> Vec<Decision> {
        let usable = self
            .rows
            .iter()
            .any(|row| row.listed && row.phase != ServerPhase::Leaving);
        match () {
            () if !usable => vec![Decision::Reject {
                request_id: job.id,
                reason: Rejection::NoServer,
            }],
            () if self.is_hopeless(now, &job) => {
                vec![Decision::Reject {
                    request_id: job.id,
                    reason: Rejection::Overload,
                }]
            }
            () => {
                self.queue.push(job);
                self.drain(now)
            }
        }
    }

    /// Ends an attempt and starts the requests that waited for it.
    pub fn finish_attempt(
        &mut self,
        now: Micros,
        job: u64,
        server: usize,
        outcome: AttemptOutcome,
    ) -> Vec<Decision> {
        let Some(row) = self.rows.get_mut(server) else {
            return Vec::new();
        };
        let Some(attempt) = row.finish(job) else {
            return Vec::new();
        };
        let took = now - attempt.started;
        match outcome {
            AttemptOutcome::Answered { load } => {
                row.answer(now, took, load, self.config.overcommit);
                self.learn_work(took, attempt.times);
                self.hedger.record(now, took);
                self.retries.deposit(self.config.retry.ratio);
                self.mean += MEAN_WEIGHT * (took.0 as f64 - self.mean);
                self.recover(now, server);
            }
            AttemptOutcome::Full { load } => {
                row.hear(now, load);
                // A server that sheds with free slots has another reason than load.
                let slots = row.config.slots;
                let has_room = load.is_some_and(|load| load.get_requests() < slots);
                row.note(now, has_room);
            }
            AttemptOutcome::Failed => {
                row.note(now, true);
                self.fail(now, server, 1);
            }
            AttemptOutcome::Unreachable => {
                row.note(now, true);
                self.fail(now, server, self.config.eject.failures);
            }
            AttemptOutcome::Leaving => row.phase = ServerPhase::Leaving,
            AttemptOutcome::Cancelled => {}
        }
        self.drain(now)
    }

    /// Begins a request anew that is about to be sent, by what is known of its server now.
    pub fn restart_attempt(&mut self, now: Micros, job: u64, server: usize) {
        if let Some(row) = self.rows.get_mut(server) {
            row.start(now, job, self.work);
        }
    }

    /// Withdraws a request that still waits; returns whether it did.
    pub fn cancel_queued(&mut self, job: u64) -> bool {
        self.queue.remove(job)
    }

    /// Takes the budget of one retry; returns whether there was enough.
    pub fn take_retry_token(&mut self) -> bool {
        self.retries.take(1.0)
    }

    /// Starts a hedge at another server with a free slot, if the budget allows one and nobody
    /// waits.
    pub fn start_hedge(&mut self, now: Micros, job: &PendingRequest) -> Option<usize> {
        if self.queue.len() > 0 || !self.is_open(now, job) || !self.hedger.take() {
            return None;
        }
        self.start(now, job)
    }

    /// Records whether a hedge answered before the first attempt.
    pub fn record_hedge(&mut self, won: bool) {
        self.hedger.settle(won);
    }

    /// Refuses requests that have waited too long, moves ejected servers on, and starts what can
    /// be started.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        for row in &mut self.rows {
            row.phase = match row.phase {
                ServerPhase::Ejected { until } if now >= until => ServerPhase::Probation,
                ServerPhase::SlowStart { since } if now - since >= self.config.slow_start => {
                    ServerPhase::Serving
                }
                phase => phase,
            };
        }
        let mut steps = self.expire(now);
        steps.extend(self.drain(now));
        steps
    }
}

/// Load measurement.
impl ServerPool {
    /// Returns the servers to ask about their load since requests wait: those with room whose report is
    /// older than `age`. Only servers of the own data centre are asked.
    #[must_use]
    pub fn get_stale_servers(&self, now: Micros, age: Micros) -> Vec<std::net::SocketAddr> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let is_doubtful = |row: &&ServerState| {
            row.listed
                && row.config.data_center == self.config.data_center
                && self.has_room(now, row)
                && row.get_report_age(now).is_none_or(|old| old >= age)
        };
        let rows = self.rows.iter().filter(is_doubtful);
        rows.map(|row| row.config.address).collect()
    }

    /// Returns the servers to probe now; each call spends the budget of the probes it returns.
    pub fn take_due_probes(&mut self, now: Micros) -> Vec<usize> {
        if self.config.policy.source != LoadSource::Probes {
            return Vec::new();
        }
        let load = self.config.probe_budget;
        let entries = f64::from(load.entries.max(1));
        let mut due = Vec::new();
        for (index, row) in self
            .rows
            .iter_mut()
            .enumerate()
            .filter(|(_, row)| row.listed)
        {
            row.probes.set_rate(load.probes / entries, 1.0);
            row.bytes.set_rate(load.bytes / entries, 2.0 * PROBE_BYTES);
            row.probes.fill(now);
            row.bytes.fill(now);
            let affordable =
                row.probes.get_tokens() >= 1.0 && row.bytes.get_tokens() >= PROBE_BYTES;
            if affordable && row.probes.take(1.0) && row.bytes.take(PROBE_BYTES) {
                due.push(index);
            }
        }
        due
    }

    /// Records the answer to a probe and charges the bytes beyond the usual size.
    pub fn record_probe(&mut self, now: Micros, server: usize, load: u32, took: Micros, size: f64) {
        if let Some(row) = self.rows.get_mut(server) {
            row.probe = Some((load, took, now));
            row.bytes.charge((size - PROBE_BYTES).max(0.0));
        }
    }

    /// Takes a server's report of its load that came by another way than an answer.
    pub fn record_load_report(&mut self, now: Micros, server: usize, load: LoadReport) {
        if let Some(row) = self.rows.get_mut(server) {
            row.hear(now, Some(load));
        }
    }

    /// Learns from an answer to a request of this entry that another one had given its server.
    pub fn record_permit_outcome(&mut self, now: Micros, took: Micros, outcome: &AttemptOutcome) {
        if let AttemptOutcome::Answered { load } = outcome {
            self.hedger.record(now, took);
            self.retries.deposit(self.config.retry.ratio);
            let told = load.and_then(|load| load.slowdown);
            self.learn_work(took, told.unwrap_or(1.0).max(1.0));
        }
    }

    /// Learns how long work takes at an idle server of the usual speed, from an answer that was expected to
    /// take some times as long.
    fn learn_work(&mut self, took: Micros, times: f64) {
        self.answers += 1;
        // A plain mean until there are enough answers; then a straggler counts as a slow answer.
        let weight = MEAN_WEIGHT.max(1.0 / self.answers as f64);
        let most = if self.answers > SETTLED {
            self.work * STRAGGLER
        } else {
            f64::MAX
        };
        let sample = (took.0 as f64 / times.max(1.0)).min(most);
        self.work += weight * (sample - self.work);
    }

    /// Records that a server did not answer a question about its load.
    pub fn record_probe_failure(&mut self, now: Micros, server: usize) {
        if let Some(row) = self.rows.get_mut(server) {
            row.note(now, true);
            self.fail(now, server, DOUBT_WEIGHT);
        }
    }

    /// Records another entry's outstanding requests.
    pub fn record_load_digest(
        &mut self,
        now: Micros,
        entry: &Name,
        digest: impl IntoIterator<Item = (std::net::SocketAddr, u32)>,
    ) {
        for (address, count) in digest {
            let row = self
                .rows
                .iter_mut()
                .find(|row| row.config.address == address);
            if let Some(row) = row {
                row.peers.insert(entry.clone(), (count, now));
            }
        }
    }
}

/// Internals.
impl ServerPool {
    fn add(&mut self, row: ServerState) {
        let free = self
            .rows
            .iter_mut()
            .find(|row| !row.listed && row.attempts.is_empty());
        match free {
            Some(slot) => *slot = row,
            None => self.rows.push(row),
        }
    }

    /// Returns when a waiting request must have started, given the usual latency.
    fn get_latest(&self, job: &PendingRequest, typical: Micros) -> Micros {
        let patience = (job.deadline - job.arrived).scaled(self.config.wait_share);
        (job.arrived + patience).min(job.deadline - typical)
    }

    fn get_typical(&self) -> Micros {
        self.hedger
            .get_quantile(TYPICAL_QUANTILE)
            .unwrap_or_default()
    }

    /// Returns whether the requests ahead of a new one will take longer than it can wait.
    fn is_hopeless(&self, now: Micros, job: &PendingRequest) -> bool {
        let ahead = self.queue.get_ahead(job.priority);
        if ahead == 0 {
            return false;
        }
        let limit = |row: &ServerState| self.get_limit(now, row);
        let slots: u32 = self.rows.iter().map(limit).sum();
        let wait = Micros((ahead as f64 * self.mean / f64::from(slots.max(1))) as u64);
        now + wait > self.get_latest(job, self.get_typical())
    }

    /// Starts waiting requests while a server has room.
    fn drain(&mut self, now: Micros) -> Vec<Decision> {
        let mut steps = Vec::new();
        self.note_pressure();
        if self.queue.len() == 0 {
            return steps;
        }
        let mut room = self.get_room(now);
        while self.queue.len() > 0 && !room.is_empty() {
            let Some(job) = self.pop_next(now, &room) else {
                break;
            };
            steps.extend(self.begin(now, &job));
            room = self.get_room(now);
        }
        steps
    }

    /// Returns the servers that have room, with the time that one more request would take there in
    /// microseconds: in an overload many requests are looked at for few of them.
    fn get_room(&self, now: Micros) -> Vec<(usize, f64)> {
        let rows = self.rows.iter().enumerate();
        let open = rows.filter(|(_, row)| {
            let near = row.config.data_center == self.config.data_center;
            let reserved = if near { 0 } else { self.config.remote_reserve };
            self.get_load(now, row) + reserved < self.get_limit(now, row)
        });
        open.map(|(index, row)| (index, row.get_expected(now, self.work) * self.work))
            .collect()
    }

    /// Starts waiting requests that can be started now.
    pub fn dispatch(&mut self, now: Micros) -> Vec<Decision> {
        self.drain(now)
    }

    /// Refuses requests that have waited too long.
    fn expire(&mut self, now: Micros) -> Vec<Decision> {
        let mut steps = Vec::new();
        let typical = self.get_typical();
        while let Some(job) = self.pop(|pool, job| pool.get_latest(job, typical) < now) {
            steps.push(Decision::Reject {
                request_id: job.id,
                reason: Rejection::Overload,
            });
        }
        steps
    }

    /// Removes and returns the next request that one of some servers may take.
    fn pop_next(&mut self, now: Micros, room: &[(usize, f64)]) -> Option<PendingRequest> {
        let least = self.get_least(now);
        let fastest = room.iter().map(|(_, took)| *took).fold(f64::MAX, f64::min);
        let is_open = |pool: &Self, job: &PendingRequest| {
            let bound = pool.get_bound(now, job, least);
            let mut room = room.iter();
            fastest <= bound && room.any(|&(at, _)| pool.is_row_open(now, job, at, bound))
        };
        if self.config.policy.source != LoadSource::Reports {
            return self.pop(is_open);
        }
        let is_known = self.answers > SETTLED;
        let work = Micros(if is_known { self.work as u64 } else { 0 });
        let mut queue = std::mem::take(&mut self.queue);
        let job = queue.pop_prompt(now, work, |job| is_open(self, job));
        self.queue = queue;
        job
    }

    fn pop(
        &mut self,
        is_wanted: impl Fn(&Self, &PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        let mut queue = std::mem::take(&mut self.queue);
        let job = queue.pop(|job| is_wanted(self, job));
        self.queue = queue;
        job
    }

    fn begin(&mut self, now: Micros, job: &PendingRequest) -> Option<Decision> {
        self.start(now, job).map(|server| Decision::Start {
            request_id: job.id,
            server,
        })
    }

    fn has_room(&self, now: Micros, row: &ServerState) -> bool {
        self.get_load(now, row) < self.get_limit(now, row)
    }

    fn is_row_open(&self, now: Micros, job: &PendingRequest, index: usize, bound: f64) -> bool {
        let row = &self.rows[index];
        let untried = !job.excluded.contains(&index);
        let trusted = !job.at_most_once || row.phase != ServerPhase::Probation;
        let near = job.origin.as_ref().unwrap_or(&self.config.data_center);
        let reserved = if row.config.data_center == *near {
            0
        } else {
            self.config.remote_reserve
        };
        let has_room = self.get_load(now, row) + reserved < self.get_limit(now, row);
        let is_fast = || row.get_expected(now, self.work) * self.work <= bound;
        has_room && untried && trusted && is_fast()
    }

    /// Returns the longest time that a server may take for a request, in microseconds; the request is kept
    /// for a faster one otherwise. `least` is the time at the fastest server, free or not.
    ///
    /// How long work takes is settled as it begins, so that a request at a slow server is late and
    /// takes a slot for several times as long: in an overload, such requests take most slots.
    fn get_bound(&self, now: Micros, job: &PendingRequest, least: f64) -> f64 {
        let left = (job.objective - now).0 as f64;
        let whole = (job.objective - job.arrived).0 as f64;
        match () {
            () if self.config.policy.source != LoadSource::Reports => f64::MAX,
            () if least < left => left,
            // It is late already, and must not make others late.
            () if least <= whole => whole,
            () => f64::MAX,
        }
    }

    /// Returns the time that a request would take at the fastest server if that had nothing else to do, in
    /// microseconds.
    fn get_least(&self, now: Micros) -> f64 {
        let usable = |row: &&ServerState| self.get_limit(now, row) > 0;
        let rows = self.rows.iter().filter(usable);
        let slowness = rows.map(|row| row.get_slowdown(now));
        slowness.fold(f64::MAX, f64::min) * self.work
    }

    /// Returns how many requests a server may have at once.
    fn get_limit(&self, now: Micros, row: &ServerState) -> u32 {
        let limit = row.get_limit(now, &self.config);
        if self.pressed {
            let kept = row.config.slots.saturating_sub(self.config.reserve);
            limit.min(kept.max(1))
        } else {
            limit
        }
    }

    /// Notices whether requests wait for long: servers answer more of them when a slot stays free, since
    /// they slow down when they are nearly full, while the last slot answers a few of them sooner.
    fn note_pressure(&mut self) {
        let near =
            |row: &&ServerState| row.listed && row.config.data_center == self.config.data_center;
        let servers = self.rows.iter().filter(near).count() as f64;
        let waiting = self.queue.len() as f64;
        let share = if self.pressed {
            PRESSED_LEAST
        } else {
            PRESSED_FROM
        };
        self.pressed = servers >= RESERVE_SERVERS && waiting > servers * share;
    }

    /// Returns the requests at a server that count against its limit.
    fn get_load(&self, now: Micros, row: &ServerState) -> u32 {
        let others = if self.config.policy.source == LoadSource::Reports {
            row.get_other_requests(now, self.work).round() as u32
        } else {
            0
        };
        row.get_outstanding() + others
    }

    fn is_open(&self, now: Micros, job: &PendingRequest) -> bool {
        let bound = self.get_bound(now, job, self.get_least(now));
        (0..self.rows.len()).any(|index| self.is_row_open(now, job, index, bound))
    }

    fn start(&mut self, now: Micros, job: &PendingRequest) -> Option<usize> {
        let mut open = std::mem::take(&mut self.open);
        open.clear();
        let bound = self.get_bound(now, job, self.get_least(now));
        let rows = 0..self.rows.len();
        open.extend(rows.filter(|&index| self.is_row_open(now, job, index, bound)));
        let picked = (!open.is_empty()).then(|| {
            let mut choice = PickContext {
                rows: &self.rows,
                open: &open,
                now,
                near: job.origin.as_ref().unwrap_or(&self.config.data_center),
                config: &self.config,
                share: self.share,
                turn: self.turn,
                mean: self.mean,
                work: self.work,
                objective: job.objective,
                rng: &mut self.rng,
            };
            (self.config.policy.pick)(&mut choice)
        });
        self.open = open;
        self.turn += 1;
        if let Some(server) = picked {
            self.rows[server].start(now, job.id, self.work);
        }
        picked
    }

    /// Counts a failure of some weight, and ejects the server after too many in a row unless too many are
    /// ejected already.
    fn fail(&mut self, now: Micros, server: usize, weight: u32) {
        let limits = self.config.eject;
        let listed = self.rows.iter().filter(|row| row.listed).count();
        let out = |row: &&ServerState| {
            matches!(
                row.phase,
                ServerPhase::Ejected { .. } | ServerPhase::Probation
            )
        };
        let others = self
            .rows
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != server);
        let ejected = others.filter(|(_, row)| row.listed && out(row)).count();
        let may_eject = (ejected + 1) as f64 <= limits.share * listed as f64;
        let row = &mut self.rows[server];
        row.failed += 1;
        row.failures += weight;
        let doubtful = match row.phase {
            ServerPhase::Probation => true,
            ServerPhase::Serving | ServerPhase::SlowStart { .. } => {
                row.failures >= limits.failures && may_eject
            }
            ServerPhase::Ejected { .. } | ServerPhase::Leaving => false,
        };
        if doubtful {
            let doublings = row.ejections.min(MAX_BACKOFF_DOUBLINGS);
            let pause = limits.probation.scaled(f64::from(1 << doublings));
            row.ejections += 1;
            row.phase = ServerPhase::Ejected { until: now + pause };
        }
    }

    /// Lets a server that answered on probation ramp up.
    fn recover(&mut self, now: Micros, server: usize) {
        let row = &mut self.rows[server];
        row.phase = match row.phase {
            ServerPhase::Probation => ServerPhase::SlowStart { since: now },
            ServerPhase::Serving => {
                row.ejections = 0;
                ServerPhase::Serving
            }
            phase => phase,
        };
    }
}
