//! Clients that send requests at a steady rate, each on a connection of its own.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, ask};
use crate::record::Record;

/// Kind of request that the clients send.
#[derive(Clone)]
pub struct Kind {
    pub method: &'static str,
    pub host: String,
    pub path: String,
    pub deadline: Duration,
    pub per_s: f64,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub target: SocketAddr,
    pub sent: Instant,
    pub ended: Instant,
    /// Status of a complete answer; `None` where there was none.
    pub status: Option<u16>,
    /// Whether the connection ended without a reset before any answer. An end with unread bytes is a reset,
    /// so that the daemon had read the whole request.
    pub is_read: bool,
}

static NEXT_ID: AtomicU32 = AtomicU32::new(1);

/// Sends requests until `until`, to each target in turn while `is_used` says so, and returns what became of
/// them.
pub fn press(
    kind: &Kind,
    targets: &[SocketAddr],
    until: Instant,
    record: &Record,
    is_used: impl Fn(SocketAddr) -> bool,
) -> Vec<Outcome> {
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    let interval = Duration::from_secs_f64(1.0 / kind.per_s);
    let mut next = Instant::now();
    let mut turn = 0;
    while next < until {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        let mut tries = 0;
        let target = loop {
            let target = targets[turn % targets.len()];
            turn += 1;
            tries += 1;
            if is_used(target) || tries > targets.len() {
                break target;
            }
        };
        let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
        let (kind, record, outcomes) = (kind.clone(), record.clone(), outcomes.clone());
        let send = move || {
            record.line(&format!("client sends {id} to {target}"));
            let sent = Instant::now();
            let answer = ask(&Request {
                target,
                method: kind.method,
                path: &kind.path,
                host: &kind.host,
                id: &id,
                deadline: kind.deadline,
                body: b"order",
            });
            let took = sent.elapsed().as_millis();
            let (status, is_read) = match &answer {
                Answer::Complete(status, message) => {
                    let seal = message
                        .header("x-response-seal")
                        .map_or("no seal", |_| "seal");
                    record.line(&format!(
                        "client gets {status} to {id}, {seal}, after {took} ms"
                    ));
                    (Some(*status), true)
                }
                Answer::Cut(reason) => {
                    record.line(&format!(
                        "client gets no answer to {id} after {took} ms, {}",
                        match reason.as_str() {
                            "" => "the connection ends",
                            reason => reason,
                        }
                    ));
                    (None, reason.is_empty())
                }
                Answer::NotConnected => {
                    record.line(&format!("client cannot connect for {id}"));
                    (None, false)
                }
            };
            outcomes.lock().unwrap().push(Outcome {
                id,
                target,
                sent,
                ended: Instant::now(),
                status,
                is_read,
            });
        };
        let builder = std::thread::Builder::new().stack_size(256 * 1024);
        threads.push(builder.spawn(send).expect("a thread for a client"));
    }
    for thread in threads {
        thread.join().ok();
    }
    let outcomes = outcomes.lock().unwrap().clone();
    outcomes
}
