//! Orders of clients on slow links, who send lookups behind them, at a daemon that is stopped in order.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::daemon::{Daemon, Net};
use crate::http::Connection;
use crate::net;
use crate::record::Record;
use crate::server::{Runs, Server};
use crate::store::{Fate, Store};

/// The clients' deadline, and the route's `timeoutMs`.
const DEADLINE: Duration = Duration::from_millis(6000);
/// Time after the SIGTERM at which the clients send, over connections that they have kept.
const SEND_AFTER: Duration = Duration::from_millis(500);
/// Clients, each with a connection of its own.
const CLIENTS: usize = 6;
/// Lookups that each sends behind its order.
const LOOKUPS: usize = 24;
/// Length of a header field of each lookup, as that of a session.
const SESSION: usize = 800;
/// Length of the answer to an order, in KB: the largest of the site files.
const ANSWER_KB: usize = 30;
/// Bytes that a client reads at a time, and the time between: 10 Mbit/s.
const READ_BYTES: usize = 2_500;
const READ_PAUSE: Duration = Duration::from_millis(2);
/// Bytes that the kernel of a client holds for it, as links with small windows do.
const WINDOW: i32 = 4096;

const CONFIG: &str = r#"{"version":"r7","services":[{"name":"switchdesk","healthPath":"/healthz","maxConns":1750,"protocol":"h1","tls":false},{"name":"lampbook","healthPath":"/healthz","maxConns":1750,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"hosts":[{"host":"nlsl.example","paths":[{"name":"circuit-order","pathPrefix":"/order/","routeKind":"unsafe","timeoutMs":6000,"targetLatencyMs":1000,"priority":0,"service":"switchdesk","maxAttempts":2},{"name":"fault-history","pathPrefix":"/history/","routeKind":"safe","timeoutMs":6000,"targetLatencyMs":800,"priority":1,"service":"lampbook","maxAttempts":2}]}]}"#;

/// What a client has read of the answer to its order.
struct Received {
    order: String,
    sent: Duration,
    ended: Duration,
    status: u16,
    closes: bool,
    expected: usize,
    read: usize,
    end: &'static str,
}

pub fn run(folder: &Path, record: &Record, has_trouble: bool) -> Verdict {
    let text = |error: io::Error| error.to_string();
    let net = Net::find().map_err(text)?;
    let store = Store::start(net.store(), record.clone(), |_, _, _| Fate::Answered);
    let store = store.map_err(text)?;
    store.put("op/config", CONFIG);
    let (runs, zones) = (Runs::default(), ["th-central-a", "th-central-b"]);
    for number in 0..8 {
        let (id, address) = (format!("i-{number}"), net.server(number));
        let service = if number < 4 { "switchdesk" } else { "lampbook" };
        let place = (service, zones[usize::from(number) % 2]);
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
    let mut connections = Vec::new();
    for number in 0..CLIENTS {
        connections.push(open(number, stopped.callers)?);
    }
    if has_trouble {
        record.tell(format!("{} gets SIGTERM", stopped.name));
        stopped.signal("TERM").map_err(text)?;
    }
    thread::sleep(SEND_AFTER);
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            let record = record.clone();
            thread::spawn(move || send(number, stream, &record))
        })
        .collect();
    let mut lost = 0;
    for client in clients {
        let received = client
            .join()
            .map_err(|_| "a client has failed".to_owned())?;
        let received = received.map_err(text)?;
        let has_run = runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.id == received.order);
        let is_whole = received.status == 200 && received.read == received.expected;
        lost += usize::from(has_run && !is_whole);
        record.tell(format!(
            "{}: sent at {:.3}, {}; status {}{}, {} of {} bytes, {} at {:.3}{}",
            received.order,
            received.sent.as_secs_f64(),
            if has_run {
                "run by a server"
            } else {
                "not run"
            },
            received.status,
            if received.closes {
                ", Connection: close"
            } else {
                ""
            },
            received.read,
            received.expected,
            received.end,
            received.ended.as_secs_f64(),
            if has_run && !is_whole { ", LOST" } else { "" }
        ));
    }
    record.tell(format!(
        "LOST: {lost} of {CLIENTS} orders were passed on to a server and run, and their clients got no complete answer"
    ));
    Ok(lost == 0)
}

/// Opens a connection and makes a lookup over it.
fn open(number: usize, entry: SocketAddr) -> Result<TcpStream, String> {
    let stream = net::connect_small(entry, WINDOW).map_err(|error| error.to_string())?;
    let mut connection = Connection::new(stream.try_clone().map_err(|error| error.to_string())?);
    connection
        .write(&lookup(&format!("w{number}")))
        .map_err(|error| error.to_string())?;
    match connection.read() {
        Ok(Some(answer)) if answer.status() == 200 => Ok(stream),
        answer => Err(format!("the first lookup was answered {answer:?}")),
    }
}

fn lookup(id: &str) -> String {
    let (session, deadline) = ("s".repeat(SESSION), DEADLINE.as_millis());
    format!(
        "GET /history/lamp/7 HTTP/1.1\r\nHost: nlsl.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline}\r\nCookie: session={session}\r\n\r\n"
    )
}

/// Sends an order and lookups behind it, all before the first answer, and reads the answer to the order slowly.
fn send(number: usize, stream: TcpStream, record: &Record) -> io::Result<Received> {
    stream.set_read_timeout(Some(DEADLINE))?;
    let order = format!("c{number}order");
    let mut text = format!(
        "POST /order/dim?kb={ANSWER_KB}&ms=5 HTTP/1.1\r\nHost: nlsl.example\r\nX-Attempt-Id: {order}\r\nX-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        DEADLINE.as_millis()
    );
    for place in 0..LOOKUPS {
        text.push_str(&lookup(&format!("c{number}l{place}")));
    }
    let sent = record.now();
    Connection::new(stream.try_clone()?).write(&text)?;
    let mut received = Received {
        order,
        sent,
        ended: sent,
        status: 0,
        closes: false,
        expected: 0,
        read: 0,
        end: "complete",
    };
    let (mut reader, mut bytes) = (stream, Vec::new());
    let mut head_length = None;
    loop {
        let mut part = [0; READ_BYTES];
        match reader.read(&mut part) {
            Ok(0) => received.end = "connection ended",
            Ok(count) => bytes.extend_from_slice(&part[..count]),
            Err(error) if error.kind() == io::ErrorKind::ConnectionReset => {
                received.end = "connection reset";
            }
            Err(_) => received.end = "no more came",
        }
        if head_length.is_none()
            && let Some(place) = bytes.windows(4).position(|four| four == b"\r\n\r\n")
        {
            head_length = Some(place + 4);
            let head = String::from_utf8_lossy(&bytes[..place]).to_ascii_lowercase();
            let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
            received.status = status.unwrap_or(0);
            received.closes = head.contains("connection: close");
            let length = head.split("content-length: ").nth(1).unwrap_or_default();
            let length = length.split("\r\n").next().unwrap_or_default();
            received.expected = length.parse().unwrap_or(0);
        }
        if let Some(head) = head_length {
            received.read = (bytes.len() - head).min(received.expected);
        }
        let is_whole = head_length.is_some() && received.read == received.expected;
        if is_whole || received.end != "complete" {
            received.ended = record.now();
            return Ok(received);
        }
        thread::sleep(READ_PAUSE);
    }
}
