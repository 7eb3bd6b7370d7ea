//! Mirrors of entries of an earlier version, which have only the routes of the operator's keys, beside mirrors
//! that have all of them.

use lentilcart_state::{
    Mirror, MirrorChange, MirrorSnapshot, StoreCall, StoreEvent, StoreItem, StoreReply,
};
use lentilcart_util::{Map, Micros, Name};
use proptest::prelude::*;

const ROUTES: &str = "op/config";
const EVACUATION: &str = "op/evacuate/z1";

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem {
        key: key.into(),
        value: revision.to_string().into_bytes(),
        revision,
    }
}

fn page(items: Vec<StoreItem>, revision: u64) -> StoreReply {
    StoreReply::Page {
        items,
        more: false,
        revision,
    }
}

fn written(item: StoreItem, revision: u64) -> StoreReply {
    StoreReply::Events {
        events: vec![StoreEvent::Written(item)],
        revision,
    }
}

/// Creates the mirror of an entry of the earlier version.
fn create_earlier() -> Mirror {
    Mirror::new(ROUTES.into())
}

fn create_mirror() -> Mirror {
    Mirror::new("op/".into()).with_earlier_prefix(ROUTES.into())
}

/// Creates a mirror that has listed the routes of revision 2 and an evacuation of revision 5.
fn create_evacuated() -> Mirror {
    let mut mirror = create_mirror();
    mirror.record_reply(page(vec![item(ROUTES, 2), item(EVACUATION, 5)], 5));
    mirror
}

fn has(mirror: &Mirror, key: &str, revision: u64) -> bool {
    let mut items = mirror.iter_prefix(key);
    items.any(|item| &*item.key == key && item.revision == revision)
}

/// Guards against an evacuation that ends when the whole mirror of an entry of the earlier version is fetched.
#[test]
fn merge_whole_earlier_mirror_keeps_evacuation() {
    let mut earlier = create_earlier();
    earlier.record_reply(page(vec![item(ROUTES, 8)], 9));
    let mut mirror = create_evacuated();
    let snapshot = earlier.get_snapshot(0);
    assert!(mirror.is_partial(&snapshot));
    assert_eq!(mirror.merge(snapshot), [MirrorChange::Put(item(ROUTES, 8))]);
    assert!(has(&mirror, EVACUATION, 5));
}

/// Guards against an entry that misses an evacuation, since it takes its mirror to be complete up to the
/// revision of one that does not have the evacuation.
#[test]
fn merge_changes_of_earlier_mirror_does_not_skip_evacuation() {
    let mut earlier = create_earlier();
    earlier.record_reply(page(vec![item(ROUTES, 2)], 5));
    earlier.record_reply(written(item(ROUTES, 9), 9));
    let mut mirror = create_mirror();
    mirror.record_reply(page(vec![item(ROUTES, 2)], 5));
    mirror.merge(earlier.get_snapshot(5));
    assert!(has(&mirror, ROUTES, 9));
    let StoreCall::Watch { after, .. } = mirror.next_call(Micros::ZERO) else {
        panic!("the list is complete");
    };
    assert_eq!(after, 5);
    mirror.record_reply(written(item(EVACUATION, 7), 9));
    assert!(has(&mirror, EVACUATION, 7));
}

/// Guards against an evacuation that ends because an entry of the earlier version got it from a newer one,
/// listed the routes anew, and passes on that the evacuation is gone.
#[test]
fn merge_ignores_removal_by_listing_of_earlier_entry() {
    let mut mirror = create_evacuated();
    let mut earlier = create_earlier();
    earlier.record_reply(page(vec![item(ROUTES, 2)], 3));
    earlier.merge(mirror.get_snapshot(3));
    earlier.restart_listing();
    let changes = earlier.record_reply(page(vec![item(ROUTES, 2)], 8));
    assert_eq!(changes, [MirrorChange::Removed(EVACUATION.into())]);
    earlier.record_reply(written(item(ROUTES, 9), 9));
    // The changes as the earlier version sends them, which has no field for the prefix.
    let changes = earlier.get_snapshot(8);
    let removal = vec![(EVACUATION.into(), 8)];
    for removals in [changes.removals.clone(), Some(removal)] {
        mirror.merge(MirrorSnapshot {
            removals,
            ..changes.clone()
        });
        assert!(has(&mirror, EVACUATION, 5));
    }
    assert!(has(&mirror, ROUTES, 9));
}

/// Guards against an entry of the earlier version that loses the routes to a newer mirror, whole or as changes.
#[test]
fn merge_into_earlier_mirror_keeps_routes() {
    for after in [0, 3] {
        let mut earlier = create_earlier();
        earlier.record_reply(page(vec![item(ROUTES, 2)], 3));
        earlier.merge(create_evacuated().get_snapshot(after));
        assert!(has(&earlier, ROUTES, 2));
        assert_eq!(earlier.get_revision(), 5);
    }
}

