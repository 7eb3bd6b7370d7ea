use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Output;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart::platform::{HostInfo, HostRole};
use lentilcart::state::rendezvous_rank;
use lentilcart::{HttpClient, full_body};
use lentilcart_util::{Micros, Name};
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use super::firm::Firm;
use super::process::{Process, binary_path};
use crate::platform::PlatformStub;
use crate::relay::Relay;
use crate::servers::ServerMode;
use crate::util::host_address;

/// Third octet of the address of an entry.
const ENTRY_KIND: u8 = 1;
/// Third octet of the address of a server.
const SERVER_KIND: u8 = 2;
/// Third octet of the address of a relay.
const RELAY_KIND: u8 = 9;
/// Offset of the port for callers from the first port of the layout.
const CALLER_PORT: u16 = 0;
/// Offset of the port for other entries.
const PEER_PORT: u16 = 1;
/// Offset of the port for operators.
const OPS_PORT: u16 = 2;
/// Offset of the port of a server.
const SERVER_PORT: u16 = 3;
/// Offset of the port of the platform.
const PLATFORM_PORT: u16 = 4;
/// Offset of the port that a layout holds on 127.0.0.1, so that no other process uses its ports.
const LOCK_PORT: u16 = 5;
/// Number of ports reserved for a layout; 6 of them are in use.
const PORTS_PER_LAYOUT: u16 = 8;
/// Lowest port of any layout.
const FIRST_PORT: u16 = 10_000;
/// Number of layouts that have ports of their own at the same time, in all processes of a machine.
const MAX_LAYOUTS: u32 = 2560;
/// Number of layouts between the first ones of two processes with successive ids.
const LAYOUTS_PER_PROCESS: u32 = 40;
/// Interval between two reads of the state of a host.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest wait for a host to reach an awaited state; the run fails after it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of layouts that this process has made.
static LAYOUT_COUNT: AtomicU32 = AtomicU32::new(0);

/// Hosts of a deployment and their addresses.
#[derive(Debug, Clone)]
pub struct Layout {
    /// Firm that it belongs to.
    pub firm: Firm,
    /// Number of entries.
    pub entries: usize,
    /// First of the layout's ports; 8 are reserved, 6 in use.
    pub first_port: u16,
    /// Whether links between data centres have the network latency of the firm; otherwise none.
    pub has_latency: bool,
    /// Whether each server is a process of its own; otherwise the servers of a service share one, the
    /// last server of the first service excepted.
    pub split_servers: bool,
    /// Further flags of every entry daemon, besides name and addresses.
    pub flags: Vec<String>,
    /// Holds the [`LOCK_PORT`].
    _lock: Arc<TcpListener>,
}

/// A running deployment. Dropping it ends every process that it has started.
#[derive(Debug)]
pub struct Cluster {
    /// Hosts and addresses.
    pub layout: Layout,
    /// Stub of the platform.
    pub platform_stub: PlatformStub,
    /// Relays in front of the peer listeners of the entries, by number of the entry.
    pub relays: Vec<Relay>,
    /// Daemons, which are the processes of the entries, by number of the entry; `None` for one that was
    /// killed.
    pub daemons: Vec<Option<Process>>,
    /// Processes of the servers; the last one holds only the last server of the first service.
    pub servers: Vec<Process>,
    /// Client that reads state back and sets the modes of the server stubs.
    pub http_client: HttpClient,
    /// Tasks of the platform stub and of the relays.
    tasks: JoinSet<()>,
    /// Folder of the logs and tickets.
    folder: PathBuf,
}

/// Takes the next ports of this process; `None` if another layout uses them.
fn take_ports() -> Option<(u16, TcpListener)> {
    let number = LAYOUT_COUNT.fetch_add(1, Ordering::Relaxed);
    let first = std::process::id().wrapping_mul(LAYOUTS_PER_PROCESS);
    let first_port =
        FIRST_PORT + (first.wrapping_add(number) % MAX_LAYOUTS) as u16 * PORTS_PER_LAYOUT;
    let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, first_port + LOCK_PORT)).ok()?;
    Some((first_port, lock))
}

