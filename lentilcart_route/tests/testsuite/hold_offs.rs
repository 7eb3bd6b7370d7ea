//! Servers that want no requests from an entry for a time.

use std::collections::VecDeque;
use std::net::SocketAddr;

use lentilcart_route::{
    AttemptOutcome, Decision, NoticeSource, PendingRequest, PoolConfig, Rejection, Restriction,
    ServerConfig, ServerNotice, ServerPool, get_policy,
};
use lentilcart_util::Micros;
use proptest::prelude::*;

const DEADLINE: Micros = Micros::from_millis(1000);

fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

fn sender(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 70))
}

fn server(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn hold_off(time: Micros) -> ServerNotice {
    ServerNotice {
        retry_after: Some(time),
        ..ServerNotice::EMPTY
    }
}

/// Returns a pool of servers with 3 slots that have started at `started_ms`.
fn pool(count: u8) -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    pool.set_servers(Micros::ZERO, &servers(count, 1));
    pool
}

fn servers(count: u8, started_ms: u64) -> Vec<ServerConfig> {
    (0..count)
        .map(|number| ServerConfig {
            started_ms,
            ..ServerConfig::new(server(number), 3)
        })
        .collect()
}

fn request(now: Micros, id: u64, from: u8) -> PendingRequest {
    PendingRequest {
        sender: Some(sender(from)),
        ..PendingRequest::new(id, now, now + DEADLINE)
    }
}

/// Offers a request that is cancelled at once if it is started, and returns its server or the rejection;
/// `None` if it is queued, which it does not stay.
fn offer(
    pool: &mut ServerPool,
    now: Micros,
    request: PendingRequest,
) -> Option<Result<usize, Rejection>> {
    let id = request.id;
    match pool.offer(now, request)[..] {
        [Decision::Start { request_id, server }] => {
            pool.finish_attempt(now, request_id, server, AttemptOutcome::Cancelled);
            Some(Ok(server))
        }
        [Decision::Reject { reason, .. }] => Some(Err(reason)),
        _ => {
            pool.cancel_queued(id);
            None
        }
    }
}

/// Guards against a server that gets requests from an entry that it has told to hold off, and against one
/// that gets none from others.
#[test]
fn offer_skips_server_that_holds_sender_off() {
    let mut pool = pool(2);
    let first = pool.offer(ms(0), request(ms(0), 1, 1));
    let [Decision::Start { server, .. }] = first[..] else {
        panic!("{first:?}");
    };
    let outcome = AttemptOutcome::Full {
        load: None,
        notice: hold_off(ms(2000)),
    };
    pool.finish_attempt(ms(10), 1, server, outcome);
    for id in 2..40 {
        assert_eq!(
            offer(&mut pool, ms(20), request(ms(20), id, 1)),
            Some(Ok(1 - server))
        );
    }
    let other_sender = (40..80).map(|id| offer(&mut pool, ms(20), request(ms(20), id, 2)));
    assert!(other_sender.collect::<Vec<_>>().contains(&Some(Ok(server))));
    // Neither an answer without a notice nor a shorter time ends it.
    pool.record_notice(
        ms(100),
        server,
        Some(sender(1)),
        ServerNotice::EMPTY,
        NoticeSource::Request,
    );
    pool.record_notice(
        ms(100),
        server,
        Some(sender(1)),
        hold_off(ms(5)),
        NoticeSource::Request,
    );
    assert_eq!(
        pool.get_held_off_servers(ms(2009), Some(sender(1))).len(),
        1
    );
    assert!(
        pool.get_held_off_servers(ms(2010), Some(sender(1)))
            .is_empty()
    );
}

/// Guards against a request that is parked although no server wants it, and against a rejection that does
/// not say when one will.
#[test]
fn offer_rejects_where_all_servers_hold_off() {
    let mut pool = pool(2);
    for (server, time) in [(0, ms(900)), (1, ms(300))] {
        pool.record_notice(
            ms(0),
            server,
            Some(sender(1)),
            hold_off(time),
            NoticeSource::Request,
        );
    }
    let rejected = offer(&mut pool, ms(100), request(ms(100), 1, 1));
    assert_eq!(rejected, Some(Err(Rejection::Overload)));
    let restriction = pool.get_restriction(ms(100), Some(sender(1)), &[]);
    assert_eq!(restriction, Some((ms(200), Restriction::HoldOff)));
    let without_second = pool.get_restriction(ms(100), Some(sender(1)), &[server(1)]);
    assert_eq!(without_second, Some((ms(800), Restriction::HoldOff)));
    assert_eq!(pool.get_restriction(ms(100), Some(sender(2)), &[]), None);
    assert_eq!(
        offer(&mut pool, ms(300), request(ms(300), 2, 1)),
        Some(Ok(1))
    );
}

