use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use lentilcart_route::{EjectLimits, Pool, PoolConfig, RetryLimits, ServerConfig, get_policy};
use lentilcart_state::{Change, Directory, Member, Members, Mirror, RouteTable, rendezvous};
use lentilcart_util::{Map, Micros, Name, Set};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::beat::{Beat, Gram};
use super::desks::Desks;
use crate::entry::Desk;
use crate::http::{ConnectLimits, Dialer};
use crate::platform::Store;
use crate::settings::GatewaySettings;
use crate::util::{Clock, unix_millis};

/// Share of the budget of retries that the entries hand out, so that counting at the servers'
/// side, a little later, stays within it.
const BUDGET_SHARE: f64 = 0.8;
/// Entries that watch the store; the others learn from them.
const WATCHERS: usize = 3;
/// Silence of all watchers after which another entry watches, and how much later each further one
/// does.
const WATCHER_SILENCE: Micros = Micros::from_millis(1200);
const TAKEOVER_STEP: Micros = Micros::from_millis(30);
/// Age of the store's last answer up to which it counts as in reach.
const CONTACT_AGE: Micros = Micros::from_millis(2000);
/// Longest wait for a server as a share of the time that a request has.
const WAIT_SHARE: f64 = 0.5;

/// What of the store is mirrored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Routes,
    Servers,
    Hosts,
}

impl Kind {
    pub(crate) const ALL: [Self; 3] = [Self::Routes, Self::Servers, Self::Hosts];

    pub(crate) const fn get_prefix(self) -> &'static str {
        match self {
            Self::Routes => lentilcart_platform::ROUTES,
            Self::Servers => lentilcart_platform::SERVERS,
            Self::Hosts => lentilcart_platform::HOSTS,
        }
    }
}

/// What requests need: the routes in force and the desks of their services.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub(crate) table: RouteTable,
    pub(crate) desks: Map<Name, Arc<Desk>>,
}

/// Everything that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) settings: ArcSwap<GatewaySettings>,
    pub(crate) clock: Clock,
    pub(crate) store: Store,
    /// Connections to servers.
    pub(crate) dialer: Dialer,
    /// Connections for questions about load; never used for requests.
    pub(crate) prober: Dialer,
    /// Connections to other entries.
    pub(crate) peering: Dialer,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    pub(crate) in_flight: AtomicU64,
    /// Changes whenever other entries should hear of it at once.
    pub(crate) changed: watch::Sender<u64>,
    /// Makes every mirror read its prefix anew.
    pub(crate) relist: Notify,
    pub(crate) mirrors: [Mutex<Mirror>; 3],
    /// Reports of load that other entries have not been told yet.
    pub(crate) digest: Mutex<VecDeque<super::beat::LoadNews>>,
    view: ArcSwap<Arc<View>>,
    leaving: AtomicBool,
    directory: Mutex<Directory>,
    members: Mutex<Members>,
    desks: Mutex<Desks>,
    /// Datagrams to and from other entries.
    grams: Arc<UdpSocket>,
    watcher: Mutex<Watcher>,
    /// Whether a mirror is being fetched from another entry.
    pub(crate) fetching: [AtomicBool; 3],
    contact: Mutex<Contact>,
    serial: AtomicU64,
    seed: u64,
}

/// What is known of the entries that watch the store.
#[derive(Debug, Default)]
struct Watcher {
    /// The one that was heard last, while it says that the store answers it.
    name: Option<Name>,
    /// When that was, or when it said that the store does not answer it any more.
    at: Micros,
}

/// What is known of the store's answers.
#[derive(Debug, Default)]
struct Contact {
    answered: Option<Micros>,
    lost: bool,
}

