//! Properties of the pool that hold for every policy and any order of the events of [`Event`].

use std::collections::BTreeMap;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, POLICIES, PendingRequest, PoolConfig, ServerConfig,
    ServerPhase, ServerPool,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const SERVERS: u8 = 5;
const SLOTS: u32 = 3;

/// An event that the pool must cope with in any order.
///
/// `which` picks an outstanding attempt, modulo their number.
#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive {
        priority: u8,
        at_most_once: bool,
        deadline_ms: u64,
    },
    /// End of an attempt; outcome 0 is `Failed`, 1 `Cancelled`, 2 an answer that reports a full
    /// server, and any other an answer without a report. `Full`, `Unreachable` and `Leaving` do not
    /// occur.
    End {
        which: usize,
        outcome: u8,
    },
    Retry {
        which: usize,
    },
    Hedge {
        which: usize,
    },
    /// Index of a server, and whether it is leaving.
    SetLeaving(usize, bool),
    /// Number of servers in the new list.
    SetServers(u8),
    /// Milliseconds that pass before the next tick.
    Advance(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..10_u8, any::<bool>(), 1..500_u64)
            .prop_map(|(priority, at_most_once, deadline_ms)| Event::Arrive {
                priority,
                at_most_once,
                deadline_ms,
            }),
        8 => (any::<usize>(), 0..8_u8).prop_map(|(which, outcome)| Event::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Event::Retry { which }),
        1 => any::<usize>().prop_map(|which| Event::Hedge { which }),
        1 => (0..SERVERS as usize, any::<bool>())
            .prop_map(|(server, leaving)| Event::SetLeaving(server, leaving)),
        1 => (1..=SERVERS).prop_map(Event::SetServers),
        4 => (0..200_u64).prop_map(Event::Advance),
    ]
}

/// A pool and what a user of the pool must know of its requests.
struct Harness {
    pool: ServerPool,
    now: Micros,
    last_id: u64,
    /// Id of the request and index of the server.
    outstanding_attempts: Vec<(u64, usize)>,
    /// Queued requests by id, and whether each must run at most once.
    queued: BTreeMap<u64, bool>,
    /// Number of starts of each request that must run at most once, by id. Each is offered once, so
    /// this finds a request that the pool starts twice, not a retry.
    once_starts: BTreeMap<u64, u32>,
    /// Largest number of requests that a server may have at once.
    max_outstanding: u32,
}

impl Harness {
    fn new(policy: usize, overcommit: u32, seed: u64) -> Self {
        let config = PoolConfig {
            policy: &POLICIES[policy],
            overcommit,
            max_connections: 8,
            slow_start: Micros::from_millis(100),
            ..PoolConfig::default()
        };
        let max_outstanding = if POLICIES[policy].late_binding {
            SLOTS + overcommit
        } else {
            8
        };
        let mut pool = ServerPool::new(config, seed);
        pool.set_servers(Micros::ZERO, &servers(SERVERS));
        Self {
            pool,
            now: Micros::ZERO,
            last_id: 0,
            outstanding_attempts: Vec::new(),
            queued: BTreeMap::new(),
            once_starts: BTreeMap::new(),
            max_outstanding,
        }
    }

