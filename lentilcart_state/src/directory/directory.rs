use std::collections::VecDeque;

use lentilcart_util::{Map, Micros, Name};

use super::ServerRegistration;

/// Grace period after an outage of the store. The platform documents that servers whose registration
/// lapsed register again within it.
const OUTAGE_GRACE: Micros = Micros::from_millis(2100);

/// Time for which the last registration of a removed server is remembered, to tell a write from before its
/// removal.
const REMOVED_MEMORY: Micros = Micros::from_millis(30_000);
/// Largest number of removed servers that are remembered for that.
const MAX_REMOVED: usize = 512;

/// Registered servers, and servers whose registration lapsed because of an outage of the store.
///
/// A registration lapses when the store is unreachable and the server can't renew it. Such a server
/// stays in the directory until a grace period after the outage has passed. A store that does not answer
/// this entry but others is not unreachable: servers renew their registrations there.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    /// All servers by identifier, lapsed ones included.
    registrations: Map<Name, ServerRegistration>,
    /// Servers whose registration lapsed, by identifier.
    lapses: Map<Name, Lapse>,
    /// Start, in Unix milliseconds, of each instance that has said itself that it is leaving, by server
    /// identifier.
    leaving_instances: Map<Name, u64>,
    /// Last registrations of removed servers, with the time of the removal, the oldest first.
    removed: VecDeque<(ServerRegistration, Micros)>,
    outage: Outage,
}

/// End of the registration of a server that is kept for a time.
#[derive(Debug, Clone, Copy)]
struct Lapse {
    /// Time at which the server is removed.
    removal_time: Micros,
    /// Whether another entry reported the end of the registration.
    relayed: bool,
}

#[derive(Debug, Clone, Copy, Default)]
enum Outage {
    /// The store answers, and the grace period after the last outage is over.
    #[default]
    None,
    /// The store answers no entry.
    Ongoing,
    /// The store has answered again since this time, and the grace period is not over.
    Ended(Micros),
}

impl ServerDirectory {
    /// Records a registration; returns whether it changed anything. An instance that has said that it is
    /// leaving stays so, whatever its registration says.
    ///
    /// A registration that was written before the known one, or before that of a removed server, is ignored.
    /// It only shows that a lapsed server is registered again.
    pub fn record_registration(&mut self, mut registration: ServerRegistration) -> bool {
        if self.is_older_write(&registration) {
            return self.lapses.remove(&registration.id).is_some();
        }
        self.removed
            .retain(|(removed, _)| removed.id != registration.id);
        match self.leaving_instances.get(&registration.id) {
            Some(started_ms) if *started_ms == registration.started_ms => {
                registration.leaving = true;
            }
            _ => {
                self.leaving_instances.remove(&registration.id);
            }
        }
        let lapsed = self.lapses.remove(&registration.id).is_some();
        let previous = self
            .registrations
            .insert(registration.id.clone(), registration.clone());
        let is_changed = previous.is_none_or(|previous| {
            let sequence = registration.sequence;
            registration
                != ServerRegistration {
                    sequence,
                    ..previous
                }
        });
        lapsed || is_changed
    }

    /// Returns whether a registration was written before the one that is known of its server, or was known
    /// when the server was removed.
    #[must_use]
    pub fn is_older_write(&self, registration: &ServerRegistration) -> bool {
        let removed = self.removed.iter().map(|(removed, _)| removed);
        let known = self.registrations.get(&registration.id);
        let mut known = known.into_iter().chain(removed);
        known.any(|known| registration.is_older_write(known))
    }

    /// Records that the registered instance of a server has said itself that it is leaving; returns
    /// whether that was not known.
    pub fn record_leaving(&mut self, id: &Name) -> bool {
        let registration = self.registrations.get_mut(id);
        registration.is_some_and(|registration| {
            self.leaving_instances
                .insert(id.clone(), registration.started_ms);
            !std::mem::replace(&mut registration.leaving, true)
        })
    }

    /// Records that a registration was removed; returns whether the server is removed at once.
    ///
    /// In an outage of the store and until the grace period after it is over, a server stays unless it
    /// is leaving. Where another outage begins within the grace period, the server stays until the grace
    /// period after that one is over.
    pub fn record_removal(&mut self, id: &Name, now: Micros) -> bool {
        let lapse = Lapse {
            removal_time: self.get_removal_time(now),
            relayed: false,
        };
        self.end_registration(id, now, lapse)
    }

