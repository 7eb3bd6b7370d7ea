use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};

use arc_swap::ArcSwap;
use futures::FutureExt;
use lentilcart_state::{
    EvacuationTable, FetchPlan, LagGauge, Member, MemberTable, Mirror, PacerLease, RouteTable,
    ServerDirectory, get_weight,
};
use lentilcart_util::{Map, Micros, Name, Set};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::account_limits::AccountLimits;
use super::body_memory::BodyMemory;
use super::compression::Compressor;
use super::datagram::{Datagram, GatewayHeartbeat, LoadUpdate};
use super::drain::DrainSchedule;
use super::error_reply::ErrorReason;
use super::freshness::MirrorFreshness;
use super::mirror_server::{ServeBudget, ServedMirrors};
use super::permit_table::PermitTable;
use super::store_contact::{LatestWatcher, StoreContact};
use super::warmup::WarmupEnds;
use crate::entry::Dispatcher;
use crate::http::{ConnectTimeouts, HttpClient};
use crate::platform::StoreClient;
use crate::settings::GatewaySettings;
use crate::util::{Clock, unix_millis};

/// Largest number of bodies of requests that were refused unread which are read and dropped at a time; each holds
/// its connection and one frame.
const MAX_REFUSED_BODIES: usize = 16;

/// The keys of the store that every entry mirrors: all keys with a prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MirrorKind {
    /// The operator's keys: the routes and the evacuations.
    Routes,
    /// Registrations of servers, one key each.
    Servers,
    /// Registrations of entries, one key each. Logs show the name of the variant.
    Hosts,
}

impl MirrorKind {
    /// All kinds; a kind's place is its index in the arrays of the gateway and of heartbeats, and in
    /// the path `/mirror/{index}` by which entries fetch mirrors.
    pub(crate) const ALL: [Self; 3] = [Self::Routes, Self::Servers, Self::Hosts];

    /// Returns the key prefix in the store.
    pub(crate) const fn get_prefix(self) -> &'static str {
        match self {
            Self::Routes => lentilcart_platform::OPERATOR_PREFIX,
            Self::Servers => lentilcart_platform::SERVERS_PREFIX,
            Self::Hosts => lentilcart_platform::ENTRIES_PREFIX,
        }
    }

    /// Returns the value of the label `mirror` of metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Routes => "routes",
            Self::Servers => "servers",
            Self::Hosts => "hosts",
        }
    }

    /// Creates the empty mirror of this kind. The routes are listed without staleness: they are in force at
    /// once, and the revision of their listing shows how old that of the servers may be. So are the entries
    /// where the right to send requests depends on which entries are registered.
    fn new_mirror(self, settings: &GatewaySettings) -> Mirror {
        let prefix = self.get_prefix().into();
        match self {
            // Entries of an earlier version mirror the routes only.
            Self::Routes => {
                Mirror::new(prefix).with_earlier_prefix(lentilcart_platform::ROUTES_KEY.into())
            }
            Self::Hosts if settings.needs_exact_entries() => Mirror::new(prefix),
            Self::Servers | Self::Hosts => Mirror::with_stale_start(prefix),
        }
    }
}

/// The routes in force and the dispatchers of their services.
#[derive(Debug, Default)]
pub(crate) struct ActiveRoutes {
    pub(crate) table: RouteTable,
    pub(crate) dispatchers: Map<Name, Arc<Dispatcher>>,
}

