use std::collections::BTreeMap;
use std::time::Duration;

use lentilcart_state::{Precondition, StoreCall, StoreEvent, StoreItem, StorePut, StoreReply};
use lentilcart_util::Name;
use tokio::time::Instant;

/// Most items of a page.
const PAGE_ITEMS: usize = 500;
/// Most changes that are kept for watches.
const HISTORY: usize = 20_000;

struct Lease {
    ttl: Duration,
    expiry: Instant,
}

/// Contents of the stand-in of the store.
#[derive(Default)]
pub(super) struct StoreState {
    /// Items with their leases, 0 for none.
    items: BTreeMap<Name, (StoreItem, u64)>,
    events: Vec<StoreEvent>,
    revision: u64,
    /// Watches after an earlier revision are told that the history is gone.
    first_kept: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
}

impl StoreState {
    pub(super) fn put(&mut self, key: Name, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let item = StoreItem {
            key: key.clone(),
            value,
            revision: self.revision,
        };
        self.items.insert(key, (item.clone(), lease));
        self.add_event(StoreEvent::Written(item));
    }

    pub(super) fn remove(&mut self, key: &Name) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let removed = StoreEvent::Removed(key.clone(), self.revision);
            self.add_event(removed);
        }
    }

    fn add_event(&mut self, event: StoreEvent) {
        self.events.push(event);
        if self.events.len() > HISTORY {
            let kept = self.events.split_off(HISTORY / 2);
            if let Some(last) = self.events.last() {
                self.first_kept = get_revision(last);
            }
            self.events = kept;
        }
    }

    /// Removes the leases that have expired, with their keys; returns whether there were any.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expiry <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for lease in &expired {
            self.end_lease(*lease);
        }
        !expired.is_empty()
    }

    /// Returns the reply to a call, or `None` for a watch without changes, which waits.
    pub(super) fn build_reply(&mut self, call: &StoreCall) -> Option<StoreReply> {
        match call {
            StoreCall::List { prefix, after, .. } => Some(self.list(prefix, after.as_ref())),
            StoreCall::Watch { after, .. } if *after < self.first_kept => {
                Some(StoreReply::Compacted)
            }
            StoreCall::Watch { prefix, after, .. } => {
                let start = self
                    .events
                    .partition_point(|event| get_revision(event) <= *after);
                let events = self.events[start..].iter();
                let events: Vec<_> = events
                    .filter(|event| get_key(event).starts_with(&**prefix))
                    .cloned()
                    .collect();
                (!events.is_empty()).then_some(StoreReply::Events {
                    events,
                    revision: self.revision,
                })
            }
            StoreCall::Write {
                preconditions,
                puts,
                deletes,
            } => Some(self.write(preconditions, puts, deletes)),
            StoreCall::OpenLease(ttl) => {
                self.last_lease += 1;
                let ttl = Duration::from(*ttl);
                let expiry = Instant::now() + ttl;
                self.leases.insert(self.last_lease, Lease { ttl, expiry });
                Some(StoreReply::LeaseOpened(self.last_lease))
            }
            StoreCall::RenewLease(id) => Some(match self.leases.get_mut(id) {
                Some(lease) => {
                    lease.expiry = Instant::now() + lease.ttl;
                    StoreReply::LeaseUpdated
                }
                None => StoreReply::LeaseNotFound,
            }),
            StoreCall::EndLease(id) => Some(if self.end_lease(*id) {
                StoreReply::LeaseUpdated
            } else {
                StoreReply::LeaseNotFound
            }),
        }
    }

    /// Returns the reply to a watch that has waited for its longest time.
    pub(super) fn build_empty_events(&self) -> StoreReply {
        StoreReply::Events {
            events: Vec::new(),
            revision: self.revision,
        }
    }

    fn list(&self, prefix: &Name, after: Option<&Name>) -> StoreReply {
        let is_due =
            |key: &Name| key.starts_with(&**prefix) && after.is_none_or(|after| key > after);
        let due = self.items.iter().filter(|(key, _)| is_due(key));
        let mut items: Vec<_> = due
            .map(|(_, (item, _))| item.clone())
            .take(PAGE_ITEMS + 1)
            .collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        StoreReply::Page {
            items,
            more,
            revision: self.revision,
        }
    }

    fn write(
        &mut self,
        preconditions: &[Precondition],
        puts: &[StorePut],
        deletes: &[Name],
    ) -> StoreReply {
        let get_current = |key| self.items.get(key).map_or(0, |(item, _)| item.revision);
        if !preconditions
            .iter()
            .all(|condition| get_current(&condition.key) == condition.revision)
        {
            return StoreReply::PreconditionFailed;
        }
        if !puts
            .iter()
            .all(|put| put.lease == 0 || self.leases.contains_key(&put.lease))
        {
            return StoreReply::LeaseNotFound;
        }
        for put in puts {
            self.put(put.key.clone(), put.value.clone(), put.lease);
        }
        for key in deletes {
            self.remove(key);
        }
        StoreReply::Written(self.revision)
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let held = self.items.iter().filter(|(_, (_, lease))| *lease == id);
        let held: Vec<Name> = held.map(|(key, _)| key.clone()).collect();
        for key in &held {
            self.remove(key);
        }
        self.leases.remove(&id).is_some()
    }
}

fn get_revision(event: &StoreEvent) -> u64 {
    match event {
        StoreEvent::Written(item) => item.revision,
        StoreEvent::Removed(_, revision) => *revision,
    }
}

fn get_key(event: &StoreEvent) -> &Name {
    match event {
        StoreEvent::Written(item) => &item.key,
        StoreEvent::Removed(key, _) => key,
    }
}
