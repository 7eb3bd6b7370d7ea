use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use lentilcart_state::{
    AccountTable, CallerLimits, PathRoute, RequestClass, RouteTable, ServiceLimits, WarmupLimit,
    WeightedService,
};
use lentilcart_util::{Map, Micros, Name};

use super::fault_kind::has_cold_servers;
use super::options::{SoakOptions, SoakSize};

/// Host of all routes.
pub(super) const HOST: &str = "shop.example";
/// Path of the health endpoint of all servers.
pub(super) const HEALTH_PATH: &str = "/healthz";
/// Names of the data centres.
pub(super) const DATA_CENTERS: [&str; 4] = ["bilbao", "santander", "oviedo", "pamplona"];
/// Time between two heartbeats of a server; its registration lapses after three.
pub(super) const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time after TERM at which a process is killed.
pub(super) const GRACE: Duration = Duration::from_secs(6);
/// Version of the first route configuration.
pub(super) const FIRST_VERSION: u64 = 7;
/// Time after which the entries that reach the store must use a configuration.
pub(super) const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Number of requests that a server runs concurrently.
pub(super) const SLOTS: u32 = 3;
/// Time for which a server is cold, and its limit then: the rate, the factor on it and the requests beyond that it may
/// get in any second.
pub(super) const WARMUP: Duration = Duration::from_secs(3);
pub(super) const COLD_LIMIT: (f64, f64, f64) = (4.6, 1.5, 8.0);
/// Number of requests that a server queues.
pub(super) const QUEUE: u32 = 6;

/// A kind of request, and the service that runs it.
pub(super) struct RequestKind {
    pub(super) name: &'static str,
    pub(super) class: RequestClass,
    /// Requests a second from all clients.
    pub(super) rate: f64,
    pub(super) service_time: Duration,
    pub(super) objective: Duration,
    pub(super) deadline: Duration,
    /// Number of servers of its service.
    pub(super) servers: usize,
}

/// The deployment that a soak plays, and its loopback addresses.
pub(super) struct Site {
    pub(super) kinds: [RequestKind; 3],
    pub(super) entries: usize,
    /// Share of the kinds' rates that clients send.
    pub(super) load: f64,
    /// Most retries that may be saved up, by all entries together.
    pub(super) retry_burst: u32,
    /// Whether the routes limit the requests of cold servers.
    pub(super) limits_cold: bool,
    /// Second byte of the site's addresses, and first of its ports; they differ between processes.
    network: u8,
    pub(super) first_port: u16,
}

impl Site {
    /// Builds the site of the options.
    pub(super) fn new(options: &SoakOptions) -> Self {
        use RequestClass::{Idempotent, Once};
        // Name, class, and for each size: requests a second; service time, objective and deadline in
        // milliseconds; servers.
        let rows = [
            (
                "lookup",
                Idempotent,
                [(155.0, 51, 200, 1200, 16), (490.0, 230, 600, 5000, 204)],
            ),
            (
                "reserve",
                Once,
                [(60.1, 66, 250, 1500, 8), (190.0, 300, 800, 6000, 102)],
            ),
            (
                "pay",
                Once,
                [(42.6, 36, 150, 1000, 8), (134.0, 160, 500, 3000, 39)],
            ),
        ];
        let (column, entries, load, retry_burst) = match options.size {
            SoakSize::Small => (0, 5, 1.0, 58),
            SoakSize::Grown => (1, 51, 0.4, 196),
        };
        let kinds = rows.map(|(name, class, sizes)| {
            let (rate, service_time, objective, deadline, servers) = sizes[column];
            RequestKind {
                name,
                class,
                rate,
                service_time: Duration::from_millis(service_time),
                objective: Duration::from_millis(objective),
                deadline: Duration::from_millis(deadline),
                servers: options.servers.unwrap_or(servers),
            }
        });
        let process = std::process::id();
        Self {
            kinds,
            entries: options.entries.unwrap_or(entries),
            load: options.load.unwrap_or(load),
            retry_burst,
            limits_cold: has_cold_servers(&options.faults),
            network: 64 + (process % 128) as u8,
            first_port: 20_000 + (process / 128 % 1000 * 10) as u16,
        }
    }

    fn address(&self, group: u8, number: usize, port: u16) -> SocketAddr {
        let (high, low) = ((number / 200) as u8, (number % 200) as u8 + 1);
        let ip = Ipv4Addr::new(127, self.network, group + high, low);
        SocketAddr::new(IpAddr::V4(ip), self.first_port + port)
    }

    /// Returns the address of the store.
    pub(super) fn store_address(&self) -> SocketAddr {
        self.address(0, 0, 9)
    }

    /// Returns an address of an entry: port 0 is for callers, 1 for readiness, 2 for peers and 3 for
    /// operators.
    pub(super) fn entry_address(&self, entry: usize, port: u16) -> SocketAddr {
        self.address(10, entry, port)
    }

    /// Returns the address of a server, counted over all services.
    pub(super) fn server_address(&self, server: usize) -> SocketAddr {
        self.address(20, server, 5)
    }

    /// Returns the address that a client's connections come from.
    pub(super) fn client_ip(&self) -> IpAddr {
        self.address(5, 0, 0).ip()
    }

    /// Returns the service of each kind of request, which has the same name.
    pub(super) fn services(&self) -> Map<&'static str, &'static str> {
        self.kinds
            .iter()
            .map(|kind| (kind.name, kind.name))
            .collect()
    }

    /// Returns a route configuration: one prefix for each kind with a service, with the name of the kind.
    pub(super) fn routes(&self, version: u64, targets: &Map<&str, &str>) -> RouteTable {
        let micros = |time: Duration| Micros(time.as_micros() as u64);
        let present = self.kinds.iter();
        let present = present.filter_map(|kind| Some((kind, *targets.get(kind.name)?)));
        let routes = present.map(|(kind, service)| {
            let route = PathRoute {
                name: kind.name.into(),
                prefix: format!("/{}/", kind.name).into(),
                class: kind.class,
                timeout: micros(kind.deadline),
                latency_objective: micros(kind.objective),
                rank: 0,
                public: false,
                max_attempts: 3,
                services: vec![WeightedService {
                    service: service.into(),
                    weight: 1.0,
                }],
                pick_count: 0.into(),
            };
            (route.prefix.clone(), Arc::new(route))
        });
        let routes: Map<Name, Arc<PathRoute>> = routes.collect();
        let services = self.kinds.iter().map(|kind| {
            let limits = ServiceLimits {
                health_path: HEALTH_PATH.into(),
                warmup: self.limits_cold.then(|| WarmupLimit {
                    duration: micros(WARMUP),
                    rate: COLD_LIMIT.0,
                }),
                max_connections: 220,
            };
            (Name::from(kind.name), limits)
        });
        RouteTable {
            version,
            services: services.collect(),
            hosts: std::iter::once((Name::from(HOST), routes)).collect(),
            accounts: AccountTable::default(),
            limits: CallerLimits::default(),
        }
    }
}
