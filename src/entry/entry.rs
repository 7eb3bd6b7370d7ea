use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use lentilcart_route::{LoadSource, PoolConfig, ServerConfig, ServerPool, get_policy};
use lentilcart_state::{
    AppliedState, DEFAULT_WEIGHT, Member, MemberTable, NumberedTicket, Service,
};
use lentilcart_util::{Map, Micros, Name};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::claims::{ClaimWriters, update_claim};
use super::dispatcher::Dispatcher;
use super::drain::DrainSchedule;
use super::peer_links::PeerLinks;
use super::router::Router;
use super::stats::Stats;
use crate::http::HttpClient;
use crate::peer::{Heartbeat, LoadDigest, Message};
use crate::platform::{HostList, HostRole, PlatformClient};
use crate::settings::EntrySettings;
use crate::util::{Clock, unix_millis};

/// Number of latest tickets kept to answer other entries; an entry that is further behind gets the
/// whole state.
const MAX_TICKET_HISTORY: usize = 64;
/// Retries that a new pool of a service allows before its first success.
const INITIAL_RETRIES: f64 = 10.0;
/// Time for which heartbeats name a server that this entry saw leaving.
const LEAVING_REPORT_PERIOD: Micros = Micros::from_millis(1000);
/// Shortest time between two requests for missing tickets, counted over all links, while the first
/// has no reply. A request is sent only in reply to a heartbeat.
const TICKETS_REQUEST_INTERVAL: Micros = Micros::from_millis(50);
/// Entries that watch the platform while it is reachable.
const WATCHER_COUNT: usize = 2;
/// Age of the last answer of the platform above which every entry watches the platform.
const MAX_PLATFORM_ANSWER_AGE: Micros = Micros::from_millis(1000);

/// Configuration that results from all tickets up to the one in force; replaced as a whole.
#[derive(Debug, Default)]
pub(crate) struct ActiveConfig {
    /// State of all services, with the number and the identifier of the ticket in force.
    pub(crate) state: AppliedState,
    /// Routes of these services.
    pub(crate) router: Router,
    /// Dispatchers by service; one is kept over tickets that change its service.
    pub(crate) dispatchers: Map<Name, Arc<Dispatcher>>,
}

/// State that all tasks of an entry share.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) settings: EntrySettings,
    pub(crate) clock: Clock,
    pub(crate) platform: PlatformClient,
    pub(crate) http_client: HttpClient,
    pub(crate) claims: ClaimWriters,
    pub(crate) links: PeerLinks,
    pub(crate) stats: Stats,
    /// Background tasks, for which a stopping entry waits for at most `platform_timeout`.
    pub(crate) tasks: TaskTracker,
    /// The times of the stop, once it has begun.
    pub(crate) drain: OnceLock<DrainSchedule>,
    /// Cancelled when this entry, which is leaving, begins no more attempts: requests without a permit are
    /// rejected.
    pub(crate) attempts_end: CancellationToken,
    /// Cancelled when this entry, which is leaving, waits no longer for the answers of servers.
    pub(crate) requests_end: CancellationToken,
    /// Cancelled when no request is left, or the time to drain is over; ends the background tasks.
    pub(crate) stop: CancellationToken,
    /// Counter whose changes make every dialled link send a heartbeat at once.
    pub(crate) heartbeat_due: watch::Sender<u64>,
    /// Whether new requests may start without waiting for the ticket in force to be confirmed:
    /// false after the process was paused, until the platform or another entry has replied, or the
    /// platform has failed to. It is true before the first ticket as well. While it is false, a new
    /// request waits for at most 300 ms (`CONFIRM_TIMEOUT` in `serve`) and then starts.
    pub(crate) is_ticket_confirmed: watch::Sender<bool>,
    /// Whether this entry is being stopped.
    pub(crate) leaving: AtomicBool,
    active: ArcSwap<ActiveConfig>,
    /// All known entries, this one included.
    members: Mutex<MemberTable>,
    gossip: Mutex<GossipState>,
    /// Held while tickets are applied, so that none is applied to an older state.
    apply_lock: Mutex<()>,
    serial: AtomicU64,
    /// Seed of the random choices of the pools.
    seed: u64,
}

