//! Puts changes of routes, servers and entries, as read by the mirrors, in force.

use std::sync::Arc;

use lentilcart_route::{
    EjectLimits, PoolConfig, RetryLimits, SHED_RULES, ServerConfig, ServerPool, ShedRule,
    get_policy, get_shed_rule,
};
use lentilcart_state::{MirrorChange, RouteTable};
use lentilcart_util::{Map, Micros, Name, Set};

use super::datagram::GatewayHeartbeat;
use super::evacuations::RETURN_SLOW_START;
use super::gateway::{ActiveRoutes, Gateway, MirrorKind};
use crate::entry::Dispatcher;

/// Share of the configured retry budget that the entries spend. The rest is headroom: the servers
/// count retries a little later than the entries, and must not see the budget exceeded.
const RETRY_BUDGET_SHARE: f64 = 0.8;
/// Maximum time in a queue as a share of a request's timeout.
const MAX_WAIT_SHARE: f64 = 0.5;

/// Returns whether accounts and kinds of request share a service: where there are accounts, and where load shedding
/// plans ahead, so that no kind of request is starved.
fn shares_service(table: &RouteTable, shedding: &ShedRule) -> bool {
    !table.accounts.is_empty() || shedding.plans
}

impl Gateway {
    /// Applies changes of a mirrored prefix and sends a heartbeat. A removal of the routes is ignored:
    /// they stay in force. Evacuations come into force before routes that came with them.
    ///
    /// `relayed` is true if the changes were fetched from another entry, and false if this entry read
    /// them from the store itself. For evacuations it matters to the log only. For removed servers: after a
    /// relayed removal a server stays for one grace period at most, even while the store does not answer this
    /// entry, since it may answer the other one.
    pub(crate) fn apply_changes(
        &self,
        kind: MirrorKind,
        changes: Vec<MirrorChange>,
        relayed: bool,
    ) {
        if changes.is_empty() {
            return;
        }
        match kind {
            MirrorKind::Routes => {
                self.apply_evacuations(&changes, relayed);
                let items = changes.into_iter().filter_map(|change| match change {
                    MirrorChange::Put(item) => Some(item),
                    MirrorChange::Removed(_) => None,
                });
                for item in items.filter(|item| &*item.key == lentilcart_platform::ROUTES_KEY) {
                    self.apply_routes(&item.value, item.revision);
                }
            }
            MirrorKind::Servers => self.apply_servers(changes, relayed),
            MirrorKind::Hosts => self.apply_entries(&changes),
        }
        self.trigger_heartbeat();
    }

    /// Puts routes in force if they can be decoded and have a higher version than those in force.
    fn apply_routes(&self, body: &[u8], revision: u64) {
        let in_force = self.get_active_routes().table.version;
        match lentilcart_platform::decode_routes(body) {
            Err(error) => {
                log::warn!(revision, in_force; "routes ignored: {error}");
            }
            Ok(table) if table.version <= in_force => {
                log::info!(revision, in_force, number = table.version; "routes ignored: not newer");
            }
            Ok(table) => {
                let version = table.version;
                // Of two threads that decode at the same time, the later may hold the older routes.
                let _guard = self.routes_change.lock().expect("no panic under lock");
                if version <= self.get_active_routes().table.version {
                    return;
                }
                self.fit_bodies(table.limits.body_bytes);
                table.spread_picks(&self.settings.load().name);
                self.replace_routes(table);
                let behind_ms = self.record_caught_up(MirrorKind::Routes).as_millis();
                log::info!(number = version, revision, behind_ms; "routes in force");
                metrics::gauge!("lentilcart_routes_number").set(version as f64);
            }
        }
    }

    /// Makes the largest body that routes allow fit into the memory for bodies, as far as the process has
    /// memory at all.
    fn fit_bodies(&self, largest: u64) {
        let max_body = self.max_body;
        if largest > max_body {
            log::warn!(largest, max_body; "larger bodies are rejected: the process has too little memory");
        }
        if let Some(bytes) = self.bodies.fit_largest(largest.min(max_body)) {
            log::warn!(largest, bytes; "memory for bodies enlarged to hold the largest body");
        }
    }

