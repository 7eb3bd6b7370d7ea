use lentilcart::state::RequestClass;
use lentilcart_util::{Micros, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

use super::shot::Shot;
use crate::cluster::{Firm, STRAGGLER_FACTOR};

const SIZES: [usize; 4] = [200, 2_000, 10_000, 40_000];
const CREST_LOW: f64 = 0.5;
const CREST_HIGH: f64 = 1.8;
const CREST_RISE: f64 = 0.2;
const CREST_LENGTH: f64 = 2.0;

/// How the load moves over a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Profile {
    /// A share of the capacity all the time.
    Flat(f64),
    /// From 50% to 180% of the capacity within 200 ms at a time, for 2 s, and back.
    Crest(Micros),
}

impl Profile {
    /// Returns the share of the capacity at a time.
    #[must_use]
    pub fn share_at(self, at: Micros) -> f64 {
        match self {
            Self::Flat(share) => share,
            Self::Crest(start) => {
                let since = (at.0 as f64 - start.0 as f64) / 1e6;
                let rise = (since / CREST_RISE).clamp(0.0, 1.0);
                let fall = ((since - CREST_RISE - CREST_LENGTH) / CREST_RISE).clamp(0.0, 1.0);
                CREST_LOW + (CREST_HIGH - CREST_LOW) * (rise - fall)
            }
        }
    }

    /// Returns the time between which a crest is at its height.
    #[must_use]
    pub fn get_height(self) -> Option<(Micros, Micros)> {
        match self {
            Self::Flat(_) => None,
            Self::Crest(start) => {
                let from = start + Micros((CREST_RISE * 1e6) as u64);
                Some((from, from + Micros((CREST_LENGTH * 1e6) as u64)))
            }
        }
    }

    fn highest(self) -> f64 {
        match self {
            Self::Flat(share) => share,
            Self::Crest(_) => CREST_HIGH,
        }
    }
}

/// What the requests of a run are drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// How the load moves.
    pub profile: Profile,
    /// Number of entries.
    pub entries: usize,
    /// Length of the run.
    pub length: Micros,
    /// Share of requests with 30 times the work.
    pub straggler: f64,
    /// Whether a further execution of a straggler has usual work.
    pub unlucky: bool,
    /// Share of callers of the first entry, where the entries do not have equal shares.
    pub skew: Option<f64>,
    /// Seed.
    pub seed: u64,
}

/// Draws the arrivals and demands of a run from a seed.
#[must_use]
pub fn plan(firm: &Firm, demand: &Demand) -> Vec<Shot> {
    let Demand {
        profile,
        entries,
        length,
        straggler,
        unlucky,
        skew,
        seed,
    } = *demand;
    let mut shots = Vec::new();
    for (index, service) in firm.services.iter().enumerate() {
        let mut rng = seeded_rng(seed.wrapping_mul(31).wrapping_add(index as u64));
        let capacity = service.get_capacity(straggler);
        let gaps = Exp::new(capacity * profile.highest()).expect("the capacity is above zero");
        let works = Exp::new(1.0 / service.work.0 as f64).expect("the work is above zero");
        let mut at = 0.0;
        loop {
            at += gaps.sample(&mut rng);
            let time = Micros((at * 1e6) as u64);
            if time > length {
                break;
            }
            if rng.random::<f64>() > profile.share_at(time) / profile.highest() {
                continue;
            }
            let usual = Micros(works.sample(&mut rng) as u64);
            let other = Micros(works.sample(&mut rng) as u64);
            let is_straggler = rng.random::<f64>() < straggler;
            let work = if is_straggler {
                usual.scaled(STRAGGLER_FACTOR)
            } else {
                usual
            };
            let any = rng.random_range(0..entries);
            let entry = match skew {
                Some(share) if rng.random::<f64>() < share => 0,
                Some(_) => rng.random_range(1..entries),
                None => any,
            };
            shots.push(Shot {
                id: 0,
                at: time,
                service: index,
                entry,
                work,
                again: if unlucky { other } else { work },
                straggler: is_straggler,
                size: SIZES[rng.random_range(0..SIZES.len())],
                once: service.class == RequestClass::Once,
            });
        }
    }
    shots.sort_by_key(|shot| shot.at);
    for (id, shot) in shots.iter_mut().enumerate() {
        shot.id = id as u64;
    }
    shots
}
