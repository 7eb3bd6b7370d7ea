use std::collections::VecDeque;

use lentilcart_route::LoadReport;
use lentilcart_util::{Micros, Rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

/// Requests that a server runs at once, and that wait there.
const SLOTS: u32 = 3;
const QUEUE: usize = 6;
/// Share of its slots beyond which a server slows down, and how much.
const BUSY_SHARE: f64 = 0.8;
const BUSY_TIMES: f64 = 1.7;
/// How many times longer work takes beside a noisy neighbour.
const NOISY_TIMES: f64 = 4.0;
/// Mean time between two changes of the neighbours.
const NOISE_EVERY: Micros = Micros::from_millis(300);

/// What a server does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It runs, and ends at this time.
    Begun(Micros),
    /// It waits.
    Waits,
    /// The server is full; it does not run.
    Full,
}

/// A server that shares its machine with others: how long work takes is settled as it begins.
#[derive(Debug)]
pub struct ServerModel {
    noise: f64,
    slowness: f64,
    changes: Micros,
    running: u32,
    waiting: VecDeque<(u64, Micros)>,
    rng: Rng,
}

impl ServerModel {
    /// Creates an idle server that is slow for a share of the time.
    #[must_use]
    pub fn new(noise: f64, seed: u64) -> Self {
        Self {
            noise,
            slowness: 1.0,
            changes: Micros::ZERO,
            running: 0,
            waiting: VecDeque::new(),
            rng: lentilcart_util::seeded_rng(seed),
        }
    }

    /// Takes a request.
    pub fn take(&mut self, now: Micros, job: u64, work: Micros) -> Taken {
        match () {
            () if self.running < SLOTS => Taken::Begun(self.begin(now, work)),
            () if self.waiting.len() >= QUEUE => Taken::Full,
            () => {
                self.waiting.push_back((job, work));
                Taken::Waits
            }
        }
    }

    /// Ends a request; returns the one that begins in its place, and when that ends.
    pub fn end(&mut self, now: Micros) -> Option<(u64, Micros)> {
        self.running -= 1;
        let (job, work) = self.waiting.pop_front()?;
        Some((job, self.begin(now, work)))
    }

    /// Returns what the server tells of its load.
    pub fn report(&mut self, now: Micros) -> LoadReport {
        self.shift(now);
        LoadReport {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: Some(SLOTS),
            slowdown: Some(self.slowness),
        }
    }

    fn begin(&mut self, now: Micros, work: Micros) -> Micros {
        self.shift(now);
        self.running += 1;
        let is_busy = f64::from(self.running) > f64::from(SLOTS) * BUSY_SHARE;
        let busy = if is_busy { BUSY_TIMES } else { 1.0 };
        now + work.scaled(self.slowness * busy)
    }

    fn shift(&mut self, now: Micros) {
        while self.changes <= now {
            let is_slow = self.rng.random::<f64>() < self.noise;
            self.slowness = if is_slow { NOISY_TIMES } else { 1.0 };
            let pause = Exp::new(1.0 / NOISE_EVERY.as_secs()).expect("the rate is above 0");
            let pause = pause.sample(&mut self.rng);
            self.changes += Micros((pause * 1e6) as u64 + 1);
        }
    }
}
