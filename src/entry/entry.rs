use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::ArcSwap;
use lentilcart_route::{LoadSource, PoolConfig, ServerConfig, ServerPool, get_policy};
use lentilcart_state::{AppliedState, Member, MemberTable, NumberedTicket, Service};
use lentilcart_util::{Map, Micros, Name};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::claims::{Claims, end_claim};
use super::dispatcher::Dispatcher;
use super::peer_links::PeerLinks;
use super::router::Router;
use super::stats::Stats;
use crate::http::Dialer;
use crate::peer::{Heartbeat, LoadDigest, Message};
use crate::platform::{Hosts, Platform, Role};
use crate::settings::Settings;
use crate::util::{Clock, unix_millis};

const HISTORY: usize = 64;
/// Retries of a service that a new daemon may make before it has seen a success.
const FIRST_RETRIES: f64 = 10.0;
const LEAVING_NEWS: Micros = Micros::from_millis(1000);
const WANT_EVERY: Micros = Micros::from_millis(50);
const WATCHERS: usize = 2;
const STALE: Micros = Micros::from_millis(1000);

/// What the tickets in force mean for requests.
#[derive(Debug, Default)]
pub(crate) struct ActiveTickets {
    pub(crate) state: AppliedState,
    pub(crate) router: Router,
    pub(crate) dispatchers: Map<Name, Arc<Dispatcher>>,
}

/// Everything that the tasks of a daemon share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) platform: Platform,
    pub(crate) dialer: Dialer,
    pub(crate) claims: Claims,
    pub(crate) links: PeerLinks,
    pub(crate) stats: Stats,
    pub(crate) tasks: TaskTracker,
    /// Cancelled when the daemon has nothing left to serve.
    pub(crate) stop: CancellationToken,
    /// Changes whenever peers should hear of it at once.
    pub(crate) heartbeat_due: watch::Sender<u64>,
    /// Whether new work may start; false for a moment after a pause.
    pub(crate) awake: watch::Sender<bool>,
    pub(crate) leaving: AtomicBool,
    view: ArcSwap<ActiveTickets>,
    members: Mutex<MemberTable>,
    spread: Mutex<Spread>,
    installing: Mutex<()>,
    serial: AtomicU64,
    seed: u64,
}

/// What is needed to spread tickets and news.
#[derive(Debug, Default)]
struct Spread {
    history: Vec<NumberedTicket>,
    confirmed: Option<Micros>,
    wanted: Option<Micros>,
    leaving: Map<SocketAddr, Micros>,
}

impl Entry {
    pub(crate) fn new(settings: Settings, platform: Platform, tasks: TaskTracker) -> Self {
        let own = Member {
            data_center: settings.data_center.clone(),
            peer_address: settings.peer_public,
            last_heartbeat: None,
            leaving: false,
            applied_number: 0,
        };
        let members = MemberTable::new(settings.name.clone(), own, settings.silence.into());
        let seed = unix_millis() ^ u64::from(std::process::id()) << 40;
        Self {
            clock: Clock::start(),
            platform,
            dialer: Dialer::new(settings.source, tasks.clone()),
            claims: Claims::new(settings.claim_every),
            links: PeerLinks::default(),
            stats: Stats::default(),
            tasks,
            stop: CancellationToken::new(),
            heartbeat_due: watch::Sender::new(0),
            awake: watch::Sender::new(true),
            leaving: AtomicBool::new(false),
            view: ArcSwap::default(),
            members: Mutex::new(members),
            spread: Mutex::default(),
            installing: Mutex::default(),
            serial: AtomicU64::new(seed << 20),
            settings,
            seed,
        }
    }

    /// Returns a number that no other request of this process has.
    pub(crate) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a text that no other attempt of any entry has.
    pub(crate) fn next_attempt(&self) -> Name {
        format!("{}.{:x}", self.settings.name, self.next_serial()).into()
    }

    pub(crate) fn get_active_tickets(&self) -> Arc<ActiveTickets> {
        self.view.load_full()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.lock_members().mark_leaving();
        self.announce();
    }

