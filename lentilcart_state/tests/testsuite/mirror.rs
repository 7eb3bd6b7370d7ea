use lentilcart_state::{
    Mirror, MirrorChange, MirrorSnapshot, Place, StoreCall, StoreEvent, StoreItem, StoreReply,
};
use lentilcart_util::{Map, Micros, Name, Set};
use proptest::prelude::*;

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: revision.to_string().into_bytes(),
        revision,
    }
}

fn page(keys: &[(&str, u64)], more: bool, revision: u64) -> StoreReply {
    StoreReply::Page {
        items: keys.iter().map(|(key, at)| item(key, *at)).collect(),
        more,
        revision,
    }
}

fn create_listed(keys: &[(&str, u64)], revision: u64) -> Mirror {
    let mut mirror = Mirror::new("s/".into());
    mirror.record_reply(page(keys, false, revision));
    mirror
}

fn keys(mirror: &Mirror) -> Vec<(String, u64)> {
    let items = mirror.get_snapshot(0).items.into_iter();
    let mut keys: Vec<_> = items
        .map(|item| (item.key.to_string(), item.revision))
        .collect();
    keys.sort();
    keys
}

fn key(name: &str, revision: u64) -> (String, u64) {
    (name.to_owned(), revision)
}

#[test]
fn watch_starts_at_revision_of_first_page() {
    let mut mirror = Mirror::new("s/".into());
    assert!(mirror.record_reply(page(&[("s/a", 1)], true, 5)).is_empty());
    let StoreCall::List { after, .. } = mirror.next_call(Micros::ZERO) else {
        panic!("the list is not complete");
    };
    assert_eq!(after.as_deref(), Some("s/a"));
    assert_eq!(mirror.record_reply(page(&[("s/b", 6)], false, 7)).len(), 2);
    // Changes to the first page since it was read are reported by the watch.
    let StoreCall::Watch { after, .. } = mirror.next_call(Micros::ZERO) else {
        panic!("the list is complete");
    };
    assert_eq!(after, 5);
}

fn create_stale(keys: &[(&str, u64)], revision: u64) -> Mirror {
    let mut mirror = Mirror::with_stale_start("s/".into());
    let call = mirror.next_call(Micros::ZERO);
    assert!(matches!(call, StoreCall::List { stale: true, .. }));
    let changes = mirror.record_reply(page(keys, false, revision));
    assert!(changes.is_empty() && mirror.is_unconfirmed());
    mirror
}

/// Guards against servers in force that had left seconds before, by a list that is older than the start.
#[test]
fn stale_listing_counts_once_it_is_shown_to_be_new() {
    let mut mirror = create_stale(&[("s/a", 3)], 5);
    assert!(mirror.confirm(6).is_empty());
    assert_eq!(mirror.get_revision(), 0);
    assert_eq!(mirror.confirm(5).len(), 1);
    assert_eq!((mirror.get_revision(), mirror.is_watching()), (5, true));
}

/// Guards against a stale list whose later changes are lost: the watch that follows brings them all.
#[test]
fn stale_listing_is_brought_up_to_date_by_watch() {
    let mut mirror = create_stale(&[("s/a", 3), ("s/b", 4)], 5);
    let StoreCall::Watch { after, .. } = mirror.next_call(Micros::ZERO) else {
        panic!("the listing is complete");
    };
    assert_eq!(after, 5);
    let events = vec![StoreEvent::Removed("s/a".into(), 7)];
    let revision = 8;
    let changes = mirror.record_reply(StoreReply::Events { events, revision });
    assert_eq!(keys(&mirror), [key("s/b", 4)]);
    assert_eq!(changes.last(), Some(&MirrorChange::Removed("s/a".into())));
}

