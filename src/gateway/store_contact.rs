//! Whether the store answers, and who watches it.

use std::sync::MutexGuard;

use lentilcart_state::rendezvous_rank;
use lentilcart_util::{Micros, Name};

use super::gateway::Gateway;

/// Entries that watch the store; the others learn from them.
const WATCHERS: usize = 3;
/// Silence of all watchers after which another entry watches, and how much later each further one
/// does.
const WATCHER_SILENCE: Micros = Micros::from_millis(1200);
const TAKEOVER_STEP: Micros = Micros::from_millis(30);
/// Age of the store's last answer up to which it counts as in reach.
const CONTACT_AGE: Micros = Micros::from_millis(2000);

/// What is known of the entries that watch the store.
#[derive(Debug, Default)]
pub(crate) struct WatcherStatus {
    /// The one that was heard last, while it says that the store answers it.
    name: Option<Name>,
    /// When that was, or when it said that the store does not answer it any more.
    at: Micros,
}

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub(crate) struct StoreContact {
    answered: Option<Micros>,
    lost: bool,
}

impl Gateway {
    fn contact(&self) -> MutexGuard<'_, StoreContact> {
        self.contact.lock().expect("no panic under lock")
    }

    /// Records that the store answered a call.
    pub(crate) fn record_store_reply(&self) {
        let now = self.clock.now();
        let mut contact = self.contact();
        contact.answered = Some(now);
        if contact.lost {
            contact.lost = false;
            log::info!("store regained");
            self.directory().record_store_return(now);
            // Watches that waited through the outage may have been forgotten.
            self.relist.notify_waiters();
        }
    }

    /// Records that the store did not answer a call.
    pub(crate) fn record_store_failure(&self, call: &'static str, reason: &str) {
        let mut contact = self.contact();
        if !contact.lost {
            contact.lost = true;
            log::warn!(call, reason; "store lost");
            self.directory().record_store_loss();
            // Others have to watch instead.
            self.announce();
        }
    }

    /// Returns whether the store answers this entry.
    pub(crate) fn is_store_reachable(&self) -> bool {
        let now = self.clock.now();
        let contact = self.contact();
        let is_fresh = contact.answered.is_some_and(|at| now - at < CONTACT_AGE);
        is_fresh && !contact.lost
    }

    /// Records that an entry watches the store, or does so no more.
    pub(crate) fn record_watcher(&self, name: &Name, watching: bool) {
        let at = self.clock.now();
        let mut watcher = self.watcher.lock().expect("no panic under lock");
        let is_known = watcher.name.as_ref() == Some(name);
        if watching || is_known {
            let name = watching.then(|| name.clone());
            *watcher = WatcherStatus { name, at };
        }
    }

    /// Returns this entry's place in the order in which entries watch the store: the first ones do,
    /// the others step in, one after the other, while no watcher is heard.
    pub(crate) fn get_watch_rank(&self) -> usize {
        let members = self.members();
        let names = members.iter().map(|(name, _)| name);
        let ranked = rendezvous_rank("watch", names, usize::MAX);
        let own = ranked
            .iter()
            .position(|name| *name == members.get_own_name());
        own.unwrap_or(0)
    }

    /// Returns whether this entry is one of the first to watch the store.
    pub(crate) fn is_first_watcher(&self) -> bool {
        self.get_watch_rank() < WATCHERS
    }

    /// Returns whether this entry has to watch the store itself now.
    pub(crate) fn is_watcher(&self) -> bool {
        let rank = self.get_watch_rank();
        if rank < WATCHERS {
            return true;
        }
        let now = self.clock.now();
        let turn = Micros(TAKEOVER_STEP.0 * (rank - WATCHERS) as u64);
        let watcher = self.watcher.lock().expect("no panic under lock");
        let silence = watcher
            .name
            .as_ref()
            .map_or(Micros::ZERO, |_| WATCHER_SILENCE);
        now - watcher.at > silence + turn
    }

    /// Returns whether the store's last answer failed to come.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.contact().lost
    }

    /// Returns how long ago the store last answered.
    pub(crate) fn get_store_age(&self) -> Option<Micros> {
        let now = self.clock.now();
        self.contact().answered.map(|at| now - at)
    }
}
