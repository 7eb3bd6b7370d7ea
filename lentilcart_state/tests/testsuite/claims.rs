use std::collections::BTreeMap;

use lentilcart_state::{
    ClaimLog, ClaimOp, ClaimState, ClaimVerdict, KeyDigest, KvReply, KvRequest, ProtocolStep,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::kv_service::{KvService, Outcome, any_outcome};

const ENTRIES: usize = 3;
const KEYS: usize = 4;
/// Expiry of a claim that lasts for the whole test, in milliseconds of Unix time.
const NEVER: u64 = u64::MAX;
/// Time of the test, in milliseconds of Unix time.
const NOW: u64 = 1000;

#[derive(Debug, Clone)]
enum Step {
    /// An entry (first) claims a key (second) for a new request.
    Acquire(usize, usize),
    /// An entry ends a request whose key it holds; the flag says whether the request ran.
    End(usize, bool),
    /// An entry makes its next call to the key-value service, with this outcome.
    Call(usize, Outcome),
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
        prop_oneof![
            4 => (0..ENTRIES, 0..KEYS).prop_map(|(entry, key)| Step::Acquire(entry, key)),
            2 => (0..ENTRIES, any::<bool>()).prop_map(|(entry, has_run)| Step::End(entry, has_run)),
            12 => (0..ENTRIES, any_outcome()).prop_map(|(entry, outcome)| Step::Call(entry, outcome)),
            1 => (0..ENTRIES).prop_map(Step::Restart),
            2 => Just(Step::ApplyDelayed),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Entry {
    log: ClaimLog,
    /// Next request of the log.
    request: Option<KvRequest>,
    /// Key and claimant of each claim without a verdict, by serial number.
    waiting: BTreeMap<u64, (usize, String)>,
    /// Key and claimant of each claim that the entry holds.
    held: Vec<(usize, String)>,
}

struct Claims {
    kv: KvService,
    entries: Vec<Entry>,
    /// Number of requests so far.
    request_count: usize,
    /// Requests that hold the claim or may have run, by key.
    holders: BTreeMap<usize, Vec<String>>,
}

impl Entry {
    fn new() -> Self {
        Self {
            log: ClaimLog::new("claim/test".into()).with_segment_records(3),
            request: None,
            waiting: BTreeMap::new(),
            held: Vec::new(),
        }
    }
}

fn digest(key: usize) -> KeyDigest {
    KeyDigest::of(&key.to_string())
}

impl Claims {
    fn call(&mut self, index: usize, outcome: Outcome) {
        let entry = &mut self.entries[index];
        let Some(request) = entry.request.take().or_else(|| entry.log.start(NOW)) else {
            return;
        };
        let reply: KvReply = self.kv.call(request, outcome);
        match entry.log.step(reply, NOW) {
            ProtocolStep::Request(next) => entry.request = Some(next),
            ProtocolStep::Wait(_) => unreachable!("a log never waits"),
            ProtocolStep::Done(verdicts) => {
                for (serial, verdict) in verdicts {
                    let Some((key, claimant)) = entry.waiting.remove(&serial) else {
                        continue;
                    };
                    if verdict == ClaimVerdict::Stored {
                        entry.held.push((key, claimant.clone()));
                        self.holders.entry(key).or_default().push(claimant);
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
            kv: KvService::default(),
            entries: (0..ENTRIES).map(|_| Entry::new()).collect(),
            request_count: 0,
            holders: BTreeMap::new(),
        }
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        match step {
            Step::Acquire(index, key) => {
                state.request_count += 1;
                let claimant = format!("{index}.{}", state.request_count);
                let entry = &mut state.entries[index];
                let op = ClaimOp::Acquire {
                    digest: digest(key),
                    claimant: claimant.clone().into(),
                    expires: NEVER,
                };
                let serial = entry.log.push(op);
                entry.waiting.insert(serial, (key, claimant));
            }
            Step::End(index, has_run) => {
                let entry = &mut state.entries[index];
                let Some((key, claimant)) = entry.held.pop() else {
                    return state;
                };
                let (digest, holder) = (digest(key), claimant.clone().into());
                if has_run {
                    let done = ClaimState::Done;
                    entry.log.push(ClaimOp::SetState {
                        digest,
                        claimant: holder,
                        state: done,
                    });
                } else {
                    // The request was not run, so that the next one may run.
                    entry.log.push(ClaimOp::Release {
                        digest,
                        claimant: holder,
                    });
                    state
                        .holders
                        .entry(key)
                        .or_default()
                        .retain(|other| *other != claimant);
                }
            }
            Step::Call(index, outcome) => state.call(index, outcome),
            Step::Restart(index) => state.entries[index] = Entry::new(),
            Step::ApplyDelayed => state.kv.apply_delayed(),
        }
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        for (key, claimants) in &state.holders {
            assert!(
                claimants.len() <= 1,
                "key {key} was claimed by {claimants:?}"
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..Default::default() })]
    #[test]
    fn claim_acquired_by_one_request(sequential 1..120 => Claims);
}

/// Makes a log's calls until it needs none, and returns the verdicts.
fn run_to_end(log: &mut ClaimLog, kv: &mut KvService, now: u64) -> Vec<(u64, ClaimVerdict)> {
    let mut verdicts = Vec::new();
    while let Some(mut request) = log.start(now) {
        loop {
            match log.step(kv.call(request, Outcome::Answered), now) {
                ProtocolStep::Request(next) => request = next,
                ProtocolStep::Wait(_) => unreachable!("a log never waits"),
                ProtocolStep::Done(done) => break verdicts.extend(done),
            }
        }
    }
    verdicts
}

fn acquire(key: usize, claimant: &str, expires: u64) -> ClaimOp {
    ClaimOp::Acquire {
        digest: digest(key),
        claimant: claimant.into(),
        expires,
    }
}

#[test]
fn claim_held_reports_state() {
    let mut kv = KvService::default();
    let mut first = ClaimLog::new("claim/test".into());
    let mut second = ClaimLog::new("claim/test".into());
    first.push(acquire(1, "a", NEVER));
    assert_eq!(
        run_to_end(&mut first, &mut kv, NOW),
        [(1, ClaimVerdict::Stored)]
    );
    second.push(acquire(1, "b", NEVER));
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(run_to_end(&mut second, &mut kv, NOW), [(1, running)]);
    first.push(ClaimOp::SetState {
        digest: digest(1),
        claimant: "a".into(),
        state: ClaimState::Done,
    });
    run_to_end(&mut first, &mut kv, NOW);
    second.push(acquire(1, "c", NEVER));
    second.push(ClaimOp::Refresh);
    let done = ClaimVerdict::Held(ClaimState::Done);
    assert_eq!(run_to_end(&mut second, &mut kv, NOW)[0], (2, done));
}

#[test]
fn claim_expired_can_be_acquired() {
    let mut kv = KvService::default();
    let mut log = ClaimLog::new("claim/test".into()).with_segment_records(2);
    for key in 0..5 {
        log.push(acquire(key, "a", NOW + 10));
    }
    run_to_end(&mut log, &mut kv, NOW);
    let mut other = ClaimLog::new("claim/test".into()).with_segment_records(2);
    other.push(acquire(3, "b", NEVER));
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(run_to_end(&mut other, &mut kv, NOW + 9), [(1, running)]);
    other.push(acquire(3, "b", NEVER));
    assert_eq!(
        run_to_end(&mut other, &mut kv, NOW + 10),
        [(2, ClaimVerdict::Stored)]
    );
}

#[test]
fn claim_recognised_after_lost_answer() {
    let mut kv = KvService::default();
    let mut log = ClaimLog::new("claim/test".into());
    log.push(acquire(1, "a", NEVER));
    let mut request = log.start(NOW).unwrap();
    for _ in 0..2 {
        let ProtocolStep::Request(next) = log.step(kv.call(request, Outcome::Answered), NOW) else {
            panic!()
        };
        request = next;
    }
    let ProtocolStep::Request(read) = log.step(kv.call(request, Outcome::ReplyLost), NOW) else {
        panic!()
    };
    let ProtocolStep::Done(verdicts) = log.step(kv.call(read, Outcome::Answered), NOW) else {
        panic!()
    };
    assert_eq!(verdicts, [(1, ClaimVerdict::Stored)]);
}

#[test]
fn claim_expiry_during_write_keeps_verdicts() {
    let mut kv = KvService::default();
    let mut first = ClaimLog::new("claim/test".into());
    first.push(acquire(1, "a", NOW + 5));
    run_to_end(&mut first, &mut kv, NOW);
    let mut second = ClaimLog::new("claim/test".into());
    second.push(acquire(1, "b", NEVER));
    second.push(acquire(2, "b", NEVER));
    let mut request = second.start(NOW).unwrap();
    let verdicts = loop {
        // The write is encoded before the claim expires, and its answer arrives after that.
        let now = match request {
            KvRequest::Get { .. } => NOW,
            KvRequest::CompareAndSwap { .. } => NOW + 10,
        };
        match second.step(kv.call(request, Outcome::Answered), now) {
            ProtocolStep::Request(next) => request = next,
            ProtocolStep::Wait(_) => unreachable!("a log never waits"),
            ProtocolStep::Done(verdicts) => break verdicts,
        }
    };
    let running = ClaimVerdict::Held(ClaimState::Running);
    assert_eq!(verdicts, [(1, running), (2, ClaimVerdict::Stored)]);
}
