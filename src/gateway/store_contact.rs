//! Whether the store answers, and who watches it.

use std::sync::MutexGuard;

use lentilcart_state::rendezvous_rank;
use lentilcart_util::{Micros, Name};

use super::gateway::Gateway;

/// Entries that watch the store; the others learn from them.
const WATCHER_COUNT: usize = 3;
/// Silence of all watchers after which another entry watches, and how much later each further one
/// does.
const WATCHER_TIMEOUT: Micros = Micros::from_millis(1200);
const TAKEOVER_STEP: Micros = Micros::from_millis(30);
/// Age of the store's last answer up to which it counts as in reach.
const MAX_REPLY_AGE: Micros = Micros::from_millis(2000);

/// What is known of the entries that watch the store.
#[derive(Debug, Default)]
pub(crate) struct WatcherStatus {
    /// The one that was heard last, while it says that the store answers it.
    name: Option<Name>,
    /// When that was, or when it said that the store does not answer it any more.
    updated: Micros,
}

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    last_reply: Option<Micros>,
    is_lost: bool,
}

impl Gateway {
    fn lock_contact(&self) -> MutexGuard<'_, StoreContact> {
        self.store_contact.lock().expect("no panic under lock")
    }

    /// Records that the store answered a call.
    pub(crate) fn record_store_reply(&self) {
        let now = self.clock.now();
        let mut contact = self.lock_contact();
        contact.last_reply = Some(now);
        if contact.is_lost {
            contact.is_lost = false;
            log::info!("store regained");
            self.lock_directory().record_store_return(now);
            // Watches that waited through the outage may have been forgotten.
            self.relist.notify_waiters();
        }
    }

    /// Records that the store did not answer a call.
    pub(crate) fn record_store_failure(&self, call: &'static str, reason: &str) {
        let mut contact = self.lock_contact();
        if !contact.is_lost {
            contact.is_lost = true;
            log::warn!(call, reason; "store lost");
            self.lock_directory().record_store_loss();
            // Others have to watch instead.
            self.trigger_heartbeat();
        }
    }

    /// Returns whether the store answers this entry.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        let contact = self.lock_contact();
        let is_fresh = contact
            .last_reply
            .is_some_and(|at| now - at < MAX_REPLY_AGE);
        is_fresh && !contact.is_lost
    }

    /// Records that an entry watches the store, or does so no more.
    pub(crate) fn record_watcher(&self, name: &Name, watching: bool) {
        let updated = self.clock.now();
        let mut watcher = self.watcher_status.lock().expect("no panic under lock");
        let is_current = watcher.name.as_ref() == Some(name);
        if watching || is_current {
            let name = watching.then(|| name.clone());
            *watcher = WatcherStatus { name, updated };
        }
    }

    /// Returns this entry's place in the order in which entries watch the store: the first ones do,
    /// the others step in, one after the other, while no watcher is heard.
    pub(crate) fn get_watch_rank(&self) -> usize {
        let members = self.lock_members();
        let names = members.iter().map(|(name, _)| name);
        let ranked = rendezvous_rank("watch", names, usize::MAX);
        let own = ranked
            .iter()
            .position(|name| *name == members.get_own_name());
        own.unwrap_or(0)
    }

    /// Returns whether this entry is one of the first to watch the store.
    pub(crate) fn is_first_watcher(&self) -> bool {
        self.get_watch_rank() < WATCHER_COUNT
    }

    /// Returns whether this entry has to watch the store itself now.
    pub(crate) fn is_watcher(&self) -> bool {
        let rank = self.get_watch_rank();
        if rank < WATCHER_COUNT {
            return true;
        }
        let now = self.clock.now();
        let takeover_delay = Micros(TAKEOVER_STEP.0 * (rank - WATCHER_COUNT) as u64);
        let watcher = self.watcher_status.lock().expect("no panic under lock");
        let timeout = watcher
            .name
            .as_ref()
            .map_or(Micros::ZERO, |_| WATCHER_TIMEOUT);
        now - watcher.updated > timeout + takeover_delay
    }

    /// Returns whether the store's last answer failed to come.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.lock_contact().is_lost
    }

    /// Returns how long ago the store last answered.
    pub(crate) fn get_store_age(&self) -> Option<Micros> {
        let now = self.clock.now();
        self.lock_contact().last_reply.map(|at| now - at)
    }
}