/// Guards against a stale list that undoes what another entry's mirror has brought meanwhile.
#[test]
fn stale_listing_does_not_undo_newer_snapshot() {
    let ahead = create_listed(&[("s/b", 6)], 7);
    let mut mirror = create_stale(&[("s/a", 3)], 5);
    mirror.merge(ahead.get_snapshot(0));
    assert!(!mirror.is_unconfirmed());
    assert!(mirror.confirm(0).is_empty());
    assert_eq!(keys(&mirror), [key("s/b", 6)]);
    // Likewise where the snapshot comes between two pages.
    let mut mirror = Mirror::with_stale_start("s/".into());
    mirror.record_reply(page(&[("s/a", 3)], true, 5));
    mirror.merge(ahead.get_snapshot(0));
    mirror.record_reply(page(&[], false, 4));
    assert_eq!(keys(&mirror), [key("s/b", 6)]);
}

/// Guards against a mirror that begins with the revision of a newer page than one that it has read.
#[test]
fn stale_listing_counts_with_its_oldest_page() {
    let mut mirror = Mirror::with_stale_start("s/".into());
    mirror.record_reply(page(&[("s/a", 3)], true, 9));
    mirror.record_reply(page(&[("s/b", 2)], false, 4));
    mirror.confirm(0);
    assert_eq!(mirror.get_revision(), 4);
}

/// Guards against a start that repeats a stale list whose history the store has discarded.
#[test]
fn compacted_stale_listing_is_followed_by_current_one() {
    let mut mirror = create_stale(&[("s/a", 3)], 5);
    mirror.record_reply(StoreReply::Compacted);
    let call = mirror.next_call(Micros::ZERO);
    assert!(matches!(call, StoreCall::List { stale: false, .. }));
}

/// Guards against a removal that a mirror misses for good since the other one listed after it.
#[test]
fn compare_shows_missed_removal() {
    let mut behind = create_listed(&[("s/a", 3), ("s/b", 4)], 5);
    let ahead = create_listed(&[("s/b", 4)], 8);
    assert!(ahead.get_latest_change_revision() <= behind.get_revision());
    assert!(!behind.compare(ahead.get_revision(), ahead.get_digest()));
    behind.merge(ahead.get_snapshot(behind.get_revision()));
    assert_eq!(keys(&behind), keys(&ahead));
    assert_eq!(behind.get_digest(), ahead.get_digest());
}

/// Guards against whole mirrors that are fetched though nothing has changed under their prefix.
#[test]
fn compare_advances_equal_mirror() {
    let mut behind = create_listed(&[("s/a", 3)], 5);
    let ahead = create_listed(&[("s/a", 3)], 8);
    assert!(behind.compare(ahead.get_revision(), ahead.get_digest()));
    assert_eq!(behind.get_revision(), 8);
    // An older state of the other one shows nothing.
    assert!(behind.compare(6, 0));
}

#[test]
fn older_write_does_not_replace_newer() {
    let mut mirror = create_listed(&[("s/a", 3)], 5);
    let events = vec![
        StoreEvent::Written(item("s/b", 6)),
        StoreEvent::Removed("s/a".into(), 7),
        // Older than the write that is known already.
        StoreEvent::Written(item("s/b", 4)),
    ];
    let changes = mirror.record_reply(StoreReply::Events {
        events,
        revision: 7,
    });
    assert_eq!(changes.len(), 2);
    assert_eq!(keys(&mirror), [key("s/b", 6)]);
}

#[test]
fn compacted_restarts_listing() {
    let mut mirror = create_listed(&[("s/a", 3), ("s/b", 4)], 5);
    mirror.record_reply(StoreReply::Compacted);
    assert!(!mirror.is_watching());
    let changes = mirror.record_reply(page(&[("s/b", 4)], false, 9));
    assert_eq!(changes, [MirrorChange::Removed("s/a".into())]);
}

#[test]
fn merge_ignores_older_snapshot() {
    let mut mirror = create_listed(&[("s/a", 8)], 9);
    let older = MirrorSnapshot {
        revision: 8,
        items: vec![item("s/b", 2)],
        removals: None,
        gaps: Vec::new(),
        settled: None,
        prefix: None,
    };
    assert!(mirror.merge(older).is_empty());
    assert_eq!(keys(&mirror), [key("s/a", 8)]);
}