    /// Replaces the routes in force. Services that stay keep their dispatcher and thereby their
    /// pending requests, what is known of their servers, and the configuration of their pool, which
    /// is replaced only when the number of known entries changes; only whether accounts share it is set here.
    fn replace_routes(&self, table: RouteTable) {
        let old = self.get_active_routes();
        let get_or_create = |service: &Name| {
            let known = old.dispatchers.get(service).cloned();
            known.unwrap_or_else(|| {
                let config = self.get_pool_config(&table, service);
                let mut pool = ServerPool::new(config, self.random_seed);
                pool.set_evacuated(self.clock.now(), &self.evacuated.borrow());
                Arc::new(Dispatcher::new(service.clone(), pool, self.clock))
            })
        };
        let dispatchers: Map<Name, Arc<Dispatcher>> = table
            .services
            .keys()
            .map(|service| (service.clone(), get_or_create(service)))
            .collect();
        for dispatcher in dispatchers.values() {
            self.set_warmup_rules(&table, dispatcher);
            let config = dispatcher.read_pool(|pool| pool.get_config().clone());
            let fair = shares_service(&table, config.shedding);
            if config.fair_shares != fair {
                dispatcher.update_pool(|pool, _| pool.set_fair_shares(fair));
            }
        }
        let added = dispatchers
            .keys()
            .filter(|name| !old.dispatchers.contains_key(*name));
        let added: Set<Name> = added.cloned().collect();
        self.active_routes
            .store(Arc::new(Arc::new(ActiveRoutes { table, dispatchers })));
        self.update_pools(&added);
        // An evacuation may have come since the new pools were created.
        self.update_evacuated_servers();
    }

    /// Returns the configuration of a service's pool by the settings, the routes and the number of
    /// entries that share the retry budget.
    pub(crate) fn get_pool_config(&self, table: &RouteTable, service: &Name) -> PoolConfig {
        let settings = self.settings.load();
        let limits = table.services.get(service);
        let entries = self.lock_members().iter().count().max(1) as f64;
        let policy = get_policy(&settings.servers.policy);
        let shedding = get_shed_rule(&settings.servers.shedding).unwrap_or(&SHED_RULES[0]);
        PoolConfig {
            policy: policy.unwrap_or(&lentilcart_route::POLICIES[0]),
            data_center: settings.data_center.clone(),
            overcommit: settings.servers.overcommit,
            reserve: settings.servers.reserve,
            remote_reserve: settings.servers.remote_reserve,
            remote_cost: settings.servers.remote_cost,
            return_slow_start: RETURN_SLOW_START,
            max_connections: limits.map_or(1, |limits| limits.max_connections).max(1),
            wait_share: MAX_WAIT_SHARE,
            shedding,
            fair_shares: shares_service(table, shedding),
            initial_retries: 0.0,
            retry: RetryLimits {
                ratio: settings.retries.ratio * RETRY_BUDGET_SHARE,
                burst: settings.retries.burst * RETRY_BUDGET_SHARE / entries,
                hedge: settings.servers.hedge_ratio,
            },
            eject: EjectLimits::default(),
            ..PoolConfig::default()
        }
    }

    /// Applies changed registrations of servers to the directory and to the pools concerned.
    fn apply_servers(&self, changes: Vec<MirrorChange>, relayed: bool) {
        let now = self.clock.now();
        let mut changed_services = Set::default();
        {
            let mut directory = self.lock_directory();
            // One line for each of the 517 servers that an entry finds at its start cost more than
            // putting them in force.
            let is_first = directory.is_empty();
            for change in changes {
                let (key, registration) = match change {
                    MirrorChange::Removed(key) => (key, None),
                    MirrorChange::Put(item) => {
                        let decoded =
                            lentilcart_platform::decode_registration(&item.key, &item.value);
                        if let Err(error) = &decoded {
                            log::warn!(key:% = item.key; "registration ignored: {error}");
                        }
                        (item.key, decoded.ok())
                    }
                };
                let Some(id) = lentilcart_platform::parse_server_id(&key).map(Name::from) else {
                    continue;
                };
                let old_service = directory
                    .get(&id)
                    .map(|registration| registration.service.clone());
                let is_changed = match registration {
                    Some(registration) => {
                        if directory.is_older_write(&registration) {
                            log::info!(server:% = id, number = registration.sequence; "registration ignored: not newer");
                        }
                        changed_services.insert(registration.service.clone());
                        directory.record_registration(registration)
                    }
                    None if relayed => directory.record_relayed_removal(&id, now),
                    None => directory.record_removal(&id, now),
                };
                if is_changed {
                    let registration = directory.get(&id);
                    let state = match registration {
                        Some(registration) if registration.leaving => "leaving",
                        Some(_) => "serving",
                        None => "gone",
                    };
                    if !is_first {
                        log::info!(server:% = id, state, relayed; "server changed");
                    }
                    changed_services.extend(old_service);
                } else if let Some(end) = directory.get_lapse_end(&id) {
                    let is_bounded = end < Micros(u64::MAX);
                    let kept_ms = if is_bounded {
                        (end - now).as_millis()
                    } else {
                        -1.0
                    };
                    log::info!(server:% = id, relayed, kept_ms; "registration lapsed");
                }
            }
            if is_first {
                log::info!(servers = directory.len(), relayed; "servers listed");
            }
        }
        self.update_pools(&changed_services);
    }