impl Layout {
    /// Creates the layout of a firm with 5 entries, on ports that no other layout on this machine uses.
    ///
    /// # Panics
    ///
    /// Panics if the ports of all layouts are in use.
    #[must_use]
    pub fn new(firm: Firm) -> Self {
        let (first_port, lock) = (0..MAX_LAYOUTS)
            .find_map(|_| take_ports())
            .expect("some layout has free ports");
        Self {
            firm,
            entries: 5,
            first_port,
            has_latency: true,
            split_servers: false,
            flags: Vec::new(),
            _lock: Arc::new(lock),
        }
    }

    /// Returns the index of the data centre of an entry or server by its number.
    #[must_use]
    pub fn get_data_center(&self, number: usize) -> usize {
        number % self.firm.data_centers.len()
    }

    /// Returns an address of an entry, or of the relay in front of it, by kind and port offset.
    fn get_entry_address(&self, number: usize, kind: u8, port: u16) -> SocketAddr {
        let ordinal = number / self.firm.data_centers.len() + 1;
        host_address(
            self.get_data_center(number) as u8,
            kind,
            ordinal as u8,
            self.first_port + port,
        )
    }

    /// Returns the address at which an entry serves callers.
    #[must_use]
    pub fn get_caller_address(&self, number: usize) -> SocketAddr {
        self.get_entry_address(number, ENTRY_KIND, CALLER_PORT)
    }

    /// Returns the address at which an entry serves operators.
    #[must_use]
    pub fn get_ops_address(&self, number: usize) -> SocketAddr {
        self.get_entry_address(number, ENTRY_KIND, OPS_PORT)
    }

    /// Returns the address that other entries connect to, which is that of the entry's relay.
    #[must_use]
    pub fn get_peer_address(&self, number: usize) -> SocketAddr {
        self.get_entry_address(number, RELAY_KIND, PEER_PORT)
    }

    /// Returns the name of an entry.
    #[must_use]
    pub fn get_name(&self, number: usize) -> String {
        format!("entry-{}", number + 1)
    }

    /// Returns the number of the entry at a rank of the rendezvous hashing order for the first
    /// service; rank 0 is its owner if it has one owner. A rank beyond the entries is returned
    /// as it is.
    #[must_use]
    pub fn get_entry_by_rank(&self, rank: usize) -> usize {
        let names: Vec<Name> = (0..self.entries).map(|n| self.get_name(n).into()).collect();
        let ranked = rendezvous_rank(self.firm.services[0].name, names.iter(), self.entries);
        let name = ranked.get(rank).copied();
        names
            .iter()
            .position(|other| Some(other) == name)
            .unwrap_or(rank)
    }

    /// Returns the addresses of a service's servers.
    #[must_use]
    pub fn get_server_addresses(&self, service: usize) -> Vec<SocketAddr> {
        let address = |number: usize| {
            // Leaves room for 40 servers of a service in each data centre.
            let ordinal = service * 40 + number / self.firm.data_centers.len() + 1;
            let center_index = self.get_data_center(number) as u8;
            host_address(
                center_index,
                SERVER_KIND,
                ordinal as u8,
                self.first_port + SERVER_PORT,
            )
        };
        (0..self.firm.services[service].servers)
            .map(address)
            .collect()
    }

    /// Returns the address of the platform stub.
    #[must_use]
    pub fn get_platform_address(&self) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], self.first_port + PLATFORM_PORT))
    }

    /// Returns the one-way network latency between data centres.
    #[must_use]
    pub fn get_one_way_latency(&self) -> Micros {
        if self.has_latency {
            self.firm.one_way
        } else {
            Micros::ZERO
        }
    }

    /// Returns the host list that the platform serves.
    #[must_use]
    pub fn get_hosts(&self) -> Vec<HostInfo> {
        let entries = (0..self.entries).map(|number| HostInfo {
            name: self.get_name(number).into(),
            role: HostRole::Entry,
            data_center: self.firm.data_centers[self.get_data_center(number)].into(),
            address: self.get_caller_address(number),
            peer: Some(self.get_peer_address(number)),
            ops: Some(self.get_ops_address(number)),
            leaving: false,
        });
        let services = self.firm.services.iter().enumerate();
        let servers = services.flat_map(|(index, service)| {
            let servers = self.get_server_addresses(index).into_iter().enumerate();
            servers.map(move |(number, address)| HostInfo {
                name: format!("{}-{}", service.name, number + 1).into(),
                role: HostRole::Server,
                data_center: self.firm.data_centers[self.get_data_center(number)].into(),
                address,
                peer: None,
                ops: None,
                leaving: false,
            })
        });
        entries.chain(servers).collect()
    }
}

