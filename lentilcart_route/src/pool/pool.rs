use lentilcart_util::{Micros, Name, Rng, seeded};

use super::row::PROBE_BYTES;
use super::{
    Job, Load, Outcome, Phase, PoolConfig, Refusal, Row, RowView, ServerConfig, Share, Step,
};
use crate::limits::{Bucket, Hedger};
use crate::policy::{Choice, Source};
use crate::queue::Queue;

const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Failures that an unanswered question about load counts for.
const DOUBT_WEIGHT: u32 = 3;
/// Time of work that is reckoned with before the first answer, in microseconds.
const FIRST_WORK: f64 = 50_000.0;
const MEAN_WEIGHT: f64 = 0.02;
const TYPICAL_QUANTILE: f64 = 0.5;

/// What one entry knows of a service's servers, and the requests it gave them.
#[derive(Debug)]
pub struct Pool {
    config: PoolConfig,
    rows: Vec<Row>,
    queue: Queue,
    retries: Bucket,
    hedger: Hedger,
    share: Share,
    mean: f64,
    /// Usual time of work at the usual speed, in microseconds.
    work: f64,
    answers: u64,
    turn: u64,
    rng: Rng,
    open: Vec<usize>,
}

impl Pool {
    /// Creates a pool without servers.
    #[must_use]
    pub fn new(config: PoolConfig, seed: u64) -> Self {
        let mut retries = Bucket::new(0.0, config.retry.burst, Micros::ZERO);
        retries.deposit(config.first_retries);
        Self {
            rows: Vec::new(),
            queue: Queue::default(),
            retries,
            hedger: Hedger::new(config.retry.hedge, Micros::ZERO),
            share: Share::default(),
            mean: 0.0,
            work: FIRST_WORK,
            answers: 0,
            turn: 0,
            rng: seeded(seed),
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
                    let is_cold = !first && self.config.ramp > Micros::ZERO;
                    let phase = if is_cold {
                        Phase::Ramping { since: now }
                    } else {
                        Phase::Serving
                    };
                    self.add(Row::new(server.clone(), phase, now));
                }
            }
        }
    }

    /// Sets this entry's place among the entries that dispatch for the service.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
    }

    /// Marks a server as leaving, or as staying again; returns whether that changed it.
    pub fn set_leaving(&mut self, now: Micros, server: usize, leaving: bool) -> bool {
        let Some(row) = self.rows.get_mut(server) else {
            return false;
        };
        let is_leaving = row.phase == Phase::Leaving;
        if leaving != is_leaving {
            row.phase = if leaving {
                Phase::Leaving
            } else {
                Phase::Ramping { since: now }
            };
        }
        leaving != is_leaving
    }
}

/// Reflection.
impl Pool {
    /// Returns the settings.
    #[must_use]
    pub fn get_config(&self) -> &PoolConfig {
        &self.config
    }

    /// Returns a server's row.
    #[must_use]
    pub fn get_row(&self, server: usize) -> Option<&Row> {
        self.rows.get(server)
    }

    /// Returns the row of an address.
    #[must_use]
    pub fn get_index(&self, address: std::net::SocketAddr) -> Option<usize> {
        self.rows
            .iter()
            .position(|row| row.listed && row.config.address == address)
    }

    /// Returns what an operator is shown of every listed server.
    #[must_use]
    pub fn get_views(&self) -> Vec<RowView> {
        self.rows
            .iter()
            .filter(|row| row.listed)
            .map(Row::view)
            .collect()
    }

    /// Returns the number of requests that wait.
    #[must_use]
    pub fn get_waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns this entry's outstanding requests at each listed server.
    pub fn get_digest(&self) -> impl Iterator<Item = (std::net::SocketAddr, u32)> {
        let listed = self.rows.iter().filter(|row| row.listed);
        listed.map(|row| (row.config.address, row.get_outstanding()))
    }

    /// Returns a latency quantile of the last seconds.
    #[must_use]
    pub fn get_quantile(&self, quantile: f64) -> Option<Micros> {
        self.hedger.get_quantile(quantile)
    }