#[test]
fn listing_older_than_merge_is_ignored() {
    let mut mirror = create_listed(&[("s/a", 1)], 1);
    mirror.restart_listing();
    mirror.merge(MirrorSnapshot {
        revision: 9,
        items: vec![item("s/b", 9)],
        removals: None,
        gaps: Vec::new(),
        settled: None,
        prefix: None,
    });
    assert!(
        mirror
            .record_reply(page(&[("s/a", 1)], false, 5))
            .is_empty()
    );
    assert_eq!(keys(&mirror), [key("s/b", 9)]);
}

#[test]
fn merge_applies_changes_only() {
    let mut ahead = create_listed(&[("s/a", 1), ("s/b", 2)], 5);
    let mut behind = create_listed(&[("s/a", 1), ("s/b", 2)], 5);
    ahead.record_reply(StoreReply::Events {
        events: vec![
            StoreEvent::Removed("s/a".into(), 6),
            StoreEvent::Written(item("s/c", 7)),
        ],
        revision: 7,
    });
    let snapshot = ahead.get_snapshot(behind.get_revision());
    assert_eq!(snapshot.items, [item("s/c", 7)]);
    behind.merge(snapshot);
    assert_eq!(keys(&behind), keys(&ahead));
    assert!(behind.get_revision() >= ahead.get_latest_change_revision());
}

#[test]
fn snapshot_complete_where_removals_are_forgotten() {
    let mirror = create_listed(&[("s/a", 1)], 5);
    assert_eq!(mirror.get_snapshot(4).removals, None);
    assert!(mirror.get_snapshot(5).removals.is_some());
}

/// Guards against whole mirrors that all others fetch at once from a watcher that has listed anew, since the store had
/// dropped its history.
#[test]
fn snapshot_after_relisting_holds_changes_only() {
    let mut behind = create_listed(&[("s/a", 3), ("s/b", 4)], 5);
    let mut ahead = create_listed(&[("s/a", 3), ("s/b", 4)], 5);
    ahead.record_reply(StoreReply::Compacted);
    ahead.record_reply(page(&[("s/b", 4), ("s/c", 7)], false, 9));
    let snapshot = ahead.get_snapshot(behind.get_revision());
    assert_eq!(snapshot.items, [item("s/c", 7)]);
    assert_eq!(snapshot.removals, Some(vec![("s/a".into(), 9)]));
    behind.merge(snapshot);
    assert_eq!(keys(&behind), keys(&ahead));
    assert_eq!(behind.get_revision(), 9);
}

/// Guards against a removed item that another mirror keeps for good: it was written and removed while this one did
/// not watch, and the other one has seen the write only.
#[test]
fn snapshot_between_listings_removes_what_is_gone() {
    let mut ahead = create_listed(&[("s/a", 3)], 5);
    ahead.restart_listing();
    ahead.record_reply(page(&[("s/a", 3)], false, 9));
    let mut next = create_listed(&[("s/a", 3)], 5);
    next.merge(ahead.get_snapshot(5));
    for mirror in [&ahead, &next] {
        let mut behind = create_listed(&[("s/a", 3), ("s/x", 7)], 7);
        behind.merge(mirror.get_snapshot(7));
        assert_eq!(keys(&behind), [key("s/a", 3)]);
    }
}

/// Guards against a removed item that a mirror keeps for good: it listed the item while changes that lack its removal
/// were on their way.
#[test]
fn merge_removes_item_written_in_gap() {
    let mut ahead = create_listed(&[("s/a", 3)], 5);
    ahead.restart_listing();
    ahead.record_reply(page(&[("s/a", 3)], false, 9));
    let mut behind = create_listed(&[("s/a", 3)], 5);
    let changes = ahead.get_snapshot(behind.get_revision());
    behind.restart_listing();
    behind.record_reply(page(&[("s/a", 3), ("s/x", 7)], false, 7));
    let changes = behind.merge(changes);
    assert_eq!(changes, [MirrorChange::Removed("s/x".into())]);
    assert_eq!(behind.get_revision(), 9);
    assert_eq!(keys(&behind), [key("s/a", 3)]);
}

