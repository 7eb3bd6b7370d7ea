//! LOST: a daemon gets SIGTERM while requests wait in its queue.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::clients::{Kind, press};
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const SERVICE: &str = "apartados";
const GRACE_S: u32 = 6;
/// Time from the start of the traffic to the SIGTERM.
const LEAD: Duration = Duration::from_secs(10);
/// Time from the SIGTERM to the end of the traffic.
const REST: Duration = Duration::from_secs(10);
/// `lossSlackMs`
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Requests a second to both daemons: 2.5 times what the servers can run.
const RATE: f64 = 40.0;

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let route = Route {
        host: "hulo84.example",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: SERVICE,
        other_service: "escaparate",
        timeout_ms: 8000,
        target_ms: 1200,
    };
    let mut servers = Vec::new();
    let mut world = World::start(folder, &route, GRACE_S, |store, record| {
        for (index, zone) in ZONES.iter().enumerate() {
            let setup = Setup {
                id: format!("i-{index}"),
                service: SERVICE.to_owned(),
                zone: (*zone).to_owned(),
                slots: 3,
                work: Duration::from_millis(380),
                repeats_misdirected: false,
                repeats_rejection_each: 0,
                tells_load: true,
                queue: 6,
                endless_each: 0,
            };
            let address = SocketAddr::new(ip(50 + index as u8), 0);
            let server = Server::start(address, setup, record);
            store.put(&server.key(), &server.entry("ready", 1));
            servers.push(server);
        }
    });
    let kind = Kind {
        method: "POST",
        host: route.host.to_owned(),
        path: format!("{}2f", route.prefix),
        deadline: Duration::from_millis(8000),
        per_s: RATE,
    };
    let targets = world.callers();
    let (stopped, record) = (targets[0], world.record.clone());
    let is_stopping = AtomicBool::new(false);
    let started = Instant::now();
    let mut term = None;
    let outcomes = std::thread::scope(|scope| {
        let pressing = scope.spawn(|| {
            // The platform sends a daemon that is not ready no new connections, after two misses.
            press(&kind, &targets, started + LEAD + REST, &record, |target| {
                target != stopped || !is_stopping.load(Ordering::SeqCst)
            })
        });
        std::thread::sleep(LEAD.saturating_sub(started.elapsed()));
        let daemon = &mut world.daemons[0];
        if has_trouble {
            term = Some(Instant::now());
            record.line(&format!("SIGTERM to {}", daemon.name));
            daemon.signal("TERM");
            std::thread::sleep(Duration::from_secs(2));
            is_stopping.store(true, Ordering::SeqCst);
            record.line("no new connections to it");
            let end =
                Instant::now() + Duration::from_secs(u64::from(GRACE_S)) - Duration::from_secs(2);
            while !daemon.has_ended() && Instant::now() < end {
                std::thread::sleep(Duration::from_millis(5));
            }
            record.line("the process has ended, or gets SIGKILL");
            daemon.kill();
        }
        pressing.join().expect("clients")
    });
    let runs = world.record.runs();
    // Requests that the daemon read and whose connection ended without an answer, though no server had
    // begun with them and their time had not run out.
    let lost = outcomes.iter().filter(|outcome| {
        let time = outcome.ended - outcome.sent;
        let is_planned = term.is_none_or(|term| {
            outcome.target == stopped
                && outcome.ended < term + Duration::from_secs(u64::from(GRACE_S) + 1)
        });
        is_planned
            && outcome.status.is_none()
            && outcome.is_read
            && !runs.contains_key(&outcome.id)
            && time > LOSS_SLACK
            && time < kind.deadline
    });
    let mut count = 0;
    for outcome in lost {
        count += 1;
        let after = term.map_or(0, |term| {
            (outcome.sent - term.min(outcome.sent)).as_millis()
        });
        let time = (outcome.ended - outcome.sent).as_millis();
        world.record.line(&format!(
            "LOST: {} was sent {after} ms after the SIGTERM, waited {time} ms, was never passed on and got no answer",
            outcome.id
        ));
    }
    let served = outcomes.iter().filter(|o| o.status == Some(200)).count();
    let refused = outcomes.iter().filter(|o| o.status == Some(503)).count();
    println!(
        "{} requests, {served} served, {refused} refused, {count} waited and got no answer",
        outcomes.len()
    );
    count > 0
}
