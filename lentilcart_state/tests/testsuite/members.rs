use lentilcart_state::{AnnouncementBudget, DEFAULT_WEIGHT, Member, MemberTable, rendezvous_rank};
use lentilcart_util::{Micros, Name};

const HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(250);

fn names(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("e{number}").into())
        .collect()
}

fn create_table(count: usize) -> MemberTable {
    let peer_address = ([127, 0, 0, 1], 1).into();
    let own = Member {
        data_center: "a".into(),
        peer_address,
        last_heartbeat: None,
        leaving: false,
        applied_number: 0,
        weight: DEFAULT_WEIGHT,
        overloaded: false,
    };
    let mut members = MemberTable::new("e0".into(), own, HEARTBEAT_TIMEOUT);
    for name in &names(count)[1..] {
        members.upsert(name, &"a".into(), peer_address, false);
        members.record_heartbeat(name, Micros::ZERO, 1, false);
    }
    members
}

#[test]
fn rendezvous_rank_moves_only_keys_of_removed_entry() {
    let before = names(20);
    let after: Vec<Name> = before
        .iter()
        .filter(|name| &***name != "e7")
        .cloned()
        .collect();
    let moved = (0..1000).filter(|key| {
        let key = key.to_string();
        rendezvous_rank(&key, before.iter(), 1) != rendezvous_rank(&key, after.iter(), 1)
    });
    let moved: Vec<usize> = moved.collect();
    let was_owned =
        |key: &&usize| *rendezvous_rank(&key.to_string(), before.iter(), 1)[0] == Name::from("e7");
    assert!(
        moved.iter().all(|key| was_owned(&key)),
        "only keys of the removed entry may move"
    );
}

#[test]
fn get_serving_until_heartbeat_timeout() {
    let members = create_table(3);
    assert_eq!(members.get_serving(HEARTBEAT_TIMEOUT).len(), 3);
    assert_eq!(
        members.get_serving(HEARTBEAT_TIMEOUT + Micros(1)),
        [&Name::from("e0")]
    );
}

#[test]
fn get_owners_without_leaving() {
    let mut members = create_table(5);
    let first = members.get_owners("catalogue", 1, Micros::ZERO).remove(0);
    members.record_heartbeat(&first, Micros::ZERO, 1, true);
    assert!(
        !members
            .get_owners("catalogue", 5, Micros::ZERO)
            .contains(&first)
    );
}

#[test]
fn remove_unlisted_keeps_live_entry() {
    let mut members = create_table(3);
    members.remove_unlisted(&"e1".into(), Micros::ZERO);
    assert!(
        members.get("e1").is_some(),
        "the host list is updated later than the heartbeat"
    );
    members.remove_unlisted(&"e1".into(), HEARTBEAT_TIMEOUT + Micros(1));
    assert!(members.get("e1").is_none());
}

/// Guards against probes of the servers of another data centre by every data centre that hears no heartbeat
/// from there: of hundreds of entries, only the few that watch the store send heartbeats to all.
///
/// Load pattern: 125 entries in six data centres, of which three entries are heard everywhere.
#[test]
fn get_responsible_of_silent_data_center() {
    let mut members = create_table(3);
    for number in 0..100 {
        let (name, data_center) = (format!("r{number}"), format!("d{}", number % 5));
        let peer_address = ([127, 0, 0, 1], 1).into();
        members.upsert(&name.into(), &data_center.into(), peer_address, false);
    }
    members.record_heartbeat(&"r3".into(), Micros::ZERO, 1, false);
    let own = members.get_own_name().clone();
    for data_center in ["d0", "d1", "d2", "d3", "d4"] {
        let responsible = members.get_responsible(&data_center.into(), Micros::ZERO);
        assert_eq!(responsible.len(), 20);
        assert!(!responsible.contains(&&own));
    }
}

#[test]
fn get_responsible_of_own_data_center() {
    let members = create_table(3);
    assert_eq!(members.get_responsible(&"a".into(), Micros::ZERO).len(), 3);
    let later = HEARTBEAT_TIMEOUT + HEARTBEAT_TIMEOUT;
    let responsible = members.get_responsible(&"a".into(), later);
    assert_eq!(responsible, [members.get_own_name()]);
}

#[test]
fn get_responsible_of_data_center_without_entries() {
    let mut members = create_table(3);
    let peer_address = ([127, 0, 0, 1], 1).into();
    members.upsert(&"r0".into(), &"b".into(), peer_address, false);
    assert_eq!(members.get_responsible(&"b".into(), Micros::ZERO).len(), 1);
    members.remove_unlisted(&"r0".into(), Micros::ZERO);
    assert_eq!(members.get_responsible(&"b".into(), Micros::ZERO).len(), 3);
}

/// Guards against a watcher whose small link is full of what it announces to all others with each change of a server.
#[test]
fn may_announce_within_share_of_link() {
    const LINK: f64 = 1.25e6;
    const BYTES: usize = 63_000;
    let mut budget = AnnouncementBudget::new(LINK, Micros::ZERO);
    // Six changes a second, for ten seconds; every tenth one is urgent.
    let (mut announced, mut urgent) = (0, 0);
    for change in 0..60 {
        let is_urgent = change % 10 == 9;
        if budget.may_announce(Micros::from_millis(change * 167), is_urgent) {
            budget.record(BYTES);
            announced += 1;
            urgent += usize::from(is_urgent);
        }
    }
    assert_eq!(urgent, 6);
    let share = (announced * BYTES) as f64 / (10.0 * LINK);
    assert!((0.05..0.12).contains(&share), "{share}");
}

/// Guards against duties for all entries that fall to one of the smallest links and cores.
#[test]
fn rank_strongest_by_weight() {
    let mut table = create_table(20);
    let strong = names(3);
    for name in &names(20)[3..] {
        table.set_weight(name, 20);
    }
    let all = names(20);
    let ranked = table.rank_strongest("watch", all.iter());
    let first: Vec<&Name> = rendezvous_rank("watch", strong.iter(), 3);
    assert_eq!(ranked[..3], first[..]);
    let rest: Vec<&Name> = rendezvous_rank("watch", all[3..].iter(), 20);
    assert_eq!(ranked[3..], rest[..]);
}
