use std::collections::BTreeMap;

use lentilcart_state::{
    ClaimLog, ClaimOp, ClaimState, ClaimVerdict, KeyDigest, KvReply, KvRequest, ProtocolStep,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::store::{Fate, Store, any_fate};

const ENTRIES: usize = 3;
const KEYS: usize = 4;
const NEVER: u64 = u64::MAX;
const NOW: u64 = 1000;

#[derive(Debug, Clone)]
enum Step {
    /// An entry is asked for a key.
    Take(usize, usize),
    /// An entry ends a request that it holds the key of.
    End(usize, bool),
    /// An entry's next call to the store goes one way or another.
    Call(usize, Fate),
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
        prop_oneof![
            4 => (0..ENTRIES, 0..KEYS).prop_map(|(entry, key)| Step::Take(entry, key)),
            2 => (0..ENTRIES, any::<bool>()).prop_map(|(entry, ran)| Step::End(entry, ran)),
            12 => (0..ENTRIES, any_fate()).prop_map(|(entry, fate)| Step::Call(entry, fate)),
            1 => (0..ENTRIES).prop_map(Step::Replace),
            2 => Just(Step::Land),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Entry {
    log: ClaimLog,
    ask: Option<KvRequest>,
    waiting: BTreeMap<u64, (usize, String)>,
    held: Vec<(usize, String)>,
}

struct Claims {
    store: Store,
    entries: Vec<Entry>,
    attempts: usize,
    /// Attempts that may have run, by key.
    granted: BTreeMap<usize, Vec<String>>,
}

impl Entry {
    fn new() -> Self {
        Self {
            log: ClaimLog::new("claim/test".into()).with_segment_records(3),
            ask: None,
            waiting: BTreeMap::new(),
            held: Vec::new(),
        }
    }
}

fn digest(key: usize) -> KeyDigest {
    KeyDigest::of(&key.to_string())
}

impl Claims {
    fn call(&mut self, number: usize, fate: Fate) {
        let entry = &mut self.entries[number];
        let Some(ask) = entry.ask.take().or_else(|| entry.log.start(NOW)) else {
            return;
        };
        let reply: KvReply = self.store.call(ask, fate);
        match entry.log.step(reply, NOW) {
            ProtocolStep::Request(next) => entry.ask = Some(next),
            ProtocolStep::Wait(_) => unreachable!("a log never waits"),
            ProtocolStep::Done(verdicts) => {
                for (serial, verdict) in verdicts {
                    let Some((key, claimant)) = entry.waiting.remove(&serial) else {
                        continue;
                    };
                    if verdict == ClaimVerdict::Stored {
                        entry.held.push((key, claimant.clone()));
                        self.granted.entry(key).or_default().push(claimant);
                    }
                }
            }
        }
    }
}

impl StateMachineTest for Claims {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self {
            store: Store::default(),
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            attempts: 0,
            granted: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Take(number, key) => {
                state.attempts += 1;
                let claimant = format!("{number}.{}", state.attempts);
                let entry = &mut state.entries[number];
                let op = ClaimOp::Acquire {
                    digest: digest(key),
                    claimant: claimant.clone().into(),
                    expires: NEVER,
                };
                let serial = entry.log.push(op);
                entry.waiting.insert(serial, (key, claimant));
            }
            Step::End(number, ran) => {
                let entry = &mut state.entries[number];
                let Some((key, claimant)) = entry.held.pop() else {
                    return state;
                };
                let (digest, holder) = (digest(key), claimant.clone().into());
                if ran {
                    let done = ClaimState::Done;
                    entry.log.push(ClaimOp::SetState {
                        digest,
                        claimant: holder,
                        state: done,
                    });
                } else {
                    // Not run: whoever asks next may run it.
                    entry.log.push(ClaimOp::Release {
                        digest,
                        claimant: holder,
                    });
                    state
                        .granted
                        .entry(key)
                        .or_default()
                        .retain(|other| *other != claimant);
                }
            }
            Step::Call(number, fate) => state.call(number, fate),
            Step::Replace(number) => state.entries[number] = Entry::new(),
            Step::Land => state.store.land(),
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        for (key, attempts) in &state.granted {
            assert!(attempts.len() <= 1, "key {key} was granted to {attempts:?}");
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]
    #[test]
    fn claim_granted_once(sequential 1..120 => Claims);
}

/// Runs an entry's calls until it needs none.
fn settle(log: &mut ClaimLog, store: &mut Store, now: u64) -> Vec<(u64, ClaimVerdict)> {
    let mut verdicts = Vec::new();
    while let Some(mut ask) = log.start(now) {
        loop {
            match log.step(store.call(ask, Fate::Answered), now) {
                ProtocolStep::Request(next) => ask = next,
                ProtocolStep::Wait(_) => unreachable!("a log never waits"),
                ProtocolStep::Done(done) => break verdicts.extend(done),
            }
        }
    }
    verdicts
}

fn take(key: usize, claimant: &str, expires: u64) -> ClaimOp {
    ClaimOp::Acquire {
        digest: digest(key),
        claimant: claimant.into(),
        expires,
    }
}

#[test]
fn claim_second_caller_told() {
    let mut store = Store::default();
    let mut first = ClaimLog::new("claim/test".into());
    let mut second = ClaimLog::new("claim/test".into());
    first.push(take(1, "a", NEVER));
    assert_eq!(
        settle(&mut first, &mut store, NOW),
        [(1, ClaimVerdict::Stored)]
    );
    second.push(take(1, "b", NEVER));
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(settle(&mut second, &mut store, NOW), [(1, running)]);
    first.push(ClaimOp::SetState {
        digest: digest(1),
        claimant: "a".into(),
        state: ClaimState::Done,
    });
    settle(&mut first, &mut store, NOW);
    second.push(take(1, "c", NEVER));
    second.push(ClaimOp::Refresh);
    let done = ClaimVerdict::Held(ClaimState::Done);
    assert_eq!(settle(&mut second, &mut store, NOW)[0], (2, done));
}

#[test]
fn claim_expired_is_free() {
    let mut store = Store::default();
    let mut log = ClaimLog::new("claim/test".into()).with_segment_records(2);
    for key in 0..5 {
        log.push(take(key, "a", NOW + 10));
    }
    settle(&mut log, &mut store, NOW);
    let mut other = ClaimLog::new("claim/test".into()).with_segment_records(2);
    other.push(take(3, "b", NEVER));
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(settle(&mut other, &mut store, NOW + 9), [(1, running)]);
    other.push(take(3, "b", NEVER));
    assert_eq!(
        settle(&mut other, &mut store, NOW + 10),
        [(2, ClaimVerdict::Stored)]
    );
}

#[test]
fn claim_lost_answer_recognised() {
    let mut store = Store::default();
    let mut log = ClaimLog::new("claim/test".into());
    log.push(take(1, "a", NEVER));
    let mut ask = log.start(NOW).unwrap();
    for _ in 0..2 {
        let ProtocolStep::Request(next) = log.step(store.call(ask, Fate::Answered), NOW) else {
            panic!()
        };
        ask = next;
    }
    let ProtocolStep::Request(read) = log.step(store.call(ask, Fate::AnswerLost), NOW) else {
        panic!()
    };
    let ProtocolStep::Done(verdicts) = log.step(store.call(read, Fate::Answered), NOW) else {
        panic!()
    };
    assert_eq!(verdicts, [(1, ClaimVerdict::Stored)]);
}

#[test]
fn claim_expires_during_write() {
    let mut store = Store::default();
    let mut first = ClaimLog::new("claim/test".into());
    first.push(take(1, "a", NOW + 5));
    settle(&mut first, &mut store, NOW);
    let mut second = ClaimLog::new("claim/test".into());
    second.push(take(1, "b", NEVER));
    second.push(take(2, "b", NEVER));
    let mut ask = second.start(NOW).unwrap();
    let verdicts = loop {
        // The write is composed before the expiry and answered after it.
        let now = match ask {
            KvRequest::Get { .. } => NOW,
            KvRequest::CompareAndSwap { .. } => NOW + 10,
        };
        match second.step(store.call(ask, Fate::Answered), now) {
            ProtocolStep::Request(next) => ask = next,
            ProtocolStep::Wait(_) => unreachable!("a log never waits"),
            ProtocolStep::Done(verdicts) => break verdicts,
        }
    };
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(verdicts, [(1, running), (2, ClaimVerdict::Stored)]);
}
