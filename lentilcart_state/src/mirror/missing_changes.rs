use lentilcart_util::Micros;

/// Changes that other entries have reported and this entry's mirror does not have.
///
/// The time counts for the change that has been missing for longest. An entry that fetches each change of a stream in
/// time is never behind for long, although there is always a later one.
#[derive(Debug, Default)]
pub struct MissingChanges {
    /// Revision of the change that has been missing for longest, and when it was reported; `None` if none is.
    oldest: Option<(u64, Micros)>,
    /// Highest revision that was reported.
    latest: u64,
}

impl MissingChanges {
    /// Records that another entry has a change of revision `latest`, while the mirror is at `revision`.
    pub fn record(&mut self, now: Micros, revision: u64, latest: u64) {
        self.latest = self.latest.max(latest);
        if self.oldest.is_none_or(|(oldest, _)| revision >= oldest) {
            self.oldest = (self.latest > revision).then_some((self.latest, now));
        }
    }

    /// Returns for how long a mirror at `revision` has lacked a change; 0 if it lacks none.
    #[must_use]
    pub fn get_time(&self, now: Micros, revision: u64) -> Micros {
        let missing = self.oldest.filter(|(oldest, _)| revision < *oldest);
        missing.map_or(Micros::ZERO, |(_, since)| now - since)
    }

    /// Returns the highest revision that was reported.
    #[must_use]
    pub fn get_latest(&self) -> u64 {
        self.latest
    }

    /// Records that a mirror had all changes at a time, so that what had been reported until then and is not there
    /// does not exist.
    pub fn record_complete(&mut self, at: Micros) {
        if self.oldest.is_some_and(|(_, since)| since <= at) {
            *self = Self::default();
        }
    }

    /// Takes over a mirror at `revision`, and returns for how long it had lacked a change before.
    pub fn record_caught_up(&mut self, now: Micros, revision: u64) -> Micros {
        let time = self.oldest.map_or(Micros::ZERO, |(_, since)| now - since);
        if revision >= self.latest {
            *self = Self::default();
        }
        time
    }
}
