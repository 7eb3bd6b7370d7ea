//! An account's limit across all entries, while the store loses answers to writes, which it does late: the late
//! registration of a third daemon that starts takes the place of its next one.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, Calls, Plan};
use crate::daemon::{Daemon, Net};
use crate::record::Record;
use crate::server::{Runs, Server};
use crate::store::{Fate, Store};

const KEY: &str = "r26tta828m82thhkmgjq";
/// Limit of the account: `ratePerS` and `burst`.
const RATE: f64 = 100.0;
const BURST: f64 = 20.0;
/// `quotaWindowS`, `quotaOverage` and `quotaSlack`.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Time by which the store does writes late that it has not answered: the pages say 1 to 6 s.
const LATE: Duration = Duration::from_millis(5000);
/// Number of writes of registrations of the third daemon that are lost.
const LOST: usize = 2;
const SERVERS: u8 = 8;
const WORK: Duration = Duration::from_millis(40);
/// Clients of each daemon, and the time between two requests of one.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(110);
/// Time for which clients send.
const TRAFFIC: Duration = Duration::from_secs(40);

const CONFIG: &str = r#"{"version":"r7","services":[{"name":"grafik","healthPath":"/healthz","maxConns":1000,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"klinika","apiKeys":["r26tta828m82thhkmgjq"],"priority":0,"ratePerS":100,"burst":20}],"hosts":[{"host":"karetka.example","paths":[{"name":"slots","pathPrefix":"/slots/","routeKind":"safe","timeoutMs":1500,"targetLatencyMs":500,"priority":0,"service":"grafik","maxAttempts":2,"public":false}]}]}"#;

const SETTINGS: &str = "[warmup]\noverage = 1.5\nslack = 8\n\n[accounts]\nwindow = \"5s\"\noverage = 0.1\nslack = 20\n";

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let text = |error: std::io::Error| error.to_string();
    let net = Net::find().map_err(text)?;
    let third = net.address(3, 0).ip();
    let rule = move |ip, path: &str, number| match path {
        "/kv-txn" if has_trouble && ip == third && number < LOST => Fate::Late(LATE),
        _ => Fate::Answered,
    };
    let store = Store::start(net.store(), record.clone(), rule).map_err(text)?;
    store.put("op/config", CONFIG);
    let runs = Runs::default();
    for number in 0..SERVERS {
        let (id, address) = (format!("i-{number}"), net.server(number));
        let place = (
            "grafik",
            ["lodz-a", "lodz-b", "lodz-c"][usize::from(number) % 3],
        );
        let server = Server::start(&id, address, place, WORK, runs.clone(), record.clone());
        server.map_err(text)?.register(&store);
    }
    let start = |host, zone| Daemon::start(&net, folder, host, zone, SETTINGS).map_err(text);
    let mut daemons = vec![start(1, "lodz-a")?, start(2, "lodz-b")?];
    for daemon in &daemons {
        daemon.wait_ready(Duration::from_secs(10)).map_err(text)?;
    }
    thread::sleep(Duration::from_secs(3));
    record.tell("a third daemon starts".to_owned());
    daemons.push(start(3, "lodz-c")?);
    daemons[2]
        .wait_ready(Duration::from_secs(10))
        .map_err(text)?;
    thread::sleep(Duration::from_secs(4));
    let (calls, stop) = (Calls::default(), Arc::new(AtomicBool::new(false)));
    record.tell("clients send".to_owned());
    let mut clients = Vec::new();
    for daemon in &daemons {
        for _ in 0..CLIENTS {
            let plan = Plan {
                entry: daemon.callers,
                method: "GET",
                path: "/slots/today",
                host: "karetka.example",
                key: Some(KEY),
                deadline: Duration::from_millis(1500),
                pause: PAUSE,
            };
            clients.push(client::start(
                plan,
                calls.clone(),
                record.clone(),
                stop.clone(),
            ));
            thread::sleep(Duration::from_millis(4));
        }
    }
    thread::sleep(TRAFFIC);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().ok();
    }
    for daemon in &mut daemons {
        if !daemon.is_running() {
            return Err(format!("{} has ended by itself", daemon.name));
        }
        let key = format!("lentilcart/hosts/{}", daemon.name);
        record.tell(format!(
            "{key} in the store at the end: {}",
            store.has(&key)
        ));
    }
    check(record, &calls, &runs)
}

/// Checks the rule QUOTA: in no window of 5 s are more requests of the account both sent and run than allowed.
fn check(record: &Record, calls: &Calls, runs: &Runs) -> Verdict {
    let calls = calls.lock().unwrap();
    let sent: std::collections::HashMap<&str, Duration> = calls
        .iter()
        .map(|call| (call.id.as_str(), call.sent))
        .collect();
    let runs = runs.lock().unwrap();
    let mut times: Vec<(Duration, Duration)> = runs
        .iter()
        .filter(|run| run.account == "klinika")
        .filter_map(|run| Some((run.at, *sent.get(run.id.as_str())?)))
        .collect();
    times.sort();
    let bound = (RATE * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let (mut most, mut at, mut over) = (0, Duration::ZERO, 0);
    for (end, _) in &times {
        let start = end.saturating_sub(WINDOW);
        let inside = times
            .iter()
            .filter(|(run, sent)| run <= end && *sent > start)
            .count();
        over += usize::from(inside as f64 > bound);
        if inside > most {
            (most, at) = (inside, *end);
        }
    }
    let count = |status| calls.iter().filter(|call| call.status == status).count();
    record.tell(format!(
        "{} requests sent, {} run; answers: 200 {}, 429 {}, 503 {}",
        calls.len(),
        times.len(),
        count(200),
        count(429),
        count(503)
    ));
    record.tell(format!(
        "QUOTA: bound {bound:.0} in 5 s; most {most}, in the 5 s before {:.3}; windows beyond the bound: {over}",
        at.as_secs_f64()
    ));
    if times.len() < 1000 {
        return Err("too few requests were run to tell".to_owned());
    }
    Ok(over == 0)
}
