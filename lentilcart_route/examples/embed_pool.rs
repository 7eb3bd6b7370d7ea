//! Embeds the routing decisions in a program without the daemon.

use lentilcart_route::{
    AttemptOutcome, Decision, PendingRequest, PoolConfig, ServerConfig, ServerPool,
};
use lentilcart_util::Micros;

const SERVERS: u8 = 2;
const SLOTS: u32 = 1;

fn main() {
    let mut pool = ServerPool::new(
        PoolConfig {
            overcommit: 0,
            ..PoolConfig::default()
        },
        7,
    );
    let address = |number| ([10, 0, 0, number], 80).into();
    let servers: Vec<ServerConfig> = (0..SERVERS)
        .map(|number| ServerConfig::new(address(number), SLOTS))
        .collect();
    pool.set_servers(Micros::ZERO, &servers);
    for id in 1..=3 {
        let now = Micros::from_millis(id);
        let decisions = pool.offer(
            now,
            PendingRequest::new(id, now, now + Micros::from_millis(100)),
        );
        println!("request {id}: {decisions:?}");
    }
    let decisions =
        pool.finish_attempt(Micros::from_millis(9), 1, 0, AttemptOutcome::answered(None));
    for decision in decisions {
        match decision {
            Decision::Start { request_id, server } => {
                println!("request {request_id} starts at server {server}");
            }
            Decision::Reject { request_id, reason } => {
                println!("request {request_id} is rejected: {reason:?}");
            }
        }
    }
}
