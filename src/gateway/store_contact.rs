//! Tracks whether the store answers, and which entries watch it.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::sync::atomic::Ordering;

use lentilcart_state::Place;
use lentilcart_util::{Map, Micros, Name};

use super::gateway::Gateway;

/// Number of entries that always watch the store; the others get changes from them and take over when
/// they are silent.
const PREFERRED_WATCHERS: usize = 3;
/// Time without a heartbeat of any watcher after which the next entry in the order watches too.
const WATCHER_TIMEOUT: Micros = Micros::from_millis(1200);
/// Additional delay for each further entry in the order.
const TAKEOVER_STEP: Micros = Micros::from_millis(30);
/// Longest additional delay of the last entry in the order: with the timeout it stays below the time
/// within which changes must be in force, also where an entry hears of no other.
const MAX_TAKEOVER_DELAY: Micros = Micros::from_millis(900);
/// Time after the start in which no entry watches the store: its listing of the entries and their first
/// heartbeats show whether others do. Without it, each of 210 entries that started at a time watched
/// three prefixes, three of the 8.3 calls of a start.
const START_WATCH_DELAY: Micros = Micros::from_millis(400);
/// Time after the start in which an entry that is not a preferred watcher waits for a watcher's first
/// heartbeat.
const START_WATCHER_TIMEOUT: Micros = Micros::from_millis(1000);
/// Maximum age of the store's last reply at which it counts as reachable.
const MAX_REPLY_AGE: Micros = Micros::from_millis(2000);

/// The watcher of the store that was heard last.
#[derive(Debug, Default)]
pub(crate) struct LatestWatcher {
    /// The watcher with the most recent heartbeat; `None` once it says that the store does not answer
    /// it.
    name: Option<Name>,
    /// When the heartbeat arrived that last set or confirmed `name`, also to `None`, by the gateway's
    /// clock.
    updated: Micros,
    /// When each watcher last said that the store answers it, by the gateway's clock. A watcher that
    /// says the contrary is removed.
    answered: Map<Name, Micros>,
}

impl LatestWatcher {
    /// Returns whether an entry has said lately that the store answers it, which it watches.
    fn is_answering(&self, name: &Name, now: Micros) -> bool {
        let answered = self.answered.get(name);
        answered.is_some_and(|answered| now - *answered <= WATCHER_TIMEOUT)
    }

    /// Returns whether a watcher has said lately that the store answers it.
    fn is_store_answering(&self, now: Micros) -> bool {
        self.answered
            .keys()
            .any(|name| self.is_answering(name, now))
    }
}

/// Whether and when the store answered this entry.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    /// When the store last replied, by the gateway's clock.
    last_reply: Option<Micros>,
    /// Whether the last call failed.
    last_call_failed: bool,
}

