//! Embeds the routing decisions without the daemon.

use lentilcart_route::{Job, Outcome, Pool, PoolConfig, ServerConfig, Step};
use lentilcart_util::Micros;

const SERVERS: u8 = 2;
const SLOTS: u32 = 1;

fn main() {
    let mut pool = Pool::new(
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
        let steps = pool.offer(now, Job::new(id, now, now + Micros::from_millis(100)));
        println!("request {id}: {steps:?}");
    }
    let steps = pool.settle(Micros::from_millis(9), 1, 0, Outcome::answered(None));
    for step in steps {
        match step {
            Step::Start { job, server } => println!("request {job} starts at server {server}"),
            Step::Refuse { job, reason } => println!("request {job} is refused: {reason:?}"),
        }
    }
}
