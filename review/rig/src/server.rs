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
/// Requests that a server queues beyond its slots.
const QUEUE: u32 = 6;

/// What a server is and does.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Duration,
    /// Whether a second copy of an answer of status 421 arrives late on its connection: where the answer to
    /// a later request is expected.
    pub repeats_misdirected: bool,
}

pub struct Server {
    pub address: SocketAddr,
    setup: Setup,
    record: Record,
    running: AtomicU32,
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

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().expect("clone of a socket");
        let mut reader = BufReader::new(stream);
        let mut late: VecDeque<Vec<u8>> = VecDeque::new();
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
                let headers = [("X-Instance-Id", own), ("X-Server-Load", &load)];
                if writer.write_all(&answer("200 OK", &headers, b"")).is_err() {
                    return;
                }
                continue;
            }
            if let Some(extra) = late.pop_front() {
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
                    late.push_back(bytes);
                }
                continue;
            }
            if self.present.fetch_add(1, Ordering::SeqCst) >= self.setup.slots + QUEUE {
                self.present.fetch_sub(1, Ordering::SeqCst);
                let headers = [
                    ("X-Attempt-Id", id.as_str()),
                    ("X-Not-Executed", "1"),
                    ("X-Server-Load", &load),
                ];
                let bytes = answer("503 Service Unavailable", &headers, b"");
                self.record
                    .line(&format!("server {own} answers {id} with 503, not run"));
                if writer.write_all(&bytes).is_err() {
                    return;
                }
                continue;
            }
            while self.running.load(Ordering::SeqCst) >= self.setup.slots {
                std::thread::sleep(Duration::from_millis(1));
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            self.record.run(own, &id);
            let end = Instant::now() + self.setup.work;
            while Instant::now() < end && !self.is_down.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(1));
            }
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.present.fetch_sub(1, Ordering::SeqCst);
            let running = self.running.load(Ordering::SeqCst);
            let load = format!("{running},0,{},100", self.setup.slots);
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
                ("X-Server-Load", &load),
            ];
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
