//! Stand-in of a server.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, read};
use crate::record::Record;

pub const HEALTH_PATH: &str = "/healthz";
/// Time for which the second copy of a rejection is late at least.
const LATE: Duration = Duration::from_millis(200);

/// What a server is and does.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests that the server queues beyond its slots.
    pub queue: u32,
    pub work: Duration,
    /// Whether a second copy of an answer of status 421 arrives late on its connection: where the answer to
    /// a later request is expected.
    pub repeats_misdirected: bool,
    /// The same for a rejection of a health check, of which one in as many gets a second copy; 0 for none.
    pub repeats_rejection_each: u32,
    /// Whether answers tell the load, and health checks are answered at once.
    pub tells_load: bool,
    /// Each answer of this number has a body without end; 0 for none.
    pub endless_each: u32,
}

pub struct Server {
    pub address: SocketAddr,
    setup: Setup,
    record: Record,
    running: AtomicU32,
    answers: AtomicU32,
    rejections: AtomicU32,
    present: AtomicU32,
    is_down: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Server {
    /// Starts a server; its entry in the store is written by the caller.
    pub fn start(address: SocketAddr, setup: Setup, record: &Record) -> Arc<Self> {
        let listener = crate::net::listen(address);
        let server = Arc::new(Self {
            address: listener.local_addr().expect("local address"),
            setup,
            record: record.clone(),
            running: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            rejections: AtomicU32::new(0),
            present: AtomicU32::new(0),
            is_down: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let shared = server.clone();
        std::thread::spawn(move || {
            listener.set_nonblocking(true).expect("listener");
            while !shared.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).expect("socket");
                        let shared = shared.clone();
                        let spare = stream.try_clone().expect("clone of a socket");
                        shared.connections.lock().unwrap().push(spare);
                        std::thread::spawn(move || shared.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        server
    }

    /// Ends the server at once, as a crash does.
    pub fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        self.record
            .line(&format!("server {} crashes", self.setup.id));
    }

    /// Returns the value of the server's entry in the store.
    pub fn entry(&self, state: &str, seq: u32) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{},\"state\":\"{state}\",\"warmupLeftMs\":0,\"seq\":{seq}}}",
            self.setup.service, self.address, self.setup.zone, self.setup.slots
        )
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.setup.id)
    }

    /// Answers with a body that goes on until the caller closes, in pieces at a moderate rate.
    fn answer_without_end(&self, writer: &mut TcpStream, headers: &[(&str, &str)]) {
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let piece = vec![b'm'; 16 * 1024];
        let mut next = head.as_bytes();
        while writer.write_all(next).is_ok() {
            next = &piece;
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Takes a place among the requests that run or wait; returns whether there is one.
    fn enter(&self) -> bool {
        let limit = self.setup.slots + self.setup.queue;
        let has_room = self.present.fetch_add(1, Ordering::SeqCst) < limit;
        if !has_room {
            self.present.fetch_sub(1, Ordering::SeqCst);
        }
        has_room
    }

    /// Waits for a slot and takes it.
    fn await_slot(&self) {
        let take = |running| (running < self.setup.slots).then_some(running + 1);
        let order = Ordering::SeqCst;
        while self.running.fetch_update(order, order, take).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Leaves the slot and the place.
    fn exit(&self) {
        self.running.fetch_sub(1, Ordering::SeqCst);
        self.present.fetch_sub(1, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().expect("clone of a socket");
        let mut reader = BufReader::new(stream);
        let mut late: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        while let Ok(Some(request)) = read(&mut reader, false) {
            if self.is_down.load(Ordering::SeqCst) {
                return;
            }
            let running = self.running.load(Ordering::SeqCst);
            let load = format!("{running},0,{},100", self.setup.slots);
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let own = self.setup.id.as_str();
            if request.word(1) == HEALTH_PATH {
                let bytes = if self.setup.tells_load {
                    answer(
                        "200 OK",
                        &[("X-Instance-Id", own), ("X-Server-Load", &load)],
                        b"",
                    )
                } else if self.enter() {
                    self.await_slot();
                    self.exit();
                    answer("200 OK", &[("X-Instance-Id", own)], b"")
                } else {
                    let headers = [("X-Instance-Id", own), ("X-Not-Executed", "1")];
                    let bytes = answer("503 Service Unavailable", &headers, b"");
                    let number = self.rejections.fetch_add(1, Ordering::SeqCst) + 1;
                    self.record
                        .line(&format!("server {own} rejects a health check"));
                    let each = self.setup.repeats_rejection_each;
                    if each > 0 && number % each == 0 {
                        late.push_back((Instant::now() + LATE, bytes.clone()));
                    }
                    bytes
                };
                if writer.write_all(&bytes).is_err() {
                    return;
                }
                continue;
            }
            if late.front().is_some_and(|(due, _)| *due <= Instant::now())
                && let Some((_, extra)) = late.pop_front()
            {
                self.record.line(&format!(
                    "server {own} sends the second copy of an earlier answer, before that to {id}"
                ));
                if writer.write_all(&extra).is_err() {
                    return;
                }
            }
            let expected = request.header("x-expected-instance");
            if expected.is_some_and(|expected| expected != own) {
                let headers = [
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Instance-Id", own),
                    ("X-Not-Executed", "1"),
                ];
                let bytes = answer("421 Misdirected Request", &headers, b"");
                self.record
                    .line(&format!("server {own} answers {id} with 421"));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
                if self.setup.repeats_misdirected {
                    late.push_back((Instant::now(), bytes));
                }
                continue;
            }
            if !self.enter() {
                let mut headers = vec![("X-Attempt-Id", id.as_str()), ("X-Not-Executed", "1")];
                if self.setup.tells_load {
                    headers.push(("X-Server-Load", &load));
                }
                let bytes = answer("503 Service Unavailable", &headers, b"");
                self.record
                    .line(&format!("server {own} answers {id} with 503, not run"));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
                continue;
            }
            self.await_slot();
            self.record.run(own, &id);
            let end = Instant::now() + self.setup.work;
            while Instant::now() < end && !self.is_down.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            self.exit();
            let running = self.running.load(Ordering::SeqCst);
            let load = format!("{running},0,{},100", self.setup.slots);
            let mut headers = vec![
                ("X-Attempt-Id", id.as_str()),
                ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ];
            if self.setup.tells_load {
                headers.push(("X-Server-Load", &load));
            }
            let number = self.answers.fetch_add(1, Ordering::SeqCst) + 1;
            if self.setup.endless_each > 0 && number % self.setup.endless_each == 0 {
                self.record
                    .line(&format!("server {own} answers {id} without end"));
                self.answer_without_end(&mut writer, &headers);
                return;
            }
            let body = format!("{own} ran {id}");
            if writer
                .write_all(&answer("200 OK", &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }
}