/// Guards against routes that come into force at a start without the evacuations, from an entry of the earlier
/// version that does not know them.
#[test]
fn merge_before_first_listing_ignores_earlier_mirror() {
    let mut earlier = create_earlier();
    earlier.record_reply(page(vec![item(ROUTES, 2)], 9));
    let mut mirror = create_mirror();
    assert!(mirror.merge(earlier.get_snapshot(0)).is_empty());
    assert_eq!(mirror.get_revision(), 0);
    // From an entry of this version, both come together.
    let changes = mirror.merge(create_evacuated().get_snapshot(0));
    assert_eq!(changes.len(), 2);
}

/// Guards against an evacuation that stays in force where the removal comes from another entry, as changes or
/// as a whole mirror.
#[test]
fn merge_removes_evacuation() {
    for after in [0, 5] {
        let mut mirror = create_evacuated();
        let mut peer = create_evacuated();
        peer.record_reply(StoreReply::Events {
            events: vec![StoreEvent::Removed(EVACUATION.into(), 6)],
            revision: 6,
        });
        let changes = mirror.merge(peer.get_snapshot(after));
        assert_eq!(changes, [MirrorChange::Removed(EVACUATION.into())]);
    }
}

proptest! {
    /// Guards against any order of exchanges between two entries of this version and two of the earlier one in
    /// which an entry holds other evacuations than the store had at the revision of its mirror, routes older than
    /// that, or an earlier entry loses the routes.
    #[test]
    fn mixed_mirrors_agree_with_store(
        steps in proptest::collection::vec((0_u8..10, any::<u8>(), any::<u8>()), 1..150),
    ) {
        let keys = [ROUTES, EVACUATION, "op/evacuate/z2", "op/other"];
        // Events of the store; the index is the revision less 1.
        let mut events = vec![StoreEvent::Written(item(ROUTES, 1))];
        let mut mirrors = [create_mirror(), create_mirror(), create_earlier(), create_earlier()];
        let replay = |events: &[StoreEvent], revision: u64| {
            let mut items: Map<Name, StoreItem> = Map::default();
            for event in &events[..revision as usize] {
                match event {
                    StoreEvent::Written(item) => drop(items.insert(item.key.clone(), item.clone())),
                    StoreEvent::Removed(key, _) => drop(items.remove(key)),
                }
            }
            items
        };
        for (kind, a, b) in steps {
            let (to, from) = (usize::from(a) % 4, usize::from(b) % 4);
            let prefix = if to < 2 { "op/" } else { ROUTES };
            let revision = events.len() as u64;
            match kind {
                0..4 => {
                    let key = keys[usize::from(a) % keys.len()];
                    events.push(if b % 2 == 0 || key == ROUTES {
                        StoreEvent::Written(item(key, revision + 1))
                    } else {
                        StoreEvent::Removed(key.into(), revision + 1)
                    });
                }
                4 => {
                    mirrors[to].restart_listing();
                    let mut items: Vec<_> = replay(&events, revision).into_values().collect();
                    items.retain(|item| item.key.starts_with(prefix));
                    mirrors[to].record_reply(page(items, revision));
                }
                5 if mirrors[to].get_revision() > 0 && mirrors[to].is_watching() => {
                    let after = mirrors[to].get_revision() as usize;
                    let is_due = |event: &&StoreEvent| match event {
                        StoreEvent::Written(item) => item.key.starts_with(prefix),
                        StoreEvent::Removed(key, _) => key.starts_with(prefix),
                    };
                    let events = events[after..].iter().filter(is_due).cloned().collect();
                    mirrors[to].record_reply(StoreReply::Events { events, revision });
                }
                _ => {
                    let after = if kind < 8 { mirrors[to].get_revision() } else { 0 };
                    let snapshot = mirrors[from].get_snapshot(after);
                    mirrors[to].merge(snapshot);
                }
            }
            for (index, mirror) in mirrors.iter().enumerate() {
                let expected = replay(&events, mirror.get_revision());
                if mirror.get_revision() > 0 {
                    let routes = mirror.iter_prefix(ROUTES).next().map_or(0, |item| item.revision);
                    prop_assert!(routes >= expected[ROUTES].revision, "mirror {index}");
                }
                if index < 2 {
                    let mut held: Vec<_> = mirror.iter_prefix("op/evacuate/").cloned().collect();
                    held.sort_by(|a, b| a.key.cmp(&b.key));
                    let mut wanted: Vec<_> = expected.into_values().collect();
                    wanted.retain(|item| item.key.starts_with("op/evacuate/"));
                    wanted.sort_by(|a, b| a.key.cmp(&b.key));
                    prop_assert_eq!(held, wanted, "mirror {}", index);
                }
            }
        }
    }
}