impl Cluster {
    /// Starts every process of a layout and waits until servers and entries respond.
    ///
    /// # Panics
    ///
    /// Panics if a host does not respond within 30 s, or if a binary cannot be started.
    pub async fn start(layout: Layout) -> Self {
        let folder = std::env::temp_dir().join(format!("lentilcart-{}", layout.first_port));
        std::fs::create_dir_all(&folder).ok();
        let platform_stub = PlatformStub::default();
        platform_stub.set_hosts(layout.get_hosts());
        let mut tasks = JoinSet::new();
        let platform = platform_stub.clone().serve(layout.get_platform_address());
        tasks.spawn(async move { log_error("platform", platform.await) });
        let mut relays = Vec::new();
        for number in 0..layout.entries {
            let target = layout.get_entry_address(number, ENTRY_KIND, PEER_PORT);
            let relay = Relay::new(
                layout.get_peer_address(number),
                target,
                layout.get_one_way_latency(),
            );
            relays.push(relay.clone());
            tasks.spawn(async move { log_error("relay", relay.run().await) });
        }
        let source = std::net::IpAddr::from([127, 0, 0, 1]);
        let mut cluster = Self {
            http_client: HttpClient::new(source, tokio_util::task::TaskTracker::new()),
            servers: start_servers(&layout),
            daemons: Vec::new(),
            layout,
            platform_stub,
            relays,
            tasks,
            folder,
        };
        for number in 0..cluster.layout.entries {
            let process = cluster.start_daemon(number);
            cluster.daemons.push(Some(process));
        }
        cluster.wait_for_servers().await;
        for number in 0..cluster.layout.entries {
            cluster.wait_for_status(number, |_| true).await;
        }
        cluster
    }

    /// Starts the daemon of an entry; its log goes to the folder.
    fn start_daemon(&self, number: usize) -> Process {
        let layout = &self.layout;
        let seeds: Vec<String> = (0..layout.entries.min(5))
            .map(|n| layout.get_peer_address(n).to_string())
            .collect();
        let pairs = [
            ("--name", layout.get_name(number)),
            (
                "--data-center",
                layout.firm.data_centers[layout.get_data_center(number)].to_owned(),
            ),
            (
                "--platform",
                format!("http://{}", layout.get_platform_address()),
            ),
            ("--callers", layout.get_caller_address(number).to_string()),
            (
                "--peer",
                layout
                    .get_entry_address(number, ENTRY_KIND, PEER_PORT)
                    .to_string(),
            ),
            ("--peer-public", layout.get_peer_address(number).to_string()),
            ("--ops", layout.get_ops_address(number).to_string()),
            ("--seeds", seeds.join(",")),
        ];
        let mut args: Vec<String> = pairs
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        args.extend(layout.flags.iter().cloned());
        let log = self.folder.join(format!("{}.log", layout.get_name(number)));
        let env = [("TOKIO_WORKER_THREADS", "2")];
        Process::start("lentilcartd", &args, &env, log.to_str())
    }

    /// Starts an entry again.
    pub fn restart(&mut self, number: usize) {
        self.daemons[number] = Some(self.start_daemon(number));
    }

    /// Kills an entry without a graceful stop.
    pub fn kill(&mut self, number: usize) {
        self.daemons[number] = None;
    }

