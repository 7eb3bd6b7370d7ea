//! Routes, servers and hosts as the mirrors bring them.

use std::sync::Arc;

use lentilcart_route::{
    EjectLimits, PoolConfig, RetryLimits, ServerConfig, ServerPool, get_policy,
};
use lentilcart_state::{MirrorChange, RouteTable};
use lentilcart_util::{Map, Name, Set};

use super::datagram::GatewayHeartbeat;
use super::gateway::{ActiveRoutes, Gateway, MirrorKind};
use crate::entry::Dispatcher;

/// Share of the budget of retries that the entries hand out, so that counting at the servers'
/// side, a little later, stays within it.
const BUDGET_SHARE: f64 = 0.8;
/// Longest wait for a server as a share of the time that a request has.
const WAIT_SHARE: f64 = 0.5;

impl Gateway {
    /// Takes changes of what is mirrored. `relayed` tells that another entry had them from a store
    /// that may not answer this one.
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
                let bodies = changes.into_iter().filter_map(|change| match change {
                    MirrorChange::Put(item) => Some(item),
                    MirrorChange::Removed(_) => None,
                });
                for item in bodies.filter(|item| &*item.key == lentilcart_platform::ROUTES_KEY) {
                    self.take_routes(&item.value, item.revision);
                }
            }
            MirrorKind::Servers => self.take_servers(changes, relayed),
            MirrorKind::Hosts => self.take_hosts(&changes),
        }
        self.announce();
    }

    /// Puts routes in force if they can be read and are newer than those in force.
    fn take_routes(&self, body: &[u8], revision: u64) {
        let in_force = self.get_routes().table.number;
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
        let old = self.get_routes();
        let desk_of = |service: &Name| {
            let known = old.desks.get(service).cloned();
            known.unwrap_or_else(|| {
                let pool = ServerPool::new(self.get_pool_config(&table, service), self.seed);
                Arc::new(Dispatcher::new(service.clone(), pool, self.clock))
            })
        };
        let desks: Map<Name, Arc<Dispatcher>> = table
            .services
            .keys()
            .map(|service| (service.clone(), desk_of(service)))
            .collect();
        let added = desks.keys().filter(|name| !old.desks.contains_key(*name));
        let added: Set<Name> = added.cloned().collect();
        self.view
            .store(Arc::new(Arc::new(ActiveRoutes { table, desks })));
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
            remote_reserve: settings.servers.far_reserve,
            remote_cost: settings.servers.far_cost,
            max_connections: rules.map_or(1, |rules| rules.max_connections).max(1),
            wait_share: WAIT_SHARE,
            initial_retries: 0.0,
            retry: RetryLimits {
                ratio: settings.retries.ratio * BUDGET_SHARE,
                burst: settings.retries.burst * BUDGET_SHARE / entries,
                hedge: settings.servers.hedge,
            },
            eject: EjectLimits::default(),
            ..PoolConfig::default()
        }
    }

    fn take_servers(&self, changes: Vec<MirrorChange>, relayed: bool) {
        let now = self.clock.now();
        let mut touched = Set::default();
        {
            let mut directory = self.directory();
            for change in changes {
                let (key, instance) = match change {
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
                let before = directory.get(&id).map(|row| row.service.clone());
                let is_changed = match instance {
                    Some(instance) => {
                        touched.insert(instance.service.clone());
                        directory.record_registration(instance)
                    }
                    None if relayed => directory.record_relayed_removal(&id, now),
                    None => directory.record_removal(&id, now),
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
        if self.directory().remove_lapsed(self.clock.now()) {
            let services = self.get_routes().desks.keys().cloned().collect();
            self.set_servers(&services);
        }
    }

    /// Tells the pools of some services which servers may get new work.
    fn set_servers(&self, services: &Set<Name>) {
        let view = self.get_routes();
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
                    started_ms: row.started_ms,
                    warmup_until: now + row.warmup_remaining,
                    data_center: row.data_center.clone(),
                    slots: row.slots,
                })
                .collect();
            desk.with_pool(|pool, now| pool.set_servers(now, &servers));
        }
    }

    fn take_hosts(&self, changes: &[MirrorChange]) {
        let now = self.clock.now();
        let mut members = self.members();
        for change in changes {
            match change {
                MirrorChange::Put(item) => match GatewayHeartbeat::decode(&item.value) {
                    Ok(beat) => members.upsert(&beat.name, &beat.data_center, beat.peer, false),
                    Err(error) => log::warn!(key:% = item.key; "host ignored: {error}"),
                },
                MirrorChange::Removed(key) => {
                    let name = key.strip_prefix(MirrorKind::Hosts.get_prefix());
                    members.remove_unlisted(&name.unwrap_or_default().into(), now);
                }
            }
        }
    }
}
