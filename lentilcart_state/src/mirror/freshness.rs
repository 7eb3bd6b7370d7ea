use lentilcart_util::{Micros, common};

use super::FreshnessLimits;

common! { value,
    /// What an entry does, by the age of its knowledge of the routes.
    pub enum FreshnessStage {
        /// Serves; others confirm the routes.
        Current,
        /// Serves, and asks the store for changes.
        Due,
        /// Asks the store. It knows of no change that it does not have, and nobody whose knowledge is younger, as in an
        /// outage of the store: it serves by what it has.
        Unconfirmed,
        /// Asks the store, and rejects requests: others have a change that it has not got in time.
        Expired,
    }
}

/// Age of an entry's knowledge that its routes are complete.
#[derive(Debug, Clone, Copy)]
pub struct Freshness {
    /// Latest time at which the routes are known to have been complete; the start of the entry before that.
    confirmed: Micros,
    is_confirmed: bool,
}

impl Freshness {
    /// Creates the state of an entry that starts now and knows nothing.
    #[must_use]
    pub fn new(now: Micros) -> Self {
        Self {
            confirmed: now,
            is_confirmed: false,
        }
    }

    /// Records that the routes of this entry were complete at a time: the store said so in its reply to a call that was
    /// sent then.
    pub fn record_confirmed(&mut self, at: Micros) {
        self.confirmed = if self.is_confirmed {
            self.confirmed.max(at)
        } else {
            at
        };
        self.is_confirmed = true;
    }

    /// Records what another entry, whose changes this one has, says of the age of its knowledge in a message that has
    /// arrived after `arrival`. What it knew before the clock of this entry began does not count.
    pub fn record_relayed(&mut self, arrival: Micros, age: Micros) {
        if age <= arrival {
            self.record_confirmed(arrival - age);
        }
    }

    /// Returns the age of the knowledge, or `None` if nothing was ever known.
    #[must_use]
    pub fn get_age(&self, now: Micros) -> Option<Micros> {
        self.is_confirmed.then(|| now - self.confirmed)
    }

    /// Returns what the entry does now. `lacks_change` is whether it knows of a change that it does not have. `get_rank`
    /// returns its rank in the order of the watchers, and the number of entries in it.
    #[must_use]
    pub fn get_stage(
        &self,
        now: Micros,
        lacks_change: bool,
        limits: &FreshnessLimits,
        get_rank: impl FnOnce() -> (usize, usize),
    ) -> FreshnessStage {
        let is_due = |age| {
            age >= limits.get_first_read_age() && {
                let (rank, entries) = get_rank();
                age >= limits.get_read_age(rank, entries)
            }
        };
        match now - self.confirmed {
            // The routes that it has may come from an entry that is behind.
            _ if lacks_change && !self.is_confirmed => FreshnessStage::Expired,
            age if lacks_change && age >= limits.get_reject_age() => FreshnessStage::Expired,
            age if age >= limits.get_reject_age() => FreshnessStage::Unconfirmed,
            age if is_due(age) => FreshnessStage::Due,
            _ => FreshnessStage::Current,
        }
    }
}
