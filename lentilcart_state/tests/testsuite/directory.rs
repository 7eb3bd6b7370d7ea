use lentilcart_state::{ServerDirectory, ServerRegistration};
use lentilcart_util::Micros;

fn registration(id: &str, started_ms: u64) -> ServerRegistration {
    ServerRegistration {
        id: id.into(),
        service: "shop".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_center: "z1".into(),
        slots: 3,
        leaving: false,
        warmup_remaining: Micros::ZERO,
        started_ms,
        sequence: None,
    }
}

fn write(sequence: u64, leaving: bool) -> ServerRegistration {
    ServerRegistration {
        leaving,
        sequence: Some(sequence),
        ..registration("i-1", 7)
    }
}

fn with_one_server() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    assert!(directory.record_registration(registration("i-1", 1)));
    directory
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn registration_unchanged_is_no_change() {
    let mut directory = with_one_server();
    assert!(!directory.record_registration(registration("i-1", 1)));
    assert!(directory.record_registration(registration("i-1", 2)));
}

#[test]
fn removal_without_outage_is_immediate() {
    let mut directory = with_one_server();
    assert!(directory.record_removal(&"i-1".into(), ms(5)));
    assert!(directory.is_empty());
}

#[test]
fn removal_in_outage_waits_for_grace_period() {
    let mut directory = with_one_server();
    directory.record_outage_start();
    assert!(!directory.record_removal(&"i-1".into(), ms(0)));
    directory.remove_lapsed(ms(60_000));
    assert_eq!(directory.len(), 1);
    directory.record_outage_end(ms(60_000));
    directory.remove_lapsed(ms(61_900));
    assert_eq!(directory.len(), 1);
    assert_eq!(directory.remove_lapsed(ms(62_200)), ["i-1".into()]);
    assert!(directory.is_empty());
}

#[test]
fn removal_after_outage_waits_for_grace_period() {
    let mut directory = with_one_server();
    directory.record_outage_start();
    directory.record_outage_end(ms(1000));
    assert!(!directory.record_removal(&"i-1".into(), ms(1500)));
    // The server registers again within the grace period.
    directory.record_registration(registration("i-1", 1));
    directory.remove_lapsed(ms(9000));
    assert_eq!(directory.len(), 1);
    assert!(directory.record_removal(&"i-1".into(), ms(9000)));
}

#[test]
fn removal_of_leaving_server_is_immediate() {
    let mut directory = with_one_server();
    let leaving = ServerRegistration {
        leaving: true,
        ..registration("i-1", 1)
    };
    directory.record_registration(leaving);
    directory.record_outage_start();
    assert!(directory.record_removal(&"i-1".into(), ms(0)));
}

#[test]
fn relayed_removal_in_outage_waits_one_grace_period() {
    let mut directory = with_one_server();
    directory.record_outage_start();
    assert!(!directory.record_relayed_removal(&"i-1".into(), ms(1000)));
    assert_eq!(directory.remove_lapsed(ms(3200)), ["i-1".into()]);
}

/// Guards against the end of an outage at this entry that prolongs the time for which a server stays after
/// another entry has reported its removal.
#[test]
fn relayed_removal_is_not_postponed_by_end_of_outage() {
    let mut directory = with_one_server();
    directory.record_outage_start();
    assert!(!directory.record_relayed_removal(&"i-1".into(), ms(1000)));
    directory.record_outage_end(ms(1500));
    assert_eq!(directory.remove_lapsed(ms(3200)), ["i-1".into()]);
}

/// Guards against servers that live and are dropped in a second outage of the store, in which they cannot
/// register again, since the first one had ended.
#[test]
fn removal_waits_for_grace_period_of_second_outage() {
    let mut directory = with_one_server();
    directory.record_registration(registration("i-2", 1));
    directory.record_outage_start();
    assert!(!directory.record_removal(&"i-1".into(), ms(500)));
    directory.record_outage_end(ms(1000));
    assert!(!directory.record_removal(&"i-2".into(), ms(1500)));
    directory.record_outage_start();
    assert!(directory.remove_lapsed(ms(60_000)).is_empty());
    directory.record_outage_end(ms(60_000));
    directory.record_outage_end(ms(61_000));
    assert!(directory.remove_lapsed(ms(61_900)).is_empty());
    let mut removed = directory.remove_lapsed(ms(62_200));
    removed.sort_unstable();
    assert_eq!(removed, ["i-1".into(), "i-2".into()]);
}

