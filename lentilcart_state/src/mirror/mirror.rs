use std::collections::VecDeque;

use lentilcart_util::{Map, Micros, Name, Set, common};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{StoreCall, StoreEvent, StoreItem, StoreReply};

/// A change of a mirrored item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// The item was added or has a new value.
    Put(StoreItem),
    /// The item with this key was removed.
    Removed(Name),
}

common! { message,
    /// Content of a mirror for another entry: all items, or the changes after a revision.
    #[derive(Default, Eq)]
    pub struct MirrorSnapshot {
        /// Revision of the store up to which the content is complete.
        pub revision: u64,
        /// All items where `removals` is `None`; otherwise the items written after the revision that
        /// the receiver asked for (`after_revision` of [`Mirror::get_snapshot`]).
        pub items: Vec<StoreItem>,
        /// `None` where `items` is the full content. Otherwise `items` holds only changes, and these
        /// keys were removed after the requested revision, each with the revision of its removal.
        #[serde(rename = "gone")]
        pub removals: Option<Vec<(Name, u64)>>,
        /// Spans of revisions in which removals are not known: `removals` lacks the items that were written and
        /// removed between the two revisions of a span. An item that was written in a span and is not among
        /// `items` has been removed. Entries of an earlier version do not know of spans, and get none.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub gaps: Vec<(u64, u64)>,
        /// Revision from which the sender has all items; see [`Mirror::is_settled`]. `None` from an entry of an
        /// earlier version, which does not know.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub settled: Option<u64>,
        /// Prefix of the keys that `items` and `removals` cover, where entries of an earlier version cover
        /// a narrower one; `None` from these, and where there is no narrower one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub prefix: Option<Name>,
    }
}

/// Number of removals that a mirror remembers, so that it can send another entry only the changes.
const MAX_REMOVALS: usize = 512;
/// Number of gaps that a mirror remembers.
const MAX_GAPS: usize = 64;
/// Longest wait of the watch that confirms a stale listing: the shortest that the store knows.
const CONFIRMATION_WAIT: Micros = Micros::from_millis(1);

/// Mirror of the store's items under a prefix.
///
/// The mirror returns the next call to the store and processes the reply; snapshots of other
/// entries' mirrors can be merged at any time. An event never undoes a later one, be it a write or a
/// removal: events are compared by their own revision, snapshots by the revision of the store.
#[derive(Debug)]
pub struct Mirror {
    prefix: Name,
    /// Prefix that entries of an earlier version mirror in place of `prefix`, which it begins with; `None` if
    /// they mirror the same.
    earlier_prefix: Option<Name>,
    items: Map<Name, StoreItem>,
    /// Revision of the store up to which the mirror is complete; 0 before the first listing.
    revision: u64,
    /// Highest revision of a write that was applied or of a removal event that was received. A removal
    /// that a listing shows counts with the revision of the listing.
    latest_change_revision: u64,
    /// Last removals, one for each key, with its revision, in the order in which they were applied; those
    /// of keys that this mirror did not know included.
    removals: VecDeque<(Name, u64)>,
    /// Revision up to which removals are not known: they are older than the first listing, or no
    /// longer remembered.
    forgotten_revision: u64,
    /// Pairs of revisions, the last one at the end, at both of which this mirror or another one had all items
    /// without having seen each change between them: the second came with a listing or a comparison. Items that
    /// were written and removed in between are not among `removals`.
    gaps: VecDeque<(u64, u64)>,
    /// Revision from which the mirror has all items: a listing of several pages lacks those that were removed
    /// while it was read.
    settled_revision: u64,
    /// The listing in progress; `None` while the mirror watches.
    listing: Option<Listing>,
    /// Exclusive or of the hashes of all items; see [`Mirror::get_digest`].
    digest: u64,
}

#[derive(Debug, Default)]
struct Listing {
    /// Lowest revision of a page, which is that of the first one unless the pages may be stale; later
    /// changes are reported by the watch that follows.
    lowest_revision: Option<u64>,
    /// Highest revision of a page. Items that were removed up to it may be missing.
    highest_revision: u64,
    /// Whether the store may answer with a state that is some seconds old.
    is_stale: bool,
    /// Whether all pages have been read. A stale listing is then held until it is confirmed.
    is_complete: bool,
    /// Last key of the previous page.
    after: Option<Name>,
    /// Items of the pages read so far.
    items: Vec<StoreItem>,
}