    /// Sends every peer a heartbeat now.
    pub(crate) fn announce(&self) {
        self.heartbeat_due.send_modify(|count| *count += 1);
    }

    pub(crate) fn lock_members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("no panic under lock")
    }

    fn spread(&self) -> MutexGuard<'_, Spread> {
        self.spread.lock().expect("no panic under lock")
    }
}

/// Tickets.
impl Entry {
    /// Takes tickets that follow the one in force; returns whether any was applied.
    pub(crate) fn apply(&self, tickets: &[NumberedTicket]) -> bool {
        let _installing = self.installing.lock().expect("no panic under lock");
        let mut state = self.get_active_tickets().state.clone();
        let applied: Vec<&NumberedTicket> =
            tickets.iter().filter(|next| state.apply(next)).collect();
        let is_any = !applied.is_empty();
        if is_any {
            {
                let mut spread = self.spread();
                spread.history.extend(applied.into_iter().cloned());
                let excess = spread.history.len().saturating_sub(HISTORY);
                spread.history.drain(..excess);
            }
            self.install(state);
        }
        is_any
    }

    /// Takes a whole state if its number is higher.
    pub(crate) fn replace(&self, state: AppliedState) -> bool {
        let _installing = self.installing.lock().expect("no panic under lock");
        let mut own = self.get_active_tickets().state.clone();
        let newer = own.replace_if_newer(state);
        if newer {
            self.spread().history.clear();
            self.install(own);
        }
        newer
    }

    /// Puts a state in force. The caller holds the lock `installing`.
    fn install(&self, state: AppliedState) {
        let old = self.get_active_tickets();
        let mut dispatchers = Map::default();
        for (name, (_, service)) in &state.services {
            let known = old.dispatchers.get(name).cloned();
            let desk = known.unwrap_or_else(|| {
                let pool = ServerPool::new(self.pool_config(service), self.seed);
                Arc::new(Dispatcher::new(name.clone(), pool, self.clock))
            });
            let before = old
                .state
                .services
                .get(name)
                .map(|(touched, _)| touched.number);
            let touched = state.services.get(name).map(|(touched, _)| touched.number);
            if before != touched {
                desk.with_pool(|pool, now| {
                    pool.set_config(self.pool_config(service));
                    pool.set_servers(now, &servers_of(service));
                });
            }
            dispatchers.insert(name.clone(), desk);
        }
        let (number, id) = (state.number, state.id.clone());
        self.view.store(Arc::new(ActiveTickets {
            router: Router::new(&state),
            state,
            dispatchers,
        }));
        log::info!(number, id:% = id; "ticket in force");
        metrics::gauge!("lentilcart_ticket_number").set(number as f64);
        self.announce();
    }

    fn pool_config(&self, service: &Service) -> PoolConfig {
        PoolConfig {
            policy: get_policy(&service.policy).unwrap_or(&lentilcart_route::POLICIES[0]),
            data_center: self.settings.data_center.clone(),
            overcommit: service.overcommit,
            reserve: 0,
            remote_reserve: 0,
            remote_cost: 0.0,
            max_connections: service.get_connection_limit(),
            wait_share: service.wait_share,
            slow_start: service.slow_start,
            initial_retries: FIRST_RETRIES,
            probe_budget: service.probe_budget,
            retry: service.retry,
            eject: service.ejection,
        }
    }

    /// Records that the platform answered, or that another entry lately heard from it.
    pub(crate) fn confirm(&self, at: Micros) {
        let mut spread = self.spread();
        spread.confirmed = spread.confirmed.max(Some(at));
    }

    /// Returns how long ago the platform confirmed the number in force, to any entry known here.
    pub(crate) fn get_confirmed_age(&self) -> Option<Micros> {
        self.spread().confirmed.map(|at| self.clock.now() - at)
    }

    /// Returns whether this entry watches the platform: few do, and the others join them while
    /// those cannot reach it.
    pub(crate) fn is_watcher(&self) -> bool {
        let stale = self.get_confirmed_age().is_none_or(|age| age > STALE);
        let members = self.lock_members();
        stale
            || members
                .get_owners("platform", WATCHERS, self.clock.now())
                .contains(&self.settings.name)
    }
}