/// The state that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: ArcSwap<GatewaySettings>,
    pub(crate) clock: Clock,
    pub(crate) store: StoreClient,
    /// HTTP client for requests to servers and for probes. They share connections: a probe shows that
    /// its connection still works right before a request is sent over it.
    pub(crate) server_client: HttpClient,
    /// HTTP client for requests to other entries.
    pub(crate) peer_client: HttpClient,
    /// Internal connections and short-lived tasks, which are not waited for when the gateway stops.
    pub(crate) tasks: TaskTracker,
    /// The times of the stop, once it has begun.
    pub(crate) drain: OnceLock<DrainSchedule>,
    /// Cancelled when this entry, which is leaving, begins no more attempts: requests without a server are
    /// rejected.
    pub(crate) attempts_end: CancellationToken,
    /// Cancelled when this entry, which is leaving, waits no longer for the servers that are running
    /// requests.
    pub(crate) requests_end: CancellationToken,
    /// Cancelled when the entries have been listed for the first time.
    pub(crate) entries_listed: CancellationToken,
    /// Cancelled when the background tasks must end.
    pub(crate) stop: CancellationToken,
    /// Limits of client accounts.
    pub(crate) account_limits: AccountLimits,
    /// Memory for request bodies and buffered answers.
    pub(crate) bodies: BodyMemory,
    /// Largest request body that this process takes, whatever the routes allow, in bytes.
    pub(crate) max_body: u64,
    /// Allows one refused body at a time to be read and dropped.
    pub(crate) discards: Arc<Semaphore>,
    /// Allows some bodies of requests that are refused unread to be read and dropped at a time.
    pub(crate) refused_bodies: Arc<Semaphore>,
    /// Callers' requests whose responses have not been written completely.
    pub(crate) in_flight: AtomicU64,
    /// Changes whenever a heartbeat is due at once; the value has no meaning.
    pub(crate) heartbeat_due: watch::Sender<u64>,
    /// Interrupts the mirrors whose call to the store is in progress and makes them list their prefix
    /// again. It does not reach mirrors without a call in progress, such as during a backoff.
    pub(crate) relist: Notify,
    pub(crate) mirrors: [Mutex<Mirror>; 3],
    /// Highest revision of the store that a listing or a confirmation of the routes has shown.
    pub(crate) store_revision: watch::Sender<u64>,
    /// Whether this entry falls behind.
    pub(crate) lag_gauge: Mutex<LagGauge>,
    /// Entries that were found and have not been logged yet, with their addresses.
    pub(crate) found_peers: Mutex<Vec<(Name, SocketAddr)>>,
    /// Load updates that have not been sent to other entries yet.
    pub(crate) load_updates: Mutex<VecDeque<LoadUpdate>>,
    /// The routes in force; the inner `Arc` is what requests hold.
    pub(super) active_routes: ArcSwap<Arc<ActiveRoutes>>,
    /// The evacuations in force, and how this entry learned of them.
    pub(super) evacuations: Mutex<EvacuationTable>,
    /// Names of the evacuated data centres, for requests that are about to be sent.
    pub(super) evacuated: watch::Sender<Set<Name>>,
    /// Entries of an earlier version, which do not watch the operator's other keys than the routes, by
    /// their registrations.
    pub(super) earlier_entries: Mutex<Set<Name>>,
    /// Entries whose mirror, when it was fetched, did not bring this entry's up to date, and when. Only
    /// entries of an earlier version are among them.
    pub(super) partial_fetches: Mutex<Map<Name, Micros>>,
    /// Held while routes are compared with those in force and replace them.
    pub(super) routes_change: Mutex<()>,
    leaving: AtomicBool,
    directory: Mutex<ServerDirectory>,
    members: Mutex<MemberTable>,
    permits: Mutex<PermitTable>,
    pub(super) pacer_lease: Mutex<PacerLease>,
    pub(super) warmup_ends: Mutex<WarmupEnds>,
    /// Socket for datagrams to and from other entries.
    socket: Arc<UdpSocket>,
    pub(super) latest_watcher: Mutex<LatestWatcher>,
    /// From which entries each mirror is fetched while it is behind.
    pub(super) fetch_plans: [Mutex<FetchPlan>; 3],
    pub(super) store_contact: Mutex<StoreContact>,
    pub(super) freshness: Mutex<MirrorFreshness>,
    /// Highest era of the store that a reply or another entry's mirror has shown.
    pub(super) era: AtomicU64,
    /// Wakes the registration of this entry up: the store may have lost it.
    pub(super) registration_lost: Notify,
    /// Time by the gateway's clock, in microseconds, at which the socket had no datagram to be read.
    socket_drained: AtomicU64,
    pub(super) served_mirrors: Mutex<ServedMirrors>,
    pub(super) serve_budget: Mutex<ServeBudget>,
    /// Compresses the mirrors that are served, one for each.
    pub(super) compressors: [Mutex<Compressor>; 3],
    /// Identifier of the next attempt. It starts from the random seed, so that the identifiers of a
    /// restarted entry differ from those that it used before.
    next_id: AtomicU64,
    /// Seed of the random decisions of the pools.
    pub(super) random_seed: u64,
}

