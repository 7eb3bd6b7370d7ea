use lentilcart_state::{EvacuationChange, EvacuationSource, EvacuationTable};
use lentilcart_util::{Micros, Name};

const STORE: EvacuationSource = EvacuationSource::Store;
const PEER: EvacuationSource = EvacuationSource::Peer;

fn evacuated(names: &[(&str, u64)]) -> Vec<(Name, u64)> {
    let names = names.iter();
    names
        .map(|(name, revision)| (Name::from(*name), *revision))
        .collect()
}

/// Returns the names of the data centres whose evacuation has begun, and of those where it has ended.
fn name_changes(changes: &[EvacuationChange]) -> (Vec<&str>, Vec<&str>) {
    let (mut begun, mut ended) = (Vec::new(), Vec::new());
    for change in changes {
        match change {
            EvacuationChange::Begun(evacuation) => begun.push(&*evacuation.data_center),
            EvacuationChange::Ended(evacuation) => ended.push(&*evacuation.data_center),
        }
    }
    (begun, ended)
}

/// Guards against an evacuation that is not reported once as begun and once as ended, and against one whose source
/// and time change while it is in force.
#[test]
fn replace_reports_changes() {
    let mut table = EvacuationTable::default();
    let changes = table.replace(Micros(10), STORE, 5, evacuated(&[("z1", 5)]));
    assert_eq!(name_changes(&changes), (vec!["z1"], vec![]));
    let changes = table.replace(Micros(20), PEER, 7, evacuated(&[("z1", 7), ("z2", 6)]));
    assert_eq!(name_changes(&changes), (vec!["z2"], vec![]));
    let first = table.find("z1").unwrap();
    assert_eq!((first.source, first.learned), (STORE, Micros(10)));
    let changes = table.replace(Micros(30), STORE, 8, evacuated(&[("z2", 6)]));
    assert_eq!(name_changes(&changes), (vec![], vec!["z1"]));
    assert_eq!((table.len(), table.get_revision()), (1, 8));
    assert!(table.find("z1").is_none());
}

/// Guards against a state that comes late and brings an evacuation back, or ends a newer one.
#[test]
fn replace_ignores_older_revision() {
    let mut table = EvacuationTable::default();
    table.replace(Micros(10), STORE, 9, evacuated(&[("z1", 9)]));
    assert!(
        table
            .replace(Micros(20), PEER, 8, evacuated(&[("z2", 3)]))
            .is_empty()
    );
    assert!(table.find("z1").is_some() && table.find("z2").is_none());
}

/// Guards against an entry that takes an evacuation of some data centres, or one without any known server, for one
/// of all.
#[test]
fn covers_all_data_centers_only() {
    let mut table = EvacuationTable::default();
    let known = ["z1", "z2"].map(Name::from);
    assert!(!table.covers(&known));
    table.replace(
        Micros(10),
        STORE,
        5,
        evacuated(&[("z1", 4), ("unknown", 5)]),
    );
    assert!(!table.covers(&known));
    assert!(!table.covers([]));
    table.replace(Micros(20), STORE, 6, evacuated(&[("z1", 4), ("z2", 6)]));
    assert!(table.covers(&known));
}
