use std::collections::VecDeque;

use lentilcart_route::{LoadReport, TokenBucket};
use lentilcart_util::{Micros, Rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

/// Requests that a server runs at the same time.
const SLOTS: u32 = 3;
/// Requests that a server queues beyond those that run.
const MAX_QUEUE: usize = 6;
/// Share of busy slots beyond which a server slows down; with 3 slots, when all are busy.
const BUSY_SHARE: f64 = 0.8;
/// Service time on such a busy server, as a multiple of that on an idle one.
const BUSY_FACTOR: f64 = 1.7;
/// Service time beside a noisy neighbour, as a multiple of that without one.
const NOISY_FACTOR: f64 = 4.0;
/// Mean time between two draws of whether the neighbours are noisy; the times are exponential.
const MEAN_NOISE_INTERVAL: Micros = Micros::from_millis(300);

/// Result of offering a request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs, and completes at the given time.
    Started(Micros),
    /// The request waits in the server's queue.
    Queued,
    /// The queue is full, or the server is in need and has accepted enough; the request does not run.
    Full,
}

/// Model of a server that shares its machine with others.
///
/// The service time of a request is fixed when it begins to run; a later change of speed does not
/// affect it.
#[derive(Debug)]
pub struct ServerModel {
    /// Share of the time, from 0 to 1, in which neighbours are noisy.
    slow_share: f64,
    /// Current service time as a multiple of the usual one, by the noise of neighbours.
    slowdown_factor: f64,
    /// When the noise of the neighbours is drawn next.
    next_change: Micros,
    running: u32,
    /// Queued requests: id and service time.
    waiting: VecDeque<(u64, Micros)>,
    /// Requests that the server may accept now while it is in need; `None` if it is not.
    need: Option<TokenBucket>,
    rng: Rng,
}

impl ServerModel {
    /// Creates an idle server that is slow for `slow_share` of the time, from 0 to 1.
    #[must_use]
    pub fn new(slow_share: f64, seed: u64) -> Self {
        Self {
            slow_share,
            slowdown_factor: 1.0,
            next_change: Micros::ZERO,
            running: 0,
            waiting: VecDeque::new(),
            need: None,
            rng: lentilcart_util::seeded_rng(seed),
        }
    }

    /// Makes this a server in need, which accepts `limit` requests a second and turns others away.
    #[must_use]
    pub fn with_limit(mut self, limit: f64) -> Self {
        self.need = Some(TokenBucket::new(limit, limit.max(1.0), Micros::ZERO));
        self
    }

    /// Takes a request in, to run or to wait, or rejects it.
    pub fn admit(&mut self, now: Micros, request_id: u64, service_time: Micros) -> Admission {
        let is_accepted = self.need.as_mut().is_none_or(|tokens| {
            tokens.refill(now);
            tokens.try_take(1.0)
        });
        match () {
            () if !is_accepted => Admission::Full,
            () if self.running < SLOTS => Admission::Started(self.start(now, service_time)),
            () if self.waiting.len() >= MAX_QUEUE => Admission::Full,
            () => {
                self.waiting.push_back((request_id, service_time));
                Admission::Queued
            }
        }
    }

    /// Completes a request; returns the id of the queued one that begins in its place, and when that
    /// one completes.
    pub fn complete(&mut self, now: Micros) -> Option<(u64, Micros)> {
        self.running -= 1;
        let (request_id, service_time) = self.waiting.pop_front()?;
        Some((request_id, self.start(now, service_time)))
    }

    /// Returns the load report of the server at a time.
    pub fn report_load(&mut self, now: Micros) -> LoadReport {
        self.update_slowdown(now);
        LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: Some(SLOTS),
            slowdown: Some(self.slowdown_factor),
        }
    }

    /// Begins to run a request and returns when it completes.
    fn start(&mut self, now: Micros, service_time: Micros) -> Micros {
        self.update_slowdown(now);
        self.running += 1;
        let is_busy = f64::from(self.running) > f64::from(SLOTS) * BUSY_SHARE;
        let busy_factor = if is_busy { BUSY_FACTOR } else { 1.0 };
        now + service_time.scaled(self.slowdown_factor * busy_factor)
    }

    /// Draws the noise of the neighbours up to a time.
    fn update_slowdown(&mut self, now: Micros) {
        while self.next_change <= now {
            let is_slow = self.rng.random::<f64>() < self.slow_share;
            self.slowdown_factor = if is_slow { NOISY_FACTOR } else { 1.0 };
            let interval =
                Exp::new(1.0 / MEAN_NOISE_INTERVAL.as_secs()).expect("the rate is above 0");
            let interval = interval.sample(&mut self.rng);
            self.next_change += Micros((interval * 1e6) as u64 + 1);
        }
    }
}