/// Guards against an entry of an earlier version that hands on changes with removals missing: it does not know of
/// revisions between which they are not known.
#[test]
fn snapshot_without_gaps_holds_all_items() {
    let mut mirror = create_listed(&[("s/a", 3)], 5);
    assert!(mirror.get_snapshot_without_gaps(5).removals.is_some());
    mirror.restart_listing();
    mirror.record_reply(page(&[("s/a", 3)], false, 9));
    assert_eq!(mirror.get_snapshot(5).gaps, [(5, 9)]);
    assert_eq!(mirror.get_snapshot_without_gaps(5).removals, None);
    assert!(mirror.get_snapshot_without_gaps(9).removals.is_some());
}

/// Guards against a key that comes back for good after its removal: another entry's mirror brings the removal
/// while the reply to a watch, which has an older write, is on its way.
#[test]
fn late_write_does_not_undo_removal() {
    let mut mirror = create_listed(&[("s/a", 3)], 5);
    mirror.merge(MirrorSnapshot {
        revision: 9,
        items: Vec::new(),
        removals: Some(vec![("s/a".into(), 8)]),
        gaps: Vec::new(),
        settled: None,
        prefix: None,
    });
    let late = StoreReply::Events {
        events: vec![StoreEvent::Written(item("s/a", 6))],
        revision: 7,
    };
    assert!(mirror.record_reply(late).is_empty());
    assert!(keys(&mirror).is_empty());
    // A write after the removal adds the key again.
    let changes = mirror.record_reply(StoreReply::Events {
        events: vec![StoreEvent::Written(item("s/a", 10))],
        revision: 10,
    });
    assert_eq!(changes.len(), 1);
}

/// Guards against the same after more removals than a mirror remembers, and against memory that grows with
/// each removal.
#[test]
fn late_write_does_not_undo_forgotten_removal() {
    let mut mirror = create_listed(&[("s/a", 3)], 5);
    let removals = (6..2006).map(|revision| {
        let key = if revision == 6 {
            "s/a".into()
        } else {
            format!("s/{revision}").into()
        };
        StoreEvent::Removed(key, revision)
    });
    mirror.record_reply(StoreReply::Events {
        events: removals.collect(),
        revision: 2005,
    });
    assert_eq!(mirror.get_snapshot(5).removals, None);
    let remembered = mirror.get_snapshot(1700).removals.unwrap();
    assert_eq!(remembered.len(), 305);
    let late = StoreReply::Events {
        events: vec![StoreEvent::Written(item("s/a", 5))],
        revision: 5,
    };
    assert!(mirror.record_reply(late).is_empty());
    assert!(keys(&mirror).is_empty());
}

/// Guards against a removal that other entries do not hear of, since this one had not known the key: it had
/// listed the keys in several pages, of which the later ones were read after the removal.
#[test]
fn removal_of_unknown_key_reaches_other_mirror() {
    let mut behind = create_listed(&[("s/a", 3)], 5);
    let mut ahead = create_listed(&[], 5);
    ahead.record_reply(StoreReply::Events {
        events: vec![StoreEvent::Removed("s/a".into(), 6)],
        revision: 6,
    });
    let changes = behind.merge(ahead.get_snapshot(behind.get_revision()));
    assert_eq!(changes, [MirrorChange::Removed("s/a".into())]);
}

