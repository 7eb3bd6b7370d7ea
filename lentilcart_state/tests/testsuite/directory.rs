use lentilcart_state::{ServerDirectory, ServerRegistration};
use lentilcart_util::Micros;

fn instance(id: &str, started_ms: u64) -> ServerRegistration {
    ServerRegistration {
        id: id.into(),
        service: "shop".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_center: "z1".into(),
        slots: 3,
        leaving: false,
        warmup_remaining: Micros::ZERO,
        started_ms,
    }
}

fn with_one() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    assert!(directory.record_registration(instance("i-1", 1)));
    directory
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn put_same_changes_nothing() {
    let mut directory = with_one();
    assert!(!directory.record_registration(instance("i-1", 1)));
    assert!(directory.record_registration(instance("i-1", 2)));
}

#[test]
fn remove_drops_at_once() {
    let mut directory = with_one();
    assert!(directory.record_removal(&"i-1".into(), ms(5)));
    assert!(directory.is_empty());
}

#[test]
fn remove_in_an_outage_waits_for_the_return() {
    let mut directory = with_one();
    directory.record_store_loss();
    assert!(!directory.record_removal(&"i-1".into(), ms(0)));
    directory.remove_lapsed(ms(60_000));
    assert_eq!(directory.len(), 1);
    directory.record_store_return(ms(60_000));
    directory.remove_lapsed(ms(61_900));
    assert_eq!(directory.len(), 1);
    assert!(directory.remove_lapsed(ms(62_200)));
    assert!(directory.is_empty());
}

#[test]
fn remove_just_after_an_outage_waits_too() {
    let mut directory = with_one();
    directory.record_store_loss();
    directory.record_store_return(ms(1000));
    assert!(!directory.record_removal(&"i-1".into(), ms(1500)));
    // It registers again within the grace.
    directory.record_registration(instance("i-1", 1));
    directory.remove_lapsed(ms(9000));
    assert_eq!(directory.len(), 1);
    assert!(directory.record_removal(&"i-1".into(), ms(9000)));
}

#[test]
fn remove_of_a_leaving_server_never_waits() {
    let mut directory = with_one();
    let leaving = ServerRegistration {
        leaving: true,
        ..instance("i-1", 1)
    };
    directory.record_registration(leaving);
    directory.record_store_loss();
    assert!(directory.record_removal(&"i-1".into(), ms(0)));
}

#[test]
fn remove_relayed_in_an_outage_waits_a_bounded_time() {
    let mut directory = with_one();
    directory.record_store_loss();
    assert!(!directory.record_relayed_removal(&"i-1".into(), ms(1000)));
    assert!(directory.remove_lapsed(ms(3200)));
}
