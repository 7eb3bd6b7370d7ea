use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_state::ServerRegistration;
use lentilcart_util::{Name, Set, seeded_rng};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::fault_kind::FaultKind;
use super::record::{Record, now_ms};
use super::server_connection::serve_connection;
use super::server_process::ServerProcess;
use super::site::{DATA_CENTERS, SLOTS};

/// Length of the queue of connections that the kernel has accepted and the server has not.
const BACKLOG: u32 = 1024;

/// A stand-in of a server at an address, which may end and start again.
pub(super) struct SoakServer {
    pub(super) number: usize,
    pub(super) address: SocketAddr,
    /// Name and service time of its service.
    pub(super) service: Mutex<(&'static str, Duration)>,
    pub(super) seed: u64,
    pub(super) faults: Arc<Set<FaultKind>>,
    pub(super) record: Record,
    /// Whether a fault of the schedule is at work on it.
    pub(super) is_taken: AtomicBool,
    /// Number of its starts.
    pub(super) starts: AtomicU32,
    pub(super) current: Mutex<Option<Started>>,
}

/// A start of a server: its process, the time in Unix milliseconds, and the task that accepts connections.
pub(super) struct Started {
    process: Arc<ServerProcess>,
    born: u64,
    end: CancellationToken,
    accepting: JoinHandle<()>,
}

impl SoakServer {
    /// Starts the server, under an identifier that it had before or a new one, and returns its
    /// registration.
    ///
    /// # Errors
    ///
    /// Fails if its address is in use.
    pub(super) fn start(&self, id: Option<Name>) -> std::io::Result<ServerRegistration> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let id = id.unwrap_or_else(|| format!("i-{:04x}{start:02x}", self.number).into());
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(self.address)?;
        let listener = socket.listen(BACKLOG)?;
        let (service, service_time) = self.service();
        let seed = self.seed ^ (self.number as u64) << 32 ^ u64::from(start) << 16;
        let process = Arc::new(ServerProcess {
            id,
            address: self.address,
            service,
            data_center: self.data_center(),
            service_time,
            faults: self.faults.clone(),
            record: self.record.clone(),
            rng: Mutex::new(seeded_rng(seed)),
            slots: Arc::new(Semaphore::new(SLOTS as usize)),
            running: AtomicU32::new(0),
            waiting: AtomicU32::new(0),
            slowness: AtomicU32::new(100),
            cold_until: AtomicU64::new(0),
        });
        let (end, born) = (CancellationToken::new(), now_ms());
        let accepting = tokio::spawn(accept(listener, process.clone(), end.clone()));
        let started = Started {
            process,
            born,
            end,
            accepting,
        };
        *self.current.lock().expect("no panic under lock") = Some(started);
        Ok(self.registration(false).expect("it has started"))
    }

    fn data_center(&self) -> &'static str {
        DATA_CENTERS[self.number % DATA_CENTERS.len()]
    }

    fn service(&self) -> (&'static str, Duration) {
        *self.service.lock().expect("no panic under lock")
    }

    /// Returns whether it is of the service of another server.
    pub(super) fn shares_service(&self, other: &Self) -> bool {
        self.service() == other.service()
    }

    /// Changes services with another server, for the next start of both.
    pub(super) fn swap_services(&self, other: &Self) {
        let (own, others) = (self.service(), other.service());
        *self.service.lock().expect("no panic under lock") = others;
        *other.service.lock().expect("no panic under lock") = own;
    }

    /// Returns the registration of the current start, or `None` between an end and a start.
    pub(super) fn registration(&self, leaving: bool) -> Option<ServerRegistration> {
        let current = self.current.lock().expect("no panic under lock");
        current.as_ref().map(|started| ServerRegistration {
            id: started.process.id.clone(),
            service: started.process.service.into(),
            address: self.address,
            data_center: self.data_center().into(),
            slots: SLOTS,
            leaving,
            warmup_remaining: started.process.named_warmup().into(),
            started_ms: started.born,
            // Each start writes once when it is ready, and once more when it leaves.
            sequence: Some(1 + u64::from(leaving)),
        })
    }

    /// Sets the service time in percent of the usual one.
    pub(super) fn set_slowness(&self, percent: u32) {
        let current = self.current.lock().expect("no panic under lock");
        if let Some(started) = &*current {
            started.process.slowness.store(percent, Ordering::Relaxed);
        }
    }

    /// Makes the server cold for a time from now.
    pub(super) fn set_cold(&self, time: Duration) {
        let current = self.current.lock().expect("no panic under lock");
        if let Some(started) = &*current {
            let until = now_ms() + time.as_millis() as u64;
            started.process.cold_until.store(until, Ordering::Relaxed);
        }
    }

    /// Ends the server: it accepts no connections, and those that it has are reset or closed.
    pub(super) async fn end(&self) {
        let started = self.current.lock().expect("no panic under lock").take();
        if let Some(started) = started {
            started.end.cancel();
            started.accepting.await.expect("the server does not panic");
        }
    }
}

async fn accept(listener: TcpListener, process: Arc<ServerProcess>, end: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = end.cancelled() => break,
        };
        while connections.try_join_next().is_some() {}
        match accepted {
            Ok((stream, caller)) => {
                connections.spawn(serve_connection(process.clone(), stream, caller));
            }
            Err(error) => log::warn!(server:% = process.id; "connection not accepted: {error}"),
        }
    }
    drop(listener);
    connections.shutdown().await;
}
