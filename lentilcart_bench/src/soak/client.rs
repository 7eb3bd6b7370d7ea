use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use lentilcart_platform::{HEADER_NAMES, decode_retry_after};
use lentilcart_state::RequestClass;
use lentilcart_util::{Micros, Name, Rng};
use rand::RngExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tokio_util::sync::CancellationToken;

use super::entry::Entry;
use super::message::{Message, MessageReader, build_body, is_whole_body};
use super::record::{Outcome, Record, SentRequest, now_ms};
use super::site::{HOST, RequestKind, Site};

/// Statuses that promise that a request has not run and never will.
pub(super) const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Number of retries of a request.
const RETRIES: u32 = 2;
/// Time within which a connection must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Requests a second of one client.
pub(super) const CLIENT_RATE: f64 = 1.0;
/// Time for which a connection without traffic is used again.
const MAX_IDLE: Duration = Duration::from_secs(40);

/// A client that sends requests of one kind, one after the other.
pub(super) struct Client {
    pub(super) number: usize,
    pub(super) site: Arc<Site>,
    /// Index of its kind of request.
    pub(super) kind: usize,
    /// Whether it keeps its connections.
    pub(super) keeps: bool,
    pub(super) entries: Arc<Vec<Entry>>,
    pub(super) record: Record,
    pub(super) rng: Rng,
    pub(super) sent: u64,
    pub(super) connection: Option<Connection>,
}

/// A connection of a client to an entry.
pub(super) struct Connection {
    entry: usize,
    local: Option<SocketAddr>,
    reader: MessageReader,
    writer: OwnedWriteHalf,
    requests: u32,
    last_used: Instant,
}

impl Client {
    /// Sends requests until it is told to stop.
    pub(super) async fn run(mut self, stop: CancellationToken) {
        loop {
            let pause = -(1.0 - self.rng.random_range(0.0..1.0_f64)).ln() / CLIENT_RATE;
            tokio::select! {
                () = sleep(Duration::from_secs_f64(pause)) => {}
                () = stop.cancelled() => return,
            }
            self.request().await;
        }
    }

    fn kind(&self) -> &RequestKind {
        &self.site.kinds[self.kind]
    }

