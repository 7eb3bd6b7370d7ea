use std::sync::MutexGuard;

use lentilcart_state::{Freshness, FreshnessLimits, FreshnessStage, MissingChanges};
use lentilcart_util::Micros;

use super::gateway::{Gateway, MirrorKind};

/// Time for which an entry may know of a later change without having it before this is logged.
const BEHIND_LOG_DELAY: Micros = Micros::from_millis(500);
/// Time for which an entry fetches a later change from others before it reads it from the store as well.
const STORE_READ_DELAY: Micros = Micros::from_millis(1000);

/// How old this entry's knowledge is that its mirrors are complete.
#[derive(Debug)]
pub(crate) struct MirrorFreshness {
    /// That of the routes, by the gateway's clock.
    routes: Freshness,
    /// When the store last said itself that the routes are complete; `None` before that.
    own_confirmed: Option<Micros>,
    /// Stage that was logged last.
    logged_stage: FreshnessStage,
    /// What other entries have reported, by mirror.
    missing: [MissingChanges; 3],
    /// Fetches from other entries that have failed while a mirror was behind.
    failed_fetches: [u32; 3],
}

impl MirrorFreshness {
    /// Creates the state of an entry that starts now.
    pub(crate) fn new(now: Micros) -> Self {
        Self {
            routes: Freshness::new(now),
            own_confirmed: None,
            logged_stage: FreshnessStage::Current,
            missing: Default::default(),
            failed_fetches: [0; 3],
        }
    }
}

impl Gateway {
    fn lock_freshness(&self) -> MutexGuard<'_, MirrorFreshness> {
        self.freshness.lock().expect("no panic under lock")
    }

    /// Records that the store has said, in its reply to a call sent at a time, that this entry has all changes of the
    /// routes, and tells the others.
    pub(crate) fn record_routes_confirmed(&self, sent: Micros) {
        let mut freshness = self.lock_freshness();
        freshness.routes.record_confirmed(sent);
        freshness.own_confirmed = freshness.own_confirmed.max(Some(sent));
        drop(freshness);
        self.trigger_heartbeat();
    }

    /// Records the age of the knowledge of another entry, whose changes this one has, from its heartbeat.
    pub(crate) fn record_relayed_age(&self, age: Micros) {
        let arrival = self.get_earliest_arrival();
        self.lock_freshness().routes.record_relayed(arrival, age);
    }

    /// Returns when the store last confirmed the routes to this entry itself.
    pub(crate) fn get_own_confirmation(&self) -> Option<Micros> {
        self.lock_freshness().own_confirmed
    }

    /// Returns the time since this entry is known to have had all changes of the routes, or `None` if that has
    /// never been known.
    pub(crate) fn get_routes_age(&self) -> Option<Micros> {
        self.lock_freshness().routes.get_age(self.clock.now())
    }

    /// Returns what this entry does by the age of its knowledge of the routes.
    pub(crate) fn get_routes_stage(&self) -> FreshnessStage {
        let lacks_change = self.get_behind(MirrorKind::Routes) > Micros::ZERO;
        let limits = self.get_freshness_limits();
        let now = self.clock.now();
        let routes = self.lock_freshness().routes;
        routes.get_stage(now, lacks_change, &limits, || self.get_watch_rank())
    }

    /// Returns whether this entry has not got a change of the routes for so long that it must not serve requests by
    /// those that it has.
    pub(crate) fn is_expired(&self) -> bool {
        self.get_behind(MirrorKind::Routes) > Micros::ZERO
            && self.get_routes_stage() == FreshnessStage::Expired
    }

    fn get_freshness_limits(&self) -> FreshnessLimits {
        let store = &self.settings.load().store;
        FreshnessLimits::new(store.apply_bound, store.confirm_interval)
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

    /// Records that the store has shown all changes of a mirror in its reply to a call sent at a time; what others had
    /// reported beyond them is not there.
    pub(crate) fn record_store_state(&self, kind: MirrorKind, sent: Micros) {
        let mut freshness = self.lock_freshness();
        freshness.missing[kind as usize].record_complete(sent);
        freshness.failed_fetches[kind as usize] = 0;
    }

    /// Returns whether others have reported a change of a mirror for some time, and none was fetched from them. Which
    /// entries there are is known from their heartbeats, so that their registrations can wait.
    pub(crate) fn is_behind_for_long(&self, kind: MirrorKind) -> bool {
        kind != MirrorKind::Hosts && self.get_behind(kind) >= STORE_READ_DELAY
    }

    /// Returns whether this entry has to read the changes of a mirror from the store, also if others watch it: it
    /// has been behind for long, or nobody has confirmed the routes in time.
    pub(crate) fn has_to_read_store(&self, kind: MirrorKind) -> bool {
        self.is_behind_for_long(kind) || kind == MirrorKind::Routes && self.has_to_confirm_routes()
    }

    /// Returns whether the knowledge of the routes is so old that this entry asks the store itself.
    pub(crate) fn has_to_confirm_routes(&self) -> bool {
        self.get_routes_stage() != FreshnessStage::Current
    }

    /// Records the gauges of how old this entry's knowledge is, and logs the mirrors that have been behind for long,
    /// and when requests begin and cease to be rejected for it.
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
        self.report_stage(age);
    }

    /// Records the stage of the routes, and logs it if it has changed, but for the short steps of a calm time.
    fn report_stage(&self, age: f64) {
        let stage = self.get_routes_stage();
        let is_expired = f64::from(u8::from(stage == FreshnessStage::Expired));
        metrics::gauge!("lentilcart_routes_expired").set(is_expired);
        let before = std::mem::replace(&mut self.lock_freshness().logged_stage, stage);
        let is_old = |stage| stage >= FreshnessStage::Unconfirmed;
        if before != stage && (is_old(before) || is_old(stage)) {
            let number = self.get_active_routes().table.version;
            log::warn!(number, stage:? = stage, before:? = before, age_s = age; "age of the routes");
        }
    }
}
