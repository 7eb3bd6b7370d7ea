//! Room to spare, without which requests that may as well wait are not started.

use lentilcart_route::{
    LoadReport, PendingRequest, PoolConfig, ServerConfig, ServerPool, get_policy,
};
use lentilcart_util::Micros;

/// Creates a pool of four servers with two slots each.
fn create_pool() -> ServerPool {
    let config = PoolConfig {
        policy: get_policy("late-paced").unwrap(),
        overcommit: 0,
        ..PoolConfig::default()
    };
    let mut pool = ServerPool::new(config, 1);
    let servers: Vec<ServerConfig> = (0..4)
        .map(|number| ServerConfig::new(([127, 0, 0, 1], 1000 + number).into(), 2))
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    pool
}

/// Reports one running request at each of some servers.
fn report_running(pool: &mut ServerPool, servers: usize) {
    let load = LoadReport {
        running: 1,
        waiting: 0,
        slots: Some(2),
        slowdown: Some(1.0),
    };
    for server in 0..servers {
        pool.record_load_report(Micros::ZERO, server, load);
    }
}

/// Guards against early requests of callers that send ahead, which took the last slots of a service from
/// requests with a short objective.
#[test]
fn has_spare_room_while_quarter_of_servers_is_idle() {
    let mut pool = create_pool();
    assert!(pool.has_spare_room(Micros::ZERO));
    report_running(&mut pool, 3);
    assert!(pool.has_spare_room(Micros::ZERO));
    report_running(&mut pool, 4);
    assert!(!pool.has_spare_room(Micros::ZERO));
}

/// Guards against early requests that go before queued ones.
#[test]
fn has_spare_room_not_with_queued_requests() {
    let mut pool = create_pool();
    let deadline = Micros::from_millis(5000);
    for id in 0..8 {
        pool.offer(
            Micros::ZERO,
            PendingRequest::new(id, Micros::ZERO, deadline),
        );
    }
    assert!(!pool.has_spare_room(Micros::ZERO));
    pool.offer(Micros::ZERO, PendingRequest::new(8, Micros::ZERO, deadline));
    assert_eq!(pool.get_queue_len(), 1);
    assert!(!pool.has_spare_room(Micros::ZERO));
}

/// Guards against a service without usable servers that counts as one with room.
#[test]
fn has_spare_room_not_without_servers() {
    let pool = ServerPool::new(PoolConfig::default(), 1);
    assert!(!pool.has_spare_room(Micros::ZERO));
}