    /// Returns the usual time of work at a server at its usual speed, once there was an answer.
    #[must_use]
    pub fn get_work(&self) -> Option<Micros> {
        (self.answers > 0).then_some(Micros(self.work as u64))
    }

    /// Returns the time that a request which was started at a server is expected to take there, in
    /// microseconds.
    #[must_use]
    pub fn get_expected(&self, now: Micros, server: usize) -> f64 {
        let row = self.rows.get(server);
        let times = row.map_or(0.0, |row| row.get_expected_last(now, self.work));
        times * self.work
    }

    /// Returns how long to wait for an answer before asking for a hedge.
    #[must_use]
    pub fn get_hedge_delay(&self) -> Option<Micros> {
        self.hedger.get_delay()
    }
}

/// Decisions on requests.
impl Pool {
    /// Takes a request: starts it, queues it or refuses it.
    pub fn offer(&mut self, now: Micros, job: Job) -> Vec<Step> {
        let usable = self
            .rows
            .iter()
            .any(|row| row.listed && row.phase != Phase::Leaving);
        match () {
            () if !usable => vec![Step::Refuse {
                job: job.id,
                reason: Refusal::NoServer,
            }],
            () if self.is_hopeless(now, &job) => {
                vec![Step::Refuse {
                    job: job.id,
                    reason: Refusal::Overload,
                }]
            }
            () => {
                self.queue.push(job);
                self.drain(now)
            }
        }
    }

    /// Ends an attempt and starts the requests that waited for it.
    pub fn settle(&mut self, now: Micros, job: u64, server: usize, outcome: Outcome) -> Vec<Step> {
        let Some(row) = self.rows.get_mut(server) else {
            return Vec::new();
        };
        let Some(took) = row.finish(now, job) else {
            return Vec::new();
        };
        match outcome {
            Outcome::Answered { load } => {
                let slowness = row.get_slowness(now);
                row.answer(now, took, load, self.config.overcommit);
                let slowness = f64::midpoint(slowness, row.get_slowness(now));
                self.learn_work(took, slowness);
                self.hedger.record(now, took);
                self.retries.deposit(self.config.retry.ratio);
                self.mean += MEAN_WEIGHT * (took.0 as f64 - self.mean);
                self.recover(now, server);
            }
            Outcome::Full { load } => {
                row.hear(now, load);
                // A server that sheds with free slots has another reason than load.
                let slots = row.config.slots;
                let has_room = load.is_some_and(|load| load.get_requests() < slots);
                row.note(now, has_room);
            }
            Outcome::Failed => {
                row.note(now, true);
                self.fail(now, server, 1);
            }
            Outcome::Unreachable => {
                row.note(now, true);
                self.fail(now, server, self.config.eject.failures);
            }
            Outcome::Leaving => row.phase = Phase::Leaving,
            Outcome::Cancelled => {}
        }
        self.drain(now)
    }

    /// Withdraws a request that still waits; returns whether it did.
    pub fn withdraw(&mut self, job: u64) -> bool {
        self.queue.remove(job)
    }

    /// Takes the budget of one retry; returns whether there was enough.
    pub fn retry(&mut self) -> bool {
        self.retries.take(1.0)
    }

    /// Starts a hedge at another server with a free slot, if the budget allows one and nobody
    /// waits.
    pub fn hedge(&mut self, now: Micros, job: &Job) -> Option<usize> {
        if self.queue.len() > 0 || !self.is_open(now, job) || !self.hedger.take() {
            return None;
        }
        self.start(now, job)
    }

    /// Moves a request that was started, but not sent yet, to the server that is best by what is known
    /// now; returns it where it is another one.
    pub fn rechoose(
        &mut self,
        now: Micros,
        job: &Job,
        server: usize,
    ) -> Option<(usize, Vec<Step>)> {
        let chosen = self.start(now, job)?;
        self.rows.get_mut(server)?.finish(now, job.id);
        (chosen != server).then(|| (chosen, self.drain(now)))
    }

