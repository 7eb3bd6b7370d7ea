use std::sync::MutexGuard;

use lentilcart_util::Micros;

use super::gateway::{Gateway, MirrorKind};

/// Time for which an entry may know of a later change of the routes without having it before this is logged.
const BEHIND_LOG_DELAY: Micros = Micros::from_millis(500);

/// How old this entry's knowledge is that its mirror of the routes is complete.
#[derive(Debug, Default)]
pub(crate) struct RoutesFreshness {
    /// When the store answered this entry, or a watcher whose changes this entry has, that there are no later
    /// changes, by the gateway's clock.
    confirmed: Option<Micros>,
    /// Highest revision of a change that another entry has reported.
    latest: u64,
    /// When the first change that the mirror does not have was reported; `None` while it has all.
    behind_since: Option<Micros>,
    /// Fetches from other entries that have failed since.
    failed_fetches: u32,
}

impl Gateway {
    fn lock_freshness(&self) -> MutexGuard<'_, RoutesFreshness> {
        self.freshness.lock().expect("no panic under lock")
    }

    /// Records that there were no changes of the routes at a time that this entry does not have.
    pub(crate) fn record_routes_confirmed(&self, at: Micros) {
        let mut freshness = self.lock_freshness();
        freshness.confirmed = freshness.confirmed.max(Some(at));
    }

    /// Returns the time since this entry is known to have had all changes of the routes, or `None` if that has
    /// never been known.
    pub(crate) fn get_routes_age(&self) -> Option<Micros> {
        let confirmed = self.lock_freshness().confirmed?;
        Some(self.clock.now() - confirmed)
    }

    /// Records the revision of the latest change of the routes that another entry has, and for a watcher the time
    /// since it was known to have all changes.
    pub(crate) fn record_peer_routes(&self, latest: u64, age: Option<Micros>) {
        let now = self.clock.now();
        let own = self.lock_mirror(MirrorKind::Routes).get_revision();
        let mut freshness = self.lock_freshness();
        if latest > own {
            freshness.latest = freshness.latest.max(latest);
            freshness.behind_since.get_or_insert(now);
        } else if let Some(age) = age {
            freshness.confirmed = freshness.confirmed.max(Some(now - age));
        }
    }

    /// Records that the routes were not fetched from another entry.
    pub(crate) fn record_failed_routes_fetch(&self) {
        self.lock_freshness().failed_fetches += 1;
    }

    /// Returns for how long this entry has been behind. Once its mirror has all reported changes, it is no longer.
    pub(crate) fn update_routes_behind(&self) -> Micros {
        let now = self.clock.now();
        let own = self.lock_mirror(MirrorKind::Routes).get_revision();
        let mut freshness = self.lock_freshness();
        let behind = freshness.behind_since.map_or(Micros::ZERO, |at| now - at);
        if own >= freshness.latest {
            freshness.behind_since = None;
            freshness.failed_fetches = 0;
        }
        behind
    }

    /// Records the gauges of the age of the routes, and logs if this entry has been behind for long.
    pub(crate) fn report_routes_freshness(&self) {
        self.update_routes_behind();
        let age = self.get_routes_age().map_or(f64::INFINITY, Micros::as_secs);
        metrics::gauge!("lentilcart_routes_confirmed_age_seconds").set(age);
        let now = self.clock.now();
        let own = self.lock_mirror(MirrorKind::Routes).get_revision();
        let freshness = self.lock_freshness();
        let behind = freshness.behind_since.map_or(Micros::ZERO, |at| now - at);
        metrics::gauge!("lentilcart_routes_behind_seconds").set(behind.as_secs());
        if behind >= BEHIND_LOG_DELAY {
            let (latest, failed) = (freshness.latest, freshness.failed_fetches);
            log::warn!(own, latest, failed, behind_ms = behind.as_millis(); "routes behind");
        }
    }
}
