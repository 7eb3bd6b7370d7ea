use std::net::SocketAddr;

use lentilcart_state::{FetchOutcome, FetchPlan, FetchSource, FetchStep};
use lentilcart_util::{Micros, Set};
use proptest::prelude::*;

/// Revision of the mirror that is behind, and of the change that its peers have.
const OWN: u64 = 5;
const LATEST: u64 = 9;

fn source(number: usize, is_local: bool) -> FetchSource {
    FetchSource {
        name: format!("e{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], number as u16)),
        is_local,
        weight: 100,
        latest: LATEST,
    }
}

fn create_plan(key: &str, local: usize, remote: usize) -> FetchPlan {
    let mut plan = FetchPlan::new(key.into());
    let sources = (0..local + remote).map(|number| source(number, number < local));
    let begins: Vec<bool> = sources.map(|source| plan.record_source(source)).collect();
    assert_eq!(begins.iter().filter(|begins| **begins).count(), 1);
    plan
}

fn fetch(plan: &mut FetchPlan, now: u64, may_ask_remote: bool) -> Option<FetchSource> {
    match plan.next(Micros::from_millis(now), OWN, may_ask_remote) {
        FetchStep::Fetch(source) => Some(source),
        FetchStep::Wait | FetchStep::Done => None,
    }
}

/// Guards against one entry that serves all others: it was the first whose heartbeat they heard.
#[test]
fn next_spreads_entries_over_peers() {
    let chosen: Set<_> = (0..50)
        .filter_map(|entry| fetch(&mut create_plan(&format!("f{entry}"), 10, 0), 0, false))
        .map(|source| source.name)
        .collect();
    assert!(chosen.len() >= 8, "{chosen:?}");
}

/// Guards against a wait for a peer that does not answer while others would.
#[test]
fn next_joins_fetch_without_result() {
    let mut plan = create_plan("f", 6, 0);
    let times = [0, 100, 250, 400, 500, 750, 1000];
    let started: Vec<bool> = times
        .iter()
        .map(|now| fetch(&mut plan, *now, false).is_some())
        .collect();
    // No more than four at a time.
    assert_eq!(started, [true, false, true, false, true, true, false]);
}

/// Guards against waits of each entry for a peer that has refused it.
#[test]
fn next_passes_over_busy_peer() {
    let mut plan = create_plan("f", 2, 0);
    let first = fetch(&mut plan, 0, false).unwrap();
    plan.record_end(&first.name, FetchOutcome::Busy, Micros::from_millis(1));
    let second = fetch(&mut plan, 1, false).unwrap();
    assert_ne!(first.name, second.name);
    plan.record_end(&second.name, FetchOutcome::Failed, Micros::from_millis(2));
    assert_eq!(fetch(&mut plan, 100, false), None);
    assert_eq!(fetch(&mut plan, 200, false), Some(first));
}

/// Guards against bytes between data centres that another entry of this one has fetched already.
#[test]
fn next_asks_remote_peers_last() {
    let mut plan = create_plan("f", 1, 1);
    let local = fetch(&mut plan, 0, true).unwrap();
    assert!(local.is_local);
    plan.record_end(&local.name, FetchOutcome::Busy, Micros::ZERO);
    assert_eq!(fetch(&mut plan, 0, false), None);
    assert!(!fetch(&mut plan, 0, true).unwrap().is_local);
}

/// Guards against fetches that go on once the mirror is up to date, and against later changes that start none.
#[test]
fn next_is_done_without_later_changes() {
    let mut plan = create_plan("f", 2, 0);
    fetch(&mut plan, 0, false).unwrap();
    assert_eq!(plan.next(Micros::ZERO, LATEST, false), FetchStep::Done);
    assert!(plan.record_source(FetchSource {
        latest: LATEST + 1,
        ..source(0, true)
    }));
    let step = plan.next(Micros::ZERO, LATEST, false);
    assert!(matches!(step, FetchStep::Fetch(_)));
}

proptest! {
    /// Whatever peers answer, are busy or fail, an entry asks each that has the change within the time that four
    /// fetches at a time need if all the others are silent, and never one that it is asking already.
    #[test]
    fn next_reaches_any_peer(local in 1_usize..12, remote in 0_usize..4, good in 0_usize..16) {
        let good = good % (local + remote);
        let mut plan = create_plan("f", local, remote);
        let mut pending: Vec<(u64, FetchSource)> = Vec::new();
        let bound = 1000 * (local + remote).div_ceil(4) as u64 + 750;
        let mut found = false;
        for now in (0..=bound).step_by(50) {
            let ended = pending.extract_if(.., |(started, _)| now >= *started + 1000);
            for (_, source) in ended.collect::<Vec<_>>() {
                plan.record_end(&source.name, FetchOutcome::Failed, Micros::from_millis(now));
            }
            if let Some(source) = fetch(&mut plan, now, true) {
                prop_assert!(pending.iter().all(|(_, asked)| asked.name != source.name));
                found |= *source.name == *format!("e{good}");
                pending.push((now, source));
            }
        }
        prop_assert!(found, "e{good} of {local} and {remote} was not asked in {bound} ms");
    }
}