    /// Sends a request, and retries it where its kind and the outcome allow that.
    async fn request(&mut self) {
        let deadline = Instant::now() + self.kind().deadline;
        for retry in 0..=RETRIES {
            if !self.keeps || retry > 0 {
                self.connection = None;
            }
            let (outcome, wait) = self.attempt(deadline).await;
            let is_idempotent = self.kind().class == RequestClass::Idempotent;
            let may_retry = match &outcome {
                Outcome::Answered(status, _) if PROMISES.contains(status) => true,
                Outcome::Answered(status, _) => is_idempotent && *status >= 500,
                Outcome::NotConnected => true,
                Outcome::Cut(_) => is_idempotent,
                Outcome::TimedOut => false,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            let wait = wait.min(remaining / 3);
            if !may_retry || remaining.is_zero() {
                return;
            }
            sleep(wait).await;
        }
    }

    /// Sends a request under a new identifier, and returns its outcome and the time that the answer
    /// asks to wait before a retry.
    async fn attempt(&mut self, deadline: Instant) -> (Outcome, Duration) {
        self.sent += 1;
        let id: Name = format!("{:06x}{:06x}q", self.number, self.sent).into();
        let kept = self.connection.take().and_then(|mut kept| {
            let is_usable = kept.last_used.elapsed() < MAX_IDLE && !kept.reader.is_closed();
            is_usable.then_some(kept)
        });
        let connection = match kept {
            Some(connection) => Some(connection),
            None => self.connect().await,
        };
        let Some(mut connection) = connection else {
            return (Outcome::NotConnected, Duration::ZERO);
        };
        let sent = now_ms();
        let length = self.rng.random_range(300..7200);
        let bytes = self.format(&id, deadline, length);
        let exchange = async {
            let written = connection.writer.write_all(&bytes).await;
            written.map_err(|e| format!("not written: {e}"))?;
            match connection.reader.read().await {
                Ok(Some(answer)) => Ok(answer),
                Ok(None) => Err("closed before an answer".to_owned()),
                Err(error) => Err(error.to_string()),
            }
        };
        let answer = timeout_at(deadline, exchange).await;
        let mut wait = Duration::ZERO;
        let outcome = match answer {
            Err(_) => Outcome::TimedOut,
            Ok(Err(reason)) => Outcome::Cut(reason),
            Ok(Ok(answer)) => {
                let after = decode_retry_after(answer.get(HEADER_NAMES.retry_after));
                wait = after.unwrap_or(Micros::ZERO).into();
                let has_rest = connection.reader.has_rest();
                Outcome::Answered(answer.status(), find_mix_up(&id, &answer, has_rest))
            }
        };
        self.record.lock().requests.push(SentRequest {
            id,
            kind: self.kind().name,
            is_once: self.kind().class == RequestClass::Once,
            entry: connection.entry,
            local: connection.local,
            is_kept: connection.requests > 0,
            sent,
            ended: now_ms(),
            outcome: outcome.clone(),
        });
        connection.requests += 1;
        connection.last_used = Instant::now();
        if matches!(outcome, Outcome::Answered(..)) {
            self.connection = Some(connection);
        }
        (outcome, wait)
    }

    fn format(&self, id: &str, deadline: Instant, length: usize) -> Vec<u8> {
        let (method, body) = match self.kind().class {
            RequestClass::Idempotent => ("GET", Vec::new()),
            RequestClass::Once => ("POST", build_body(id, length)),
        };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let head = format!(
            "{method} /{}/{id} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: {}\r\ncontent-length: {}\r\n\r\n",
            self.kind().name,
            HEADER_NAMES.request_id,
            HEADER_NAMES.deadline,
            remaining.as_millis(),
            body.len()
        );
        [head.as_bytes(), &body].concat()
    }

    /// Opens a connection to an entry in rotation.
    async fn connect(&mut self) -> Option<Connection> {
        let entries = self.entries.iter().enumerate();
        let ready = entries.filter(|(_, entry)| entry.is_in_rotation.load(Ordering::Relaxed));
        let mut ready: Vec<_> = ready.map(|(number, _)| number).collect();
        if ready.is_empty() {
            ready = (0..self.entries.len()).collect();
        }
        let entry = ready[self.rng.random_range(0..ready.len())];
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind((self.site.client_ip(), 0).into()).ok()?;
        let connecting = socket.connect(self.entries[entry].address);
        let stream = timeout(CONNECT_TIMEOUT, connecting).await.ok()?.ok()?;
        stream.set_nodelay(true).ok();
        let local = stream.local_addr().ok();
        let (read_half, writer) = stream.into_split();
        Some(Connection {
            entry,
            local,
            reader: MessageReader::new(read_half),
            writer,
            requests: 0,
            last_used: Instant::now(),
        })
    }
}

/// Returns what shows that an answer is not the server's whole answer to a request.
fn find_mix_up(id: &str, answer: &Message, has_rest: bool) -> Option<String> {
    let status = answer.status();
    let named = answer.get(HEADER_NAMES.request_id);
    let signed = answer.get(HEADER_NAMES.signature);
    if status == 0 {
        return Some(format!("no HTTP answer: {}", answer.first_line));
    }
    if named.is_some_and(|named| named != id) {
        return Some(format!("it names {named:?}"));
    }
    if has_rest {
        return Some("more bytes follow it".to_owned());
    }
    match signed {
        None if status == 200 => Some("it is not signed".to_owned()),
        Some(signed) if signed != status.to_string() => {
            Some(format!("it is signed for status {signed}"))
        }
        Some(_) if !is_whole_body(id, &answer.body) => {
            Some("its body is not whole or another's".to_owned())
        }
        _ => None,
    }
}