/// What this entry exchanges with other entries besides load and permits: tickets, the last contact
/// with the platform, and leaving servers.
#[derive(Debug, Default)]
struct GossipState {
    /// Latest applied tickets in ascending order; no number is missing between two of them.
    ticket_history: Vec<NumberedTicket>,
    /// When the platform last answered this entry or another one.
    platform_answered_at: Option<Micros>,
    /// When tickets were requested from another entry; `None` once the reply has arrived.
    tickets_requested_at: Option<Micros>,
    /// Servers that this entry saw leaving, and when.
    leaving_servers: Map<SocketAddr, Micros>,
}

impl Entry {
    /// Creates an entry without a ticket in force.
    pub(crate) fn new(
        settings: EntrySettings,
        platform: PlatformClient,
        tasks: TaskTracker,
    ) -> Self {
        let own = Member {
            data_center: settings.data_center.clone(),
            peer_address: settings.peer_public,
            last_heartbeat: None,
            leaving: false,
            applied_number: 0,
            weight: DEFAULT_WEIGHT,
            overloaded: false,
        };
        let members = MemberTable::new(settings.name.clone(), own, settings.silence_timeout.into());
        let seed = unix_millis() ^ u64::from(std::process::id()) << 40;
        Self {
            clock: Clock::start(),
            platform,
            http_client: HttpClient::new(settings.source_ip, tasks.clone()),
            claims: ClaimWriters::new(settings.claim_interval),
            links: PeerLinks::default(),
            stats: Stats::default(),
            tasks,
            drain: OnceLock::new(),
            attempts_end: CancellationToken::new(),
            requests_end: CancellationToken::new(),
            stop: CancellationToken::new(),
            heartbeat_due: watch::Sender::new(0),
            is_ticket_confirmed: watch::Sender::new(true),
            leaving: AtomicBool::new(false),
            active: ArcSwap::default(),
            members: Mutex::new(members),
            gossip: Mutex::default(),
            apply_lock: Mutex::default(),
            serial: AtomicU64::new(seed << 20),
            settings,
            seed,
        }
    }

    /// Returns a number that is unique in this process. The start of the sequence depends on the
    /// time and the process id, so that a restarted entry does not repeat it.
    pub(crate) fn next_serial(&self) -> u64 {
        self.serial.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a new identifier, unique among all entries: the entry's name and a serial number.
    pub(crate) fn next_unique_id(&self) -> Name {
        format!("{}.{:x}", self.settings.name, self.next_serial()).into()
    }

    /// Returns the configuration in force now. The returned one does not change when later tickets
    /// are applied.
    pub(crate) fn get_active_config(&self) -> Arc<ActiveConfig> {
        self.active.load_full()
    }

    /// Returns whether this entry is being stopped.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Marks this entry as leaving and tells the other entries at once.
    pub(crate) fn leave(&self) {
        self.leaving.store(true, Ordering::Relaxed);
        self.lock_members().mark_leaving();
        self.trigger_heartbeat();
    }

    /// Makes every dialled link send a heartbeat now.
    pub(crate) fn trigger_heartbeat(&self) {
        self.heartbeat_due.send_modify(|count| *count += 1);
    }

    /// Locks the table of entries and returns its guard.
    pub(crate) fn lock_members(&self) -> MutexGuard<'_, MemberTable> {
        self.members.lock().expect("no panic under lock")
    }

    fn lock_gossip(&self) -> MutexGuard<'_, GossipState> {
        self.gossip.lock().expect("no panic under lock")
    }
}

