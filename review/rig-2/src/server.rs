//! Stand-in of a server: registers in the store, answers health checks, runs requests in its slots, and refuses those
//! beyond its queue.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message};
use crate::record::Record;
use crate::store::Store;

/// Path of the health endpoint.
pub const HEALTH_PATH: &str = "/healthz";
/// Requests that a server runs at once.
const SLOTS: usize = 3;
/// Requests that wait for a slot.
const QUEUE: usize = 6;

/// A request that a server has begun to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub id: String,
    pub account: String,
}

/// The requests that all servers have run.
pub type Runs = Arc<Mutex<Vec<Run>>>;

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    born: u128,
    work: Duration,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    runs: Runs,
    record: Record,
}

impl Server {
    /// Starts a server, which is not registered yet.
    pub fn start(
        id: &str,
        address: SocketAddr,
        (service, zone): (&str, &str),
        work: Duration,
        runs: Runs,
        record: Record,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            address,
            service: service.to_owned(),
            zone: zone.to_owned(),
            born: born.map_or(1, |age| age.as_millis()),
            work,
            running: Mutex::new(0),
            freed: Condvar::new(),
            waiting: AtomicUsize::new(0),
            runs,
            record,
        });
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(server)
    }

    /// Writes the entry of the server into the store.
    pub fn register(&self, store: &Store) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":{SLOTS},\"state\":\"ready\",\"warmupLeftMs\":0,\"seq\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        store.put(&self.key(), &entry);
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            if self.answer(&mut connection, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> io::Result<()> {
        let (_, path) = request.target();
        let running = *self.running.lock().unwrap();
        let waiting = self.waiting.load(Ordering::SeqCst);
        let load = format!("X-Server-Load: {running},{waiting},{SLOTS},100\r\n");
        if path == HEALTH_PATH {
            let headers = format!("X-Instance-Id: {}\r\n{load}", self.id);
            return connection.respond(200, &headers, "{}");
        }
        let id = request.header("x-attempt-id").unwrap_or_default();
        let echo = format!("X-Attempt-Id: {id}\r\n{load}");
        if request
            .header("x-expected-instance")
            .is_some_and(|expected| expected != self.id)
        {
            let headers = format!("{echo}X-Instance-Id: {}\r\n", self.id);
            return connection.respond(421, &headers, "{}");
        }
        if id.is_empty() || !self.take_slot() {
            let status = if id.is_empty() { 400 } else { 503 };
            return connection.respond(status, &format!("{echo}X-Not-Executed: 1\r\n"), "{}");
        }
        let at = self.record.now();
        self.runs.lock().unwrap().push(Run {
            at,
            id: id.to_owned(),
            account: request.header("x-tenant").unwrap_or_default().to_owned(),
        });
        self.record.add(format!("{}: runs {id}", self.id));
        let long = read_long(path);
        if long.is_none() {
            thread::sleep(self.work);
        }
        *self.running.lock().unwrap() -= 1;
        self.freed.notify_one();
        let running = *self.running.lock().unwrap();
        let headers = format!(
            "X-Attempt-Id: {id}\r\nX-Response-Seal: seal.{id}\r\nX-Server-Load: {running},{waiting},{SLOTS},100\r\n"
        );
        let Some((bytes, time)) = long else {
            return connection.respond(200, &headers, &format!("{{\"ran\":\"{id}\"}}"));
        };
        connection.write(&format!(
            "HTTP/1.1 200 X\r\nContent-Length: {bytes}\r\n{headers}\r\n"
        ))?;
        let part = "x".repeat(bytes / PARTS);
        for _ in 0..PARTS {
            connection.write(&part)?;
            thread::sleep(time / PARTS as u32);
        }
        self.record.add(format!("{}: has answered {id}", self.id));
        Ok(())
    }

    /// Waits for a slot; returns false if the queue is full.
    fn take_slot(&self) -> bool {
        let mut running = self.running.lock().unwrap();
        if *running >= SLOTS {
            if self.waiting.load(Ordering::SeqCst) >= QUEUE {
                return false;
            }
            self.waiting.fetch_add(1, Ordering::SeqCst);
            let end = Instant::now() + Duration::from_secs(1);
            while *running >= SLOTS && Instant::now() < end {
                let wait = Duration::from_millis(50);
                running = self.freed.wait_timeout(running, wait).unwrap().0;
            }
            self.waiting.fetch_sub(1, Ordering::SeqCst);
            if *running >= SLOTS {
                return false;
            }
        }
        *running += 1;
        true
    }
}

/// Parts in which a long answer is written.
const PARTS: usize = 40;

/// Returns the length of a long answer, in bytes, and the time that it takes, where a path asks for one: `?kb=N&ms=N`.
fn read_long(path: &str) -> Option<(usize, Duration)> {
    let (kb, ms) = path.split_once("?kb=")?.1.split_once("&ms=")?;
    let bytes = kb.parse::<usize>().ok()? * 1000;
    Some((bytes, Duration::from_millis(ms.parse().ok()?)))
}
