use lentilcart_util::Micros;

/// Number of entries that come first in the order in which entries confirm the routes.
const PREFERRED: usize = 3;
/// Age at which the first entry in the order confirms the routes, as a share of the bound.
const CONFIRM_SHARE: f64 = 0.4;
/// Additional age for each further preferred entry.
const PREFERRED_STEP_SHARE: f64 = 0.06;
/// Age at which the first of the other entries confirms the routes itself.
const STANDBY_SHARE: f64 = 0.58;
/// Additional age at which the last of them does.
const STANDBY_SPREAD_SHARE: f64 = 0.2;
/// Longest additional age from one of them to the next, so that a few entries do not wait for the whole spread.
const STANDBY_STEP: Micros = Micros::from_millis(30);
/// Age past which an entry that lacks a change rejects requests; the rest of the bound is for what the age does not
/// show, such as the time of a heartbeat on its way.
const REJECT_SHARE: f64 = 0.9;

/// Ages of the knowledge of the routes at which an entry acts.
///
/// The knowledge is as old as the last time at which the routes are known to have been complete. A change that an entry
/// does not have is younger than that, so that an entry which rejects requests from
/// [`get_reject_age`](Self::get_reject_age) on never serves one by routes that were replaced longer ago than the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessLimits {
    bound: Micros,
    confirm: Micros,
}

impl FreshnessLimits {
    /// Creates the limits for changes that must be in force everywhere within `bound`. The routes are confirmed at the
    /// interval `confirm`, or more often where the bound requires it.
    #[must_use]
    pub fn new(bound: Micros, confirm: Micros) -> Self {
        Self {
            bound,
            confirm: confirm.min(bound.scaled(CONFIRM_SHARE)),
        }
    }

    /// Returns the age from which the first entry in the order of the watchers asks the store for changes.
    #[must_use]
    pub fn get_first_read_age(&self) -> Micros {
        self.confirm
    }

    /// Returns the age from which an entry asks the store for changes itself, by its rank from 0 in the order of the
    /// watchers and the number of entries. Each entry that gets an answer tells the others, so that those behind it in
    /// the order do not ask.
    #[must_use]
    pub fn get_read_age(&self, rank: usize, entries: usize) -> Micros {
        if rank < PREFERRED {
            let step = self.bound.scaled(PREFERRED_STEP_SHARE);
            return self.confirm + Micros(step.0 * rank as u64);
        }
        let standbys = entries.saturating_sub(PREFERRED).max(1) as u64;
        let spread = self.bound.scaled(STANDBY_SPREAD_SHARE);
        let step = Micros(spread.0 / standbys).min(STANDBY_STEP);
        self.bound.scaled(STANDBY_SHARE) + Micros(step.0 * (rank - PREFERRED) as u64).min(spread)
    }

    /// Returns the age from which an entry that lacks a change rejects requests.
    #[must_use]
    pub fn get_reject_age(&self) -> Micros {
        self.bound.scaled(REJECT_SHARE)
    }
}
