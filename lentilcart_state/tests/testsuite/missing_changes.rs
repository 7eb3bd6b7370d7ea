use lentilcart_state::MissingChanges;
use lentilcart_util::Micros;

const fn at(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn get_time_counts_from_first_report() {
    let mut missing = MissingChanges::default();
    assert_eq!(missing.get_time(at(5), 3), Micros::ZERO);
    missing.record(at(10), 3, 7);
    missing.record(at(300), 3, 8);
    assert_eq!(missing.get_time(at(1010), 3), at(1000));
    assert_eq!(missing.record_caught_up(at(1010), 8), at(1000));
    assert_eq!(missing.get_time(at(1020), 8), Micros::ZERO);
}

/// Guards against an entry that reads the store each second while it fetches every change of a stream, as when many
/// servers join.
#[test]
fn get_time_stays_short_in_stream_of_changes() {
    let mut missing = MissingChanges::default();
    for step in 0..100 {
        // The change before has come, and the next one is there.
        let now = at(step * 100);
        missing.record(now, step, step + 1);
        assert!(missing.get_time(now, step) <= at(100));
    }
}

/// Guards against an entry that never takes itself for behind, since it gets single changes of a stream.
#[test]
fn get_time_grows_without_the_oldest_change() {
    let mut missing = MissingChanges::default();
    for step in 0..20 {
        missing.record(at(step * 100), 5, 10 + step);
    }
    assert_eq!(missing.get_time(at(1900), 9), at(1900));
    assert_eq!(missing.get_latest(), 29);
}
