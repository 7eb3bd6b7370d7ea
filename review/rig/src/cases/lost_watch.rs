//! CONFIG: the store's answers to the watches that tell a new configuration are lost.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::clients::{Kind, press};
use crate::net::ip;
use crate::server::{Server, Setup};
use crate::world::{Route, World, ZONES};

const OLD: &str = "caja";
const NEW: &str = "escaparate";
/// Time from the start of the traffic to the loss of answers.
const LEAD: Duration = Duration::from_secs(5);
/// Time for which answers are lost; the configuration is changed in it.
const LOSS: Duration = Duration::from_millis(1200);
/// Time from the start of the loss to the change.
const CHANGE: Duration = Duration::from_millis(200);
/// `contactMs`, `configApplyMs` and `skewMaxMs`.
const CONTACT: Duration = Duration::from_millis(3000);
const APPLY: Duration = Duration::from_millis(2000);
const SKEW: Duration = Duration::from_millis(5000);
const LENGTH: Duration = Duration::from_secs(40);

pub fn run(folder: &Path, has_trouble: bool) -> bool {
    let route = Route {
        host: "hulo84.example",
        prefix: "/xapu221/",
        kind: "unsafe",
        service: OLD,
        other_service: NEW,
        timeout_ms: 1000,
        target_ms: 150,
    };
    let moved = Route {
        service: NEW,
        other_service: OLD,
        ..route
    };
    let world = World::start(folder, &route, 6, |store, record| {
        for (index, (service, zone)) in [(OLD, 0), (OLD, 1), (NEW, 0), (NEW, 1)].iter().enumerate()
        {
            let setup = Setup {
                id: format!("{service}-{index}"),
                service: (*service).to_owned(),
                zone: ZONES[*zone].to_owned(),
                slots: 3,
                work: Duration::from_millis(36),
                repeats_misdirected: false,
                repeats_rejection_each: 0,
                tells_load: true,
                queue: 6,
                endless_each: 0,
            };
            let server = Server::start(SocketAddr::new(ip(50 + index as u8), 0), setup, record);
            store.put(&server.key(), &server.entry("ready", 1));
        }
    });
    let started = Instant::now();
    let (store, record) = (world.store.clone(), world.record.clone());
    let change = std::thread::spawn(move || {
        std::thread::sleep(LEAD);
        if has_trouble {
            record.line("answers of the store are lost from now on");
            store.lose_answers("op/config");
        }
        std::thread::sleep(CHANGE);
        store.put("op/config", &moved.config(8));
        let acknowledged = Instant::now();
        record.line("r8 is acknowledged: the route goes to the new service");
        std::thread::sleep(LOSS - CHANGE);
        let (answers, lost) = store.stop_losing();
        record.line(&format!(
            "no more answers are lost; {lost} of {answers} were"
        ));
        println!("{lost} of {answers} answers of the store were lost");
        acknowledged
    });
    let kind = Kind {
        method: "POST",
        host: route.host.to_owned(),
        path: format!("{}2f", route.prefix),
        deadline: Duration::from_millis(1000),
        per_s: 20.0,
    };
    let outcomes = press(
        &kind,
        &world.callers(),
        started + LENGTH,
        &world.record,
        |_| true,
    );
    let acknowledged = change.join().expect("change of the configuration");
    // The store is stable again, machines are in touch, and the bound is stretched by all that a page allows.
    let judged_from = acknowledged + LOSS + CONTACT + APPLY + SKEW;
    let runs = world.record.runs();
    let mut stale = 0;
    let mut last = Duration::ZERO;
    for outcome in outcomes.iter().filter(|outcome| outcome.sent > judged_from) {
        let servers = runs.get(&outcome.id).cloned().unwrap_or_default();
        if servers.iter().any(|server| server.starts_with(OLD)) {
            stale += 1;
            last = last.max(outcome.sent - acknowledged);
            world.record.line(&format!(
                "CONFIG: {} was sent {} ms after the acknowledgement and run by {servers:?}",
                outcome.id,
                (outcome.sent - acknowledged).as_millis()
            ));
        }
    }
    println!(
        "{} requests, {stale} run by the old service in touch, the last {} ms after the acknowledgement",
        outcomes.len(),
        last.as_millis()
    );
    stale > 0
}
