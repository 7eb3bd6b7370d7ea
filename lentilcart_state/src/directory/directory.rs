use lentilcart_util::{Map, Micros, Name};

use super::ServerRegistration;

/// Time after the store's return within which servers that lapsed while it was away register
/// again, from the platform's description of its store.
const RETURN_GRACE: Micros = Micros::from_millis(2100);

/// Registered servers, and those whose registration lapsed for no fault of theirs.
///
/// A registration can lapse because the store was away and the server could not renew it. Such a
/// server stays listed until the store has been back for a grace time.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    rows: Map<Name, ServerRegistration>,
    /// Servers whose registration is gone, by the time at which they are dropped.
    lapsed: Map<Name, Micros>,
    outage: Outage,
}

#[derive(Debug, Clone, Copy, Default)]
enum Outage {
    #[default]
    None,
    Away,
    Back(Micros),
}

impl ServerDirectory {
    /// Takes a registration; returns whether it changed anything.
    pub fn record_registration(&mut self, instance: ServerRegistration) -> bool {
        let lapsed = self.lapsed.remove(&instance.id).is_some();
        let before = self.rows.insert(instance.id.clone(), instance.clone());
        lapsed || before != Some(instance)
    }

    /// Takes the end of a registration; returns whether the server is dropped at once.
    pub fn record_removal(&mut self, id: &Name, now: Micros) -> bool {
        let until = self.get_until(now);
        self.lapse(id, now, until)
    }

    /// Takes the end of a registration that another entry has heard of from the store; returns
    /// whether the server is dropped at once.
    pub fn record_relayed_removal(&mut self, id: &Name, now: Micros) -> bool {
        // The store answers the other entry, so that registrations can return.
        let until = self.get_until(now).min(now + RETURN_GRACE);
        self.lapse(id, now, until)
    }

    fn get_until(&self, now: Micros) -> Micros {
        match self.outage {
            Outage::None => now,
            Outage::Away => Micros(u64::MAX),
            Outage::Back(at) => at + RETURN_GRACE,
        }
    }

    fn lapse(&mut self, id: &Name, now: Micros, until: Micros) -> bool {
        match self.rows.get(id) {
            None => false,
            Some(row) if until > now && !row.leaving => {
                self.lapsed.insert(id.clone(), until);
                false
            }
            Some(_) => {
                self.lapsed.remove(id);
                self.rows.remove(id);
                true
            }
        }
    }

    /// Records that the store does not answer.
    pub fn record_store_loss(&mut self) {
        self.outage = Outage::Away;
    }

    /// Records that the store answers again.
    pub fn record_store_return(&mut self, now: Micros) {
        if matches!(self.outage, Outage::Away) {
            self.outage = Outage::Back(now);
            for until in self.lapsed.values_mut() {
                *until = now + RETURN_GRACE;
            }
        }
    }

    /// Drops the lapsed servers whose grace is over; returns whether there were any.
    pub fn remove_lapsed(&mut self, now: Micros) -> bool {
        if let Outage::Back(at) = self.outage
            && now >= at + RETURN_GRACE
        {
            self.outage = Outage::None;
        }
        let due: Vec<Name> = self
            .lapsed
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in &due {
            self.lapsed.remove(id);
            self.rows.remove(id);
        }
        !due.is_empty()
    }

    /// Returns the servers of all services.
    pub fn iter(&self) -> impl Iterator<Item = &ServerRegistration> {
        self.rows.values()
    }

    /// Returns a server by its identifier.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&ServerRegistration> {
        self.rows.get(id)
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no server is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}
