use std::collections::BTreeMap;
use std::sync::Arc;

use lentilcart_state::{
    AppliedState, CatchUp, KvRequest, NumberedTicket, ProtocolStep, Service, StateError, Ticket,
    TicketSubmission, parse_ticket,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::{Fate, Store, any_fate};

const OPERATORS: usize = 3;
const ENTRIES: usize = 2;
const SERVICES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An operator writes a ticket for a service, against what an entry has in force.
    Write(usize, usize, usize),
    /// The operator's next call goes one way or another.
    Call(usize, Fate),
    /// An entry's next call goes one way or another.
    Follow(usize, Fate),
    /// An entry takes another entry's state.
    Learn(usize, usize),
    /// An entry forgets everything: its host was replaced.
    Replace(usize),
    /// A late call takes effect.
    Land,
}

#[derive(Debug, Clone)]
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let write = (0..OPERATORS, 0..SERVICES, 0..ENTRIES);
        prop_oneof![
            2 => write.prop_map(|(operator, service, entry)| Step::Write(operator, service, entry)),
            10 => (0..OPERATORS, any_fate()).prop_map(|(operator, fate)| Step::Call(operator, fate)),
            6 => (0..ENTRIES, any_fate()).prop_map(|(entry, fate)| Step::Follow(entry, fate)),
            1 => (0..ENTRIES, 0..ENTRIES).prop_map(|(entry, other)| Step::Learn(entry, other)),
            1 => (0..ENTRIES).prop_map(Step::Replace),
            2 => Just(Step::Land),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Default)]
struct Operator {
    submit: Option<(TicketSubmission, String, usize, u64)>,
    ask: Option<KvRequest>,
}

#[derive(Default)]
struct Entry {
    state: AppliedState,
    follow: Option<CatchUp>,
    ask: Option<KvRequest>,
}

struct Tickets {
    store: Store,
    operators: Vec<Operator>,
    entries: Vec<Entry>,
    written: usize,
    /// What operators were told: the number, or that the ticket was refused.
    told: BTreeMap<String, Option<u64>>,
    /// Tickets that entries have seen in force, with their service and base.
    seen: BTreeMap<u64, (String, String, u64)>,
}

pub fn service(name: &str) -> Service {
    let text = format!(
        "[[service]]\nname = \"{name}\"\ntenant = \"t\"\n[[service.route]]\nclass = \"once\"\n"
    );
    parse_ticket(&text, &["late"]).unwrap().services.remove(0)
}

fn ticket(service_number: usize, base: u64) -> Ticket {
    Ticket {
        base,
        note: String::new(),
        services: vec![service(&format!("s{service_number}"))],
        removed: Vec::new(),
    }
}

impl Tickets {
    fn call(&mut self, number: usize, fate: Fate) {
        let operator = &mut self.operators[number];
        let Some((submit, id, ..)) = &mut operator.submit else {
            return;
        };
        let next = match operator.ask.take() {
            None => submit.step(None),
            Some(ask) => submit.step(Some(self.store.call(ask, fate))),
        };
        match next {
            ProtocolStep::Request(ask) => operator.ask = Some(ask),
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => {
                let told = match result {
                    Ok(accepted) => Some(Some(accepted.number)),
                    Err(StateError::OutcomeUnknown(..)) => None,
                    Err(
                        StateError::Conflict(_)
                        | StateError::BaseAhead(..)
                        | StateError::Unreachable(_),
                    ) => Some(None),
                    Err(other) => panic!("{other}"),
                };
                told.map(|told| self.told.insert(id.clone(), told));
                operator.submit = None;
            }
        }
    }

    fn follow(&mut self, number: usize, fate: Fate) {
        let entry = &mut self.entries[number];
        let state = entry.state.clone();
        let follow = entry
            .follow
            .get_or_insert_with(|| CatchUp::new(state, None));
        let next = match entry.ask.take() {
            None => follow.step(None),
            Some(ask) => follow.step(Some(self.store.call(ask, fate))),
        };
        match next {
            ProtocolStep::Request(ask) => entry.ask = Some(ask),
            ProtocolStep::Wait(_) => unreachable!("following never waits"),
            ProtocolStep::Done(Err(_)) => entry.follow = None,
            ProtocolStep::Done(Ok((state, tickets))) => {
                entry.follow = None;
                entry.state.replace_if_newer(state);
                for ticket in &tickets {
                    self.note(ticket);
                }
            }
        }
    }

    /// Checks that a number names the same ticket everywhere and for ever.
    fn note(&mut self, ticket: &NumberedTicket) {
        let service = ticket.ticket.services[0].name.to_string();
        let row = (ticket.id.to_string(), service, ticket.ticket.base);
        let known = self
            .seen
            .entry(ticket.number)
            .or_insert_with(|| row.clone());
        assert_eq!(*known, row, "ticket {} has two bodies", ticket.number);
    }
}