/// Tickets.
impl Entry {
    /// Applies the tickets that directly follow the one in force, in their order; returns whether
    /// any was applied.
    pub(crate) fn apply_tickets(&self, tickets: &[NumberedTicket]) -> bool {
        let _applying = self.apply_lock.lock().expect("no panic under lock");
        let mut state = self.get_active_config().state.clone();
        let applied: Vec<&NumberedTicket> =
            tickets.iter().filter(|next| state.apply(next)).collect();
        let has_applied = !applied.is_empty();
        if has_applied {
            {
                let mut gossip = self.lock_gossip();
                gossip.ticket_history.extend(applied.into_iter().cloned());
                let excess = gossip
                    .ticket_history
                    .len()
                    .saturating_sub(MAX_TICKET_HISTORY);
                gossip.ticket_history.drain(..excess);
            }
            self.put_in_force(state);
        }
        has_applied
    }

    /// Puts a whole state in force if its number is higher than the one in force; returns whether
    /// it was.
    pub(crate) fn apply_state(&self, state: AppliedState) -> bool {
        let _applying = self.apply_lock.lock().expect("no panic under lock");
        let mut own = self.get_active_config().state.clone();
        let is_newer = own.replace_if_newer(state);
        if is_newer {
            self.lock_gossip().ticket_history.clear();
            self.put_in_force(own);
        }
        is_newer
    }

    /// Puts a state in force: creates dispatchers of new services, updates those whose service a
    /// ticket changed, and drops those of removed services. The caller holds `apply_lock`.
    fn put_in_force(&self, state: AppliedState) {
        let old = self.get_active_config();
        let mut dispatchers = Map::default();
        for (name, (_, service)) in &state.services {
            let existing = old.dispatchers.get(name).cloned();
            let dispatcher = existing.unwrap_or_else(|| {
                let pool = ServerPool::new(self.get_pool_config(service), self.seed);
                Arc::new(Dispatcher::new(name.clone(), pool, self.clock))
            });
            let old_number = old
                .state
                .services
                .get(name)
                .map(|(ticket, _)| ticket.number);
            let new_number = state.services.get(name).map(|(ticket, _)| ticket.number);
            if old_number != new_number {
                dispatcher.update_pool(|pool, now| {
                    pool.set_config(self.get_pool_config(service));
                    pool.set_servers(now, &get_server_configs(service));
                });
            }
            dispatchers.insert(name.clone(), dispatcher);
        }
        let (number, id) = (state.number, state.id.clone());
        self.active.store(Arc::new(ActiveConfig {
            router: Router::new(&state),
            state,
            dispatchers,
        }));
        log::info!(number, id:% = id; "ticket in force");
        metrics::gauge!("lentilcart_ticket_number").set(number as f64);
        self.trigger_heartbeat();
    }

    /// Returns the settings of a service's pool. No slots are reserved, and the servers of all data
    /// centres cost the same. An unknown policy is replaced by the first one of `POLICIES`.
    fn get_pool_config(&self, service: &Service) -> PoolConfig {
        PoolConfig {
            policy: get_policy(&service.policy).unwrap_or(&lentilcart_route::POLICIES[0]),
            data_center: self.settings.data_center.clone(),
            overcommit: service.overcommit,
            reserve: 0,
            remote_reserve: 0,
            remote_cost: 0.0,
            max_connections: service.get_connection_limit(),
            wait_share: service.wait_share,
            shedding: &lentilcart_route::SHED_RULES[0],
            fair_shares: false,
            slow_start: service.slow_start,
            return_slow_start: Micros::ZERO,
            initial_retries: INITIAL_RETRIES,
            probe_budget: service.probe_budget,
            retry: service.retry,
            eject: service.ejection,
        }
    }

    /// Records that the platform answered this or another entry at the time `at`.
    pub(crate) fn record_platform_answer(&self, at: Micros) {
        let mut gossip = self.lock_gossip();
        gossip.platform_answered_at = gossip.platform_answered_at.max(Some(at));
    }

