use lentilcart_state::{
    Mirror, MirrorChange, MirrorSnapshot, StoreCall, StoreEvent, StoreItem, StoreReply,
};
use lentilcart_util::{Map, Micros, Name};
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
}