impl Gateway {
    /// Creates a gateway without routes and servers.
    pub(crate) fn new(
        settings: GatewaySettings,
        store: StoreClient,
        socket: Arc<UdpSocket>,
        tasks: TaskTracker,
    ) -> Self {
        let own = Member {
            data_center: settings.data_center.clone(),
            peer_address: settings.listen.peer,
            last_heartbeat: None,
            leaving: false,
            applied_number: 0,
            weight: get_weight(settings.limits.cpu_share),
            overloaded: false,
        };
        let peer_timeout = settings.peers.silence_timeout;
        let limits = ConnectTimeouts {
            connect: settings.servers.connect_timeout.into(),
            user_timeout: None,
        };
        let new_client =
            || HttpClient::new(settings.get_source_ip(), tasks.clone()).with_timeouts(limits);
        let random_seed = unix_millis() ^ u64::from(std::process::id()) << 40;
        let clock = Clock::start();
        Self {
            account_limits: AccountLimits::new(settings.name.clone(), random_seed, clock.now()),
            clock,
            store,
            server_client: new_client(),
            peer_client: new_client(),
            drain: OnceLock::new(),
            attempts_end: CancellationToken::new(),
            requests_end: CancellationToken::new(),
            entries_listed: CancellationToken::new(),
            stop: CancellationToken::new(),
            bodies: BodyMemory::new(settings.memory.get_body_bytes()),
            max_body: settings.memory.get_max_body(),
            discards: Arc::new(Semaphore::new(1)),
            refused_bodies: Arc::new(Semaphore::new(MAX_REFUSED_BODIES)),
            in_flight: AtomicU64::new(0),
            heartbeat_due: watch::Sender::new(0),
            relist: Notify::new(),
            mirrors: MirrorKind::ALL.map(|kind| Mutex::new(kind.new_mirror(&settings))),
            store_revision: watch::Sender::new(0),
            lag_gauge: Mutex::default(),
            found_peers: Mutex::default(),
            load_updates: Mutex::default(),
            active_routes: ArcSwap::default(),
            evacuations: Mutex::default(),
            evacuated: watch::Sender::default(),
            earlier_entries: Mutex::default(),
            partial_fetches: Mutex::default(),
            routes_change: Mutex::default(),
            leaving: AtomicBool::new(false),
            directory: Mutex::default(),
            members: Mutex::new(MemberTable::new(settings.name.clone(), own, peer_timeout)),
            permits: Mutex::default(),
            pacer_lease: Mutex::default(),
            warmup_ends: Mutex::default(),
            socket,
            latest_watcher: Mutex::default(),
            fetch_plans: MirrorKind::ALL.map(|_| Mutex::new(FetchPlan::new(settings.name.clone()))),
            store_contact: Mutex::default(),
            freshness: Mutex::new(MirrorFreshness::new(clock.now())),
            era: AtomicU64::new(0),
            registration_lost: Notify::new(),
            socket_drained: AtomicU64::new(0),
            served_mirrors: Mutex::default(),
            compressors: Default::default(),
            serve_budget: Mutex::new(ServeBudget::new(
                settings.limits.get_link_bytes(),
                clock.now(),
            )),
            next_id: AtomicU64::new(random_seed << 20),
            settings: ArcSwap::from_pointee(settings),
            random_seed,
            tasks,
        }
    }

    /// Returns an identifier that no other attempt of this process has.
    pub(crate) fn next_attempt_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the routes in force.
    pub(crate) fn get_active_routes(&self) -> Arc<ActiveRoutes> {
        Arc::clone(&self.active_routes.load())
    }