    /// Records whether a hedge answered before the first attempt.
    pub fn settle_hedge(&mut self, won: bool) {
        self.hedger.settle(won);
    }

    /// Refuses requests that have waited too long, moves ejected servers on, and starts what can
    /// be started.
    pub fn tick(&mut self, now: Micros) -> Vec<Step> {
        for row in &mut self.rows {
            row.phase = match row.phase {
                Phase::Ejected { until } if now >= until => Phase::Probation,
                Phase::Ramping { since } if now - since >= self.config.ramp => Phase::Serving,
                phase => phase,
            };
        }
        let mut steps = self.expire(now);
        steps.extend(self.drain(now));
        steps
    }
}

/// Load measurement.
impl Pool {
    /// Returns the servers to probe now; each call spends the budget of the probes it returns.
    pub fn take_probes(&mut self, now: Micros) -> Vec<usize> {
        if self.config.policy.source != Source::Probes {
            return Vec::new();
        }
        let load = self.config.load;
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
    pub fn settle_probe(&mut self, now: Micros, server: usize, load: u32, took: Micros, size: f64) {
        if let Some(row) = self.rows.get_mut(server) {
            row.probe = Some((load, took, now));
            row.bytes.charge((size - PROBE_BYTES).max(0.0));
        }
    }

    /// Takes a server's report of its load that came by another way than an answer.
    pub fn report(&mut self, now: Micros, server: usize, load: Load) {
        if let Some(row) = self.rows.get_mut(server) {
            row.hear(now, Some(load));
        }
    }

    /// Learns from an answer to a request of this entry that another one had given its server.
    pub fn learn_answer(&mut self, now: Micros, took: Micros, outcome: &Outcome) {
        if let Outcome::Answered { load } = outcome {
            self.hedger.record(now, took);
            self.retries.deposit(self.config.retry.ratio);
            let told = load.and_then(|load| load.slowness);
            self.learn_work(took, told.unwrap_or(1.0).max(1.0));
        }
    }

    /// Learns how long work takes from an answer of a server of some slowness.
    fn learn_work(&mut self, took: Micros, slowness: f64) {
        self.answers += 1;
        // A plain mean until there are enough answers.
        let weight = MEAN_WEIGHT.max(1.0 / self.answers as f64);
        self.work += weight * (took.0 as f64 / slowness - self.work);
    }

    /// Records that a server did not answer a question about its load.
    pub fn doubt(&mut self, now: Micros, server: usize) {
        if let Some(row) = self.rows.get_mut(server) {
            row.note(now, true);
            self.fail(now, server, DOUBT_WEIGHT);
        }
    }

    /// Records another entry's outstanding requests.
    pub fn learn(
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
impl Pool {
    fn add(&mut self, row: Row) {
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
    fn get_latest(&self, job: &Job, typical: Micros) -> Micros {
        let patience = (job.deadline - job.arrived).scaled(self.config.wait);
        (job.arrived + patience).min(job.deadline - typical)
    }

    fn get_typical(&self) -> Micros {
        self.hedger
            .get_quantile(TYPICAL_QUANTILE)
            .unwrap_or_default()
    }

    /// Returns whether the requests ahead of a new one will take longer than it can wait.
    fn is_hopeless(&self, now: Micros, job: &Job) -> bool {
        let ahead = self.queue.get_ahead(job.priority);
        if ahead == 0 {
            return false;
        }
        let limit = |row: &Row| row.get_limit(now, &self.config);
        let slots: u32 = self.rows.iter().map(limit).sum();
        let wait = Micros((ahead as f64 * self.mean / f64::from(slots.max(1))) as u64);
        now + wait > self.get_latest(job, self.get_typical())
    }

    /// Starts waiting requests while a server is open, and refuses those that waited too long.
    fn drain(&mut self, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        while self.queue.len() > 0 && self.is_any_open(now) {
            match self.pop_next(now) {
                None => break,
                Some(job) => steps.extend(self.begin(now, &job)),
            }
        }
        steps
    }

    /// Refuses requests that have waited too long.
    fn expire(&mut self, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        let typical = self.get_typical();
        while let Some(job) = self.pop(|pool, job| pool.get_latest(job, typical) < now) {
            steps.push(Step::Refuse {
                job: job.id,
                reason: Refusal::Overload,
            });
        }
        steps
    }

    fn pop_next(&mut self, now: Micros) -> Option<Job> {
        if self.config.policy.source != Source::Reports {
            return self.pop(|pool, job| pool.is_open(now, job));
        }
        let typical = self.get_typical();
        let mut queue = std::mem::take(&mut self.queue);
        let job = queue.pop_prompt(now, typical, |job| self.is_open(now, job));
        self.queue = queue;
        job
    }

    fn pop(&mut self, is_wanted: impl Fn(&Self, &Job) -> bool) -> Option<Job> {
        let mut queue = std::mem::take(&mut self.queue);
        let job = queue.pop(|job| is_wanted(self, job));
        self.queue = queue;
        job
    }

    fn begin(&mut self, now: Micros, job: &Job) -> Option<Step> {
        self.start(now, job).map(|server| Step::Start {
            job: job.id,
            server,
        })
    }

    fn is_any_open(&self, now: Micros) -> bool {
        self.rows
            .iter()
            .any(|row| self.get_load(now, row) < row.get_limit(now, &self.config))
    }

    fn is_row_open(&self, now: Micros, job: &Job, index: usize) -> bool {
        let row = &self.rows[index];
        let untried = !job.tried.contains(&index);
        let trusted = !job.once || row.phase != Phase::Probation;
        let near = job.near.as_ref().unwrap_or(&self.config.data_center);
        let reserved = if row.config.data_center == *near {
            0
        } else {
            self.config.far_reserve
        };
        self.get_load(now, row) + reserved < row.get_limit(now, &self.config) && untried && trusted
    }

    /// Returns the requests at a server that count against its limit.
    fn get_load(&self, now: Micros, row: &Row) -> u32 {
        let others = if self.config.policy.source == Source::Reports {
            row.get_others(now, self.work).round() as u32
        } else {
            0
        };
        row.get_outstanding() + others
    }

    fn is_open(&self, now: Micros, job: &Job) -> bool {
        (0..self.rows.len()).any(|index| self.is_row_open(now, job, index))
    }

    fn start(&mut self, now: Micros, job: &Job) -> Option<usize> {
        let mut open = std::mem::take(&mut self.open);
        open.clear();
        open.extend((0..self.rows.len()).filter(|&index| self.is_row_open(now, job, index)));
        let picked = (!open.is_empty()).then(|| {
            let mut choice = Choice {
                rows: &self.rows,
                open: &open,
                now,
                near: job.near.as_ref().unwrap_or(&self.config.data_center),
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
            self.rows[server].attempts.push((job.id, now));
        }
        picked
    }

    /// Counts a failure of some weight, and ejects the server after too many in a row unless too many are
    /// ejected already.
    fn fail(&mut self, now: Micros, server: usize, weight: u32) {
        let limits = self.config.eject;
        let listed = self.rows.iter().filter(|row| row.listed).count();
        let out = |row: &&Row| matches!(row.phase, Phase::Ejected { .. } | Phase::Probation);
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
            Phase::Probation => true,
            Phase::Serving | Phase::Ramping { .. } => row.failures >= limits.failures && may_eject,
            Phase::Ejected { .. } | Phase::Leaving => false,
        };
        if doubtful {
            let doublings = row.ejections.min(MAX_BACKOFF_DOUBLINGS);
            let pause = limits.probation.scaled(f64::from(1 << doublings));
            row.ejections += 1;
            row.phase = Phase::Ejected { until: now + pause };
        }
    }

    /// Lets a server that answered on probation ramp up.
    fn recover(&mut self, now: Micros, server: usize) {
        let row = &mut self.rows[server];
        row.phase = match row.phase {
            Phase::Probation => Phase::Ramping { since: now },
            Phase::Serving => {
                row.ejections = 0;
                Phase::Serving
            }
            phase => phase,
        };
    }
}
