use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_platform::HEADER_NAMES;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Mutex;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::fault_kind::FaultKind;
use super::message::MessageReader;
use super::record::{AnswerCopy, now_ms};
use super::server_process::{After, Answer, ServerProcess};

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time after which an idle connection is closed early, in milliseconds.
const MAX_EARLY_IDLE_MS: f64 = 600.0;
/// Share of the answers to requests, and to health checks, that are sent twice, and share of the refusals.
const COPY_SHARE: f64 = 0.02;
const REFUSAL_COPY_SHARE: f64 = 0.4;
/// Longest delay of a copy that comes by itself, in milliseconds.
const MAX_COPY_DELAY_MS: f64 = 150.0;

/// When a copy is sent.
const COPY_TIMES: [&str; 4] = [
    "at once",
    "at the next request",
    "before the next answer",
    "later",
];

/// A connection to a server.
pub(super) struct ServerConnection {
    process: Arc<ServerProcess>,
    number: u64,
    caller: SocketAddr,
    writer: Arc<Mutex<OwnedWriteHalf>>,
    /// Copies that come by themselves.
    timed: JoinSet<()>,
    /// Copies that come when the next request has arrived.
    at_request: Vec<u8>,
    /// Copies that come before the next answer.
    at_answer: Vec<u8>,
}

/// Serves a connection until it ends.
pub(super) async fn serve_connection(
    process: Arc<ServerProcess>,
    stream: TcpStream,
    caller: SocketAddr,
) {
    stream.set_nodelay(true).ok();
    let (read_half, write_half) = stream.into_split();
    let mut reader = MessageReader::new(read_half);
    let mut connection = ServerConnection {
        number: process.record.next_connection(),
        process,
        caller,
        writer: Arc::new(Mutex::new(write_half)),
        timed: JoinSet::new(),
        at_request: Vec::new(),
        at_answer: Vec::new(),
    };
    connection.answer_requests(&mut reader).await;
    connection.timed.shutdown().await;
}

impl ServerConnection {
    async fn answer_requests(&mut self, reader: &mut MessageReader) {
        let process = self.process.clone();
        loop {
            let is_early = process.has_fault(FaultKind::IdleDrop, COPY_SHARE);
            let idle_time = if is_early {
                Duration::from_millis(process.pick(1.0, MAX_EARLY_IDLE_MS) as u64)
            } else {
                IDLE_TIMEOUT
            };
            let Ok(Ok(Some(request))) = timeout(idle_time, reader.read()).await else {
                return;
            };
            let copies = std::mem::take(&mut self.at_request);
            if !copies.is_empty() && !self.write(&copies).await {
                return;
            }
            let answer = process.answer(&request, reader, self.number, self.caller);
            let Some(answer) = answer.await else { return };
            let mut bytes = std::mem::take(&mut self.at_answer);
            bytes.extend(&answer.bytes);
            if answer.after == After::Keep {
                let request = request.get(HEADER_NAMES.request_id).unwrap_or_default();
                self.plan_copy(&answer, request, &mut bytes);
            }
            let is_written = self.write(&bytes).await;
            if let Some((run, name)) = answer.run {
                let name = if is_written { name } else { "not written" };
                process.record.end_run(run, name);
            }
            if answer.after == After::Reset {
                self.writer.lock().await.as_ref().set_zero_linger().ok();
            }
            if !is_written || answer.after != After::Keep {
                return;
            }
        }
    }

    /// Plans when an answer is sent a second time, if at all.
    fn plan_copy(&mut self, answer: &Answer, request: &str, bytes: &mut Vec<u8>) {
        let Some(kind) = answer.copied_by else { return };
        let share = match kind {
            FaultKind::CopyMisdirected | FaultKind::CopyRefused => REFUSAL_COPY_SHARE,
            _ => COPY_SHARE,
        };
        if !self.process.has_fault(kind, share) {
            return;
        }
        let when = self.process.pick(0.0, COPY_TIMES.len() as f64) as usize;
        self.process.record.lock().copies.push(AnswerCopy {
            at: now_ms(),
            kind: kind.as_str(),
            when: COPY_TIMES[when],
            request: request.into(),
            server: self.process.address,
            caller: self.caller,
        });
        match when {
            0 => bytes.extend(&answer.bytes),
            1 => self.at_request.extend(&answer.bytes),
            2 => self.at_answer.extend(&answer.bytes),
            _ => {
                let (writer, copy) = (self.writer.clone(), answer.bytes.clone());
                let delay = self.process.pick(0.0, MAX_COPY_DELAY_MS) as u64;
                self.timed.spawn(async move {
                    sleep(Duration::from_millis(delay)).await;
                    writer.lock().await.write_all(&copy).await.ok();
                });
            }
        }
    }

    async fn write(&self, bytes: &[u8]) -> bool {
        self.writer.lock().await.write_all(bytes).await.is_ok()
    }
}