    /// Returns the error reason for a request whose route or key is not in `routes`:
    /// [`ErrorReason::RoutesBehind`] if a live entry has newer routes, which may contain it, else `reason`.
    pub(crate) fn get_missing_reason(
        &self,
        routes: &ActiveRoutes,
        reason: ErrorReason,
    ) -> ErrorReason {
        let now = self.clock.now();
        let members = self.lock_members();
        let newer = members.iter().any(|(name, member)| {
            member.applied_number > routes.table.version && members.is_live(name, now)
        });
        if newer {
            ErrorReason::RoutesBehind
        } else {
            reason
        }
    }

    /// Returns the path of the health endpoint of a service's servers, if the service is known.
    pub(crate) fn get_health_path(&self, service: &Name) -> Option<Name> {
        let routes = self.get_active_routes();
        let service_settings = routes.table.services.get(service);
        service_settings.map(|service_settings| service_settings.health_path.clone())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this entry as leaving and tells the other entries at once.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.lock_members().mark_leaving();
        self.trigger_heartbeat();
    }

    /// Returns whether this entry should get new connections: it is not leaving, and has servers and routes that
    /// have not expired.
    pub(crate) fn is_ready(&self) -> bool {
        let routes = self.get_active_routes();
        !self.is_leaving()
            && routes.table.version > 0
            && !self.lock_directory().is_empty()
            && !self.is_expired()
    }

    /// Makes the next heartbeat due at once.
    pub(crate) fn trigger_heartbeat(&self) {
        self.heartbeat_due.send_modify(|count| *count += 1);
    }

    pub(crate) fn lock_members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("no panic under lock")
    }

    pub(crate) fn lock_permits(&self) -> MutexGuard<'_, PermitTable> {
        self.permits.lock().expect("no panic under lock")
    }

    /// Sends a datagram without waiting. It is dropped if the socket's buffer is full; the protocol
    /// tolerates that, since any datagram may be lost on its way.
    pub(crate) fn send_datagram(&self, datagram: &Datagram, peer: SocketAddr) {
        if let Err(error) = self.socket.try_send_to(&datagram.encode(), peer) {
            log::debug!(peer:% = peer; "datagram not sent: {error}");
        }
    }

    /// Records the time if the socket has no datagram to be read. It must be called by a task that a timer has woken:
    /// the runtime has looked at the socket then as well.
    pub(crate) fn record_drained_socket(&self) {
        if self.socket.readable().now_or_never().is_none() {
            self.socket_drained
                .store(self.clock.now().0, Ordering::Relaxed);
        }
    }

    /// Returns a time by the gateway's clock after which a datagram that is read now has arrived, however long this
    /// process has not read any.
    pub(crate) fn get_earliest_arrival(&self) -> Micros {
        Micros(self.socket_drained.load(Ordering::Relaxed))
    }

    pub(crate) fn lock_directory(&self) -> MutexGuard<'_, ServerDirectory> {
        self.directory.lock().expect("no panic under lock")
    }

    pub(crate) fn lock_mirror(&self, kind: MirrorKind) -> MutexGuard<'_, Mirror> {
        self.mirrors[kind as usize]
            .lock()
            .expect("no panic under lock")
    }

    /// Returns the heartbeat for the current state.
    pub(crate) fn get_heartbeat(&self) -> GatewayHeartbeat {
        let settings = self.settings.load();
        GatewayHeartbeat {
            name: settings.name.clone(),
            data_center: settings.data_center.clone(),
            peer: settings.listen.peer,
            routes_version: self.get_active_routes().table.version,
            latest_revisions: MirrorKind::ALL
                .map(|kind| self.lock_mirror(kind).get_latest_change_revision()),
            leaving: self.is_leaving(),
            watching: self.has_to_watch() && self.is_store_reachable(),
            mirrors_operator_keys: false,
            has_limits: false,
            weight: get_weight(settings.limits.cpu_share),
            overloaded: self
                .lag_gauge
                .lock()
                .expect("no panic under lock")
                .is_overloaded(),
            servers_content: None,
            routes_age: None,
            lease: None,
        }
    }
}