    fn apply_decisions(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start { request_id, server } => {
                    let at_most_once = self
                        .queued
                        .remove(&request_id)
                        .expect("only queued requests are started");
                    if at_most_once {
                        *self.once_starts.entry(request_id).or_default() += 1;
                    }
                    let address = self
                        .pool
                        .get_server_state(server)
                        .map(|state| state.get_config().address);
                    assert!(address.is_some());
                    self.outstanding_attempts.push((request_id, server));
                }
                Decision::Reject { request_id, .. } => {
                    self.queued
                        .remove(&request_id)
                        .expect("only queued requests are rejected");
                }
            }
        }
    }

    fn get_address(&self, server: usize) -> SocketAddr {
        let state = self.pool.get_server_state(server);
        state
            .expect("a server with an attempt")
            .get_config()
            .address
    }

    fn arrive(
        &mut self,
        priority: u8,
        at_most_once: bool,
        deadline_ms: u64,
        excluded: Vec<SocketAddr>,
    ) {
        self.last_id += 1;
        let deadline = self.now + Micros::from_millis(deadline_ms);
        let request = PendingRequest {
            priority,
            at_most_once,
            excluded,
            ..PendingRequest::new(self.last_id, self.now, deadline)
        };
        self.queued.insert(self.last_id, at_most_once);
        let decisions = self.pool.offer(self.now, request);
        self.apply_decisions(decisions);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive {
                priority,
                at_most_once,
                deadline_ms,
            } => self.arrive(priority, at_most_once, deadline_ms, Vec::new()),
            Event::End { which, outcome } if !self.outstanding_attempts.is_empty() => {
                let (request_id, server) = self
                    .outstanding_attempts
                    .swap_remove(which % self.outstanding_attempts.len());
                let outcome = match outcome {
                    0 => AttemptOutcome::Failed,
                    1 => AttemptOutcome::Cancelled,
                    2 => AttemptOutcome::answered(Some(LoadReport::of_requests(9))),
                    _ => AttemptOutcome::answered(None),
                };
                let decisions = self
                    .pool
                    .finish_attempt(self.now, request_id, server, outcome);
                self.apply_decisions(decisions);
            }
            Event::Retry { which } if !self.outstanding_attempts.is_empty() => {
                let (_, server) =
                    self.outstanding_attempts[which % self.outstanding_attempts.len()];
                if self.pool.take_retry_token() {
                    let excluded = vec![self.get_address(server)];
                    self.arrive(5, false, 100, excluded);
                }
            }
            Event::Hedge { which } if !self.outstanding_attempts.is_empty() => {
                let (_, server) =
                    self.outstanding_attempts[which % self.outstanding_attempts.len()];
                self.last_id += 1;
                let deadline = self.now + Micros::from_millis(100);
                let request = PendingRequest {
                    excluded: vec![self.get_address(server)],
                    ..PendingRequest::new(self.last_id, self.now, deadline)
                };
                if let Some(other) = self.pool.start_hedge(self.now, &request) {
                    assert_ne!(other, server, "a hedge goes to another server");
                    self.outstanding_attempts.push((self.last_id, other));
                }
            }
            Event::SetLeaving(server, leaving) => {
                self.pool.set_leaving(self.now, server, leaving);
            }
            Event::SetServers(count) => self.pool.set_servers(self.now, &servers(count)),
            Event::Advance(millis) => {
                self.now += Micros::from_millis(millis);
                let decisions = self.pool.tick(self.now);
                self.apply_decisions(decisions);
            }
            _ => {}
        }
    }

    fn check_invariants(&self) {
        for summary in self.pool.get_summaries() {
            assert!(
                summary.outstanding <= self.max_outstanding,
                "{summary:?} exceeds its limit of {}",
                self.max_outstanding
            );
        }
        assert!(
            self.once_starts.values().all(|count| *count <= 1),
            "a request that must run at most once was started twice"
        );
        assert_eq!(self.pool.get_queue_len(), self.queued.len());
        let summaries = self.pool.get_summaries();
        let ejected = summaries.iter().filter(|summary| {
            matches!(
                summary.phase,
                ServerPhase::Ejected { .. } | ServerPhase::Probation
            )
        });
        // The share is that of the full list: a list that was shortened after an ejection may hold
        // more ejected servers than its own share allows.
        let allowed = (0.34 * f64::from(SERVERS)) as usize;
        assert!(
            ejected.count() <= allowed,
            "too many servers are ejected: {summaries:?}"
        );
    }
}

fn servers(count: u8) -> Vec<ServerConfig> {
    let address = |number| ([10, 0, 0, number], 80).into();
    (0..count)
        .map(|number| ServerConfig::new(address(number), SLOTS))
        .collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..Default::default() })]

    /// Guards the limits under any order of events: outstanding requests of each server, starts of
    /// requests that must run at most once, queue length and share of ejected servers.
    #[test]
    fn pool_keeps_limits(
        policy in 0..POLICIES.len(),
        overcommit in 0..3_u32,
        seed in any::<u64>(),
        events in proptest::collection::vec(any_event(), 1..300),
    ) {
        let mut harness = Harness::new(policy, overcommit, seed);
        for event in events {
            harness.apply(event);
            harness.check_invariants();
        }
    }

    /// Guards against a policy that leaves a server without requests although all are idle alike.
    #[test]
    fn pool_starves_no_server(policy in 0..POLICIES.len(), seed in any::<u64>()) {
        let mut harness = Harness::new(policy, 0, seed);
        let mut served = [0_u32; SERVERS as usize];
        for round in 0..400_u64 {
            harness.now += Micros::from_millis(5);
            for server in harness.pool.take_due_probes(harness.now) {
                harness.pool.record_load_probe(harness.now, server, 1, Micros(1000), 250.0);
            }
            // The requests fill the slots of four of the five servers, so that every policy has a
            // choice.
            (0..12).for_each(|_| harness.arrive(5, false, 1000, Vec::new()));
            for (request_id, server) in std::mem::take(&mut harness.outstanding_attempts) {
                served[server] += 1;
                let answered_at = harness.now + Micros(round);
                let decisions = harness.pool.finish_attempt(
                    answered_at,
                    request_id,
                    server,
                    AttemptOutcome::answered(None),
                );
                harness.apply_decisions(decisions);
            }
        }
        prop_assert!(served.iter().all(|count| *count > 0), "{served:?}");
    }
}
