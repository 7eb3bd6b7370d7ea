//! Which entry owns a service, by what the entries can bear and whether they keep up.

use lentilcart_state::{
    DEFAULT_WEIGHT, LagGauge, Member, MemberTable, get_weight, rendezvous_rank, weighted_rank,
};
use lentilcart_util::{Map, Micros, Name, Set};
use proptest::prelude::*;

const HEARTBEAT_TIMEOUT: Micros = Micros::from_millis(1800);
const SERVICES: [&str; 4] = ["lookups", "orders", "uploads", "maps"];
/// Entries and data centres of deployment N.
const ENTRIES: usize = 210;
const DATA_CENTERS: usize = 4;

fn name(number: usize) -> Name {
    format!("e{number}").into()
}

fn data_center(number: usize) -> Name {
    format!("d{}", number % DATA_CENTERS).into()
}

/// Returns the table of an entry that has listed `count` entries and heard none.
fn create_table(own: usize, count: usize) -> MemberTable {
    let peer_address = ([127, 0, 0, 1], 1).into();
    let own_member = Member {
        data_center: data_center(own),
        peer_address,
        last_heartbeat: None,
        leaving: false,
        applied_number: 0,
        weight: DEFAULT_WEIGHT,
        overloaded: false,
    };
    let mut members = MemberTable::new(name(own), own_member, HEARTBEAT_TIMEOUT);
    for number in (0..count).filter(|number| *number != own) {
        members.upsert(&name(number), &data_center(number), peer_address, false);
    }
    members
}

fn hear(members: &mut MemberTable, numbers: impl Iterator<Item = usize>, now: Micros) {
    for number in numbers {
        members.record_heartbeat(&name(number), now, 1, false);
    }
}

fn get_owner(members: &MemberTable, key: &str, include_unheard: bool, now: Micros) -> Name {
    let candidates = members.get_candidates(&"d0".into(), include_unheard, now);
    members.rank(key, candidates.into_iter(), 1)[0].clone()
}

/// Guards against owners that change with the build where no entry names a share of a core.
#[test]
fn weighted_rank_of_equal_weights_is_that_without_weights() {
    let names: Vec<Name> = (0..50).map(name).collect();
    for key in (0..2000).map(|key| key.to_string()) {
        for weight in [1, 20, DEFAULT_WEIGHT] {
            let weighted = names.iter().map(|name| (name, weight));
            assert_eq!(
                weighted_rank(&key, weighted, 50),
                rendezvous_rank(&key, names.iter(), 50)
            );
        }
    }
}

/// Guards against entries that disagree since they know the others in another order.
#[test]
fn weighted_rank_does_not_depend_on_order() {
    let names: Vec<(Name, u32)> = (0..52)
        .map(|number| (name(number), 5 + number as u32 * 9))
        .collect();
    let rank = |key: &str, names: &[(Name, u32)]| -> Vec<Name> {
        let members = names.iter().map(|(name, weight)| (name, *weight));
        weighted_rank(key, members, 52)
            .into_iter()
            .cloned()
            .collect()
    };
    let reversed: Vec<_> = names.iter().rev().cloned().collect();
    for key in SERVICES {
        assert_eq!(rank(key, &names), rank(key, &reversed));
    }
}

/// Guards against a service of 440 requests a second that is owned by an entry with 0.07 of a core: of 52
/// entries with 0.07 to 0.5 of a core, those below 0.1 own few services.
#[test]
fn weighted_rank_gives_keys_in_proportion_to_spare_capacity() {
    let shares = [0.07, 0.1, 0.25, 0.5];
    let weights: Map<Name, u32> = (0..52)
        .map(|number| (name(number), get_weight(Some(shares[number % 4]))))
        .collect();
    let mut found: Map<u32, f64> = Map::default();
    for key in (0..20_000).map(|key| key.to_string()) {
        let members = weights.iter().map(|(name, weight)| (name, *weight));
        let owner = weighted_rank(&key, members, 1)[0];
        *found.entry(weights[owner]).or_default() += 1.0 / 20_000.0;
    }
    let total: f64 = weights.values().map(|weight| f64::from(*weight)).sum();
    for (weight, share) in found {
        let expected = 13.0 * f64::from(weight) / total;
        assert!(
            (share - expected).abs() < 0.015,
            "{weight}: {share} instead of {expected}"
        );
    }
}

/// Guards against services that move between two others when an entry gets another weight or comes in a
/// burst.
#[test]
fn weighted_rank_moves_only_keys_from_or_to_changed_entry() {
    let names: Vec<Name> = (0..30).map(name).collect();
    let rank = |key: &str, weight: u32, count: usize| {
        let members = names[..count].iter().map(|name| {
            let weight = if **name == *"e7" { weight } else { 100 };
            (name, weight)
        });
        weighted_rank(key, members, 1)[0].clone()
    };
    for key in (0..3000).map(|key| key.to_string()) {
        let (before, after) = (rank(&key, 100, 20), rank(&key, 400, 20));
        assert!(before == after || *after == *"e7");
        let grown = rank(&key, 100, 30);
        assert!(before == grown || names[20..].contains(&grown));
    }
}