    /// Sends an entry a signal, such as `STOP` or `CONT`.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(process) = &self.daemons[number] {
            process.signal(signal);
        }
    }

    /// Runs the command line tool to its end.
    ///
    /// # Panics
    ///
    /// Panics if the binary is not built.
    pub async fn run_cli(&self, args: &[&str]) -> Output {
        let platform = format!("http://{}", self.layout.get_platform_address());
        let mut command = tokio::process::Command::new(binary_path("lentilcart"));
        command.args(args).env("LENTILCART_PLATFORM", platform);
        command
            .output()
            .await
            .expect("the command line tool is built")
    }

    /// Writes a ticket to a file and submits it with the command line tool.
    pub async fn submit(&self, ticket: &str) -> Output {
        self.submit_with(ticket, &[]).await
    }

    /// Submits a ticket with further flags of the command line tool.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written.
    pub async fn submit_with(&self, ticket: &str, flags: &[&str]) -> Output {
        static TICKET_COUNT: AtomicU32 = AtomicU32::new(0);
        let number = TICKET_COUNT.fetch_add(1, Ordering::Relaxed);
        let file = self.folder.join(format!("ticket-{number}.toml"));
        std::fs::write(&file, ticket).expect("the folder is writable");
        let mut args = vec!["submit", file.to_str().unwrap_or_default()];
        args.extend(flags);
        self.run_cli(&args).await
    }

    /// Returns a JSON document of a host, `None` if there is no response or it does not parse.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Option<T> {
        let request = Request::get(path)
            .header("host", "bench")
            .body(full_body(""))
            .ok()?;
        let reply = self.http_client.send(address, request).await.ok()?;
        let body = reply
            .into_streamed(|_| ())
            .into_body()
            .collect()
            .await
            .ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Returns the status of an entry, `None` if it does not respond within 1 s.
    pub async fn get_status(&self, number: usize) -> Option<lentilcart::ops::StatusView> {
        let response = self.get_json(self.layout.get_ops_address(number), "/status");
        tokio::time::timeout(Duration::from_secs(1), response)
            .await
            .ok()?
    }

    /// Waits until the status of an entry meets a condition.
    ///
    /// # Panics
    ///
    /// Panics after 30 s.
    pub async fn wait_for_status(
        &self,
        number: usize,
        is_met: impl Fn(&lentilcart::ops::StatusView) -> bool,
    ) {
        let polled = async {
            while !self
                .get_status(number)
                .await
                .is_some_and(|status| is_met(&status))
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, polled).await;
        assert!(
            waited.is_ok(),
            "entry {} did not reach the awaited status in time",
            number + 1
        );
    }

    /// Sets the mode of a server; a server that does not respond keeps its own.
    pub async fn set_mode(&self, server: SocketAddr, mode: &ServerMode) {
        let body = serde_json::to_vec(mode).unwrap_or_default();
        if let Ok(request) = Request::put("/mode")
            .header("host", "bench")
            .body(full_body(body))
            && let Ok(reply) = self.http_client.send(server, request).await
        {
            reply.into_streamed(|_| ()).into_body().collect().await.ok();
        }
    }

    /// Returns the addresses of all servers.
    #[must_use]
    pub fn get_all_server_addresses(&self) -> Vec<SocketAddr> {
        (0..self.layout.firm.services.len())
            .flat_map(|service| self.layout.get_server_addresses(service))
            .collect()
    }

    /// Ends every process and task.
    pub async fn stop(mut self) {
        self.daemons.clear();
        self.servers.clear();
        self.tasks.shutdown().await;
    }

    /// Waits until every server responds.
    async fn wait_for_servers(&self) {
        for address in self.get_all_server_addresses() {
            let polled = async {
                while self
                    .get_json::<serde_json::Value>(address, "/count")
                    .await
                    .is_none()
                {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            };
            let waited = tokio::time::timeout(WAIT_TIMEOUT, polled).await;
            assert!(waited.is_ok(), "server {address} did not start in time");
        }
    }
}

/// Starts the processes of the servers, see [`Layout::split_servers`].
fn start_servers(layout: &Layout) -> Vec<Process> {
    let services = layout.firm.services.len();
    let mut groups: Vec<Vec<SocketAddr>> = (0..services)
        .map(|service| layout.get_server_addresses(service))
        .collect();
    let last = groups[0].pop().into_iter().collect();
    groups.push(last);
    if layout.split_servers {
        groups = groups
            .concat()
            .into_iter()
            .map(|address| vec![address])
            .collect();
    }
    let start = |group: &Vec<SocketAddr>| {
        let addresses: Vec<String> = group.iter().map(ToString::to_string).collect();
        let one_way = layout.get_one_way_latency().0.to_string();
        let args = [
            "servers",
            "--listen",
            &addresses.join(","),
            "--one-way-us",
            &one_way,
        ];
        let args: Vec<String> = args.iter().map(ToString::to_string).collect();
        Process::start(
            "lentilcart-bench",
            &args,
            &[("TOKIO_WORKER_THREADS", "2")],
            None,
        )
    };
    groups
        .iter()
        .filter(|group| !group.is_empty())
        .map(start)
        .collect()
}

/// Logs why a task ended, if it failed.
fn log_error(component: &str, ended: std::io::Result<()>) {
    if let Err(error) = ended {
        log::error!("{component}: {error}");
    }
}
