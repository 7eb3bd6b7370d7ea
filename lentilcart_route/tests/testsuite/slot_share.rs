//! Shares of the slots of entries that choose servers without an owner.

use lentilcart_route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool, get_policy,
};
use lentilcart_util::{Map, Micros};

const DEADLINE: Micros = Micros::from_millis(6000);

/// Creates the pool of an entry for servers with 3 slots each.
fn create_pool(servers: u16, seed: u64) -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        data_center: "d0".into(),
        overcommit: 0,
        wait_share: 1.0,
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, seed);
    let servers: Vec<ServerConfig> = (0..servers)
        .map(|number| ServerConfig {
            data_center: "d0".into(),
            ..ServerConfig::new(([127, 0, 0, 1], 1000 + number).into(), 3)
        })
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    pool
}

fn request(pool: &ServerPool, id: u64, entries: Option<usize>) -> PendingRequest {
    PendingRequest {
        max_outstanding: entries.map(|entries| pool.get_slot_share(entries)),
        ..PendingRequest::new(id, Micros::ZERO, DEADLINE)
    }
}

/// Returns the index of the server of each start.
fn get_starts(decisions: &[Decision]) -> Vec<usize> {
    let get_server = |decision: &Decision| match decision {
        Decision::Start { server, .. } => Some(*server),
        Decision::Reject { .. } => None,
    };
    decisions.iter().filter_map(get_server).collect()
}

/// Returns how many requests reach each server, by its index, if each of 52 entries offers `offered` and knows
/// nothing of the others.
fn fill(entries: Option<usize>, offered: u64) -> Map<usize, u32> {
    let mut requests: Map<usize, u32> = Map::default();
    for entry in 0..52 {
        let mut pool = create_pool(51, entry);
        for id in 0..offered {
            let request = request(&pool, id, entries);
            for server in get_starts(&pool.offer(Micros::ZERO, request)) {
                *requests.entry(server).or_default() += 1;
            }
        }
    }
    requests
}

/// Guards against servers that are filled many times over after all 52 entries of a data centre start at
/// once: together they send no more requests than there are slots.
#[test]
fn shares_of_all_entries_fit_into_slots() {
    let total = |requests: Map<usize, u32>| requests.values().sum::<u32>();
    assert!(total(fill(Some(52), 20)) <= 51 * 3);
    // Without the limit, each entry fills the servers by itself.
    assert!(total(fill(None, 20)) > 51 * 3 * 5);
}

/// Guards against an entry that serves nobody since its share is below one slot.
#[test]
fn share_is_at_least_one() {
    let pool = create_pool(2, 1);
    assert_eq!(pool.get_slot_share(52), 1);
    assert_eq!(pool.get_slot_share(1), 6);
    assert_eq!(pool.get_slot_share(0), 6);
}

/// Guards against a request that waits for good once its entry has used its share: it starts when an attempt
/// of the entry ends, and requests that the entry grants as an owner do not wait for it.
#[test]
fn request_beyond_share_waits_for_own_attempt() {
    let mut pool = create_pool(2, 1);
    let limited = |pool: &ServerPool, id| request(pool, id, Some(6));
    let first = limited(&pool, 1);
    let started = get_starts(&pool.offer(Micros::ZERO, first));
    assert_eq!(started.len(), 1);
    let second = limited(&pool, 2);
    assert!(pool.offer(Micros::ZERO, second).is_empty());
    let unlimited = request(&pool, 3, None);
    let other = get_starts(&pool.offer(Micros::ZERO, unlimited));
    assert_eq!(other.len(), 1);
    let now = Micros::from_millis(300);
    pool.finish_attempt(now, 3, other[0], AttemptOutcome::Cancelled);
    let decisions = pool.finish_attempt(now, 1, started[0], AttemptOutcome::Cancelled);
    assert_eq!(get_starts(&decisions).len(), 1);
}
