use std::collections::VecDeque;

use lentilcart_util::{Map, Micros, Name, Set, common};

use super::{StoreCall, StoreEvent, StoreItem, StoreReply};

/// A change of a mirrored prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// The key has this value now.
    Put(StoreItem),
    /// The key is gone.
    Removed(Name),
}

common! { message,
    /// What is under a prefix as of a revision: everything, or what changed after another revision.
    #[derive(Default, Eq)]
    pub struct MirrorSnapshot {
        /// Revision.
        pub revision: u64,
        /// Items.
        pub items: Vec<StoreItem>,
        /// Keys that were removed, with the revision; `None` where the items are all there are.
        #[serde(rename = "gone")]
        pub removals: Option<Vec<(Name, u64)>>,
    }
}

/// Removals that a mirror remembers, so that it can tell another one only what has changed.
const REMOVALS: usize = 512;

/// Copy of the items under a prefix.
///
/// It emits the next call to the store and takes the answers; copies of other entries can be
/// merged at any time. Nothing older than what is known is ever taken: items are compared by their
/// revision, whole copies by the store's.
#[derive(Debug)]
pub struct Mirror {
    prefix: Name,
    items: Map<Name, StoreItem>,
    revision: u64,
    /// Newest revision of any change that was taken.
    latest: u64,
    /// Last removals, in the order in which they were taken.
    removed: VecDeque<(Name, u64)>,
    /// Revision up to which removals are not remembered.
    horizon: u64,
    listing: Option<Listing>,
}

#[derive(Debug, Default)]
struct Listing {
    /// Revision of the first page; changes after it come by a watch.
    base: Option<u64>,
    after: Option<Name>,
    items: Vec<StoreItem>,
}

impl Mirror {
    /// Creates an empty copy that begins with a list.
    #[must_use]
    pub fn new(prefix: Name) -> Self {
        Self {
            prefix,
            items: Map::default(),
            revision: 0,
            latest: 0,
            removed: VecDeque::new(),
            horizon: 0,
            listing: Some(Listing::default()),
        }
    }

    /// Returns the revision up to which the copy is complete; 0 before the first list.
    #[must_use]
    pub fn get_revision(&self) -> u64 {
        self.revision
    }

    /// Returns the newest revision of any change that was taken; a copy that is complete up to it
    /// lacks nothing that this one has.
    #[must_use]
    pub fn get_latest_change(&self) -> u64 {
        self.latest
    }

    /// Returns whether the next call is a watch.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.listing.is_none()
    }

    /// Reads everything anew; what is known stays until then.
    pub fn restart_listing(&mut self) {
        self.listing = Some(Listing::default());
    }

    /// Returns the next call to the store.
    #[must_use]
    pub fn next_call(&self, max_wait: Micros) -> StoreCall {
        match &self.listing {
            Some(listing) => StoreCall::List {
                prefix: self.prefix.clone(),
                after: listing.after.clone(),
            },
            None => StoreCall::Watch {
                prefix: self.prefix.clone(),
                after: self.revision,
                max_wait,
            },
        }
    }

    /// Takes the answer to the last call and returns what changed.
    pub fn record_reply(&mut self, reply: StoreReply) -> Vec<MirrorChange> {
        match reply {
            StoreReply::Page {
                items,
                more,
                revision,
            } => self.take_page(items, more, revision),
            StoreReply::Events { events, revision } => self.take_events(events, revision),
            StoreReply::Compacted => {
                self.restart_listing();
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Takes another entry's copy if it is newer, and returns what changed.
    pub fn merge(&mut self, snapshot: MirrorSnapshot) -> Vec<MirrorChange> {
        if snapshot.revision <= self.revision {
            return Vec::new();
        }
        let Some(gone) = snapshot.removals else {
            return self.replace(snapshot.items, snapshot.revision);
        };
        let written = snapshot.items.into_iter().map(StoreEvent::Written);
        let removed = gone
            .into_iter()
            .map(|(key, at)| StoreEvent::Removed(key, at));
        self.take_events(removed.chain(written), snapshot.revision)
    }

    /// Returns what has changed after a revision, or the whole copy where that is not remembered.
    #[must_use]
    pub fn get_snapshot(&self, after: u64) -> MirrorSnapshot {
        let is_known = after >= self.horizon && after > 0;
        let is_new = |item: &&StoreItem| !is_known || item.revision > after;
        let removed = self.removed.iter().filter(|(_, at)| *at > after);
        MirrorSnapshot {
            revision: self.revision,
            items: self.items.values().filter(is_new).cloned().collect(),
            removals: is_known.then(|| removed.cloned().collect()),
        }
    }

    fn take_page(&mut self, items: Vec<StoreItem>, more: bool, revision: u64) -> Vec<MirrorChange> {
        let mut listing = self.listing.take().unwrap_or_default();
        let base = *listing.base.get_or_insert(revision);
        let last = items.last().map(|item| item.key.clone());
        listing.items.extend(items);
        match last {
            Some(last) if more => {
                listing.after = Some(last);
                self.listing = Some(listing);
                Vec::new()
            }
            // Another entry's newer copy has come meanwhile.
            _ if base < self.revision => Vec::new(),
            _ => self.replace(listing.items, base),
        }
    }

    fn take_events(
        &mut self,
        events: impl IntoIterator<Item = StoreEvent>,
        revision: u64,
    ) -> Vec<MirrorChange> {
        let mut changes = Vec::new();
        for event in events {
            match event {
                StoreEvent::Written(item) => changes.extend(self.put(item)),
                StoreEvent::Removed(key, at) => {
                    let known = self.items.get(&key).is_some_and(|item| item.revision < at);
                    self.latest = self.latest.max(at);
                    if known {
                        self.remove(&key, at);
                        changes.push(MirrorChange::Removed(key));
                    }
                }
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    fn replace(&mut self, items: Vec<StoreItem>, revision: u64) -> Vec<MirrorChange> {
        let named: Set<Name> = items.iter().map(|item| item.key.clone()).collect();
        let gone = self
            .items
            .values()
            .filter(|item| item.revision <= revision && !named.contains(&item.key))
            .map(|item| item.key.clone());
        let gone: Vec<Name> = gone.collect();
        let mut changes = Vec::new();
        if self.revision == 0 {
            self.horizon = revision;
        }
        for key in gone {
            self.remove(&key, revision);
            changes.push(MirrorChange::Removed(key));
        }
        for item in items {
            changes.extend(self.put(item));
        }
        self.revision = self.revision.max(revision);
        changes
    }

    fn remove(&mut self, key: &Name, at: u64) {
        self.items.remove(key);
        self.removed.push_back((key.clone(), at));
        if self.removed.len() > REMOVALS
            && let Some((_, at)) = self.removed.pop_front()
        {
            self.horizon = self.horizon.max(at);
        }
    }

    fn put(&mut self, item: StoreItem) -> Option<MirrorChange> {
        let known = self.items.get(&item.key).map(|known| known.revision);
        if known.is_some_and(|known| known >= item.revision) {
            return None;
        }
        self.latest = self.latest.max(item.revision);
        self.items.insert(item.key.clone(), item.clone());
        Some(MirrorChange::Put(item))
    }
}
