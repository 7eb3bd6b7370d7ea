//! Clients, who send requests at a steady rate over connections that they keep.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Connection, Message};
use crate::record::Record;

/// A request of a client and what came of it.
#[derive(Debug, Clone)]
pub struct Call {
    pub sent: Duration,
    pub id: String,
    /// 0 where no whole answer came.
    pub status: u16,
}

pub type Calls = Arc<Mutex<Vec<Call>>>;

/// What a client sends.
#[derive(Debug, Clone)]
pub struct Plan {
    pub entry: SocketAddr,
    pub method: &'static str,
    pub path: &'static str,
    pub host: &'static str,
    pub key: Option<&'static str>,
    pub deadline: Duration,
    /// Time between two requests of the client.
    pub pause: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Starts a client, which sends until it is told to stop.
pub fn start(plan: Plan, calls: Calls, record: Record, stop: Arc<AtomicBool>) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut kept = None;
        let mut next = Instant::now();
        while !stop.load(Ordering::SeqCst) {
            let call = send(&plan, &mut kept, &record);
            calls.lock().unwrap().push(call);
            next += plan.pause;
            let now = Instant::now();
            if next > now {
                thread::sleep(next - now);
            } else {
                next = now;
            }
        }
    })
}

fn send(plan: &Plan, kept: &mut Option<Connection>, record: &Record) -> Call {
    let id = format!("a{:08}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let key = plan.key.map_or(String::new(), |key| {
        format!("Authorization: Bearer {key}\r\n")
    });
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n{key}Content-Length: 0\r\n\r\n",
        plan.method,
        plan.path,
        plan.host,
        plan.deadline.as_millis()
    );
    let sent = record.now();
    let answer = exchange(plan, kept, &text);
    let status = answer.as_ref().map_or(0, Message::status);
    if answer.as_ref().is_none_or(Message::closes) {
        *kept = None;
    }
    let body = answer.map(|answer| String::from_utf8_lossy(&answer.body).trim().to_owned());
    record.add(format!(
        "client: {id} to {} sent at {:.3}: {status} {}",
        plan.entry,
        sent.as_secs_f64(),
        body.unwrap_or_else(|| "no answer".to_owned())
    ));
    Call { sent, id, status }
}

fn exchange(plan: &Plan, kept: &mut Option<Connection>, text: &str) -> Option<Message> {
    if kept.is_none() {
        let stream = TcpStream::connect_timeout(&plan.entry, Duration::from_secs(1)).ok()?;
        stream
            .set_read_timeout(Some(plan.deadline + Duration::from_millis(500)))
            .ok()?;
        *kept = Some(Connection::new(stream));
    }
    let connection = kept.as_mut()?;
    connection.write(text).ok()?;
    connection.read().ok()?
}