    /// Records that a server has said itself that it is leaving: it gets no new requests, whatever its
    /// registration says.
    pub(crate) fn record_server_leaving(&self, id: &Name) {
        let service = {
            let mut directory = self.lock_directory();
            if !directory.record_leaving(id) {
                return;
            }
            directory
                .get(id)
                .map(|registration| registration.service.clone())
        };
        log::info!(server:% = id, state = "leaving"; "server said that it leaves");
        self.update_pools(&service.into_iter().collect());
    }

    /// Removes the lapsed servers whose grace period is over, and updates the pools of all services if
    /// there were any.
    pub(crate) fn remove_lapsed_servers(&self) {
        let removed = self.lock_directory().remove_lapsed(self.clock.now());
        for id in &removed {
            log::info!(server:% = id, state = "gone"; "lapsed server removed");
        }
        if !removed.is_empty() {
            let services = self
                .get_active_routes()
                .dispatchers
                .keys()
                .cloned()
                .collect();
            self.update_pools(&services);
        }
    }

    /// Updates the pools of some services with the servers that may get new requests.
    fn update_pools(&self, services: &Set<Name>) {
        let routes = self.get_active_routes();
        let now = self.clock.now();
        for service in services {
            let Some(dispatcher) = routes.dispatchers.get(service) else {
                continue;
            };
            let servers: Vec<ServerConfig> = self
                .lock_directory()
                .iter()
                .filter(|registration| registration.service == *service && !registration.leaving)
                .map(|registration| ServerConfig {
                    address: registration.address,
                    id: registration.id.clone(),
                    started_ms: registration.started_ms,
                    warmup_until: self.get_warmup_end(now, registration),
                    data_center: registration.data_center.clone(),
                    slots: registration.slots,
                })
                .collect();
            dispatcher.update_pool(|pool, now| pool.set_servers(now, &servers));
        }
        self.fit_warmup_ends();
    }

    /// Applies changed registrations of entries to the member table.
    fn apply_entries(&self, changes: &[MirrorChange]) {
        let now = self.clock.now();
        let mut members = self.lock_members();
        for change in changes {
            match change {
                MirrorChange::Put(item) => match GatewayHeartbeat::decode(&item.value) {
                    // Whether an entry is leaving is known from its heartbeats only: the registration
                    // is not updated.
                    Ok(heartbeat) => {
                        members.upsert(
                            &heartbeat.name,
                            &heartbeat.data_center,
                            heartbeat.peer,
                            false,
                        );
                        self.record_registered_entry(&heartbeat);
                        members.record_listed(&heartbeat.name);
                        members.set_weight(&heartbeat.name, heartbeat.weight);
                    }
                    Err(error) => log::warn!(key:% = item.key; "entry ignored: {error}"),
                },
                MirrorChange::Removed(key) => {
                    let name = key.strip_prefix(MirrorKind::Hosts.get_prefix());
                    let name = Name::from(name.unwrap_or_default());
                    // An entry whose heartbeats still arrive stays.
                    members.remove_unlisted(&name, now);
                    self.forget_registered_entry(&name);
                }
            }
        }
    }
}
