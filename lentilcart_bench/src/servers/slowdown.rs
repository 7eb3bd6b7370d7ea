use lentilcart_util::{Micros, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

const MEAN_GAP_MICROS: f64 = 2e6;
const SHORTEST_MICROS: u64 = 20_000;
const LONGEST_MICROS: u64 = 200_000;
const FACTOR: f64 = 4.0;

/// Times in which a noisy neighbour slows a server, drawn from a seed.
#[derive(Debug, Clone)]
pub struct Slowdowns {
    spans: Vec<(u64, u64)>,
}

impl Slowdowns {
    /// Draws the slowdowns of one server up to a length of time.
    #[must_use]
    pub fn draw(seed: u64, length: Micros) -> Self {
        let mut rng = seeded_rng(seed);
        let gap = Exp::new(1.0 / MEAN_GAP_MICROS).expect("the mean is above zero");
        let mut spans = Vec::new();
        let mut at = 0;
        loop {
            at += gap.sample(&mut rng) as u64;
            let end = at + rng.random_range(SHORTEST_MICROS..=LONGEST_MICROS);
            if at > length.0 {
                return Self { spans };
            }
            spans.push((at, end));
            at = end;
        }
    }

    /// Returns a server that nothing slows.
    #[must_use]
    pub fn none() -> Self {
        Self { spans: Vec::new() }
    }

    /// Returns when work that starts at a time is done.
    #[must_use]
    pub fn end_of(&self, start: Micros, work: Micros) -> Micros {
        let mut now = start.0;
        let mut left = work.0 as f64;
        let first = self.spans.partition_point(|(_, end)| *end <= now);
        for &(from, to) in &self.spans[first..] {
            let free = from.saturating_sub(now) as f64;
            if left <= free {
                break;
            }
            left -= free;
            now = now.max(from);
            let slowed = (to - now) as f64 / FACTOR;
            if left <= slowed {
                return Micros(now + (left * FACTOR) as u64);
            }
            left -= slowed;
            now = to;
        }
        Micros(now + left as u64)
    }
}
