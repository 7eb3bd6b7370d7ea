//! TWICE and REFUSED: a server restarts at its address under a new id and answers a request for the old id
//! with 421; a second copy of that answer arrives late, where the answer to a later request is expected.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::clients::{Kind, press};
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const SERVICE: &str = "caja";
const LENGTH: Duration = Duration::from_secs(60);
/// Time between two restarts.
const ROUND: Duration = Duration::from_secs(6);
/// Time that a server is down.
const DOWN: Duration = Duration::from_millis(300);
/// Time from the start of a server to its first entry in the store; less than `heartbeatMs`.
const FIRST_BEAT: Duration = Duration::from_millis(1000);
/// Three heartbeat intervals, after which the entry of a silent server is removed.
const LAPSE: Duration = Duration::from_millis(4500);

fn setup(id: String, zone: &str) -> Setup {
    Setup {
        id,
        service: SERVICE.to_owned(),
        zone: zone.to_owned(),
        slots: 3,
        work: Duration::from_millis(36),
        repeats_misdirected: true,
        repeats_rejection_each: 0,
        tells_load: true,
        queue: 6,
        endless_each: 0,
    }
}

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let mut servers: Vec<Arc<Server>> = Vec::new();
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
        for (index, zone) in ZONES.iter().enumerate() {
            let address = SocketAddr::new(ip(50 + index as u8), 0);
            let server = Server::start(address, setup(format!("i-{index}-0"), zone), record);
            store.put(&server.key(), &server.entry("ready", 1));
            servers.push(server);
        }
    });
    let until = Instant::now() + LENGTH;
    let (store, record) = (world.store.clone(), world.record.clone());
    let restarts = has_trouble.then(|| {
        std::thread::spawn(move || {
            let mut round = 0;
            let mut old = servers[0].clone();
            while Instant::now() + ROUND < until {
                round += 1;
                let end = Instant::now() + ROUND;
                old.crash();
                std::thread::sleep(DOWN);
                let started = Instant::now();
                let id = format!("i-0-{round}");
                let new = Server::start(old.address, setup(id, ZONES[0]), &record);
                record.line(&format!("server i-0-{round} starts at {}", new.address));
                std::thread::sleep(FIRST_BEAT.saturating_sub(started.elapsed()));
                store.put(&new.key(), &new.entry("ready", 1));
                std::thread::sleep(LAPSE - DOWN - FIRST_BEAT);
                store.remove(&old.key());
                old = new;
                std::thread::sleep(end.saturating_duration_since(Instant::now()));
            }
        })
    });
    let kind = Kind {
        method: "POST",
        host: route.host.to_owned(),
        path: format!("{}2f", route.prefix),
        deadline: Duration::from_millis(1000),
        per_s: 90.0,
    };
    let outcomes = press(&kind, &world.callers(), until, &world.record, |_| true);
    if let Some(restarts) = restarts {
        restarts.join().ok();
    }
    super::is_run_wrongly(&world.record, &outcomes)
}