    /// Returns how long ago the platform last answered this entry or one whose heartbeat said so;
    /// `None` before the first answer.
    pub(crate) fn get_platform_answer_age(&self) -> Option<Micros> {
        self.lock_gossip()
            .platform_answered_at
            .map(|at| self.clock.now() - at)
    }

    /// Returns whether this entry watches the platform. [`WATCHER_COUNT`] entries chosen by
    /// rendezvous hashing do, and every entry does while the last answer is older than
    /// [`MAX_PLATFORM_ANSWER_AGE`] or there is none. The key of the hash is the word `platform`,
    /// which stands for no service here: the entries ranked first are the watchers.
    pub(crate) fn is_watcher(&self) -> bool {
        let stale = self
            .get_platform_answer_age()
            .is_none_or(|age| age > MAX_PLATFORM_ANSWER_AGE);
        let members = self.lock_members();
        stale
            || members
                .get_owners("platform", WATCHER_COUNT, self.clock.now())
                .contains(&self.settings.name)
    }
}

/// Other entries.
impl Entry {
    /// Returns the peer addresses to hold a link to: those of the known entries and the seeds of
    /// the settings, without this entry's own.
    pub(crate) fn get_peer_addresses(&self) -> Vec<SocketAddr> {
        let members = self.lock_members();
        let others = members
            .iter()
            .filter(|(name, _)| **name != self.settings.name);
        let mut addresses: Vec<SocketAddr> =
            others.map(|(_, member)| member.peer_address).collect();
        addresses.extend(&self.settings.seeds);
        addresses.retain(|address| *address != self.settings.peer_public);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the owners of a service, which grant its permits, in the order in which they are
    /// asked; empty if every entry dispatches the service's requests itself.
    pub(crate) fn get_owners(&self, service: &Service) -> Vec<Name> {
        match service.owners {
            0 => Vec::new(),
            count => {
                self.lock_members()
                    .get_owners(&service.name, count as usize, self.clock.now())
            }
        }
    }

    /// Returns whether an entry's last heartbeat is no older than the `silence` setting and no link
    /// from it has ended since; this entry itself is always live.
    pub(crate) fn is_live(&self, name: &Name) -> bool {
        self.lock_members().is_live(name, self.clock.now())
    }

    /// Returns the address of an entry's peer listener, if the entry is known.
    pub(crate) fn get_peer_address(&self, name: &Name) -> Option<SocketAddr> {
        self.lock_members()
            .get(name)
            .map(|member| member.peer_address)
    }

    /// Returns the data centre of an entry, if the entry is known.
    pub(crate) fn get_data_center(&self, name: &Name) -> Option<Name> {
        self.lock_members()
            .get(name)
            .map(|member| member.data_center.clone())
    }

    /// Records that an entry's newest link to this one has ended: the entry is not live until its next
    /// heartbeat, and no idle connection to it is used again.
    pub(crate) fn record_peer_lost(&self, name: &Name) {
        self.lock_members().record_link_loss(name);
        if let Some(address) = self.get_peer_address(name) {
            self.http_client.close_idle_to(address);
        }
    }

    /// Builds the heartbeat to send now, and forgets the leaving servers that were seen
    /// [`LEAVING_REPORT_PERIOD`] ago or earlier.
    pub(crate) fn build_heartbeat(&self) -> Heartbeat {
        let active = self.get_active_config();
        let now = self.clock.now();
        let mut gossip = self.lock_gossip();
        gossip
            .leaving_servers
            .retain(|_, at| now - *at < LEAVING_REPORT_PERIOD);
        let sharing = active.dispatchers.values().filter(|dispatcher| {
            dispatcher.read_pool(|pool| pool.get_config().policy.source == LoadSource::Digests)
        });
        let digest = |dispatcher: &Arc<Dispatcher>| LoadDigest {
            service: dispatcher.service.clone(),
            counts: dispatcher.read_pool(|pool| pool.get_load_digest().collect()),
        };
        Heartbeat {
            name: self.settings.name.clone(),
            data_center: self.settings.data_center.clone(),
            peer_address: self.settings.peer_public,
            ticket_number: active.state.number,
            platform_answer_age_ms: gossip.platform_answered_at.map(|at| (now - at).0 / 1000),
            leaving: self.is_leaving(),
            leaving_servers: gossip.leaving_servers.keys().copied().collect(),
            digests: sharing.map(digest).collect(),
        }
    }

    /// Records the result of a hedge of a service; `won` is true if it answered before the hedged
    /// attempt, or after that had failed.
    pub(crate) fn record_hedge(&self, service: &Name, won: bool) {
        if let Some(dispatcher) = self.get_active_config().dispatchers.get(service) {
            dispatcher.update_pool(|pool, _| pool.record_hedge(won));
        }
    }

    /// Handles a message from another entry and returns the reply, if one is due.
    pub(crate) fn handle_message(self: &Arc<Self>, message: Message) -> Option<Message> {
        match message {
            Message::HedgeResult(service, won) => {
                self.record_hedge(&service, won);
                None
            }
            Message::ClaimUpdate(service, claim, state) => {
                update_claim(self, &service, &claim, state);
                None
            }
            // Handled by the link, which knows who sent them.
            Message::PermitRequest(..) | Message::PermitReply(..) | Message::PermitRelease(..) => {
                None
            }
            Message::Heartbeat(heartbeat) => self.record_heartbeat(&heartbeat),
            Message::TicketsRequest(number) => self.get_tickets_reply(number),
            Message::Tickets(tickets) => {
                self.lock_gossip().tickets_requested_at = None;
                self.apply_tickets(&tickets);
                self.is_ticket_confirmed.send_replace(true);
                None
            }
            Message::State(state) => {
                self.lock_gossip().tickets_requested_at = None;
                self.apply_state(*state);
                self.is_ticket_confirmed.send_replace(true);
                None
            }
        }
    }

    /// Records a heartbeat; returns a request for tickets if the sender has newer ones, or if
    /// this entry was paused and needs its ticket confirmed, which a sender that is behind cannot do.
    fn record_heartbeat(&self, heartbeat: &Heartbeat) -> Option<Message> {
        let now = self.clock.now();
        {
            let mut members = self.lock_members();
            members.upsert(
                &heartbeat.name,
                &heartbeat.data_center,
                heartbeat.peer_address,
                heartbeat.leaving,
            );
            members.record_heartbeat(
                &heartbeat.name,
                now,
                heartbeat.ticket_number,
                heartbeat.leaving,
            );
        }
        if let Some(age) = heartbeat.platform_answer_age_ms {
            self.record_platform_answer(now - Micros::from_millis(age));
        }
        for address in &heartbeat.leaving_servers {
            self.set_server_leaving(*address, /* leaving */ true, /* announce */ false);
        }
        let active = self.get_active_config();
        for digest in &heartbeat.digests {
            if let Some(dispatcher) = active.dispatchers.get(&digest.service) {
                dispatcher.update_pool(|pool, now| {
                    pool.record_load_digest(now, &heartbeat.name, digest.counts.iter().copied());
                });
            }
        }
        let needs_confirmation = !*self.is_ticket_confirmed.borrow();
        let is_due = match active.state.number {
            number if needs_confirmation => heartbeat.ticket_number >= number,
            number => heartbeat.ticket_number > number,
        };
        is_due.then(|| self.start_tickets_request(now)).flatten()
    }

    /// Returns a request for the tickets after the one in force and records its time; `None` if
    /// one was sent at most [`TICKETS_REQUEST_INTERVAL`] ago and is not answered yet.
    fn start_tickets_request(&self, now: Micros) -> Option<Message> {
        let number = self.get_active_config().state.number;
        let mut gossip = self.lock_gossip();
        let is_due = gossip
            .tickets_requested_at
            .is_none_or(|at| now - at > TICKETS_REQUEST_INTERVAL);
        is_due.then(|| {
            gossip.tickets_requested_at = Some(now);
            Message::TicketsRequest(number)
        })
    }

    /// Returns the tickets after a number, or the whole state if the history does not reach back
    /// to it; `None` if this entry is behind the number, since an empty reply would confirm it.
    fn get_tickets_reply(&self, after: u64) -> Option<Message> {
        let state = &self.get_active_config().state;
        let next: Vec<NumberedTicket> = self
            .lock_gossip()
            .ticket_history
            .iter()
            .filter(|t| t.number > after)
            .cloned()
            .collect();
        let is_contiguous = next.first().is_some_and(|t| t.number == after + 1);
        match state.number {
            number if number < after => None,
            number if number == after => Some(Message::Tickets(Vec::new())),
            _ if is_contiguous => Some(Message::Tickets(next)),
            _ => Some(Message::State(Box::new(state.clone()))),
        }
    }
}

/// Hosts and servers.
impl Entry {
    /// Applies the platform's host list: updates the table of entries and marks the servers that
    /// are leaving or have come back.
    pub(crate) fn apply_hosts(&self, list: &HostList) {
        let now = self.clock.now();
        let entries = list
            .hosts
            .iter()
            .filter(|host| host.role == HostRole::Entry);
        let entries: Vec<_> = entries.filter_map(|h| Some((h, h.peer?))).collect();
        {
            let mut members = self.lock_members();
            for (host, peer) in &entries {
                members.upsert(&host.name, &host.data_center, *peer, host.leaving);
            }
            let is_unlisted = |name: &&Name| !entries.iter().any(|(host, _)| host.name == **name);
            let names: Vec<Name> = members
                .iter()
                .map(|(name, _)| name)
                .filter(is_unlisted)
                .cloned()
                .collect();
            for name in &names {
                members.remove_unlisted(name, now);
            }
        }
        for host in list
            .hosts
            .iter()
            .filter(|host| host.role == HostRole::Server)
        {
            self.set_server_leaving(host.address, host.leaving, /* announce */ true);
        }
    }