impl Gateway {
    pub(crate) fn new(
        settings: GatewaySettings,
        store: Store,
        grams: Arc<UdpSocket>,
        tasks: TaskTracker,
    ) -> Self {
        let own = Member {
            data_center: settings.data_center.clone(),
            peer: settings.listen.peer,
            heard: None,
            leaving: false,
            number: 0,
        };
        let silence = settings.peers.silence;
        let limits = ConnectLimits {
            connect: settings.servers.connect.into(),
            silence: None,
        };
        let dial = || Dialer::new(settings.get_source(), tasks.clone()).with_limits(limits);
        let seed = unix_millis() ^ u64::from(std::process::id()) << 40;
        Self {
            clock: Clock::start(),
            store,
            dialer: dial(),
            prober: dial(),
            peering: dial(),
            stop: CancellationToken::new(),
            in_flight: AtomicU64::new(0),
            changed: watch::Sender::new(0),
            relist: Notify::new(),
            mirrors: Kind::ALL.map(|kind| Mutex::new(Mirror::new(kind.get_prefix().into()))),
            digest: Mutex::default(),
            view: ArcSwap::default(),
            leaving: AtomicBool::new(false),
            directory: Mutex::default(),
            members: Mutex::new(Members::new(settings.name.clone(), own, silence)),
            desks: Mutex::default(),
            grams,
            watcher: Mutex::default(),
            fetching: [const { AtomicBool::new(false) }; 3],
            contact: Mutex::default(),
            serial: AtomicU64::new(seed << 20),
            settings: ArcSwap::from_pointee(settings),
            seed,
            tasks,
        }
    }

    /// Returns a number that no other attempt of this process has.
    pub(crate) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    pub(crate) fn get_view(&self) -> Arc<View> {
        Arc::clone(&self.view.load())
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.members().leave();
        self.announce();
    }

    /// Returns whether new connections are welcome.
    pub(crate) fn is_ready(&self) -> bool {
        let view = self.get_view();
        !self.is_leaving() && view.table.number > 0 && !self.directory().is_empty()
    }

    /// Tells the other entries now.
    pub(crate) fn announce(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn members(&self) -> MutexGuard<'_, Members> {
        self.members.lock().expect("no panic under lock")
    }

    pub(crate) fn desks(&self) -> MutexGuard<'_, Desks> {
        self.desks.lock().expect("no panic under lock")
    }

    /// Sends a datagram without waiting; one that finds no room is lost, as it can be anywhere.
    pub(crate) fn post(&self, gram: &Gram, peer: SocketAddr) {
        if let Err(error) = self.grams.try_send_to(&gram.encode(), peer) {
            log::debug!(peer:% = peer; "datagram not sent: {error}");
        }
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory.lock().expect("no panic under lock")
    }

    pub(crate) fn mirror(&self, kind: Kind) -> MutexGuard<'_, Mirror> {
        self.mirrors[kind as usize]
            .lock()
            .expect("no panic under lock")
    }

    pub(crate) fn get_beat(&self) -> Beat {
        let settings = self.settings.load();
        Beat {
            name: settings.name.clone(),
            data_center: settings.data_center.clone(),
            peer: settings.listen.peer,
            number: self.get_view().table.number,
            latest: Kind::ALL.map(|kind| self.mirror(kind).get_latest()),
            leaving: self.is_leaving(),
            watching: self.is_watcher() && self.is_store_near(),
        }
    }
}

