//! Shares of the accounts and kinds of request in an overloaded service, simulated on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool, get_policy,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const SERVERS: u8 = 10;
const SERVICE_TIME: Micros = Micros::from_millis(200);
/// Requests a second that the servers can run: 3 each at the same time.
const CAPACITY: f64 = 150.0;
const TICK: Micros = Micros::from_millis(10);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

/// Requests of one account and kind, which come at even intervals.
#[derive(Clone, Copy)]
struct Source {
    account: Option<&'static str>,
    weight: Option<f64>,
    priority: u8,
    /// Latency objective, which tells the kind.
    objective: Micros,
    /// Requests a second.
    rate: f64,
    /// Time between which they come.
    span: (Micros, Micros),
}

impl Source {
    fn new(account: &'static str, weight: f64, rate: f64) -> Self {
        Self {
            account: Some(account),
            weight: Some(weight),
            priority: 5,
            objective: ms(600),
            rate,
            span: (Micros::ZERO, ms(10_000)),
        }
    }

    fn create_request(&self, id: u64, now: Micros) -> PendingRequest {
        PendingRequest {
            priority: self.priority,
            objective: now + self.objective,
            latency_objective: Some(self.objective),
            account: self.account.map(Into::into),
            weight: self.weight,
            ..PendingRequest::new(id, now, now + ms(2000))
        }
    }
}

/// What became of the requests of a source.
#[derive(Debug, Clone, Default, PartialEq)]
struct Tally {
    asked: u32,
    started: u32,
    refused: u32,
}

impl Tally {
    fn get_share(&self) -> f64 {
        f64::from(self.started) / f64::from(self.asked)
    }
}

fn config(fair_shares: bool) -> PoolConfig {
    PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        overcommit: 0,
        fair_shares,
        ..PoolConfig::default()
    }
}

fn pool(fair_shares: bool) -> ServerPool {
    let mut pool = ServerPool::new(config(fair_shares), 1);
    let servers: Vec<_> = (0..SERVERS)
        .map(|number| ServerConfig::new(SocketAddr::from(([10, 0, 0, number], 80)), 3))
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    pool
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    End(u64, usize),
    Tick,
}

/// Plays the sources and returns the tally of each, and all decisions in their order.
fn play(fair_shares: bool, sources: &[Source]) -> (Vec<Tally>, Vec<Decision>) {
    let mut pool = pool(fair_shares);
    let mut tallies = vec![Tally::default(); sources.len()];
    let mut source_of = BTreeMap::new();
    let mut log = Vec::new();
    let mut events = BinaryHeap::from([Reverse((TICK, Event::Tick))]);
    for (index, source) in sources.iter().enumerate() {
        // Sources with the same rate do not come at the same instants.
        let start = source.span.0 + Micros(index as u64 * 137);
        events.push(Reverse((start, Event::Arrive(index))));
    }
    let end = sources.iter().map(|source| source.span.1).max().unwrap();
    let mut next_id = 0;
    while let Some(Reverse((now, event))) = events.pop() {
        let decisions = match event {
            Event::Arrive(index) if now < sources[index].span.1 => {
                next_id += 1;
                source_of.insert(next_id, index);
                tallies[index].asked += 1;
                let gap = Micros::from_secs(1.0 / sources[index].rate);
                events.push(Reverse((now + gap, Event::Arrive(index))));
                pool.offer(now, sources[index].create_request(next_id, now))
            }
            Event::Arrive(_) => continue,
            Event::End(id, server) => {
                pool.finish_attempt(now, id, server, AttemptOutcome::answered(None))
            }
            Event::Tick => {
                if now < end + ms(5000) {
                    events.push(Reverse((now + TICK, Event::Tick)));
                }
                pool.tick(now)
            }
        };
        for decision in &decisions {
            match decision {
                Decision::Start { request_id, server } => {
                    tallies[source_of[request_id]].started += 1;
                    let end = now + SERVICE_TIME;
                    events.push(Reverse((end, Event::End(*request_id, *server))));
                }
                Decision::Reject { request_id, .. } => {
                    tallies[source_of[request_id]].refused += 1;
                }
            }
        }
        log.extend(decisions);
    }
    assert_eq!(pool.get_account_count(), 0, "state of idle accounts");
    (tallies, log)
}

/// Guards against an account with seven times its usual rate that takes the service from the others: its own
/// requests are refused.
#[test]
fn seven_times_usual_costs_others_nothing() {
    let usual = [
        Source::new("large", 40.0, 40.0),
        Source::new("a", 40.0, 40.0),
        Source::new("b", 20.0, 20.0),
        Source::new("c", 5.0, 5.0),
    ];
    let mut surge = usual;
    surge[0].rate *= 7.0;
    let (tallies, _) = play(true, &surge);
    for tally in &tallies[1..] {
        assert!(tally.get_share() > 0.98, "{tallies:?}");
    }
    // What the others leave goes to the large one; the rest of the first 100 answers is learned.
    let left = CAPACITY - 65.0;
    let large = f64::from(tallies[0].started) / 10.0;
    assert!(large > 0.9 * left, "{large} of {left}: {tallies:?}");
    let (unfair, _) = play(false, &surge);
    assert!(unfair[1].get_share() < 0.8, "no overload: {unfair:?}");
}

/// Guards against shares that follow the number of requests instead of the limits.
#[test]
fn backlogged_accounts_share_by_limit() {
    let sources = [Source::new("a", 90.0, 300.0), Source::new("b", 30.0, 600.0)];
    let (tallies, _) = play(true, &sources);
    let ratio = f64::from(tallies[0].started) / f64::from(tallies[1].started);
    assert!((2.6..3.4).contains(&ratio), "{ratio}: {tallies:?}");
}

