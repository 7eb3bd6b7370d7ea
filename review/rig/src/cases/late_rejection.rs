//! TWICE and REFUSED: a full server rejects a health check; a second copy of the rejection arrives late, where
//! the answer to a later request is expected.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::clients::{Kind, press};
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const SERVICE: &str = "caja";
const LENGTH: Duration = Duration::from_secs(30);
/// One of as many rejected health checks gets a second answer.
const EACH: u32 = 20;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let route = Route {
        host: "hulo84.example",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: SERVICE,
        other_service: "escaparate",
        timeout_ms: 1000,
        target_ms: 150,
    };
    let world = World::start(folder, &route, 6, |store, record| {
        for number in 0..4 {
            let setup = Setup {
                id: format!("i-{number}"),
                service: SERVICE.to_owned(),
                zone: ZONES[number % 2].to_owned(),
                slots: 3,
                queue: 2,
                work: Duration::from_millis(36),
                repeats_misdirected: false,
                repeats_rejection_each: if has_trouble { EACH } else { 0 },
                tells_load: false,
                endless_each: 0,
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
        deadline: Duration::from_millis(1000),
        per_s: 360.0,
    };
    let until = Instant::now() + LENGTH;
    let outcomes = press(&kind, &world.callers(), until, &world.record, |_| true);
    super::is_run_wrongly(&world.record, &outcomes)
}