/// Guards against a removal that only a listing shows, and that other entries do not hear of: they fetch
/// changes from this one when its latest change is newer than their mirror.
#[test]
fn removal_found_by_listing_is_announced() {
    let mut mirror = create_listed(&[("s/a", 3), ("s/b", 4)], 5);
    mirror.record_reply(StoreReply::Compacted);
    mirror.record_reply(page(&[("s/b", 4)], false, 9));
    assert_eq!(mirror.get_latest_change_revision(), 9);
    // A listing without changes is none.
    mirror.restart_listing();
    mirror.record_reply(page(&[("s/b", 4)], false, 12));
    assert_eq!(mirror.get_latest_change_revision(), 9);
}

/// Number of keys in the model of the store.
const KEYS: u8 = 5;
/// Number of keys on a page of the model of the store.
const PAGE_KEYS: usize = 2;

/// A store with its whole history, which is replayed to find its content at any revision.
#[derive(Default)]
struct ModelStore {
    /// The event of each revision from 1.
    events: Vec<StoreEvent>,
}

impl ModelStore {
    fn get_revision(&self) -> u64 {
        self.events.len() as u64
    }

    fn change(&mut self, number: u8, is_put: bool) {
        let revision = self.get_revision() + 1;
        let key = Name::from(format!("s/{}", number % KEYS));
        self.events.push(if is_put {
            StoreEvent::Written(item(&key, revision))
        } else {
            StoreEvent::Removed(key, revision)
        });
    }

    /// Returns the last event of a key up to a revision, with its revision.
    fn find_last(&self, key: &str, revision: u64) -> Option<(u64, &StoreEvent)> {
        let events = self.events.iter().zip(1..=revision);
        let of_key = events.filter(|(event, _)| match event {
            StoreEvent::Written(item) => *item.key == *key,
            StoreEvent::Removed(removed, _) => **removed == *key,
        });
        of_key.last().map(|(event, at)| (at, event))
    }

    /// Returns the items at the current revision, by key.
    fn get_items(&self) -> Vec<StoreItem> {
        self.get_items_at(self.get_revision())
    }

    /// Returns the items at a revision, by key.
    fn get_items_at(&self, revision: u64) -> Vec<StoreItem> {
        let names = (0..KEYS).map(|number| format!("s/{number}"));
        let last = names.filter_map(|key| self.find_last(&key, revision));
        last.filter_map(|(_, event)| match event {
            StoreEvent::Written(item) => Some(item.clone()),
            StoreEvent::Removed(..) => None,
        })
        .collect()
    }

    /// Returns the reply to a call of now.
    fn reply(&self, call: &StoreCall) -> StoreReply {
        let revision = self.get_revision();
        match call {
            StoreCall::List { after, stale, .. } => {
                // Pages of a stale listing may be of different age, in any order.
                let age = if *stale { revision / 2 % 4 } else { 0 };
                let revision = (revision - age.min(revision - 1)).max(1);
                let mut items = self.get_items_at(revision);
                items.retain(|item| after.as_ref().is_none_or(|after| item.key > *after));
                let more = items.len() > PAGE_KEYS;
                items.truncate(PAGE_KEYS);
                StoreReply::Page {
                    items,
                    more,
                    revision,
                }
            }
            StoreCall::Watch { after, .. } => StoreReply::Events {
                events: self.events[*after as usize..].to_vec(),
                revision,
            },
            _ => panic!("a mirror makes no other calls"),
        }
    }
}

/// Checks a mirror against the replay: nothing in it has been replaced or removed up to its revision, and
/// nothing is missing that has not been removed later.
fn check_replay(store: &ModelStore, mirror: &Mirror) -> Result<(), TestCaseError> {
    let revision = mirror.get_revision();
    let held = keys(mirror);
    for (key, at) in &held {
        let last = store.find_last(key, revision.max(*at));
        let is_current = matches!(last, Some((last, StoreEvent::Written(_))) if last == *at);
        prop_assert!(is_current, "{key} of {at} is held at {revision}");
    }
    for number in 0..KEYS {
        let key = format!("s/{number}");
        let is_held = held.iter().any(|(held, _)| *held == key);
        let last = store.find_last(&key, revision);
        let now = store.find_last(&key, store.get_revision());
        let is_removed_later = now.map(|(at, _)| at) > last.map(|(at, _)| at);
        let is_missing = matches!(last, Some((_, StoreEvent::Written(_)))) && !is_held;
        prop_assert!(
            !is_missing || is_removed_later,
            "{key} is missing at {revision}"
        );
    }
    Ok(())
}

