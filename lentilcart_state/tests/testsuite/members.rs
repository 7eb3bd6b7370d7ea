use lentilcart_state::{Member, Members, rendezvous};
use lentilcart_util::{Micros, Name};

const SILENCE: Micros = Micros::from_millis(250);

fn names(count: usize) -> Vec<Name> {
    (0..count)
        .map(|number| format!("e{number}").into())
        .collect()
}

fn table(count: usize) -> Members {
    let peer = ([127, 0, 0, 1], 1).into();
    let own = Member {
        data_center: "a".into(),
        peer,
        heard: None,
        leaving: false,
        number: 0,
    };
    let mut members = Members::new("e0".into(), own, SILENCE);
    for name in &names(count)[1..] {
        members.list(name, &"a".into(), peer, false);
        members.hear(name, Micros::ZERO, 1, false);
    }
    members
}

#[test]
fn rendezvous_moves_little() {
    let before = names(20);
    let after: Vec<Name> = before
        .iter()
        .filter(|name| &***name != "e7")
        .cloned()
        .collect();
    let moved = (0..1000).filter(|key| {
        let key = key.to_string();
        rendezvous(&key, before.iter(), 1) != rendezvous(&key, after.iter(), 1)
    });
    let moved: Vec<usize> = moved.collect();
    let owned =
        |key: &&usize| *rendezvous(&key.to_string(), before.iter(), 1)[0] == Name::from("e7");
    assert!(
        moved.iter().all(|key| owned(&key)),
        "only keys of the entry that left may move"
    );
}

#[test]
fn live_until_silence() {
    let members = table(3);
    assert_eq!(members.get_live(SILENCE).len(), 3);
    assert_eq!(members.get_live(SILENCE + Micros(1)), [&Name::from("e0")]);
}

#[test]
fn homes_without_leaving() {
    let mut members = table(5);
    let first = members.get_homes("catalogue", 1, Micros::ZERO).remove(0);
    members.hear(&first, Micros::ZERO, 1, true);
    assert!(
        !members
            .get_homes("catalogue", 5, Micros::ZERO)
            .contains(&first)
    );
}

#[test]
fn unlist_keeps_the_live() {
    let mut members = table(3);
    members.unlist(&"e1".into(), Micros::ZERO);
    assert!(
        members.get("e1").is_some(),
        "the host list lags behind the heartbeat"
    );
    members.unlist(&"e1".into(), SILENCE + Micros(1));
    assert!(members.get("e1").is_none());
}