/// Guards against a retry that is parked although it has tried every server of its service.
#[test]
fn offer_rejects_where_all_servers_are_excluded() {
    let mut pool = pool(2);
    let request = PendingRequest {
        excluded: vec![server(0), server(1)],
        ..request(ms(0), 1, 1)
    };
    assert_eq!(
        offer(&mut pool, ms(0), request),
        Some(Err(Rejection::Overload))
    );
}

/// Guards against a hold-off that is kept for the next instance at the address.
#[test]
fn hold_off_ends_with_instance() {
    let mut pool = pool(1);
    pool.record_notice(
        ms(0),
        0,
        Some(sender(1)),
        hold_off(Micros(u64::MAX)),
        NoticeSource::Request,
    );
    assert_eq!(
        offer(&mut pool, ms(60_000), request(ms(60_000), 1, 1)),
        Some(Err(Rejection::Overload))
    );
    pool.set_servers(ms(60_000), &servers(1, 2));
    assert_eq!(
        offer(&mut pool, ms(60_000), request(ms(60_000), 2, 1)),
        Some(Ok(0))
    );
}

/// What a request meets on its way in the property test.
#[derive(Debug, Clone)]
enum Event {
    /// A request asks the owner for a permit.
    Ask,
    /// The oldest permit in flight arrives, and its request is sent unless its server holds off.
    Arrive,
    /// The server of the oldest request that was sent answers: with a hold-off of this time in
    /// milliseconds, or without one.
    Answer(Option<u64>),
    /// Another owner takes over, which knows nothing.
    LoseOwner,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => Just(Event::Ask),
        4 => Just(Event::Arrive),
        3 => prop::option::of(0..3000_u64).prop_map(Event::Answer),
        1 => Just(Event::LoseOwner),
    ]
}

proptest! {
    /// Guards against an order of answers, permits in flight and lost owners in which an entry sends a
    /// request to a server that it knows to hold it off.
    #[test]
    fn requests_respect_hold_offs(events in prop::collection::vec((event(), 1..100_u64), 300)) {
        // The entry's own pool learns of each answer; the owner's only of outcomes.
        let (mut own, mut owner) = (pool(2), pool(2));
        let (mut permits, mut sent) = (VecDeque::new(), VecDeque::new());
        let (mut now, mut id) = (ms(0), 0);
        let mut held_until = [ms(0); 2];
        for (event, gap) in events {
            now += ms(gap);
            match event {
                Event::Ask => {
                    id += 1;
                    let held_off = own.get_held_off_servers(now, Some(sender(1)));
                    let request = PendingRequest {
                        excluded: held_off,
                        ..request(now, id, 1)
                    };
                    let decisions = owner.offer(now, request);
                    permits.extend(decisions.into_iter().filter_map(|decision| match decision {
                        Decision::Start { request_id, server } => Some((request_id, server)),
                        Decision::Reject { .. } => None,
                    }));
                }
                Event::Arrive => {
                    let Some((request_id, index)) = permits.pop_front() else {
                        continue;
                    };
                    let held_off = own.get_held_off_servers(now, Some(sender(1)));
                    if held_off.contains(&server(index as u8)) {
                        owner.finish_attempt(now, request_id, index, AttemptOutcome::Cancelled);
                        continue;
                    }
                    prop_assert!(held_until[index] <= now);
                    sent.push_back((request_id, index));
                }
                Event::Answer(time) => {
                    let Some((request_id, index)) = sent.pop_front() else {
                        continue;
                    };
                    let notice = time.map_or(ServerNotice::EMPTY, |time| hold_off(ms(time)));
                    held_until[index] = held_until[index].max(now + notice.retry_after.unwrap_or_default());
                    own.record_notice(now, index, Some(sender(1)), notice, NoticeSource::Request);
                    let outcome = AttemptOutcome::Full { load: None, notice };
                    owner.finish_attempt(now, request_id, index, outcome);
                }
                Event::LoseOwner => owner = pool(2),
            }
        }
    }
}