/// Guards against a second outage that prolongs the time for which a server stays after another entry has
/// reported its removal.
#[test]
fn relayed_removal_is_not_postponed_by_second_outage() {
    let mut directory = with_one_server();
    directory.record_outage_start();
    directory.record_outage_end(ms(1000));
    assert!(!directory.record_relayed_removal(&"i-1".into(), ms(1500)));
    directory.record_outage_start();
    assert!(directory.remove_lapsed(ms(3000)).is_empty());
    assert_eq!(directory.remove_lapsed(ms(3200)), ["i-1".into()]);
}

/// Guards against an instance that has said that it is leaving and gets requests again when its
/// registration is written once more, and against the next instance that gets none.
#[test]
fn leaving_instance_stays_so_until_next_instance() {
    let mut directory = with_one_server();
    assert!(directory.record_leaving(&"i-1".into()));
    assert!(!directory.record_leaving(&"i-1".into()));
    let is_leaving = |directory: &ServerDirectory| directory.get("i-1").unwrap().leaving;
    directory.record_registration(ServerRegistration {
        slots: 5,
        ..registration("i-1", 1)
    });
    assert!(is_leaving(&directory));
    directory.record_registration(registration("i-1", 2));
    assert!(!is_leaving(&directory));
    assert!(directory.record_leaving(&"i-1".into()));
    assert!(directory.record_removal(&"i-1".into(), ms(5)));
    directory.record_registration(registration("i-1", 2));
    assert!(!is_leaving(&directory));
    assert!(!directory.record_leaving(&"i-2".into()));
}

/// Guards against a leaving server that gets requests again by a write from before, which the store has
/// accepted late.
#[test]
fn late_write_does_not_undo_leaving() {
    let mut directory = ServerDirectory::default();
    directory.record_registration(write(5, true));
    assert!(!directory.record_registration(write(4, false)));
    assert!(directory.get("i-1").unwrap().leaving);
    // A later write counts, and so does the next instance, whose numbers start anew.
    assert!(directory.record_registration(write(6, false)));
    let next = ServerRegistration {
        started_ms: 8,
        ..write(1, true)
    };
    assert!(directory.record_registration(next));
}

/// Guards against a server that is used again after it is gone, by a write from before its removal, and
/// against memory that is kept for each server that was ever removed.
#[test]
fn late_write_does_not_undo_removal() {
    let mut directory = ServerDirectory::default();
    directory.record_registration(write(5, false));
    assert!(directory.record_removal(&"i-1".into(), ms(0)));
    assert!(!directory.record_registration(write(4, false)));
    assert!(directory.is_empty());
    // Without numbers nothing is known of the order.
    assert!(directory.record_registration(registration("i-1", 7)));
    assert!(directory.record_removal(&"i-1".into(), ms(10)));
    assert!(directory.record_registration(write(5, false)));
    assert!(directory.record_removal(&"i-1".into(), ms(20)));
    directory.remove_lapsed(ms(29_000));
    assert!(!directory.record_registration(write(4, false)));
    directory.remove_lapsed(ms(31_000));
    assert!(directory.record_registration(write(4, false)));
    assert!(directory.record_removal(&"i-1".into(), ms(40_000)));
    for number in 0..600 {
        let id = format!("i-{}", number + 2);
        directory.record_registration(registration(&id, 1));
        directory.record_removal(&id.as_str().into(), ms(40_001));
    }
    assert!(directory.record_registration(write(3, false)));
}

/// Guards against a server that is taken out of use after an outage though its entry is back: a late write
/// shows that it is, but not what it holds.
#[test]
fn late_write_ends_lapse_only() {
    let mut directory = ServerDirectory::default();
    directory.record_registration(write(5, false));
    directory.record_outage_start();
    assert!(!directory.record_removal(&"i-1".into(), ms(0)));
    let older = ServerRegistration {
        slots: 9,
        ..write(4, false)
    };
    assert!(directory.record_registration(older));
    directory.record_outage_end(ms(100));
    assert!(directory.remove_lapsed(ms(9000)).is_empty());
    assert_eq!(directory.get("i-1").unwrap().slots, 3);
}
