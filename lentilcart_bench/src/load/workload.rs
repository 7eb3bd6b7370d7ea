use lentilcart::state::RequestClass;
use lentilcart_util::{Micros, seeded_rng};
use rand::RngExt;
use rand_distr::{Distribution, Exp};

use super::planned_request::PlannedRequest;
use crate::cluster::{Firm, STRAGGLER_FACTOR};

/// Sizes of responses in bytes; each is equally frequent.
const RESPONSE_BYTES: [usize; 4] = [200, 2_000, 10_000, 40_000];
/// Load before and after a load peak, as a share of the capacity.
const PEAK_BASE_SHARE: f64 = 0.5;
/// Load on the plateau of a load peak, as a share of the capacity.
const PEAK_MAX_SHARE: f64 = 1.8;
/// Time in which the load rises to the plateau, and falls from it.
const PEAK_RAMP_SECONDS: f64 = 0.2;
/// Length of the plateau of a load peak.
const PEAK_PLATEAU_SECONDS: f64 = 2.0;

/// Course of the load over a run, as a share of the servers' capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LoadProfile {
    /// A constant share of the capacity.
    Flat(f64),
    /// A load peak: at the given time the load rises from 50% to 180% of the capacity within 200 ms,
    /// stays there for 2 s, and falls back within 200 ms.
    Peak(Micros),
}

impl LoadProfile {
    /// Returns the load at a time, as a share of the capacity.
    #[must_use]
    pub fn get_share(self, at: Micros) -> f64 {
        match self {
            Self::Flat(share) => share,
            Self::Peak(start) => {
                let since = (at.0 as f64 - start.0 as f64) / 1e6;
                let rise = (since / PEAK_RAMP_SECONDS).clamp(0.0, 1.0);
                let fall = ((since - PEAK_RAMP_SECONDS - PEAK_PLATEAU_SECONDS) / PEAK_RAMP_SECONDS)
                    .clamp(0.0, 1.0);
                PEAK_BASE_SHARE + (PEAK_MAX_SHARE - PEAK_BASE_SHARE) * (rise - fall)
            }
        }
    }

    /// Returns the start and end of the plateau of a load peak, `None` for a constant load.
    #[must_use]
    pub fn get_plateau(self) -> Option<(Micros, Micros)> {
        match self {
            Self::Flat(_) => None,
            Self::Peak(start) => {
                let from = start + Micros((PEAK_RAMP_SECONDS * 1e6) as u64);
                Some((from, from + Micros((PEAK_PLATEAU_SECONDS * 1e6) as u64)))
            }
        }
    }

    /// Returns the highest load of the profile, as a share of the capacity.
    fn get_max_share(self) -> f64 {
        match self {
            Self::Flat(share) => share,
            Self::Peak(_) => PEAK_MAX_SHARE,
        }
    }
}

/// Distribution that the requests of a run are drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Workload {
    /// Course of the load.
    pub profile: LoadProfile,
    /// Number of entries.
    pub entries: usize,
    /// Length of the run.
    pub duration: Micros,
    /// Share of requests that are stragglers, with 30 times the usual service time
    /// ([`STRAGGLER_FACTOR`]).
    pub straggler_share: f64,
    /// Whether a further execution of a request draws its own service time, which is never that of a
    /// straggler; otherwise it takes as long as the first.
    pub independent_reruns: bool,
    /// Share of requests that go to the first entry, the others having equal shares of the rest;
    /// `None` for equal shares of all.
    pub first_entry_share: Option<f64>,
    /// Seed of the random draws; equal seeds give equal plans.
    pub seed: u64,
}

/// Draws the requests of a run, in order of arrival.
///
/// Arrivals are a Poisson process for each service, whose rate follows the profile by thinning
/// (Lewis and Shedler, 1979). Service times are exponential.
///
/// # Panics
///
/// Panics if the load is negative, if there are no entries, or if there is only one and requests are
/// drawn for others because of [`Workload::first_entry_share`]. A service time of 0 gives an infinite
/// rate of arrivals, so that the function does not return.
#[must_use]
pub fn draw_plan(firm: &Firm, workload: &Workload) -> Vec<PlannedRequest> {
    let Workload {
        profile,
        entries,
        duration,
        straggler_share,
        independent_reruns,
        first_entry_share,
        seed,
    } = *workload;
    let mut requests = Vec::new();
    for (index, service) in firm.services.iter().enumerate() {
        let mut rng = seeded_rng(seed.wrapping_mul(31).wrapping_add(index as u64));
        let capacity = service.get_capacity(straggler_share);
        let arrival_gaps =
            Exp::new(capacity * profile.get_max_share()).expect("the load is not negative");
        let service_times = Exp::new(1.0 / service.service_time.0 as f64)
            .expect("the service time is not negative");
        let mut seconds = 0.0;
        loop {
            seconds += arrival_gaps.sample(&mut rng);
            let time = Micros((seconds * 1e6) as u64);
            if time > duration {
                break;
            }
            if rng.random::<f64>() > profile.get_share(time) / profile.get_max_share() {
                continue;
            }
            let first_time = Micros(service_times.sample(&mut rng) as u64);
            let second_time = Micros(service_times.sample(&mut rng) as u64);
            let is_straggler = rng.random::<f64>() < straggler_share;
            let service_time = if is_straggler {
                first_time.scaled(STRAGGLER_FACTOR)
            } else {
                first_time
            };
            let uniform_entry = rng.random_range(0..entries);
            let entry = match first_entry_share {
                Some(share) if rng.random::<f64>() < share => 0,
                Some(_) => rng.random_range(1..entries),
                None => uniform_entry,
            };
            requests.push(PlannedRequest {
                id: 0,
                arrival: time,
                service: index,
                entry,
                service_time,
                rerun_time: if independent_reruns {
                    second_time
                } else {
                    service_time
                },
                straggler: is_straggler,
                response_bytes: RESPONSE_BYTES[rng.random_range(0..RESPONSE_BYTES.len())],
                once: service.class == RequestClass::Once,
            });
        }
    }
    requests.sort_by_key(|request| request.arrival);
    for (id, request) in requests.iter_mut().enumerate() {
        request.id = id as u64;
    }
    requests
}