/// Other entries.
impl Entry {
    /// Returns the peer addresses to hold a link to.
    pub(crate) fn get_peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.lock_members();
        let others = members
            .iter()
            .filter(|(name, _)| **name != self.settings.name);
        let mut addresses: Vec<SocketAddr> = others.map(|(_, row)| row.peer_address).collect();
        addresses.extend(&self.settings.seeds);
        addresses.retain(|address| *address != self.settings.peer_public);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the entries that dispatch for a service, the first choice first; empty where every
    /// entry does.
    pub(crate) fn get_owners(&self, service: &Service) -> Vec<Name> {
        match service.owners {
            0 => Vec::new(),
            count => {
                self.lock_members()
                    .get_owners(&service.name, count as usize, self.clock.now())
            }
        }
    }

    pub(crate) fn is_live(&self, name: &Name) -> bool {
        self.lock_members().is_live(name, self.clock.now())
    }

    pub(crate) fn get_peer(&self, name: &Name) -> Option<SocketAddr> {
        self.lock_members().get(name).map(|row| row.peer_address)
    }

    pub(crate) fn get_data_center(&self, name: &Name) -> Option<Name> {
        self.lock_members()
            .get(name)
            .map(|row| row.data_center.clone())
    }

    pub(crate) fn record_peer_lost(&self, name: &Name) {
        self.lock_members().record_link_loss(name);
        if let Some(address) = self.get_peer(name) {
            self.dialer.forget(address);
        }
    }

    pub(crate) fn get_heartbeat(&self) -> Heartbeat {
        let view = self.get_active_tickets();
        let now = self.clock.now();
        let mut spread = self.spread();
        spread.leaving.retain(|_, at| now - *at < LEAVING_NEWS);
        let digesting = view.dispatchers.values().filter(|desk| {
            desk.read_pool(|pool| pool.get_config().policy.source == LoadSource::Digests)
        });
        let digest = |desk: &Arc<Dispatcher>| LoadDigest {
            service: desk.service.clone(),
            counts: desk.read_pool(|pool| pool.get_load_digest().collect()),
        };
        Heartbeat {
            name: self.settings.name.clone(),
            data_center: self.settings.data_center.clone(),
            peer: self.settings.peer_public,
            number: view.state.number,
            confirmed_ms: spread.confirmed.map(|at| (now - at).0 / 1000),
            leaving: self.is_leaving(),
            leaving_servers: spread.leaving.keys().copied().collect(),
            digests: digesting.map(digest).collect(),
        }
    }

    /// Records whether a hedge answered before the first attempt.
    pub(crate) fn settle_hedge(&self, service: &Name, won: bool) {
        if let Some(desk) = self.get_active_tickets().dispatchers.get(service) {
            desk.with_pool(|pool, _| pool.record_hedge(won));
        }
    }

    /// Takes a message from another entry and returns the answer, if one is due.
    pub(crate) fn handle_message(self: &Arc<Self>, message: Message) -> Option<Message> {
        match message {
            Message::HedgeResult(service, won) => {
                self.settle_hedge(&service, won);
                None
            }
            Message::ClaimUpdate(service, claim, state) => {
                end_claim(self, &service, &claim, state);
                None
            }
            // The link that they come over takes these.
            Message::PermitRequest(..) | Message::PermitReply(..) | Message::PermitRelease(..) => {
                None
            }
            Message::Heartbeat(beat) => self.record_heartbeat(&beat),
            Message::TicketsRequest(number) => Some(self.get_tickets(number)),
            Message::Tickets(tickets) => {
                self.spread().wanted = None;
                self.apply(&tickets);
                self.awake.send_replace(true);
                None
            }
            Message::State(state) => {
                self.spread().wanted = None;
                self.replace(*state);
                self.awake.send_replace(true);
                None
            }
        }
    }

