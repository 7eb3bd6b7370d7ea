//! Which entry paces the requests to cold servers.

use lentilcart_state::{Member, MemberTable, PacerLease};
use lentilcart_util::{Micros, Name, Set};

const TTL: Micros = Micros::from_millis(9000);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Returns the table of an entry that knows these entries with their data centres, from registrations only.
fn table(own: &str, entries: &[(&str, &str)]) -> MemberTable {
    let peer_address = ([127, 0, 0, 1], 1).into();
    let home = entries.iter().find(|(name, _)| *name == own).unwrap().1;
    let member = Member {
        data_center: home.into(),
        peer_address,
        last_heartbeat: None,
        leaving: false,
        applied_number: 0,
        weight: lentilcart_state::DEFAULT_WEIGHT,
        overloaded: false,
    };
    let mut members = MemberTable::new(own.into(), member, ms(700));
    for (name, data_center) in entries {
        members.upsert(&(*name).into(), &(*data_center).into(), peer_address, false);
    }
    members
}

const ENTRIES: [(&str, &str); 5] = [
    ("e0", "a"),
    ("e1", "a"),
    ("e2", "a"),
    ("e3", "b"),
    ("e4", "b"),
];

/// Guards against entries that disagree on who paces, and against one that paces servers of another data centre
/// that has entries.
#[test]
fn get_pacer_is_one_entry_of_data_center() {
    for data_center in ["a", "b"].map(Name::from) {
        let pacers = ENTRIES.map(|(own, _)| {
            let members = table(own, &ENTRIES);
            members.get_pacer("shop", &data_center).unwrap().clone()
        });
        let pacers: Set<Name> = pacers.into_iter().collect();
        assert_eq!(pacers.len(), 1);
        let pacer = pacers.iter().next().unwrap();
        assert!(ENTRIES.contains(&(&**pacer, &*data_center)));
    }
}

/// Guards against cold servers that get no requests as long as their data centre has no entry, and against
/// several data centres that pace them.
#[test]
fn get_pacer_of_data_center_without_entries_is_one_entry() {
    let data_center = Name::from("c");
    let paced = ENTRIES.iter().filter(|(own, _)| {
        let cold = std::iter::once(data_center.clone()).collect();
        let members = table(own, &ENTRIES);
        members.get_paced_data_centers("shop", cold) == [data_center.clone()]
    });
    assert_eq!(paced.count(), 1);
}

/// Guards against a leaving entry that stays the one that paces.
#[test]
fn get_pacer_skips_leaving_entry() {
    let mut members = table("e0", &ENTRIES);
    let pacer = members.get_pacer("shop", &"b".into()).unwrap().clone();
    members.record_heartbeat(&pacer, ms(0), 1, true);
    let next = members.get_pacer("shop", &"b".into()).unwrap();
    assert!(*next != pacer && ["e3", "e4"].contains(&&**next));
}

/// Guards against an entry that paces with a lease that may have expired, after the store has not answered or the
/// process has been suspended.
#[test]
fn term_ends_before_lease() {
    let mut lease = PacerLease::default();
    assert_eq!(lease.get_term_end(ms(5000), TTL, 10), None);
    lease.record_written(ms(100), ms(50), 7);
    lease.record_renewed(ms(3000));
    let end = lease.get_term_end(ms(5000), TTL, 10).unwrap();
    assert!(end < ms(3000) + TTL.scaled(0.8));
    assert_eq!(lease.get_term_end(end, TTL, 10), None);
    // A reply that comes late extends the lease from when its call was sent.
    lease.record_renewed(ms(2000));
    assert_eq!(lease.get_term_end(ms(5000), TTL, 10), Some(end));
    lease.record_lost();
    assert_eq!(lease.get_term_end(ms(5000), TTL, 10), None);
}

/// Guards against an entry that paces before the one that has paced can know of it, or before it knows who else is
/// registered.
#[test]
fn term_begins_when_entries_know_of_it() {
    let mut lease = PacerLease::default();
    lease.record_written(ms(100), ms(50), 7);
    assert_eq!(lease.get_term_end(ms(2599), TTL, 7), None);
    assert!(lease.get_term_end(ms(2600), TTL, 7).is_some());
    assert_eq!(lease.get_term_end(ms(2600), TTL, 6), None);
}