/// What is on its way to a mirror.
#[derive(Clone)]
enum Delivery {
    Reply(StoreReply),
    Snapshot(MirrorSnapshot),
}

fn deliver(mirror: &mut Mirror, delivery: Delivery) {
    match delivery {
        Delivery::Reply(reply) => drop(mirror.record_reply(reply)),
        Delivery::Snapshot(snapshot) => drop(mirror.merge(snapshot)),
    }
}

/// Fetches a snapshot, as an entry does whose peer announces a later change.
fn fetch_if_announced(mirrors: &mut [Mirror], to: usize, from: usize) {
    if mirrors[from].get_latest_change_revision() > mirrors[to].get_revision() {
        let snapshot = mirrors[from].get_snapshot(mirrors[to].get_revision());
        mirrors[to].merge(snapshot);
    }
}

proptest! {
    /// A mirror updated by a watch and one that merges snapshots of the first after any subset of
    /// the changes end with the same items, and no item of the second returns to an older revision.
    #[test]
    fn mirrors_converge(
        writes in proptest::collection::vec((0_u8..6, any::<bool>()), 1..80),
        merges in proptest::collection::vec(any::<bool>(), 80),
    ) {
        let mut store: Map<Name, StoreItem> = Map::default();
        let (mut ahead, mut behind) = (create_listed(&[], 1), create_listed(&[], 1));
        let mut latest: Map<Name, u64> = Map::default();
        for (index, (number, is_put)) in writes.iter().enumerate() {
            let revision = index as u64 + 2;
            let key = Name::from(format!("s/{number}"));
            let event = if *is_put {
                store.insert(key.clone(), item(&key, revision));
                StoreEvent::Written(item(&key, revision))
            } else {
                store.remove(&key);
                StoreEvent::Removed(key, revision)
            };
            ahead.record_reply(StoreReply::Events { events: vec![event], revision });
            if merges[index] {
                behind.merge(ahead.get_snapshot(behind.get_revision()));
            }
            for item in behind.get_snapshot(0).items {
                let before = latest.insert(item.key, item.revision).unwrap_or(0);
                prop_assert!(item.revision >= before);
            }
        }
        behind.merge(ahead.get_snapshot(behind.get_revision()));
        let mut expected: Vec<_> = store.values().map(|i| (i.key.to_string(), i.revision)).collect();
        expected.sort();
        prop_assert_eq!(keys(&behind), expected.clone());
        prop_assert_eq!(keys(&ahead), expected);
    }

    /// Mirrors agree with a replay of the store's history whatever the order in which changes reach them,
    /// from the store and from each other, and whichever are lost or come twice. Once one of them has read
    /// all changes, those that it announces bring the others to the same content. Only an item that this
    /// one has never held may stay after its removal.
    #[test]
    fn mirrors_agree_with_replay(
        steps in proptest::collection::vec((0_u8..12, any::<u8>(), any::<u8>()), 1..120),
    ) {
        let mut store = ModelStore::default();
        store.change(0, true);
        let mut mirrors: Vec<Mirror> = (0..3).map(|_| Mirror::with_stale_start("s/".into())).collect();
        let mut pending: Vec<(usize, Delivery)> = Vec::new();
        let mut held: Set<(String, u64)> = Set::default();
        for (kind, a, b) in steps {
            let (to, from) = (usize::from(a) % 3, usize::from(b) % 3);
            let index = usize::from(b) % pending.len().max(1);
            match kind {
                0..4 => store.change(a, b % 2 == 0),
                // A call to the store whose reply comes at once, later, or not at all.
                4..6 => {
                    let call = mirrors[to].next_call(Micros::ZERO);
                    let reply = store.reply(&call);
                    // Only the replies to watches can come after those to later calls.
                    if b % 2 == 0 && matches!(call, StoreCall::Watch { .. }) {
                        pending.push((to, Delivery::Reply(reply)));
                    } else {
                        mirrors[to].record_reply(reply);
                    }
                }
                6 => drop(mirrors[to].record_reply(StoreReply::Compacted)),
                7..9 => {
                    let snapshot = mirrors[from].get_snapshot(mirrors[to].get_revision());
                    pending.push((to, Delivery::Snapshot(snapshot)));
                }
                // What is on its way arrives, and may arrive again, or is lost.
                9..11 if !pending.is_empty() => {
                    let (to, delivery) = pending[index].clone();
                    deliver(&mut mirrors[to], delivery);
                    if a % 4 > 0 {
                        pending.swap_remove(index);
                    }
                }
                11 if !pending.is_empty() => drop(pending.swap_remove(index)),
                _ => {}
            }
            for mirror in &mirrors {
                check_replay(&store, mirror)?;
            }
            held.extend(keys(&mirrors[0]));
        }
        // A listing or two, and a watch.
        while !mirrors[0].is_watching() || mirrors[0].get_revision() < store.get_revision() {
            let call = mirrors[0].next_call(Micros::ZERO);
            mirrors[0].record_reply(store.reply(&call));
        }
        for to in 1..3 {
            fetch_if_announced(&mut mirrors, to, 0);
        }
        let items = store.get_items();
        let expected: Vec<_> = items.iter().map(|i| key(&i.key, i.revision)).collect();
        prop_assert_eq!(keys(&mirrors[0]), expected.clone());
        for mirror in mirrors.iter().filter(|mirror| mirror.get_revision() > 0) {
            let mut keys = keys(mirror);
            keys.retain(|item| expected.contains(item) || held.contains(item));
            prop_assert_eq!(keys, expected.clone());
        }
    }
}

