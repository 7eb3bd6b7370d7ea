//! CONFIG: some answers of a server have bodies without end, and their requests get no final answer by the
//! timeout of their route.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::clients::{Kind, press};
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const SERVICE: &str = "apartados";
const LENGTH: Duration = Duration::from_secs(60);
/// `timeoutMs` of the route, and the clients' deadline.
const TIMEOUT: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_millis(1500);
/// Time after the timeout by which the final answer is due.
const SLACK: Duration = Duration::from_millis(500);
/// one of as many answers of two servers is without end.
const EACH: u32 = 25;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let route = Route {
        host: "hulo84.example",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: SERVICE,
        other_service: "escaparate",
        timeout_ms: TIMEOUT.as_millis() as u32,
        target_ms: 250,
    };
    let world = World::start(folder, &route, 6, |store, record| {
        for number in 0..4 {
            let setup = Setup {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: ZONES[number % 2].to_owned(),
                slots: 3,
                work: Duration::from_millis(66),
                repeats_misdirected: false,
                repeats_rejection_each: 0,
                tells_load: true,
                queue: 6,
                endless_each: if has_trouble && number < 2 { EACH } else { 0 },
            };
            let address = SocketAddr::new(ip(50 + number as u8), 0);
            let server = Server::start(address, setup, record);
            store.put(&server.key(), &server.entry("ready", 1));
        }
    });
    let kind = Kind {
        method: "POST",
        host: route.host.to_owned(),
        path: format!("{}2f", route.prefix),
        deadline: DEADLINE,
        per_s: 60.0,
    };
    let until = Instant::now() + LENGTH;
    let outcomes = press(&kind, &world.callers(), until, &world.record, |_| true);
    let is_longer = |time: Duration| time > TIMEOUT;
    let longer: Vec<_> = outcomes
        .iter()
        .filter(|outcome| is_longer(outcome.ended - outcome.sent))
        .collect();
    let mut late = 0;
    for outcome in &longer {
        let time = outcome.ended - outcome.sent;
        if time > TIMEOUT + SLACK {
            late += 1;
            world.record.line(&format!(
                "CONFIG: {} has no final answer {} ms after it was sent; its route's timeout is {} ms",
                outcome.id,
                time.as_millis(),
                TIMEOUT.as_millis()
            ));
        }
    }
    println!(
        "{} requests, {} lasted longer than the timeout of their route, {late} of them had no final answer {} ms later",
        outcomes.len(),
        longer.len(),
        SLACK.as_millis()
    );
    late >= 8 && late * 4 > longer.len()
}
