//! The budget in bytes for the bodies that a process holds at once.

use std::collections::BTreeMap;

use lentilcart_route::{ByteBudget, ByteClaim};
use lentilcart_util::Name;
use proptest::prelude::*;

/// Size of the budget, of which 128 bytes are reserved for small bodies.
const TOTAL: u64 = 1024;
const SMALL: u64 = 16;
const LARGEST: u64 = 256;

fn new_budget() -> ByteBudget {
    let mut budget = ByteBudget::new(TOTAL, SMALL);
    assert!(!budget.fit_largest(LARGEST));
    budget
}

/// Takes bodies of a service until there is no room.
fn fill(budget: &mut ByteBudget, service: &str, bytes: u64) -> Vec<ByteClaim> {
    std::iter::from_fn(|| budget.take_now(&service.into(), bytes)).collect()
}

/// Guards against one service that takes all of the memory.
#[test]
fn take_leaves_room_for_another_service() {
    let mut budget = new_budget();
    let claims = fill(&mut budget, "a", 128);
    assert_eq!(claims.len(), 5);
    assert!(budget.take_now(&"b".into(), LARGEST).is_some());
}

/// Guards against small bodies that wait for large ones.
#[test]
fn take_small_while_large_wait() {
    let mut budget = new_budget();
    let _claims = [
        fill(&mut budget, "a", LARGEST),
        fill(&mut budget, "b", LARGEST),
    ];
    assert!(budget.enqueue(&"c".into(), LARGEST).is_some());
    assert!(budget.pop_ready().is_none());
    assert_eq!(fill(&mut budget, "a", SMALL).len(), 16);
}

/// Guards against a body of half the memory that smaller ones overtake again and again.
#[test]
fn pop_ready_keeps_room_for_the_next() {
    let mut budget = new_budget();
    let mut claims = fill(&mut budget, "a", 128);
    claims.extend(fill(&mut budget, "b", 128));
    let large = budget.enqueue(&"c".into(), LARGEST).unwrap();
    let smaller = budget.enqueue(&"c".into(), 128).unwrap();
    budget.give_back(claims.remove(0));
    assert!(budget.pop_ready().is_none());
    assert!(budget.take_now(&"c".into(), 128).is_none());
    budget.give_back(claims.remove(0));
    assert_eq!(budget.pop_ready().unwrap().0, large);
    budget.give_back(claims.remove(0));
    assert_eq!(budget.pop_ready().unwrap().0, smaller);
}

/// Guards against a service that is served in the order of its many waiting bodies before others.
#[test]
fn pop_ready_prefers_service_that_holds_least() {
    let mut budget = new_budget();
    let mut claims = fill(&mut budget, "a", LARGEST);
    claims.extend(fill(&mut budget, "b", LARGEST));
    let first = budget.enqueue(&"a".into(), 200).unwrap();
    let other = budget.enqueue(&"c".into(), 200).unwrap();
    budget.give_back(claims.remove(0));
    assert_eq!(budget.pop_ready().unwrap().0, other);
    budget.give_back(claims.remove(0));
    assert_eq!(budget.pop_ready().unwrap().0, first);
}

/// Guards against a body that the routes allow and that never fits.
#[test]
fn fit_largest_grows_the_budget() {
    let mut budget = ByteBudget::new(TOTAL, SMALL);
    assert!(budget.enqueue(&"a".into(), 5000).is_none());
    assert!(budget.fit_largest(5000));
    assert!(budget.take_now(&"a".into(), 5000).is_some());
    assert!(budget.take_now(&"a".into(), SMALL + 1).is_none());
}

/// Guards against bodies of unknown length that hold the shared part and wait for the rest of it: the largest
/// body would never fit.
#[test]
fn take_reserved_leaves_shared_part() {
    let mut budget = ByteBudget::new(TOTAL, SMALL);
    assert!(budget.fit_largest(TOTAL));
    let small: Vec<_> = (0..100)
        .filter_map(|_| budget.take_reserved(&"a".into(), SMALL))
        .collect();
    assert_eq!(small.len(), 8);
    assert!(budget.take_reserved(&"a".into(), SMALL + 1).is_none());
    assert!(budget.take_now(&"a".into(), TOTAL).is_some());
}

/// An event of the bodies; `which` picks one, modulo their number.
#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive { service: u8, bytes: u64 },
    End { which: usize },
    Shrink { which: usize, bytes: u64 },
    Cancel { which: usize },
}

fn any_event() -> impl Strategy<Value = Event> {
    let bytes = prop_oneof![0..=SMALL, 1..=LARGEST, Just(LARGEST)];
    prop_oneof![
        4 => (0..4_u8, bytes).prop_map(|(service, bytes)| Event::Arrive { service, bytes }),
        3 => any::<usize>().prop_map(|which| Event::End { which }),
        1 => (any::<usize>(), 0..=LARGEST).prop_map(|(which, bytes)| Event::Shrink { which, bytes }),
        1 => any::<usize>().prop_map(|which| Event::Cancel { which }),
    ]
}

/// Bodies that hold room and bodies that wait, by their ticket.
#[derive(Default)]
struct Bodies {
    held: Vec<ByteClaim>,
    waiting: BTreeMap<u64, u64>,
}

impl Bodies {
    fn apply(&mut self, budget: &mut ByteBudget, event: Event) {
        match event {
            Event::Arrive { service, bytes } => {
                let service = Name::from(format!("s{service}"));
                if let Some(claim) = budget.take_now(&service, bytes) {
                    self.held.push(claim);
                } else if let Some(ticket) = budget.enqueue(&service, bytes) {
                    self.waiting.insert(ticket, bytes);
                }
            }
            Event::End { which } if !self.held.is_empty() => {
                budget.give_back(self.held.swap_remove(which % self.held.len()));
            }
            Event::Shrink { which, bytes } if !self.held.is_empty() => {
                let index = which % self.held.len();
                budget.shrink(&mut self.held[index], bytes);
            }
            Event::Cancel { which } if !self.waiting.is_empty() => {
                let ticket = *self.waiting.keys().nth(which % self.waiting.len()).unwrap();
                self.waiting.remove(&ticket);
                budget.cancel(ticket);
            }
            _ => {}
        }
        while let Some((ticket, claim)) = budget.pop_ready() {
            assert_eq!(self.waiting.remove(&ticket), Some(claim.get_bytes()));
            self.held.push(claim);
        }
    }
}

proptest! {
    /// Guards against more bytes than the budget, and bytes or bodies that are lost, for any order of
    /// starts, ends and cancels.
    #[test]
    fn held_bytes_never_exceed_budget(events in proptest::collection::vec(any_event(), 1..200)) {
        let mut budget = new_budget();
        let mut bodies = Bodies::default();
        for event in events {
            bodies.apply(&mut budget, event);
            let held: u64 = bodies.held.iter().map(ByteClaim::get_bytes).sum();
            let (reserved, shared) = budget.get_held();
            prop_assert_eq!(reserved + shared, held);
            prop_assert!(held <= TOTAL && reserved <= TOTAL / 8);
            let (small, large) = budget.get_waiting();
            prop_assert_eq!(small + large, bodies.waiting.len());
        }
        // All that wait get room in the end, once those that hold some give it back.
        let mut rounds = 0;
        while !bodies.held.is_empty() || !bodies.waiting.is_empty() {
            prop_assert!(!bodies.held.is_empty(), "bodies wait for room that nobody holds");
            bodies.apply(&mut budget, Event::End { which: rounds });
            rounds += 1;
        }
        prop_assert_eq!(budget.get_held(), (0, 0));
    }
}
