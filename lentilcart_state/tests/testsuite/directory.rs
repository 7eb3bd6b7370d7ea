use lentilcart_state::{Directory, Instance};
use lentilcart_util::Micros;

fn instance(id: &str, born: u64) -> Instance {
    Instance {
        id: id.into(),
        service: "shop".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_center: "z1".into(),
        slots: 3,
        leaving: false,
        warmup: Micros::ZERO,
        born,
    }
}

fn with_one() -> Directory {
    let mut directory = Directory::default();
    assert!(directory.put(instance("i-1", 1)));
    directory
}

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn put_same_changes_nothing() {
    let mut directory = with_one();
    assert!(!directory.put(instance("i-1", 1)));
    assert!(directory.put(instance("i-1", 2)));
}

#[test]
fn remove_drops_at_once() {
    let mut directory = with_one();
    assert!(directory.remove(&"i-1".into(), ms(5)));
    assert!(directory.is_empty());
}

#[test]
fn remove_in_an_outage_waits_for_the_return() {
    let mut directory = with_one();
    directory.lose_store();
    assert!(!directory.remove(&"i-1".into(), ms(0)));
    directory.tick(ms(60_000));
    assert_eq!(directory.len(), 1);
    directory.regain_store(ms(60_000));
    directory.tick(ms(61_900));
    assert_eq!(directory.len(), 1);
    assert!(directory.tick(ms(62_200)));
    assert!(directory.is_empty());
}

#[test]
fn remove_just_after_an_outage_waits_too() {
    let mut directory = with_one();
    directory.lose_store();
    directory.regain_store(ms(1000));
    assert!(!directory.remove(&"i-1".into(), ms(1500)));
    // It registers again within the grace.
    directory.put(instance("i-1", 1));
    directory.tick(ms(9000));
    assert_eq!(directory.len(), 1);
    assert!(directory.remove(&"i-1".into(), ms(9000)));
}

#[test]
fn remove_of_a_leaving_server_never_waits() {
    let mut directory = with_one();
    let leaving = Instance {
        leaving: true,
        ..instance("i-1", 1)
    };
    directory.put(leaving);
    directory.lose_store();
    assert!(directory.remove(&"i-1".into(), ms(0)));
}

#[test]
fn remove_relayed_in_an_outage_waits_a_bounded_time() {
    let mut directory = with_one();
    directory.lose_store();
    assert!(!directory.remove_relayed(&"i-1".into(), ms(1000)));
    assert!(directory.tick(ms(3200)));
}