/// The store's state of health.
impl Gateway {
    fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().expect("no panic under lock")
    }

    /// Records that the store answered a call.
    pub(crate) fn hear_store(&self) {
        let now = self.clock.now();
        let mut contact = self.contact();
        contact.answered = Some(now);
        if contact.lost {
            contact.lost = false;
            log::info!("store regained");
            self.directory().regain_store(now);
            // Watches that waited through the outage may have been forgotten.
            self.relist.notify_waiters();
        }
    }

    /// Records that the store did not answer a call.
    pub(crate) fn miss_store(&self, call: &'static str, reason: &str) {
        let mut contact = self.contact();
        if !contact.lost {
            contact.lost = true;
            log::warn!(call, reason; "store lost");
            self.directory().lose_store();
            // Others have to watch instead.
            self.announce();
        }
    }

    /// Returns whether the store answers this entry.
    pub(crate) fn is_store_near(&self) -> bool {
        let now = self.clock.now();
        let contact = self.contact();
        let is_fresh = contact.answered.is_some_and(|at| now - at < CONTACT_AGE);
        is_fresh && !contact.lost
    }

    /// Records that an entry watches the store, or does so no more.
    pub(crate) fn hear_watcher(&self, name: &Name, watching: bool) {
        let at = self.clock.now();
        let mut watcher = self.watcher.lock().expect("no panic under lock");
        let is_known = watcher.name.as_ref() == Some(name);
        if watching || is_known {
            let name = watching.then(|| name.clone());
            *watcher = Watcher { name, at };
        }
    }

    /// Returns this entry's place in the order in which entries watch the store: the first ones do,
    /// the others step in, one after the other, while no watcher is heard.
    pub(crate) fn get_watch_rank(&self) -> usize {
        let members = self.members();
        let names = members.iter().map(|(name, _)| name);
        let ranked = rendezvous("watch", names, usize::MAX);
        let own = ranked.iter().position(|name| *name == members.get_me());
        own.unwrap_or(0)
    }

    /// Returns whether this entry is one of the first to watch the store.
    pub(crate) fn is_first_watcher(&self) -> bool {
        self.get_watch_rank() < WATCHERS
    }

    /// Returns whether this entry has to watch the store itself now.
    pub(crate) fn is_watcher(&self) -> bool {
        let rank = self.get_watch_rank();
        if rank < WATCHERS {
            return true;
        }
        let now = self.clock.now();
        let turn = Micros(TAKEOVER_STEP.0 * (rank - WATCHERS) as u64);
        let watcher = self.watcher.lock().expect("no panic under lock");
        let silence = watcher
            .name
            .as_ref()
            .map_or(Micros::ZERO, |_| WATCHER_SILENCE);
        now - watcher.at > silence + turn
    }

    /// Returns whether the store's last answer failed to come.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.contact().lost
    }

    /// Returns how long ago the store last answered.
    pub(crate) fn get_store_age(&self) -> Option<Micros> {
        let now = self.clock.now();
        self.contact().answered.map(|at| now - at)
    }
}

/// Routes and servers.
impl Gateway {
    /// Takes changes of what is mirrored. `relayed` tells that another entry had them from a store
    /// that may not answer this one.
    pub(crate) fn take_changes(&self, kind: Kind, changes: Vec<Change>, relayed: bool) {
        if changes.is_empty() {
            return;
        }
        match kind {
            Kind::Routes => {
                let bodies = changes.into_iter().filter_map(|change| match change {
                    Change::Put(item) => Some(item),
                    Change::Gone(_) => None,
                });
                for item in bodies.filter(|item| &*item.key == lentilcart_platform::ROUTES) {
                    self.take_routes(&item.value, item.revision);
                }
            }
            Kind::Servers => self.take_servers(changes, relayed),
            Kind::Hosts => self.take_hosts(&changes),
        }
        self.announce();
    }

    /// Puts routes in force if they can be read and are newer than those in force.
    fn take_routes(&self, body: &[u8], revision: u64) {
        let in_force = self.get_view().table.number;
        match lentilcart_platform::decode_routes(body) {
            Err(error) => {
                log::warn!(revision, in_force; "routes ignored: {error}");
            }
            Ok(table) if table.number <= in_force => {
                log::info!(revision, in_force, number = table.number; "routes ignored: not newer");
            }
            Ok(table) => {
                let number = table.number;
                self.install(table);
                log::info!(number, revision; "routes in force");
                metrics::gauge!("lentilcart_routes_number").set(number as f64);
            }
        }
    }

    fn install(&self, table: RouteTable) {
        let old = self.get_view();
        let desk_of = |service: &Name| {
            let known = old.desks.get(service).cloned();
            known.unwrap_or_else(|| {
                let pool = Pool::new(self.get_pool_config(&table, service), self.seed);
                Arc::new(Desk::new(service.clone(), pool, self.clock))
            })
        };
        let desks: Map<Name, Arc<Desk>> = table
            .services
            .keys()
            .map(|service| (service.clone(), desk_of(service)))
            .collect();
        let added = desks.keys().filter(|name| !old.desks.contains_key(*name));
        let added: Set<Name> = added.cloned().collect();
        self.view.store(Arc::new(Arc::new(View { table, desks })));
        self.set_servers(&added);
    }