/// Guards against an order by the revision alone: places are compared by their era first, and in era 0 a place is the
/// revision itself, as builds without eras have it.
#[test]
fn place_orders_by_era_first() {
    let number = |era, revision| Place { era, revision }.to_number();
    assert_eq!(number(0, 62), 62);
    assert!(number(1, 62) > number(0, 100));
    assert!(number(2, 1) > number(1, u64::MAX));
    let place = Place::from_number(number(5, 77));
    assert_eq!((place.era, place.revision), (5, 77));
}

/// Guards against a mirror that passes over a store which has come back older, and against a late reply of the era before
/// that undoes the new one.
#[test]
fn record_reply_takes_listing_of_new_era() {
    let number = |era, revision| Place { era, revision }.to_number();
    let mut mirror = create_listed(&[("s/a", 90), ("s/b", 95)], 100);
    mirror.record_reply(StoreReply::Compacted);
    let listed = page(&[("s/a", number(1, 61))], false, number(1, 62));
    let changes = mirror.record_reply(listed);
    assert_eq!(changes.len(), 2, "{changes:?}");
    assert_eq!(keys(&mirror), [key("s/a", number(1, 61))]);
    // A peer that has not heard of the era, and a listing that was asked for before it.
    let earlier = create_listed(&[("s/a", 90), ("s/b", 95)], 104);
    assert!(mirror.merge(earlier.get_snapshot(0)).is_empty());
    mirror.restart_listing();
    assert!(
        mirror
            .record_reply(page(&[("s/b", 95)], false, 104))
            .is_empty()
    );
    assert_eq!(keys(&mirror), [key("s/a", number(1, 61))]);
    // An entry of the era before gets what it lacks, and loses what is gone.
    let mut behind = create_listed(&[("s/a", 90), ("s/b", 95)], 100);
    behind.merge(mirror.get_snapshot(behind.get_revision()));
    assert_eq!(keys(&behind), [key("s/a", number(1, 61))]);
}