/// Guards against a small entry without any weight, and against one that counts for more than its thread.
#[test]
fn get_weight_of_small_large_and_unknown_shares() {
    assert!(get_weight(Some(0.01)) > 0);
    assert!(get_weight(Some(0.07)) * 20 < get_weight(Some(0.5)));
    assert!(get_weight(Some(8.0)) <= DEFAULT_WEIGHT);
    assert_eq!(get_weight(None), DEFAULT_WEIGHT);
}

proptest! {
    /// Guards against many owners of one service after a start of all entries within a second, in which each
    /// has heard some others only: those of a data centre choose the same one, by the list.
    #[test]
    fn entries_that_start_together_choose_same_owners(
        heard in proptest::collection::vec(0.0..1.0_f64, ENTRIES),
    ) {
        let now = Micros::from_millis(500);
        let mut owners: Map<&str, Set<Name>> = Map::default();
        for own in (0..ENTRIES).step_by(DATA_CENTERS) {
            let mut members = create_table(own, ENTRIES);
            let is_heard = |other: &usize| other % 7 < (heard[own] * 8.0) as usize;
            hear(&mut members, (0..ENTRIES).filter(is_heard), now);
            for service in SERVICES {
                let owner = get_owner(&members, service, true, now);
                owners.entry(service).or_default().insert(owner);
            }
        }
        prop_assert!(owners.values().all(|owners| owners.len() == 1), "{owners:?}");
    }

    /// Guards against an entry that falls behind now and then and whose services move with it each time.
    #[test]
    fn lag_gauge_changes_seldom(lags in proptest::collection::vec(0_u64..400, 1000)) {
        let (mut gauge, mut changes) = (LagGauge::default(), 0);
        let mut now = Micros::ZERO;
        for lag in lags {
            now += Micros::from_millis(60 + lag);
            changes += u32::from(gauge.record(now, Micros::from_millis(lag)));
        }
        prop_assert!(f64::from(changes) <= 2.0 + 2.0 * now.as_secs() / 3.0, "{changes} in {now:?}");
    }
}

/// Guards against requests that wait for an owner whose host runs it 7 ms in each 100 ms: it is passed over,
/// and its services return only once it has kept up for a time.
#[test]
fn slow_owner_is_passed_over() {
    let mut members = create_table(0, ENTRIES);
    let now = Micros::from_millis(10_000);
    hear(&mut members, 1..ENTRIES, now);
    let owner = get_owner(&members, "lookups", false, now);
    let mut gauge = LagGauge::default();
    assert!(!gauge.record(now, Micros::from_millis(90)));
    assert!(gauge.record(now, Micros::from_millis(90)));
    members.set_overloaded(&owner, gauge.is_overloaded());
    assert_ne!(get_owner(&members, "lookups", false, now), owner);
    // Where all fall behind, moves would only spread that.
    for number in 0..ENTRIES {
        members.set_overloaded(&name(number), true);
    }
    assert_eq!(get_owner(&members, "lookups", false, now), owner);
}

/// Guards against an owner that is paused and resumed and at once gets back what it has no knowledge of.
#[test]
fn paused_owner_is_passed_over_for_a_while_after_it_resumes() {
    let mut gauge = LagGauge::default();
    let resumed = Micros::from_millis(20_000);
    assert!(gauge.record(resumed, Micros::from_millis(4000)));
    let mut now = resumed;
    while !gauge.record(now, Micros::from_millis(2)) {
        now += Micros::from_millis(60);
    }
    assert!(!gauge.is_overloaded());
    assert!(now - resumed >= Micros::from_millis(2500));
}

/// Guards against services of live owners that move when half of the entries are killed at once, and against
/// killed ones that stay owners.
#[test]
fn owners_after_half_of_entries_are_killed() {
    let mut members = create_table(0, ENTRIES);
    let killed_at = Micros::from_millis(10_000);
    hear(&mut members, 1..ENTRIES, killed_at);
    let keys: Vec<String> = (0..200).map(|key| key.to_string()).collect();
    let get_owners = |members: &MemberTable, now| -> Vec<Name> {
        let owners = keys.iter().map(|key| get_owner(members, key, false, now));
        owners.collect()
    };
    let before = get_owners(&members, killed_at);
    let later = killed_at + HEARTBEAT_TIMEOUT + Micros(1);
    // Of each data centre, every second entry lives.
    let is_live = |number: usize| (number / DATA_CENTERS).is_multiple_of(2);
    hear(
        &mut members,
        (1..ENTRIES).filter(|number| is_live(*number)),
        later,
    );
    let live: Set<Name> = (0..ENTRIES)
        .filter(|number| is_live(*number))
        .map(name)
        .collect();
    for (before, after) in before.iter().zip(get_owners(&members, later)) {
        assert!(live.contains(&after));
        assert!(after == *before || !live.contains(before));
    }
}

/// Guards against entries whose names make them owners before they run: one that is listed and was not heard
/// is a candidate only for entries that have just started.
#[test]
fn unheard_entry_is_no_candidate_later() {
    let members = create_table(0, 9);
    let candidates = |include_unheard| {
        let now = Micros::from_millis(2000);
        members
            .get_candidates(&"d0".into(), include_unheard, now)
            .len()
    };
    assert_eq!((candidates(true), candidates(false)), (3, 1));
    assert_eq!(members.get_count(&"d0".into()), 3);
}
