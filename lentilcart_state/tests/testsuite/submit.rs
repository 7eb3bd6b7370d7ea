use std::collections::BTreeMap;
use std::sync::Arc;

use lentilcart_state::{
    AppliedState, CatchUp, HEAD_KEY, KvReply, KvRequest, NumberedTicket, ProtocolStep, Service,
    StateError, Ticket, TicketSubmission, VersionedValue, parse_ticket,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::kv_service::{KvService, Outcome, any_outcome};

const OPERATORS: usize = 3;
const ENTRIES: usize = 2;
const SERVICES: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    /// An operator (first) submits a ticket for a service (second), based on the number in force at
    /// an entry (third).
    Submit(usize, usize, usize),
    /// An operator makes the next call of its submission, with this outcome.
    Call(usize, Outcome),
    /// An entry makes the next call to catch up, with this outcome.
    CatchUp(usize, Outcome),
    /// An entry (first) receives the state of another entry (second).
    ReceiveState(usize, usize),
    /// An entry loses its state, since its host is replaced.
    Restart(usize),
    /// The oldest delayed call takes effect.
    ApplyDelayed,
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
        let submit = (0..OPERATORS, 0..SERVICES, 0..ENTRIES);
        prop_oneof![
            2 => submit.prop_map(|(operator, service, entry)| Step::Submit(operator, service, entry)),
            10 => (0..OPERATORS, any_outcome()).prop_map(|(operator, outcome)| Step::Call(operator, outcome)),
            6 => (0..ENTRIES, any_outcome()).prop_map(|(entry, outcome)| Step::CatchUp(entry, outcome)),
            1 => (0..ENTRIES, 0..ENTRIES).prop_map(|(entry, other)| Step::ReceiveState(entry, other)),
            1 => (0..ENTRIES).prop_map(Step::Restart),
            2 => Just(Step::ApplyDelayed),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

#[derive(Default)]
struct Operator {
    /// Submission in progress, with the ticket's id, service and base.
    submission: Option<(TicketSubmission, String, usize, u64)>,
    /// Next request of the submission.
    request: Option<KvRequest>,
}

#[derive(Default)]
struct Entry {
    state: AppliedState,
    /// Protocol in progress to catch up with the head.
    catch_up: Option<CatchUp>,
    /// Next request of that protocol.
    request: Option<KvRequest>,
}

struct Tickets {
    kv: KvService,
    operators: Vec<Operator>,
    entries: Vec<Entry>,
    /// Number of tickets submitted so far.
    submitted: usize,
    /// Results reported to the operators, by ticket id: the number, or `None` where the ticket was
    /// refused.
    reported: BTreeMap<String, Option<u64>>,
    /// Id, service and base of each ticket that an entry has applied, by the ticket's number.
    applied: BTreeMap<u64, (String, String, u64)>,
}

/// Returns the default settings of a service.
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
    fn call(&mut self, index: usize, outcome: Outcome) {
        let operator = &mut self.operators[index];
        let Some((submission, id, ..)) = &mut operator.submission else {
            return;
        };
        let next = match operator.request.take() {
            None => submission.step(None),
            Some(request) => submission.step(Some(self.kv.call(request, outcome))),
        };
        match next {
            ProtocolStep::Request(request) => operator.request = Some(request),
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => {
                let reported = match result {
                    Ok(accepted) => Some(Some(accepted.number)),
                    Err(StateError::OutcomeUnknown(..)) => None,
                    Err(
                        StateError::Conflict(_)
                        | StateError::BaseAhead(..)
                        | StateError::Unreachable(_),
                    ) => Some(None),
                    Err(other) => panic!("{other}"),
                };
                reported.map(|reported| self.reported.insert(id.clone(), reported));
                operator.submission = None;
            }
        }
    }

    fn catch_up(&mut self, index: usize, outcome: Outcome) {
        let entry = &mut self.entries[index];
        let state = entry.state.clone();
        let protocol = entry
            .catch_up
            .get_or_insert_with(|| CatchUp::new(state, None));
        let next = match entry.request.take() {
            None => protocol.step(None),
            Some(request) => protocol.step(Some(self.kv.call(request, outcome))),
        };
        match next {
            ProtocolStep::Request(request) => entry.request = Some(request),
            ProtocolStep::Wait(_) => unreachable!("catching up never waits"),
            ProtocolStep::Done(Err(_)) => entry.catch_up = None,
            ProtocolStep::Done(Ok((state, tickets))) => {
                entry.catch_up = None;
                entry.state.replace_if_newer(state);
                for ticket in &tickets {
                    self.record_ticket(ticket);
                }
            }
        }
    }

    /// Records an applied ticket and checks that its number always names the same ticket.
    fn record_ticket(&mut self, ticket: &NumberedTicket) {
        let service = ticket.ticket.services[0].name.to_string();
        let record = (ticket.id.to_string(), service, ticket.ticket.base);
        let recorded = self
            .applied
            .entry(ticket.number)
            .or_insert_with(|| record.clone());
        assert_eq!(*recorded, record, "ticket {} has two bodies", ticket.number);
    }
}

impl StateMachineTest for Tickets {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self {
            kv: KvService::default(),
            operators: (0..OPERATORS).map(|_| Operator::default()).collect(),
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            submitted: 0,
            reported: BTreeMap::new(),
            applied: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Submit(operator, service, entry) => {
                let base = state.entries[entry].state.number;
                let operator = &mut state.operators[operator];
                if operator.submission.is_none() {
                    state.submitted += 1;
                    let id = format!("t{}", state.submitted);
                    let ticket = Arc::new(ticket(service, base));
                    let submission = TicketSubmission::new(id.as_str().into(), ticket, 3);
                    operator.submission = Some((submission, id, service, base));
                    operator.request = None;
                }
            }
            Step::Call(operator, outcome) => state.call(operator, outcome),
            Step::CatchUp(entry, outcome) => state.catch_up(entry, outcome),
            Step::ReceiveState(entry, other) => {
                let received = state.entries[other].state.clone();
                let before = state.entries[entry].state.number;
                state.entries[entry].state.replace_if_newer(received);
                assert!(state.entries[entry].state.number >= before);
            }
            Step::Restart(entry) => state.entries[entry] = Entry::default(),
            Step::ApplyDelayed => state.kv.apply_delayed(),
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        let mut ids: BTreeMap<&str, u64> = BTreeMap::new();
        for (number, (id, service, base)) in &state.applied {
            let before = ids.insert(id, *number);
            assert_eq!(before, None, "{id} was accepted twice");
            let between = state.applied.range(base + 1..*number);
            let overwritten = between
                .into_iter()
                .find(|(_, (_, other, _))| other == service);
            assert!(
                overwritten.is_none(),
                "ticket {number} overwrote {overwritten:?}"
            );
        }
        for (id, reported) in &state.reported {
            match (reported, ids.get(id.as_str())) {
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

/// Submits a ticket to a key-value service that answers every call, and returns its number.
fn submit(kv: &mut KvService, id: &str, ticket: Ticket) -> Result<u64, StateError> {
    let mut submission = TicketSubmission::new(id.into(), Arc::new(ticket), 0);
    let mut reply = None;
    loop {
        match submission.step(reply.take()) {
            ProtocolStep::Request(req) => reply = Some(kv.call(req, Outcome::Answered)),
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => return result.map(|accepted| accepted.number),
        }
    }
}

#[test]
fn submit_conflict_names_accepted_ticket() {
    let mut kv = KvService::default();
    submit(&mut kv, "first", ticket(1, 0)).unwrap();
    let mut second = ticket(1, 0);
    second.services[0].owners = 3;
    let error = submit(&mut kv, "second", second).unwrap_err();
    let text = error.to_string();
    assert!(text.contains("ticket 1 (first"), "{text}");
    assert!(text.contains("~ s1.homes: 1 -> 3"), "{text}");
}

#[test]
fn submit_accepts_after_tickets_of_other_services() {
    let mut kv = KvService::default();
    for number in 1..=5 {
        let name = format!("t{number}");
        assert_eq!(
            submit(&mut kv, &name, ticket(number, 0)).unwrap(),
            number as u64
        );
    }
}

#[test]
fn submit_again_returns_same_number() {
    let mut kv = KvService::default();
    submit(&mut kv, "a", ticket(1, 0)).unwrap();
    submit(&mut kv, "b", ticket(2, 1)).unwrap();
    assert_eq!(submit(&mut kv, "a", ticket(1, 0)).unwrap(), 1);
}

/// Guards against a receipt for a ticket that was never accepted, since another one was under its id.
#[test]
fn submit_other_body_under_accepted_id_is_refused() {
    let mut kv = KvService::default();
    submit(&mut kv, "a", ticket(1, 0)).unwrap();
    for later in [2, 3] {
        let error = submit(&mut kv, "a", ticket(4, 0)).unwrap_err();
        assert!(matches!(&error, StateError::DuplicateId(id) if id == "a"));
        assert!(error.to_string().contains("--id a"), "{error}");
        // The next round finds the id behind the head.
        submit(&mut kv, &format!("b{later}"), ticket(later, 1)).unwrap();
    }
    assert_eq!(submit(&mut kv, "a", ticket(1, 0)).unwrap(), 1);
}

/// Guards against an error that says that nothing was accepted, although the submission has seen that its
/// id is.
#[test]
fn submit_again_without_body_is_unknown() {
    let mut kv = KvService::default();
    submit(&mut kv, "a", ticket(1, 0)).unwrap();
    let submission = TicketSubmission::new("a".into(), Arc::new(ticket(1, 0)), 0);
    let result = submit_with_outcomes(&mut kv, submission, |request| match request {
        KvRequest::Get { key } if &**key == HEAD_KEY => Outcome::Answered,
        _ => Outcome::Dropped,
    });
    assert!(matches!(result, Err(StateError::OutcomeUnknown(..))));
}

/// Makes the calls of a submission, each with the outcome that a function returns for it, and returns its
/// result.
fn submit_with_outcomes(
    kv: &mut KvService,
    mut submission: TicketSubmission,
    mut outcome: impl FnMut(&KvRequest) -> Outcome,
) -> Result<u64, StateError> {
    let mut reply = None;
    // More steps than any of these submissions needs.
    for _ in 0..1000 {
        match submission.step(reply.take()) {
            ProtocolStep::Request(request) => {
                let outcome = outcome(&request);
                reply = Some(kv.call(request, outcome));
            }
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => return result.map(|accepted| accepted.number),
        }
    }
    panic!("the submission does not end");
}

fn is_head_write(request: &KvRequest) -> bool {
    matches!(request, KvRequest::CompareAndSwap { key, .. } if &**key == HEAD_KEY)
}

/// Guards against a submission that gives up although the platform answers in between.
#[test]
fn submit_counts_lost_answers_in_a_row() {
    let mut kv = KvService::default();
    submit(&mut kv, "first", ticket(1, 0)).unwrap();
    let submission = TicketSubmission::new("a".into(), Arc::new(ticket(2, 0)), 1);
    let mut calls = 0;
    let result = submit_with_outcomes(&mut kv, submission, |request| {
        calls += 1;
        match calls % 2 {
            1 if !is_head_write(request) => Outcome::Dropped,
            _ => Outcome::Answered,
        }
    });
    assert_eq!(result.unwrap(), 2);
}

/// Guards against a submission that never ends, since the reads between lost writes are answered.
#[test]
fn submit_ends_where_each_write_of_head_is_lost() {
    let mut kv = KvService::default();
    let submission = TicketSubmission::new("a".into(), Arc::new(ticket(1, 0)), 3);
    let mut writes = 0;
    let result = submit_with_outcomes(&mut kv, submission, |request| {
        if is_head_write(request) {
            writes += 1;
            Outcome::Dropped
        } else {
            Outcome::Answered
        }
    });
    assert!(matches!(result, Err(StateError::OutcomeUnknown(..))));
    assert_eq!(writes, 4);
}

/// Guards against an error that reads as if nothing was accepted, although the ticket is.
#[test]
fn submit_unreadable_head_after_lost_write_is_unknown() {
    let mut kv = KvService::default();
    let mut submission = TicketSubmission::new("a".into(), Arc::new(ticket(1, 0)), 1);
    let mut reply = None;
    let mut is_write_lost = false;
    let error = loop {
        match submission.step(reply.take()) {
            ProtocolStep::Request(request) if is_head_write(&request) => {
                is_write_lost = true;
                reply = Some(kv.call(request, Outcome::ReplyLost));
            }
            ProtocolStep::Request(_) if is_write_lost => {
                reply = Some(KvReply::Value(Some(VersionedValue {
                    version: 1,
                    value: "no head".to_owned(),
                })));
            }
            ProtocolStep::Request(request) => reply = Some(kv.call(request, Outcome::Answered)),
            ProtocolStep::Wait(_) => {}
            ProtocolStep::Done(result) => break result.unwrap_err(),
        }
    };
    assert!(
        matches!(&error, StateError::OutcomeUnknown(id, _) if id == "a"),
        "{error}"
    );
    assert!(error.to_string().contains("head"), "{error}");
    assert_eq!(submit(&mut kv, "a", ticket(1, 0)).unwrap(), 1);
}

#[test]
fn catch_up_from_snapshot() {
    let mut kv = KvService::default();
    for number in 0..200 {
        submit(
            &mut kv,
            &format!("t{number}"),
            ticket(number as usize % 3, number),
        )
        .unwrap();
        if number == 150 {
            let (state, _) = catch_up(&mut kv, AppliedState::default());
            let mut writer = lentilcart_state::SnapshotWriter::new(state);
            let mut reply = None;
            loop {
                match writer.step(reply.take()) {
                    ProtocolStep::Request(req) => reply = Some(kv.call(req, Outcome::Answered)),
                    ProtocolStep::Wait(_) => unreachable!("writing a snapshot never waits"),
                    ProtocolStep::Done(written) => break assert!(written.unwrap()),
                }
            }
        }
    }
    let (state, tickets) = catch_up(&mut kv, AppliedState::default());
    assert_eq!((state.number, state.services.len()), (200, 3));
    assert_eq!(tickets.len(), 49);
    assert_eq!(state.services["s1"].0.number, 200);
}

fn catch_up(kv: &mut KvService, state: AppliedState) -> (AppliedState, Vec<NumberedTicket>) {
    let mut protocol = CatchUp::new(state, None);
    let mut reply = None;
    loop {
        match protocol.step(reply.take()) {
            ProtocolStep::Request(req) => reply = Some(kv.call(req, Outcome::Answered)),
            ProtocolStep::Wait(_) => unreachable!("catching up never waits"),
            ProtocolStep::Done(result) => return result.unwrap(),
        }
    }
}