impl Mirror {
    /// Creates an empty mirror, which begins with a listing.
    #[must_use]
    pub fn new(prefix: Name) -> Self {
        Self {
            prefix,
            earlier_prefix: None,
            items: Map::default(),
            revision: 0,
            latest_change_revision: 0,
            removals: VecDeque::new(),
            forgotten_revision: 0,
            gaps: VecDeque::new(),
            settled_revision: 0,
            listing: Some(Listing::default()),
            digest: 0,
        }
    }

    /// Sets the narrower prefix that entries of an earlier version mirror in place of this one's.
    #[must_use]
    pub fn with_earlier_prefix(mut self, prefix: Name) -> Self {
        self.earlier_prefix = Some(prefix);
        self
    }

    /// Returns the items whose keys begin with a prefix, in no particular order.
    pub fn iter_prefix(&self, prefix: &str) -> impl Iterator<Item = &StoreItem> {
        let items = self.items.values();
        items.filter(move |item| item.key.starts_with(prefix))
    }

    /// Returns whether a snapshot is that of an entry of an earlier version, whose mirror has only a part of
    /// the keys.
    #[must_use]
    pub fn is_partial(&self, snapshot: &MirrorSnapshot) -> bool {
        let covers = |prefix: &Name| self.prefix.starts_with(&**prefix);
        self.earlier_prefix.is_some() && !snapshot.prefix.as_ref().is_some_and(covers)
    }

    /// Creates an empty mirror, which begins with a listing that may be stale. What it shows counts only
    /// after [`Mirror::confirm`], or after the watch that follows has brought the changes since. Later
    /// listings are never stale.
    #[must_use]
    pub fn with_stale_start(prefix: Name) -> Self {
        let mut mirror = Self::new(prefix);
        mirror.restart_stale_listing();
        mirror
    }

    /// Starts a new listing that may be stale, as [`Mirror::with_stale_start`] does.
    pub fn restart_stale_listing(&mut self) {
        self.listing = Some(Listing {
            is_stale: true,
            ..Listing::default()
        });
    }

    /// Returns whether a stale listing has been read and waits to be confirmed.
    #[must_use]
    pub fn is_unconfirmed(&self) -> bool {
        let listing = self.listing.as_ref();
        listing.is_some_and(|listing| listing.is_complete)
    }

    /// Puts a stale listing in force if it is at least as new as `revision`, and returns the changes. The
    /// revision is one that the store had at some time after the start of this process.
    pub fn confirm(&mut self, revision: u64) -> Vec<MirrorChange> {
        let is_new = |listing: &mut Listing| {
            listing.is_complete && listing.lowest_revision.unwrap_or_default() >= revision
        };
        match self.listing.take_if(is_new) {
            Some(listing) => self.apply_listing(listing),
            None => Vec::new(),
        }
    }

    /// Returns a hash of the keys and revisions of all items. Two mirrors with the same digest hold the
    /// same items but for chance, whatever the order in which these came.
    #[must_use]
    pub fn get_digest(&self) -> u64 {
        self.digest
    }

    /// Records that another entry's mirror, complete up to `revision`, has this digest. If this mirror has
    /// the same, it is complete up to there as well. Returns `false` if this mirror is behind and differs.
    pub fn compare(&mut self, revision: u64, digest: u64) -> bool {
        if self.revision == 0 || revision <= self.revision {
            return true;
        }
        if digest == self.digest {
            self.skip_to(revision);
            self.revision = revision;
        }
        digest == self.digest
    }

