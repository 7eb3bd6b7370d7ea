use std::sync::MutexGuard;

use lentilcart_state::MissingChanges;
use lentilcart_util::Micros;

use super::gateway::{Gateway, MirrorKind};

/// Time for which an entry may know of a later change without having it before this is logged.
const BEHIND_LOG_DELAY: Micros = Micros::from_millis(500);
/// Time for which an entry fetches a later change from others before it reads it from the store as well.
const STORE_READ_DELAY: Micros = Micros::from_millis(1000);

/// How old this entry's knowledge is that its mirrors are complete.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// When the store answered this entry, or a watcher whose changes this entry has, that there are no later
    /// changes of the routes, by the gateway's clock.
    routes_confirmed: Option<Micros>,
    /// What other entries have reported, by mirror.
    missing: [MissingChanges; 3],
    /// Fetches from other entries that have failed while a mirror was behind.
    failed_fetches: [u32; 3],
}

impl Gateway {
    fn lock_freshness(&self) -> MutexGuard<'_, Freshness> {
        self.freshness.lock().expect("no panic under lock")
    }

    /// Records that there were no changes of the routes at a time that this entry does not have.
    pub(crate) fn record_routes_confirmed(&self, at: Micros) {
        let mut freshness = self.lock_freshness();
        freshness.routes_confirmed = freshness.routes_confirmed.max(Some(at));
    }

    /// Returns the time since this entry is known to have had all changes of the routes, or `None` if that has
    /// never been known.
    pub(crate) fn get_routes_age(&self) -> Option<Micros> {
        let confirmed = self.lock_freshness().routes_confirmed?;
        Some(self.clock.now() - confirmed)
    }

    /// Records that another entry has a change that this one does not have.
    pub(crate) fn record_behind(&self, kind: MirrorKind, latest: u64) {
        let now = self.clock.now();
        let own = self.lock_mirror(kind).get_revision();
        self.lock_freshness().missing[kind as usize].record(now, own, latest);
    }

    /// Records that a mirror was not fetched from another entry.
    pub(crate) fn record_failed_fetch(&self, kind: MirrorKind) {
        self.lock_freshness().failed_fetches[kind as usize] += 1;
    }

    /// Records that changes of a mirror have come, and returns for how long it was behind before.
    pub(crate) fn record_caught_up(&self, kind: MirrorKind) -> Micros {
        let now = self.clock.now();
        let own = self.lock_mirror(kind).get_revision();
        let mut freshness = self.lock_freshness();
        freshness.failed_fetches[kind as usize] = 0;
        freshness.missing[kind as usize].record_caught_up(now, own)
    }

    /// Returns for how long this entry has been behind; 0 if its mirror has all reported changes.
    fn get_behind(&self, kind: MirrorKind) -> Micros {
        let now = self.clock.now();
        let own = self.lock_mirror(kind).get_revision();
        self.lock_freshness().missing[kind as usize].get_time(now, own)
    }

    /// Records that the store has shown all changes of a mirror; what others have reported beyond them is not there.
    pub(crate) fn record_store_state(&self, kind: MirrorKind) {
        let mut freshness = self.lock_freshness();
        freshness.missing[kind as usize] = MissingChanges::default();
        freshness.failed_fetches[kind as usize] = 0;
    }

    /// Returns whether this entry has to read the changes of a mirror from the store, also if others watch it: these
    /// have reported changes for some time, and none was fetched from them. Which entries there are is known from
    /// their heartbeats, so that their registrations can wait.
    pub(crate) fn has_to_read_store(&self, kind: MirrorKind) -> bool {
        kind != MirrorKind::Hosts && self.get_behind(kind) >= STORE_READ_DELAY
    }

    /// Records the gauges of how old this entry's knowledge is, and logs the mirrors that have been behind for long.
    pub(crate) fn report_freshness(&self) {
        let age = self.get_routes_age().map_or(f64::INFINITY, Micros::as_secs);
        metrics::gauge!("lentilcart_routes_confirmed_age_seconds").set(age);
        for kind in MirrorKind::ALL {
            let time = self.get_behind(kind);
            metrics::gauge!("lentilcart_mirror_behind_seconds", "mirror" => kind.as_str())
                .set(time.as_secs());
            let own = self.lock_mirror(kind).get_revision();
            let freshness = self.lock_freshness();
            if time >= BEHIND_LOG_DELAY {
                let latest = freshness.missing[kind as usize].get_latest();
                let failed = freshness.failed_fetches[kind as usize];
                log::warn!(kind:? = kind, own, latest, failed, behind_ms = time.as_millis(); "mirror behind");
            }
        }
    }
}
