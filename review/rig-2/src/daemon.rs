//! The daemons, as separate processes that are started as the deploy file says.

use std::fs;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// Program of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/lentilcartd";

/// Loopback addresses of one run, which no other run uses at the same time, and its ports.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    base: [u8; 2],
    /// Ports for callers, readiness, peers, operators, the store and servers.
    pub ports: [u16; 6],
}

impl Net {
    /// Finds addresses and ports that are free.
    pub fn find() -> io::Result<Self> {
        let process = std::process::id();
        let base = [(process % 250) as u8 + 2, (process / 250 % 250) as u8 + 2];
        let mut ports = [0; 6];
        let first = Ipv4Addr::new(127, base[0], base[1], 1);
        let listeners: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((first, 0)))
            .collect::<io::Result<_>>()?;
        for (port, listener) in ports.iter_mut().zip(&listeners) {
            *port = listener.local_addr()?.port();
        }
        Ok(Self { base, ports })
    }

    pub fn address(&self, host: u8, port: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.base[0], self.base[1], host);
        SocketAddr::from((ip, self.ports[port]))
    }

    /// Address of the store.
    pub fn store(&self) -> SocketAddr {
        self.address(250, 4)
    }

    /// Address of a server.
    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(100 + number, 5)
    }
}

/// A daemon; it is killed when dropped.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts the daemon of a host, numbered from 1, in a zone, with what `extra` adds to the settings.
    pub fn start(net: &Net, folder: &Path, host: u8, zone: &str, extra: &str) -> io::Result<Self> {
        let name = format!("edge-{zone}-{host}");
        let [callers, ready, peer, ops] = [0, 1, 2, 3].map(|port| net.address(host, port));
        let seeds: Vec<String> = (1..=3)
            .map(|seed| format!("\"{}\"", net.address(seed, 3)))
            .collect();
        // As the template of the deploy file is filled in.
        let settings = format!(
            "name = \"{name}\"\ndata-center = \"{zone}\"\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\npeer = \"{peer}\"\nops = \"{ops}\"\nconnections = 6000\n\n\
             [peers]\nseeds = [{}]\n\n\
             [store]\naddress = \"{}\"\napply = \"2500ms\"\n\n\
             [retries]\nratio = 0.2\nburst = 58\n\n\
             [stop]\ngrace = \"6s\"\n\n{extra}\n\
             [limits]\ncpu = 0.5\nlink = \"200.0Mbit/s\"\n\n[memory]\nlimit = \"512MB\"\n",
            seeds.join(","),
            net.store()
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(folder.join(format!("{name}.log")))?;
        let errors = log.try_clone()?;
        if !Path::new(PROGRAM).exists() {
            return Err(io::Error::new(ErrorKind::NotFound, PROGRAM));
        }
        let child = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("LENTILCART_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        Ok(Self {
            name,
            callers,
            ready,
            child,
        })
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, longest: Duration) -> io::Result<()> {
        let end = Instant::now() + longest;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        let reason = format!("{} is not ready", self.name);
        Err(io::Error::new(ErrorKind::TimedOut, reason))
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let timeout = Duration::from_millis(500);
            let stream = std::net::TcpStream::connect_timeout(&self.ready, timeout)?;
            stream.set_read_timeout(Some(timeout))?;
            let mut connection = Connection::new(stream);
            connection.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            Ok(connection.read()?.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").args(["-c", &command]).status()?;
        match status.success() {
            true => Ok(()),
            false => Err(io::Error::other("the signal was not sent")),
        }
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
