use std::collections::BTreeMap;

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, POLICIES, PendingRequest, PoolConfig, ServerConfig,
    ServerPhase, ServerPool,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const SERVERS: u8 = 5;
const SLOTS: u32 = 3;

#[derive(Debug, Clone, Copy)]
enum Event {
    Arrive {
        priority: u8,
        at_most_once: bool,
        wait: u64,
    },
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
    Leave(usize, bool),
    Remove(u8),
    Pass(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..10_u8, any::<bool>(), 1..500_u64)
            .prop_map(|(priority, at_most_once, wait)| Event::Arrive { priority, at_most_once, wait }),
        8 => (any::<usize>(), 0..8_u8).prop_map(|(which, outcome)| Event::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Event::Retry { which }),
        1 => any::<usize>().prop_map(|which| Event::Hedge { which }),
        1 => (0..SERVERS as usize, any::<bool>()).prop_map(|(s, leaving)| Event::Leave(s, leaving)),
        1 => (1..=SERVERS).prop_map(Event::Remove),
        4 => (0..200_u64).prop_map(Event::Pass),
    ]
}

/// A pool with what an observer knows of it.
struct Bench {
    pool: ServerPool,
    now: Micros,
    next: u64,
    under_way: Vec<(u64, usize)>,
    waiting: BTreeMap<u64, bool>,
    at_most_once: BTreeMap<u64, u32>,
    most: u32,
}

impl Bench {
    fn new(policy: usize, overcommit: u32, seed: u64) -> Self {
        let config = PoolConfig {
            policy: &POLICIES[policy],
            overcommit,
            max_connections: 8,
            slow_start: Micros::from_millis(100),
            ..PoolConfig::default()
        };
        let most = if POLICIES[policy].late_binding {
            SLOTS + overcommit
        } else {
            8
        };
        let mut pool = ServerPool::new(config, seed);
        pool.set_servers(Micros::ZERO, &servers(SERVERS));
        Self {
            pool,
            now: Micros::ZERO,
            next: 0,
            under_way: Vec::new(),
            waiting: BTreeMap::new(),
            at_most_once: BTreeMap::new(),
            most,
        }
    }

    fn take(&mut self, steps: Vec<Decision>) {
        for step in steps {
            match step {
                Decision::Start { request_id, server } => {
                    let at_most_once = self
                        .waiting
                        .remove(&request_id)
                        .expect("only waiting requests start");
                    if at_most_once {
                        *self.at_most_once.entry(request_id).or_default() += 1;
                    }
                    let phase = self
                        .pool
                        .get_server_state(server)
                        .map(|row| row.get_config().address);
                    assert!(phase.is_some());
                    self.under_way.push((request_id, server));
                }
                Decision::Reject { request_id, .. } => {
                    self.waiting
                        .remove(&request_id)
                        .expect("only waiting requests are refused");
                }
            }
        }
    }

    fn arrive(&mut self, priority: u8, at_most_once: bool, wait: u64, excluded: Vec<usize>) {
        self.next += 1;
        let deadline = self.now + Micros::from_millis(wait);
        let job = PendingRequest {
            priority,
            at_most_once,
            excluded,
            ..PendingRequest::new(self.next, self.now, deadline)
        };
        self.waiting.insert(self.next, at_most_once);
        let steps = self.pool.offer(self.now, job);
        self.take(steps);
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Arrive {
                priority,
                at_most_once,
                wait,
            } => self.arrive(priority, at_most_once, wait, Vec::new()),
            Event::End { which, outcome } if !self.under_way.is_empty() => {
                let (job, server) = self.under_way.swap_remove(which % self.under_way.len());
                let outcome = match outcome {
                    0 => AttemptOutcome::Failed,
                    1 => AttemptOutcome::Cancelled,
                    2 => AttemptOutcome::answered(Some(LoadReport::of_requests(9))),
                    _ => AttemptOutcome::answered(None),
                };
                let steps = self.pool.finish_attempt(self.now, job, server, outcome);
                self.take(steps);
            }
            Event::Retry { which } if !self.under_way.is_empty() => {
                let (_, server) = self.under_way[which % self.under_way.len()];
                if self.pool.take_retry_token() {
                    self.arrive(5, false, 100, vec![server]);
                }
            }
            Event::Hedge { which } if !self.under_way.is_empty() => {
                let (_, server) = self.under_way[which % self.under_way.len()];
                self.next += 1;
                let deadline = self.now + Micros::from_millis(100);
                let job = PendingRequest {
                    excluded: vec![server],
                    ..PendingRequest::new(self.next, self.now, deadline)
                };
                if let Some(other) = self.pool.start_hedge(self.now, &job) {
                    assert_ne!(other, server, "a hedge goes to another server");
                    self.under_way.push((self.next, other));
                }
            }
            Event::Leave(server, leaving) => {
                self.pool.set_leaving(self.now, server, leaving);
            }
            Event::Remove(count) => self.pool.set_servers(self.now, &servers(count)),
            Event::Pass(millis) => {
                self.now += Micros::from_millis(millis);
                let steps = self.pool.tick(self.now);
                self.take(steps);
            }
            _ => {}
        }
    }

    fn check(&self) {
        for row in self.pool.get_summaries() {
            assert!(
                row.outstanding <= self.most,
                "{row:?} is over its limit {}",
                self.most
            );
        }
        assert!(
            self.at_most_once.values().all(|count| *count <= 1),
            "a once request was sent twice"
        );
        assert_eq!(self.pool.get_queue_len(), self.waiting.len());
        let views = self.pool.get_summaries();
        let out = views.iter().filter(|row| {
            matches!(
                row.phase,
                ServerPhase::Ejected { .. } | ServerPhase::Probation
            )
        });
        // A list that was shortened after an ejection may hold one that a shorter list would not.
        let allowed = (0.34 * f64::from(SERVERS)) as usize;
        assert!(out.count() <= allowed, "too many ejected: {views:?}");
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

    #[test]
    fn pool_keeps_limits(
        policy in 0..POLICIES.len(),
        overcommit in 0..3_u32,
        seed in any::<u64>(),
        events in proptest::collection::vec(any_event(), 1..300),
    ) {
        let mut bench = Bench::new(policy, overcommit, seed);
        for event in events {
            bench.run(event);
            bench.check();
        }
    }

    #[test]
    fn pool_starves_no_server(policy in 0..POLICIES.len(), seed in any::<u64>()) {
        let mut bench = Bench::new(policy, 0, seed);
        let mut served = [0_u32; SERVERS as usize];
        for round in 0..400_u64 {
            bench.now += Micros::from_millis(5);
            for server in bench.pool.take_due_probes(bench.now) {
                bench.pool.record_probe(bench.now, server, 1, Micros(1000), 250.0);
            }
            // Four of five servers' slots are asked for, so that every policy has a choice.
            (0..12).for_each(|_| bench.arrive(5, false, 1000, Vec::new()));
            for (job, server) in std::mem::take(&mut bench.under_way) {
                served[server] += 1;
                let took = bench.now + Micros(round);
                let steps = bench.pool.finish_attempt(took, job, server, AttemptOutcome::answered(None));
                bench.take(steps);
            }
        }
        prop_assert!(served.iter().all(|count| *count > 0), "{served:?}");
    }
}