    /// Returns whether the mirror has all items of its revision, also those that have been removed since.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.revision >= self.settled_revision
    }

    /// Returns an item by its key.
    #[must_use]
    pub fn get(&self, key: &str) -> Option<&StoreItem> {
        self.items.get(key)
    }

    /// Returns the revision of the store up to which the mirror is complete; 0 before the first
    /// listing.
    #[must_use]
    pub fn get_revision(&self) -> u64 {
        self.revision
    }

    /// Returns the highest revision of a write that was applied or of a removal event that was
    /// received, where a removal that a listing shows has the revision of the listing. Another mirror
    /// whose [`Mirror::get_revision`] is at least this has every change that this mirror has counted.
    #[must_use]
    pub fn get_latest_change_revision(&self) -> u64 {
        self.latest_change_revision
    }

    /// Returns whether the next call is a watch, that is, whether no listing is in progress.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.listing.is_none()
    }

    /// Starts a new listing of all items; the items known now stay until it is complete.
    pub fn restart_listing(&mut self) {
        self.listing = Some(Listing::default());
    }

    /// Returns the next call to the store; `max_wait` is the longest wait of a watch.
    #[must_use]
    pub fn next_call(&self, max_wait: Micros) -> StoreCall {
        match &self.listing {
            // The watch does not wait, since the listing may not be used before.
            Some(listing) if listing.is_complete => StoreCall::Watch {
                prefix: self.prefix.clone(),
                after: listing.lowest_revision.unwrap_or_default(),
                max_wait: CONFIRMATION_WAIT,
            },
            Some(listing) => StoreCall::List {
                prefix: self.prefix.clone(),
                after: listing.after.clone(),
                stale: listing.is_stale,
            },
            None => StoreCall::Watch {
                prefix: self.prefix.clone(),
                after: self.revision,
                max_wait,
            },
        }
    }

    /// Processes the reply to the last call and returns the changes. Replies to calls other than
    /// listings and watches change nothing.
    pub fn record_reply(&mut self, reply: StoreReply) -> Vec<MirrorChange> {
        match reply {
            StoreReply::Page {
                items,
                more,
                revision,
            } => self.apply_page(items, more, revision),
            StoreReply::Events { events, revision } => {
                let mut changes = self.confirm(0);
                // The watch followed a stale listing that was given up, or the next listing has its changes.
                if self.listing.is_some() {
                    return changes;
                }
                changes.extend(self.apply_events(events, revision));
                changes
            }
            StoreReply::Compacted => {
                self.restart_listing();
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Merges a snapshot of another entry's mirror if it is newer, and returns the changes.
    ///
    /// A snapshot of only a part of the keys adds newer items of that part. It removes nothing, and does
    /// not count for the revision of the mirror: the changes of the other keys up to its revision are
    /// not known. Before the first listing it is ignored, so that no item is known without the others.
    ///
    /// **NOTE:** A snapshot of changes must have been requested with an `after_revision` no higher
    /// than this mirror's revision. This is not checked; the changes between the two revisions would
    /// be missing.
    pub fn merge(&mut self, snapshot: MirrorSnapshot) -> Vec<MirrorChange> {
        if self.is_partial(&snapshot) || snapshot.revision <= self.revision {
            return self.merge_part(snapshot.items);
        }
        let is_superseded = |listing: &mut Listing| {
            listing.is_complete && listing.lowest_revision.unwrap_or_default() <= snapshot.revision
        };
        self.listing.take_if(is_superseded);
        let settled = snapshot.settled.unwrap_or(u64::MAX);
        let Some(removed_keys) = snapshot.removals else {
            return self.replace_all(snapshot.items, snapshot.revision, settled);
        };
        for (from, to) in &snapshot.gaps {
            if *to > self.revision {
                self.add_gap(*from, *to);
            }
        }
        self.settled_revision = self.settled_revision.max(settled);
        // In a gap, what was written and is not in the snapshot has been removed.
        let listed: Set<Name> = match snapshot.gaps[..] {
            [] => Set::default(),
            _ => snapshot.items.iter().map(|item| item.key.clone()).collect(),
        };
        let written = snapshot.items.into_iter().map(StoreEvent::Written);
        let removed = removed_keys
            .into_iter()
            .map(|(key, revision)| StoreEvent::Removed(key, revision));
        let mut changes = self.apply_events(removed.chain(written), snapshot.revision);
        for (from, to) in snapshot.gaps {
            changes.extend(self.remove_written_between(from, to, &listed));
        }
        changes
    }

    /// Removes the items that were written between two revisions and are not listed, and returns the changes.
    fn remove_written_between(
        &mut self,
        from: u64,
        to: u64,
        listed: &Set<Name>,
    ) -> Vec<MirrorChange> {
        let is_gone = |item: &&StoreItem| {
            from < item.revision && item.revision < to && !listed.contains(&item.key)
        };
        let gone = self.items.values().filter(is_gone);
        let gone: Vec<Name> = gone.map(|item| item.key.clone()).collect();
        for key in &gone {
            self.latest_change_revision = self.latest_change_revision.max(to);
            self.remove_item(key, to);
        }
        gone.into_iter().map(MirrorChange::Removed).collect()
    }

    /// Adds the newer items of the part of the keys that entries of an earlier version mirror, and returns the
    /// changes. A mirror may hold items of that part which are newer than its revision.
    fn merge_part(&mut self, items: Vec<StoreItem>) -> Vec<MirrorChange> {
        let Some(part) = self.earlier_prefix.clone() else {
            return Vec::new();
        };
        let revision = self.revision;
        let is_newer = |item: &StoreItem| {
            revision > 0 && item.revision > revision && item.key.starts_with(&*part)
        };
        let newer = items.into_iter().filter(is_newer);
        newer.filter_map(|item| self.put_item(item)).collect()
    }

    /// Returns a snapshot of the changes after a revision, or of all items where the removals since
    /// then are no longer remembered or the revision is 0. Of a revision inside a gap, it holds the changes after the
    /// beginning of the gap.
    #[must_use]
    pub fn get_snapshot(&self, after_revision: u64) -> MirrorSnapshot {
        let gaps = self.gaps.iter().rev();
        let after_revision = gaps.fold(after_revision, |after, (from, to)| {
            if *from < after && after < *to {
                *from
            } else {
                after
            }
        });
        let is_known = after_revision >= self.forgotten_revision && after_revision > 0;
        let mut snapshot = self.build_snapshot(after_revision, is_known);
        if is_known {
            let gaps = self.gaps.iter().filter(|(_, to)| *to > after_revision);
            snapshot.gaps = gaps.copied().collect();
        }
        snapshot
    }

    /// Returns a snapshot as [`get_snapshot`](Self::get_snapshot) does, for an entry of an earlier version, which
    /// would take the removals for complete: all items, if there is a gap after the revision.
    #[must_use]
    pub fn get_snapshot_without_gaps(&self, after_revision: u64) -> MirrorSnapshot {
        let snapshot = self.get_snapshot(after_revision);
        if snapshot.gaps.is_empty() {
            return snapshot;
        }
        self.build_snapshot(0, false)
    }

    /// Builds a snapshot of all items, or of the changes after a revision if the removals since then are known.
    fn build_snapshot(&self, after_revision: u64, is_known: bool) -> MirrorSnapshot {
        let is_new = |item: &&StoreItem| !is_known || item.revision > after_revision;
        let removed = self
            .removals
            .iter()
            .filter(|(_, revision)| *revision > after_revision);
        MirrorSnapshot {
            revision: self.revision,
            items: self.items.values().filter(is_new).cloned().collect(),
            removals: is_known.then(|| removed.cloned().collect()),
            gaps: Vec::new(),
            settled: Some(self.settled_revision),
            prefix: self.earlier_prefix.as_ref().map(|_| self.prefix.clone()),
        }
    }

    /// Adds a page to the listing; after the last page, replaces the items and returns the changes.
    fn apply_page(
        &mut self,
        items: Vec<StoreItem>,
        more: bool,
        revision: u64,
    ) -> Vec<MirrorChange> {
        let mut listing = self.listing.take().unwrap_or_default();
        let lowest = listing.lowest_revision.unwrap_or(revision).min(revision);
        listing.lowest_revision = Some(lowest);
        listing.highest_revision = listing.highest_revision.max(revision);
        let last = items.last().map(|item| item.key.clone());
        listing.items.extend(items);
        match last {
            Some(last) if more => {
                listing.after = Some(last);
                self.listing = Some(listing);
                Vec::new()
            }
            _ if listing.is_stale && lowest >= self.revision => {
                listing.is_complete = true;
                self.listing = Some(listing);
                Vec::new()
            }
            _ => self.apply_listing(listing),
        }
    }

    /// Replaces all items by those of a complete listing and returns the changes, unless a newer snapshot
    /// of another entry was merged during the listing.
    fn apply_listing(&mut self, listing: Listing) -> Vec<MirrorChange> {
        let revision = listing.lowest_revision.unwrap_or_default();
        if revision < self.revision {
            return Vec::new();
        }
        self.replace_all(listing.items, revision, listing.highest_revision)
    }

    /// Applies changes that are newer than what is known, and returns them. The mirror is complete
    /// up to `revision` then.
    fn apply_events(
        &mut self,
        events: impl IntoIterator<Item = StoreEvent>,
        revision: u64,
    ) -> Vec<MirrorChange> {
        let mut changes = Vec::new();
        for event in events {
            match event {
                // The mirror was complete, so that the item has been removed since.
                StoreEvent::Written(item)
                    if item.revision <= self.revision && !self.items.contains_key(&item.key) => {}
                StoreEvent::Written(item) => changes.extend(self.put_item(item)),
                StoreEvent::Removed(key, removal_revision) => {
                    self.latest_change_revision = self.latest_change_revision.max(removal_revision);
                    if self.remove_item(&key, removal_revision) {
                        changes.push(MirrorChange::Removed(key));
                    }
                }
            }
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Replaces all items by a complete listing at a revision and returns the changes; items that
    /// are newer than the listing stay. The listing may lack items that were removed up to `settled`.
    fn replace_all(
        &mut self,
        items: Vec<StoreItem>,
        revision: u64,
        settled: u64,
    ) -> Vec<MirrorChange> {
        let listed: Set<Name> = items.iter().map(|item| item.key.clone()).collect();
        let removed_keys = self
            .items
            .values()
            .filter(|item| item.revision <= revision && !listed.contains(&item.key))
            .map(|item| item.key.clone());
        let removed_keys: Vec<Name> = removed_keys.collect();
        let mut changes = Vec::new();
        self.skip_to(revision);
        self.settled_revision = settled;
        if !removed_keys.is_empty() {
            self.latest_change_revision = self.latest_change_revision.max(revision);
        }
        for key in removed_keys {
            self.remove_item(&key, revision);
            changes.push(MirrorChange::Removed(key));
        }
        for item in items {
            changes.extend(self.put_item(item));
        }
        self.revision = self.revision.max(revision);
        changes
    }

    /// Remembers that the mirror goes on at a revision without having seen each change since its own. Which items
    /// have been removed since is known only if it had all of its own revision.
    fn skip_to(&mut self, revision: u64) {
        match self.revision {
            own if own >= revision => {}
            own if own > 0 && self.is_settled() => self.add_gap(own, revision),
            _ => self.forgotten_revision = self.forgotten_revision.max(revision),
        }
    }

    /// Remembers a pair of revisions between which removals are not known.
    fn add_gap(&mut self, from: u64, to: u64) {
        self.gaps.push_back((from, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, oldest_end)) = self.gaps.pop_front()
        {
            self.forgotten_revision = self.forgotten_revision.max(oldest_end);
        }
    }

    /// Removes an item unless it was written later, and remembers the removal at its revision, also if the
    /// key is not known: another mirror may have the item. Returns whether there was an item to remove.
    fn remove_item(&mut self, key: &Name, revision: u64) -> bool {
        let known_revision = self.items.get(key).map(|known| known.revision);
        let is_late = known_revision.is_some_and(|known| known >= revision)
            || self.find_removal(key).is_some_and(|last| last >= revision);
        if is_late || revision <= self.forgotten_revision {
            return !is_late && self.take_item(key);
        }
        self.removals.retain(|(removed, _)| removed != key);
        self.removals.push_back((key.clone(), revision));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, oldest_revision)) = self.removals.pop_front()
        {
            self.forgotten_revision = self.forgotten_revision.max(oldest_revision);
        }
        self.take_item(key)
    }

    /// Takes an item out of the map and the digest; returns whether there was one.
    fn take_item(&mut self, key: &Name) -> bool {
        let removed = self.items.remove(key);
        self.digest ^= removed.as_ref().map_or(0, hash_item);
        removed.is_some()
    }

    /// Returns the revision of the last removal of a key, if it is remembered.
    fn find_removal(&self, key: &Name) -> Option<u64> {
        let removal = self.removals.iter().find(|(removed, _)| removed == key);
        removal.map(|(_, revision)| *revision)
    }

    /// Adds or replaces an item; returns the change, `None` where the known item is as new or newer, or
    /// its key was removed later.
    fn put_item(&mut self, item: StoreItem) -> Option<MirrorChange> {
        let known_revision = match self.items.get(&item.key) {
            Some(known) => Some(known.revision),
            None => self.find_removal(&item.key),
        };
        if known_revision.is_some_and(|known| known >= item.revision) {
            return None;
        }
        self.latest_change_revision = self.latest_change_revision.max(item.revision);
        self.take_item(&item.key);
        self.digest ^= hash_item(&item);
        self.items.insert(item.key.clone(), item.clone());
        Some(MirrorChange::Put(item))
    }
}

/// Returns the hash of an item's key and revision.
fn hash_item(item: &StoreItem) -> u64 {
    xxh3_64_with_seed(item.key.as_bytes(), item.revision)
}