    /// Marks a server as leaving or not leaving in every service. If `announce` is true and the
    /// server was not known to leave, the other entries are told at once.
    ///
    /// Only the host list marks a server as no longer leaving.
    pub(crate) fn set_server_leaving(&self, address: SocketAddr, leaving: bool, announce: bool) {
        let mut has_changed = false;
        for dispatcher in self.get_active_config().dispatchers.values() {
            has_changed |=
                dispatcher.update_pool(|pool, now| match pool.get_server_index(address) {
                    Some(index) => pool.set_leaving(now, index, leaving),
                    None => false,
                });
        }
        if has_changed && leaving && announce {
            self.lock_gossip()
                .leaving_servers
                .insert(address, self.clock.now());
            self.trigger_heartbeat();
        }
    }

    /// Waits until the ticket in force is confirmed after a pause of the process or the platform
    /// has failed to confirm it, but at most for the timeout; returns at once if the process was
    /// not paused.
    pub(crate) async fn wait_until_confirmed(&self, timeout: Duration) {
        if !*self.is_ticket_confirmed.borrow() {
            let mut is_ticket_confirmed = self.is_ticket_confirmed.subscribe();
            let confirmed =
                is_ticket_confirmed.wait_for(|is_ticket_confirmed| *is_ticket_confirmed);
            tokio::time::timeout(timeout, confirmed).await.ok();
        }
    }
}

/// Returns the settings of a service's servers.
fn get_server_configs(service: &Service) -> Vec<ServerConfig> {
    let config = |server: &lentilcart_state::Server| ServerConfig {
        data_center: server.data_center.clone(),
        ..ServerConfig::new(server.address, server.slots)
    };
    service.servers.iter().map(config).collect()
}
