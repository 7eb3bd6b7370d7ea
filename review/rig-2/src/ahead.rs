//! Lookups that a client sends behind a long answer, at a daemon that is stopped in order while the answer is on its
//! way.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Net};
use crate::http::Connection;
use crate::record::Record;
use crate::server::{Runs, Server};
use crate::store::{Fate, Store};

/// `lossSlackMs`.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// `graceS`, and the time after it until which requests count.
const GRACE: Duration = Duration::from_millis(6000);
const AFTER_GRACE: Duration = Duration::from_millis(1000);
/// The client's deadline, and the route's `timeoutMs`.
const DEADLINE: Duration = Duration::from_millis(6000);
/// Time from the first request until the daemon gets SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(1200);
/// Times from the first request at which the client sends its further ones.
const FURTHER: [Duration; 2] = [Duration::from_millis(1600), Duration::from_millis(2200)];
/// Clients, one after the other.
const CLIENTS: usize = 5;

const CONFIG: &str = r#"{"version":"r7","services":[{"name":"lampbook","healthPath":"/healthz","maxConns":1750,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"hosts":[{"host":"nlsl.example","paths":[{"name":"fault-history","pathPrefix":"/history/","routeKind":"safe","timeoutMs":6000,"targetLatencyMs":800,"priority":0,"service":"lampbook","maxAttempts":2}]}]}"#;

/// What the record shows of an answer that closes its connection.
const CLOSES: &str = ", Connection: close";

/// A request of the client, and what became of it.
struct Sent {
    id: String,
    at: Duration,
    answer: Option<String>,
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let text = |error: io::Error| error.to_string();
    let net = Net::find().map_err(text)?;
    let store = Store::start(net.store(), record.clone(), |_, _, _| Fate::Answered);
    let store = store.map_err(text)?;
    store.put("op/config", CONFIG);
    let (runs, zones) = (Runs::default(), ["th-central-a", "th-central-b"]);
    for number in 0..4 {
        let (id, address) = (format!("i-{number}"), net.server(number));
        let place = ("lampbook", zones[usize::from(number) % 2]);
        let work = Duration::from_millis(100);
        let server = Server::start(&id, address, place, work, runs.clone(), record.clone());
        server.map_err(text)?.register(&store);
    }
    let mut daemons = Vec::new();
    for (host, zone) in (1..).zip(zones) {
        daemons.push(Daemon::start(&net, folder, host, zone, "").map_err(text)?);
    }
    for daemon in &daemons {
        daemon.wait_ready(Duration::from_secs(10)).map_err(text)?;
    }
    thread::sleep(Duration::from_secs(4));
    let stopped = &daemons[0];
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (entry, record) = (stopped.callers, record.clone());
            thread::spawn(move || send(number, entry, &record))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    let stop_at = record.now();
    if has_trouble {
        record.tell(format!("{} gets SIGTERM", stopped.name));
        stopped.signal("TERM").map_err(text)?;
    }
    let mut lost = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let (sent, ended, is_clean) = client
            .join()
            .map_err(|_| "a client has failed".to_owned())?;
        // What was sent behind an answer that closes the connection counts as not read.
        let closes = sent
            .iter()
            .filter_map(|request| request.answer.as_deref())
            .any(|answer| answer.contains(CLOSES));
        for request in &sent {
            let waited = ended.saturating_sub(request.at);
            let is_counted = has_trouble
                && request.at < stop_at + GRACE + AFTER_GRACE
                && request.answer.is_none()
                && !closes
                && waited > LOSS_SLACK
                && waited < DEADLINE;
            lost += usize::from(is_counted);
            let answer = request.answer.as_deref().unwrap_or("no answer");
            record.tell(format!(
                "client {number}: {} sent at {:.3}: {answer}{}",
                request.id,
                request.at.as_secs_f64(),
                if is_counted { ", LOST" } else { "" }
            ));
        }
        let end = if is_clean {
            "ended without a reset, so that the daemon had read all that was sent"
        } else {
            "was kept or reset"
        };
        record.tell(format!(
            "client {number}: its connection {end}, at {:.3}",
            ended.as_secs_f64()
        ));
        // Of a reset connection it is not known whether the daemon had read the requests.
        if has_trouble && !is_clean && sent.iter().any(|request| request.answer.is_none()) {
            return Err("a connection was reset".to_owned());
        }
        if !has_trouble && sent.iter().any(|request| request.answer.is_none()) {
            lost += 1;
        }
    }
    record.tell(format!("LOST: {lost} requests were read, sent more than {} ms before the end of their connection, and never answered", LOSS_SLACK.as_millis()));
    Ok(lost == 0)
}

/// Sends a request with a long answer, and further ones behind it, and reads the answers until all are there or the
/// connection ends. Returns when that was, and whether it ended without a reset.
fn send(number: usize, entry: SocketAddr, record: &Record) -> (Vec<Sent>, Duration, bool) {
    let mut sent = Vec::new();
    let Ok(stream) = TcpStream::connect(entry) else {
        return (sent, record.now(), false);
    };
    let begin = record.now();
    let mut writer = Connection::new(stream.try_clone().expect("a socket can be cloned"));
    let mut reader = Connection::new(stream);
    reader.stream.set_read_timeout(Some(DEADLINE)).ok();
    let first = [Duration::ZERO];
    let plan = first.iter().chain(&FURTHER).enumerate();
    let reading = thread::spawn(move || {
        let mut answers = Vec::new();
        loop {
            match reader.read() {
                Ok(Some(answer)) => {
                    let id = answer.header("x-attempt-id").unwrap_or_default().to_owned();
                    let bytes = answer.body.len();
                    let closes = if answer.closes() { CLOSES } else { "" };
                    answers.push((id, format!("{}, {bytes} bytes{closes}", answer.status())));
                    if answers.len() == 1 + FURTHER.len() {
                        return (answers, false);
                    }
                }
                Ok(None) => return (answers, true),
                Err(_) => return (answers, false),
            }
        }
    });
    for (place, offset) in plan {
        thread::sleep((begin + *offset).saturating_sub(record.now()));
        let id = format!("c{number}r{place}");
        let path = if place == 0 {
            "/history/lamps/all?kb=400&ms=4000"
        } else {
            "/history/lamp/7"
        };
        let text = format!(
            "GET {path} HTTP/1.1\r\nHost: nlsl.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\r\n",
            DEADLINE.as_millis()
        );
        if writer.write(&text).is_err() {
            break;
        }
        sent.push(Sent {
            id,
            at: record.now(),
            answer: None,
        });
    }
    let (answers, is_clean) = reading.join().unwrap_or_default();
    for request in &mut sent {
        let found = answers.iter().find(|(id, _)| *id == request.id);
        request.answer = found.map(|(_, answer)| answer.clone());
    }
    (sent, record.now(), is_clean)
}