impl StateMachineTest for Tickets {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self {
            store: Store::default(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            written: 0,
            told: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Write(operator, service, entry) => {
                let base = state.entries[entry].state.number;
                let operator = &mut state.operators[operator];
                if operator.submit.is_none() {
                    state.written += 1;
                    let id = format!("t{}", state.written);
                    let ticket = Arc::new(ticket(service, base));
                    let submit = TicketSubmission::new(id.as_str().into(), ticket, 3);
                    operator.submit = Some((submit, id, service, base));
                    operator.ask = None;
                }
            }
            Step::Call(operator, fate) => state.call(operator, fate),
            Step::Follow(entry, fate) => state.follow(entry, fate),
            Step::Learn(entry, other) => {
                let learned = state.entries[other].state.clone();
                let before = state.entries[entry].state.number;
                state.entries[entry].state.replace_if_newer(learned);
                assert!(state.entries[entry].state.number >= before);
            }
            Step::Replace(entry) => state.entries[entry] = Entry::default(),
            Step::Land => state.store.land(),
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        let mut ids: BTreeMap<&str, u64> = BTreeMap::new();
        for (number, (id, service, base)) in &state.seen {
            let before = ids.insert(id, *number);
            assert_eq!(before, None, "{id} was accepted twice");
            let between = state.seen.range(base + 1..*number);
            let rival = between
                .into_iter()
                .find(|(_, (_, other, _))| other == service);
            assert!(rival.is_none(), "ticket {number} overwrote {rival:?}");
        }
        for (id, told) in &state.told {
            match (told, ids.get(id.as_str())) {
                (Some(number), Some(real)) => assert_eq!(number, real, "{id}"),
                (None, Some(real)) => panic!("{id} was refused but accepted as {real}"),
                (_, None) => {}
            }
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]
    #[test]
    fn ticket_accepted_once(sequential 1..150 => Tickets);
}

/// Submits a ticket without failures.
fn submit(store: &mut Store, id: &str, ticket: Ticket) -> Result<u64, StateError> {
    let mut submit = TicketSubmission::new(id.into(), Arc::new(ticket), 0);
    let mut reply = None;
    loop {
        match submit.step(reply.take()) {
            ProtocolStep::Request(ask) => reply = Some(store.call(ask, Fate::Answered)),
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => return result.map(|accepted| accepted.number),
        }
    }
}

#[test]
fn submit_conflict_names_winner() {
    let mut store = Store::default();
    submit(&mut store, "first", ticket(1, 0)).unwrap();
    let mut second = ticket(1, 0);
    second.services[0].owners = 3;
    let error = submit(&mut store, "second", second).unwrap_err();
    let text = error.to_string();
    assert!(text.contains("ticket 1 (first"), "{text}");
    assert!(text.contains("~ s1.homes: 1 -> 3"), "{text}");
}

#[test]
fn submit_other_service_goes_on() {
    let mut store = Store::default();
    for number in 1..=5 {
        let name = format!("t{number}");
        assert_eq!(
            submit(&mut store, &name, ticket(number, 0)).unwrap(),
            number as u64
        );
    }
}

#[test]
fn submit_same_id_other_ticket() {
    let mut store = Store::default();
    submit(&mut store, "a", ticket(1, 0)).unwrap();
    submit(&mut store, "b", ticket(2, 1)).unwrap();
    assert_eq!(submit(&mut store, "a", ticket(1, 0)).unwrap(), 1);
}

#[test]
fn follow_from_snapshot() {
    let mut store = Store::default();
    for number in 0..200 {
        submit(
            &mut store,
            &format!("t{number}"),
            ticket(number as usize % 3, number),
        )
        .unwrap();
        if number == 150 {
            let (state, _) = follow(&mut store, AppliedState::default());
            let mut compact = lentilcart_state::SnapshotWriter::new(state);
            let mut reply = None;
            loop {
                match compact.step(reply.take()) {
                    ProtocolStep::Request(ask) => reply = Some(store.call(ask, Fate::Answered)),
                    ProtocolStep::Wait(_) => unreachable!("compaction never waits"),
                    ProtocolStep::Done(written) => break assert!(written.unwrap()),
                }
            }
        }
    }
    let (state, tickets) = follow(&mut store, AppliedState::default());
    assert_eq!((state.number, state.services.len()), (200, 3));
    assert_eq!(tickets.len(), 49);
    assert_eq!(state.services["s1"].0.number, 200);
}

fn follow(store: &mut Store, state: AppliedState) -> (AppliedState, Vec<NumberedTicket>) {
    let mut follow = CatchUp::new(state, None);
    let mut reply = None;
    loop {
        match follow.step(reply.take()) {
            ProtocolStep::Request(ask) => reply = Some(store.call(ask, Fate::Answered)),
            ProtocolStep::Wait(_) => unreachable!("following never waits"),
            ProtocolStep::Done(result) => return result.unwrap(),
        }
    }
}