impl Gateway {
    fn lock_contact(&self) -> MutexGuard<'_, StoreContact> {
        self.store_contact.lock().expect("no panic under lock")
    }

    /// Records that the store replied to a call.
    pub(crate) fn record_store_reply(&self) {
        let now = self.clock.now();
        let mut contact = self.lock_contact();
        contact.last_reply = Some(now);
        if contact.last_call_failed {
            contact.last_call_failed = false;
            log::info!("store regained");
            // The store may have forgotten the watches in progress, which waited through the outage.
            self.relist.notify_waiters();
        }
        drop(contact);
        self.update_outage();
    }

    /// Records that a call to the store failed, and why: there was no reply, or not the expected one.
    pub(crate) fn record_store_failure(&self, call: &'static str, reason: &str) {
        let mut contact = self.lock_contact();
        if !contact.last_call_failed {
            contact.last_call_failed = true;
            log::warn!(call, reason; "store lost");
            // Another entry has to watch instead.
            self.trigger_heartbeat();
        }
        drop(contact);
        self.update_outage();
    }

    /// Records a place in the store's history that a reply or another entry's mirror shows, before what came with it is
    /// put in force.
    ///
    /// In a new era, the store has lost what was written last, leases and registrations of entries too. Servers that it
    /// does not list have the time to register that they have after an outage, and this entry registers anew.
    pub(crate) fn record_place(&self, place: u64) {
        let era = Place::from_number(place).era;
        let before = self.era.fetch_max(era, Ordering::Relaxed);
        if era <= before || self.lock_contact().last_reply.is_none() {
            return;
        }
        log::warn!(era, before; "store came back from a copy");
        metrics::gauge!("lentilcart_store_era").set(era as f64);
        let now = self.clock.now();
        {
            let mut directory = self.lock_directory();
            directory.record_outage_start();
            directory.record_outage_end(now);
        }
        self.lock_pacer_lease().record_lost();
        self.account_limits.record_lost_registration();
        self.registration_lost.notify_one();
    }

    /// Updates whether there is an outage of the store, in which servers whose registration lapses are
    /// kept: the last call of this entry failed, and no watcher says that the store answers it. As long
    /// as the store answers a watcher, servers can renew their registrations, so a removed one has not
    /// lapsed.
    pub(crate) fn update_outage(&self) {
        let now = self.clock.now();
        let watchers = self.latest_watcher.lock().expect("no panic under lock");
        let is_outage = self.has_last_store_call_failed() && !watchers.is_store_answering(now);
        drop(watchers);
        let mut directory = self.lock_directory();
        if is_outage {
            directory.record_outage_start();
        } else {
            directory.record_outage_end(now);
        }
    }

    /// Returns whether the store answers this entry: its last reply is recent, and no call failed
    /// since.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        let contact = self.lock_contact();
        let is_fresh = contact
            .last_reply
            .is_some_and(|at| now - at < MAX_REPLY_AGE);
        is_fresh && !contact.last_call_failed
    }

    /// Records by a heartbeat whether an entry watches the store.
    pub(crate) fn record_watcher(&self, name: &Name, watching: bool) {
        let now = self.clock.now();
        let mut watcher = self.latest_watcher.lock().expect("no panic under lock");
        let is_current = watcher.name.as_ref() == Some(name);
        if watching || is_current {
            watcher.name = watching.then(|| name.clone());
            watcher.updated = now;
        }
        if watching {
            watcher.answered.insert(name.clone(), now);
        } else {
            watcher.answered.remove(name);
        }
        watcher
            .answered
            .retain(|_, answered| now - *answered <= WATCHER_TIMEOUT);
        drop(watcher);
        self.update_outage();
    }

    /// Returns whether another watcher has said lately that the store answers it.
    pub(crate) fn has_other_watcher(&self) -> bool {
        let now = self.clock.now();
        let watchers = self.latest_watcher.lock().expect("no panic under lock");
        watchers.is_store_answering(now)
    }

    /// Returns the addresses of the watchers in other data centres that were heard lately.
    pub(crate) fn get_remote_watchers(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let data_center = self.settings.load().data_center.clone();
        let members = self.lock_members();
        let watchers = self.latest_watcher.lock().expect("no panic under lock");
        let names = watchers.answered.keys();
        let heard = names.filter(|name| watchers.is_answering(name, now));
        let heard = heard.filter_map(|name| members.get(name));
        heard
            .filter(|member| member.data_center != data_center)
            .map(|member| member.peer_address)
            .collect()
    }

    /// Returns this entry's rank, from 0, in the order in which entries watch the store, and the number of entries
    /// in it: the first ones do, and the others step in, one after the other, while no watcher sends heartbeats.
    /// Strong entries come first, as their links and cores take the least time for a large change. Entries of an
    /// earlier version have no place in it, since they do not watch all keys of the operator.
    pub(crate) fn get_watch_rank(&self) -> (usize, usize) {
        let members = self.lock_members();
        let earlier = self.lock_earlier_entries();
        let names = members.iter().map(|(name, _)| name);
        let names = names.filter(|name| !earlier.contains(*name));
        let ranked = members.rank_strongest("watch", names);
        let own = ranked
            .iter()
            .position(|name| *name == members.get_own_name());
        (own.unwrap_or(0), ranked.len())
    }

    /// Returns whether this entry is one of the [`PREFERRED_WATCHERS`] preferred watchers, the first in
    /// the order.
    pub(crate) fn is_preferred_watcher(&self) -> bool {
        self.get_watch_rank().0 < PREFERRED_WATCHERS
    }

    /// Returns whether this entry has to watch the store itself now: always if it is a preferred
    /// watcher, else with a delay by its rank, which begins when the watchers have timed out or the
    /// last one says that the store does not answer it.
    pub(crate) fn has_to_watch(&self) -> bool {
        let now = self.clock.now();
        if now < START_WATCH_DELAY {
            return false;
        }
        let (rank, _) = self.get_watch_rank();
        if rank < PREFERRED_WATCHERS {
            return true;
        }
        let standbys = (self.lock_members().iter().count()).saturating_sub(PREFERRED_WATCHERS);
        let step = TAKEOVER_STEP.min(Micros(MAX_TAKEOVER_DELAY.0 / standbys.max(1) as u64));
        let takeover_delay = Micros(step.0 * (rank - PREFERRED_WATCHERS) as u64);
        let watcher = self.latest_watcher.lock().expect("no panic under lock");
        let timeout = match &watcher.name {
            Some(_) => WATCHER_TIMEOUT,
            None if watcher.updated == Micros::ZERO => START_WATCHER_TIMEOUT,
            None => Micros::ZERO,
        };
        now - watcher.updated > timeout + takeover_delay
    }

    /// Returns whether the last call to the store failed. Unlike [`Self::is_store_reachable`], it does
    /// not consider how old the last reply is.
    pub(crate) fn has_last_store_call_failed(&self) -> bool {
        self.lock_contact().last_call_failed
    }

    /// Returns the time since the store's last reply, or `None` if there was none yet.
    pub(crate) fn get_store_reply_age(&self) -> Option<Micros> {
        let now = self.clock.now();
        self.lock_contact().last_reply.map(|at| now - at)
    }
}