    fn record_heartbeat(&self, beat: &Heartbeat) -> Option<Message> {
        let now = self.clock.now();
        {
            let mut members = self.lock_members();
            members.upsert(&beat.name, &beat.data_center, beat.peer, beat.leaving);
            members.record_heartbeat(&beat.name, now, beat.number, beat.leaving);
        }
        if let Some(age) = beat.confirmed_ms {
            self.confirm(now - Micros::from_millis(age));
        }
        for address in &beat.leaving_servers {
            self.set_leaving(*address, true, false);
        }
        let view = self.get_active_tickets();
        for digest in &beat.digests {
            if let Some(desk) = view.dispatchers.get(&digest.service) {
                desk.with_pool(|pool, now| {
                    pool.record_load_digest(now, &beat.name, digest.counts.iter().copied())
                });
            }
        }
        let asleep = !*self.awake.borrow();
        (beat.number > view.state.number || asleep)
            .then(|| self.want(now))
            .flatten()
    }

    fn want(&self, now: Micros) -> Option<Message> {
        let number = self.get_active_tickets().state.number;
        let mut spread = self.spread();
        let due = spread.wanted.is_none_or(|at| now - at > WANT_EVERY);
        due.then(|| {
            spread.wanted = Some(now);
            Message::TicketsRequest(number)
        })
    }

    fn get_tickets(&self, after: u64) -> Message {
        let state = &self.get_active_tickets().state;
        let next: Vec<NumberedTicket> = self
            .spread()
            .history
            .iter()
            .filter(|t| t.number > after)
            .cloned()
            .collect();
        let contiguous = next.first().is_some_and(|t| t.number == after + 1);
        match after >= state.number {
            true => Message::Tickets(Vec::new()),
            false if contiguous => Message::Tickets(next),
            false => Message::State(Box::new(state.clone())),
        }
    }
}

/// Hosts and servers.
impl Entry {
    /// Takes the platform's host list.
    pub(crate) fn take_hosts(&self, list: &Hosts) {
        let now = self.clock.now();
        let entries = list.hosts.iter().filter(|host| host.role == Role::Entry);
        let entries: Vec<_> = entries.filter_map(|h| Some((h, h.peer?))).collect();
        {
            let mut members = self.lock_members();
            for (host, peer) in &entries {
                members.upsert(&host.name, &host.data_center, *peer, host.leaving);
            }
            let gone = |name: &&Name| !entries.iter().any(|(host, _)| host.name == **name);
            let names: Vec<Name> = members
                .iter()
                .map(|(name, _)| name)
                .filter(gone)
                .cloned()
                .collect();
            for name in &names {
                members.remove_unlisted(name, now);
            }
        }
        for host in list.hosts.iter().filter(|host| host.role == Role::Server) {
            self.set_leaving(host.address, host.leaving, true);
        }
    }

    /// Marks a server as leaving or staying in every service, and tells the other entries.
    ///
    /// Only the host list brings a server back.
    pub(crate) fn set_leaving(&self, address: SocketAddr, leaving: bool, spread: bool) {
        let mut changed = false;
        for desk in self.get_active_tickets().dispatchers.values() {
            changed |= desk.with_pool(|pool, now| match pool.get_server_index(address) {
                Some(index) => pool.set_leaving(now, index, leaving),
                None => false,
            });
        }
        if changed && leaving && spread {
            self.spread().leaving.insert(address, self.clock.now());
            self.announce();
        }
    }

    /// Waits, after a pause, until the number in force is confirmed, for a bounded time.
    pub(crate) async fn wait_awake(&self, limit: Duration) {
        if !*self.awake.borrow() {
            let mut awake = self.awake.subscribe();
            let confirmed = awake.wait_for(|awake| *awake);
            tokio::time::timeout(limit, confirmed).await.ok();
        }
    }
}

fn servers_of(service: &Service) -> Vec<ServerConfig> {
    let row = |server: &lentilcart_state::Server| ServerConfig {
        data_center: server.data_center.clone(),
        ..ServerConfig::new(server.address, server.slots)
    };
    service.servers.iter().map(row).collect()
}