/// Guards against requests without an account, or whose account has no limit, that go first or never.
#[test]
fn requests_without_limit_have_default_weight() {
    let public = Source {
        account: None,
        weight: None,
        ..Source::new("", 0.0, 300.0)
    };
    let unlimited = Source {
        weight: None,
        ..Source::new("u", 0.0, 300.0)
    };
    let (tallies, _) = play(true, &[Source::new("a", 20.0, 300.0), public, unlimited]);
    let started: Vec<u32> = tallies.iter().map(|tally| tally.started).collect();
    let (least, most) = (started.iter().min().unwrap(), started.iter().max().unwrap());
    assert!(f64::from(*most) < 1.1 * f64::from(*least), "{tallies:?}");
}

/// Guards against a limit that is no usable weight, such as one of a faulty sender.
#[test]
fn unusable_weight_counts_as_none() {
    let weights = [f64::NAN, 0.0, -3.0, f64::INFINITY];
    for weight in weights {
        let sources = [
            Source::new("a", weight, 300.0),
            Source::new("b", 20.0, 300.0),
        ];
        let (tallies, _) = play(true, &sources);
        let ratio = f64::from(tallies[0].started) / f64::from(tallies[1].started);
        assert!((0.9..1.1).contains(&ratio), "{weight}: {tallies:?}");
    }
}

/// Guards against a change of the order where there are no accounts: one kind of request in an overload.
#[test]
fn order_without_accounts_stays() {
    let public = Source {
        account: None,
        weight: None,
        ..Source::new("", 0.0, 240.0)
    };
    assert_eq!(play(true, &[public]).1, play(false, &[public]).1);
}

/// Guards against a kind of request, and an account, of a low priority that is never served while urgent
/// requests take all servers.
#[test]
fn low_priority_gets_quarter_of_the_share() {
    let urgent = Source {
        priority: 9,
        ..Source::new("a", 100.0, 400.0)
    };
    let low = Source {
        priority: 0,
        objective: ms(900),
        ..Source::new("b", 10.0, 30.0)
    };
    let (tallies, _) = play(true, &[urgent, low]);
    let all = f64::from(tallies[0].started + tallies[1].started)
        / f64::from(tallies[0].asked + tallies[1].asked);
    assert!(tallies[1].get_share() >= all / 4.0, "{tallies:?}");
    assert!(
        tallies[1].get_share() < tallies[0].get_share(),
        "priority comes first: {tallies:?}"
    );
    let (strict, _) = play(false, &[urgent, low]);
    assert!(strict[1].get_share() < all / 4.0, "not starved: {strict:?}");
}

/// Guards against an account that is served less after a burst, or more after idle time, than its share: it comes
/// back while others are backlogged.
#[test]
fn idle_time_is_not_saved_up() {
    let late = Source {
        span: (ms(6000), ms(10_000)),
        ..Source::new("late", 50.0, 300.0)
    };
    let always = Source {
        span: (ms(0), ms(10_000)),
        ..Source::new("always", 50.0, 300.0)
    };
    let (tallies, _) = play(true, &[always, late]);
    // 75 requests a second each, in the 4 seconds in which both ask and the second for which requests wait.
    let started = f64::from(tallies[1].started) / 5.0;
    assert!((60.0..90.0).contains(&started), "{tallies:?}");
}

/// Priority, account, latency objective in milliseconds and time since the request before. The objectives are so
/// long that no request is kept for a faster server.
fn any_request() -> impl Strategy<Value = (u8, u8, u64, u64)> {
    (0..3_u8, 0..6_u8, 3..6_u64, 0..10_u64)
}

proptest! {
    /// Guards against a request that is both started and refused or started twice, against a server with room
    /// while a request waits that may get it, and against state of accounts that is kept.
    #[test]
    fn each_request_ends_once_and_no_server_idles(
        requests in prop::collection::vec(any_request(), 1..150),
    ) {
        let mut pool = pool(true);
        let mut ended = BTreeSet::new();
        let mut running = VecDeque::new();
        let mut now = Micros::ZERO;
        for (id, (priority, account, objective, gap)) in requests.iter().enumerate() {
            let id = id as u64;
            now += ms(*gap);
            let mut decisions = pool.tick(now);
            while running.front().is_some_and(|(end, _, _)| *end <= now) {
                let (_, id, server) = running.pop_front().unwrap();
                decisions.extend(pool.finish_attempt(now, id, server, AttemptOutcome::answered(None)));
            }
            let account = (*account > 0).then(|| format!("a{account}").as_str().into());
            decisions.extend(pool.offer(now, PendingRequest {
                priority: *priority * 4,
                objective: now + ms(*objective * 1000),
                latency_objective: Some(ms(*objective * 1000)),
                weight: account.as_ref().map(|_| 10.0),
                account,
                ..PendingRequest::new(id, now, now + ms(8000))
            }));
            for decision in decisions {
                let request_id = match decision {
                    Decision::Start { request_id, server } => {
                        running.push_back((now + SERVICE_TIME, request_id, server));
                        request_id
                    }
                    Decision::Reject { request_id, .. } => request_id,
                };
                prop_assert!(ended.insert(request_id), "{} ended twice", request_id);
            }
            let has_room = running.len() < usize::from(SERVERS) * 3;
            prop_assert!(!has_room || pool.get_queue_len() == 0, "a server is idle");
        }
    }
}