    /// Records that a registration was removed, as another entry learned from the store; returns
    /// whether the server is removed at once.
    ///
    /// Otherwise the server is removed after one grace period at most, even while the outage lasts or where
    /// another one begins.
    pub fn record_relayed_removal(&mut self, id: &Name, now: Micros) -> bool {
        // The store answers the other entry, so that servers can register again.
        let lapse = Lapse {
            removal_time: self.get_removal_time(now).min(now + OUTAGE_GRACE),
            relayed: true,
        };
        self.end_registration(id, now, lapse)
    }

    /// Returns the time at which a server whose registration ends now is removed.
    fn get_removal_time(&self, now: Micros) -> Micros {
        match self.outage {
            Outage::None => now,
            Outage::Ongoing => Micros(u64::MAX),
            Outage::Ended(at) => at + OUTAGE_GRACE,
        }
    }

    /// Removes a server at once, or at the time of its lapse; returns whether it was removed at once.
    fn end_registration(&mut self, id: &Name, now: Micros, lapse: Lapse) -> bool {
        match self.registrations.get(id) {
            None => false,
            Some(registration) if lapse.removal_time > now && !registration.leaving => {
                self.lapses.insert(id.clone(), lapse);
                false
            }
            Some(_) => {
                self.remove(id, now);
                true
            }
        }
    }

    /// Records that there is an outage of the store: as far as this entry knows, the store answers
    /// neither it nor any other entry.
    ///
    /// Lapsed servers stay until the grace period after it is over, since they cannot register again
    /// meanwhile. Those whose removal another entry reported do not stay longer than before.
    pub fn record_outage_start(&mut self) {
        self.outage = Outage::Ongoing;
        for lapse in self.lapses.values_mut().filter(|lapse| !lapse.relayed) {
            lapse.removal_time = Micros(u64::MAX);
        }
    }

    /// Records that there is no outage of the store. Where there was one, this starts the grace period
    /// of the lapsed servers whose removal time is not fixed yet.
    pub fn record_outage_end(&mut self, now: Micros) {
        if matches!(self.outage, Outage::Ongoing) {
            self.outage = Outage::Ended(now);
            for lapse in self.lapses.values_mut() {
                lapse.removal_time = lapse.removal_time.min(now + OUTAGE_GRACE);
            }
        }
    }

    /// Removes the lapsed servers whose grace period is over, and forgets those removed long ago; returns the
    /// identifiers of the lapsed ones.
    pub fn remove_lapsed(&mut self, now: Micros) -> Vec<Name> {
        if let Outage::Ended(at) = self.outage
            && now >= at + OUTAGE_GRACE
        {
            self.outage = Outage::None;
        }
        let expired: Vec<Name> = self
            .lapses
            .iter()
            .filter(|(_, lapse)| lapse.removal_time <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        self.removed.retain(|(_, at)| now < *at + REMOVED_MEMORY);
        expired
    }

    fn remove(&mut self, id: &Name, now: Micros) {
        self.lapses.remove(id);
        self.leaving_instances.remove(id);
        let registration = self.registrations.remove(id);
        self.removed
            .extend(registration.map(|registration| (registration, now)));
        if self.removed.len() > MAX_REMOVED {
            self.removed.pop_front();
        }
    }

    /// Returns the time at which a lapsed server is removed, or `None` if the server has not lapsed. It
    /// is `Micros(u64::MAX)` while an outage of the store lasts.
    #[must_use]
    pub fn get_lapse_end(&self, id: &str) -> Option<Micros> {
        self.lapses.get(id).map(|lapse| lapse.removal_time)
    }

    /// Returns the number of lapsed servers.
    #[must_use]
    pub fn get_lapsed_count(&self) -> usize {
        self.lapses.len()
    }

    /// Returns the number of servers of a service that are leaving, by their registration or by their own
    /// word.
    #[must_use]
    pub fn get_leaving_count(&self, service: &str) -> usize {
        let is_leaving = |registration: &&ServerRegistration| {
            registration.leaving && *registration.service == *service
        };
        self.registrations.values().filter(is_leaving).count()
    }

    /// Returns an iterator over the servers of all services, lapsed ones included.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRegistration> {
        self.registrations.values()
    }

    /// Returns the registration of a server, by its identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerRegistration> {
        self.registrations.get(id)
    }

    /// Returns the number of servers, lapsed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether the directory holds no server.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }
}