    pub(crate) fn get_pool_config(&self, table: &RouteTable, service: &Name) -> PoolConfig {
        let settings = self.settings.load();
        let rules = table.services.get(service);
        let entries = self.members().iter().count().max(1) as f64;
        let policy = get_policy(&settings.servers.policy);
        PoolConfig {
            policy: policy.unwrap_or(&lentilcart_route::POLICIES[0]),
            data_center: settings.data_center.clone(),
            overcommit: settings.servers.overcommit,
            reserve: settings.servers.reserve,
            far_reserve: settings.servers.far_reserve,
            far_cost: settings.servers.far_cost,
            connections: rules.map_or(1, |rules| rules.connections).max(1),
            wait: WAIT_SHARE,
            first_retries: 0.0,
            retry: RetryLimits {
                ratio: settings.retries.ratio * BUDGET_SHARE,
                burst: settings.retries.burst * BUDGET_SHARE / entries,
                hedge: settings.servers.hedge,
            },
            eject: EjectLimits::default(),
            ..PoolConfig::default()
        }
    }

    fn take_servers(&self, changes: Vec<Change>, relayed: bool) {
        let now = self.clock.now();
        let mut touched = Set::default();
        {
            let mut directory = self.directory();
            for change in changes {
                let (key, instance) = match change {
                    Change::Gone(key) => (key, None),
                    Change::Put(item) => {
                        let decoded = lentilcart_platform::decode_server(&item.key, &item.value);
                        if let Err(error) = &decoded {
                            log::warn!(key:% = item.key; "registration ignored: {error}");
                        }
                        (item.key, decoded.ok())
                    }
                };
                let Some(id) = lentilcart_platform::server_id(&key).map(Name::from) else {
                    continue;
                };
                let before = directory.get(&id).map(|row| row.service.clone());
                let is_changed = match instance {
                    Some(instance) => {
                        touched.insert(instance.service.clone());
                        directory.put(instance)
                    }
                    None if relayed => directory.remove_relayed(&id, now),
                    None => directory.remove(&id, now),
                };
                if is_changed {
                    let row = directory.get(&id);
                    let state = match row {
                        Some(row) if row.leaving => "leaving",
                        Some(_) => "serving",
                        None => "gone",
                    };
                    log::info!(server:% = id, state, relayed; "server changed");
                    touched.extend(before);
                }
            }
        }
        self.set_servers(&touched);
    }

    /// Drops the servers whose lapse has lasted too long.
    pub(crate) fn tick_directory(&self) {
        if self.directory().tick(self.clock.now()) {
            let services = self.get_view().desks.keys().cloned().collect();
            self.set_servers(&services);
        }
    }

    /// Tells the pools of some services which servers may get new work.
    fn set_servers(&self, services: &Set<Name>) {
        let view = self.get_view();
        let now = self.clock.now();
        for service in services {
            let Some(desk) = view.desks.get(service) else {
                continue;
            };
            let servers: Vec<ServerConfig> = self
                .directory()
                .iter()
                .filter(|row| row.service == *service && !row.leaving)
                .map(|row| ServerConfig {
                    address: row.address,
                    id: row.id.clone(),
                    born: row.born,
                    warm: now + row.warmup,
                    data_center: row.data_center.clone(),
                    slots: row.slots,
                })
                .collect();
            desk.with(|pool, now| pool.set_servers(now, &servers));
        }
    }

    fn take_hosts(&self, changes: &[Change]) {
        let now = self.clock.now();
        let mut members = self.members();
        for change in changes {
            match change {
                Change::Put(item) => match Beat::decode(&item.value) {
                    Ok(beat) => members.list(&beat.name, &beat.data_center, beat.peer, false),
                    Err(error) => log::warn!(key:% = item.key; "host ignored: {error}"),
                },
                Change::Gone(key) => {
                    let name = key.strip_prefix(Kind::Hosts.get_prefix());
                    members.unlist(&name.unwrap_or_default().into(), now);
                }
            }
        }
    }
}
