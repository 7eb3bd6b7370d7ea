//! Puts evacuations of data centres in force: the servers there get no more requests.
//!
//! The evacuations are keys of the store beside the routes, and come with them. `EvacuationTable` holds them,
//! the pools keep requests from the servers, and `is_serving` and `wait_for_evacuation` check a request that
//! already has a permit until it is sent.

use std::sync::{Arc, MutexGuard};

use lentilcart_platform::{EVACUATIONS_PREFIX, check_evacuation, parse_evacuated_data_center};
use lentilcart_route::ServerPool;
use lentilcart_state::{
    Evacuation, EvacuationChange, EvacuationSource, EvacuationTable, MirrorChange,
};
use lentilcart_util::{Map, Micros, Name, Set};

use super::datagram::GatewayHeartbeat;
use super::error_reply::ErrorReason;
use super::gateway::{Gateway, MirrorKind};
use crate::entry::Dispatcher;

/// Duration of the slow start of servers whose data centre is taken back: servers that are cold are so for
/// about 3 s.
pub(super) const RETURN_SLOW_START: Micros = Micros::from_millis(3000);
/// Time for which the mirror of an entry of an earlier version, which could not bring this entry's up to date,
/// is not fetched again.
const PARTIAL_FETCH_INTERVAL: Micros = Micros::from_millis(1000);
/// Number of characters of a malformed value that the log shows.
const MAX_LOGGED_CHARS: usize = 80;

impl Gateway {
    pub(super) fn lock_evacuations(&self) -> MutexGuard<'_, EvacuationTable> {
        self.evacuations.lock().expect("no panic under lock")
    }

    pub(super) fn lock_earlier_entries(&self) -> MutexGuard<'_, Set<Name>> {
        self.earlier_entries.lock().expect("no panic under lock")
    }

    /// Returns whether a data centre is evacuated.
    pub(crate) fn is_evacuated(&self, data_center: &str) -> bool {
        self.evacuated.borrow().contains(data_center)
    }

    /// Waits until the data centre of a server is evacuated, and for good if the server is not known.
    pub(super) fn wait_for_evacuation(&self, server: &Name) -> impl Future<Output = ()> + use<> {
        let directory = self.lock_directory();
        let data_center = directory
            .get(server)
            .map(|server| server.data_center.clone());
        drop(directory);
        let mut evacuated = self.evacuated.subscribe();
        async move {
            let Some(data_center) = data_center else {
                return std::future::pending().await;
            };
            let is_evacuated = |names: &Set<Name>| names.contains(&data_center);
            if evacuated.wait_for(is_evacuated).await.is_err() {
                // The gateway has ended.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Puts the evacuations of the mirror in force, before routes of the same changes. `relayed` is true if the
    /// changes came from another entry.
    ///
    /// They are read from the mirror as a whole, whatever has changed, so that two tasks that apply changes at
    /// a time can neither bring an older state back nor put routes in force before the evacuations that the
    /// other one has just received. The key alone counts: a malformed value is logged and evacuates as well,
    /// since its data centre would otherwise go on to get requests.
    pub(super) fn apply_evacuations(&self, changes: &[MirrorChange], relayed: bool) {
        let concerns = |key: &str| key.starts_with(EVACUATIONS_PREFIX);
        for change in changes {
            if let MirrorChange::Put(item) = change
                && concerns(&item.key)
                && let Err(error) = check_evacuation(&item.value)
            {
                let value: String = String::from_utf8_lossy(&item.value)
                    .chars()
                    .take(MAX_LOGGED_CHARS)
                    .collect();
                log::error!(key:% = item.key, value, revision = item.revision; "malformed evacuation applies all the same: {error}");
            }
            if let MirrorChange::Put(item) = change
                && parse_evacuated_data_center(&item.key) == Some("")
            {
                log::error!(key:% = item.key, revision = item.revision; "evacuation ignored: expected the name of a data centre after the prefix");
            }
        }
        let source = if relayed {
            EvacuationSource::Peer
        } else {
            EvacuationSource::Store
        };
        let applied = {
            let mut evacuations = self.lock_evacuations();
            let (revision, evacuated) = {
                let mirror = self.lock_mirror(MirrorKind::Routes);
                let evacuated = mirror.iter_prefix(EVACUATIONS_PREFIX).filter_map(|item| {
                    let name = parse_evacuated_data_center(&item.key)?;
                    (!name.is_empty()).then(|| (Name::from(name), item.revision))
                });
                (mirror.get_revision(), evacuated.collect::<Vec<_>>())
            };
            let applied = evacuations.replace(self.clock.now(), source, revision, evacuated);
            self.evacuated.send_replace(evacuations.get_names());
            applied
        };
        if applied.is_empty() {
            return;
        }
        self.update_evacuated_servers();
        for change in &applied {
            self.log_evacuation(change, source);
        }
        self.warn_if_all_evacuated();
        self.record_evacuation_gauges();
    }

    /// Tells the pools of all services the evacuations in force. Each pool takes those that are in force when
    /// it is updated, so that the last update leaves it with the latest ones.
    pub(super) fn update_evacuated_servers(&self) {
        let routes = self.get_active_routes();
        for dispatcher in routes.dispatchers.values() {
            // The lock serializes updates of one pool by different tasks.
            let evacuations = self.lock_evacuations();
            dispatcher.set_evacuated(&evacuations.get_names());
        }
    }

    fn log_evacuation(&self, change: &EvacuationChange, source: EvacuationSource) {
        let (EvacuationChange::Begun(evacuation) | EvacuationChange::Ended(evacuation)) = change;
        let name = &evacuation.data_center;
        let servers = self
            .lock_directory()
            .iter()
            .filter(|server| server.data_center == *name)
            .count();
        let store_age_ms = self.get_store_reply_age().map_or(-1.0, Micros::as_millis);
        let (revision, source) = (evacuation.revision, source.as_str());
        match change {
            EvacuationChange::Begun(_) if servers == 0 => {
                log::warn!(data_center:% = name, revision, source, store_age_ms; "data centre evacuated: no server is known there, and those that come get no requests");
            }
            EvacuationChange::Begun(_) => {
                log::warn!(data_center:% = name, revision, servers, source, store_age_ms; "data centre evacuated");
            }
            EvacuationChange::Ended(_) => {
                let lasted_ms = (self.clock.now() - evacuation.learned).as_millis();
                log::warn!(data_center:% = name, revision, servers, source, store_age_ms, lasted_ms; "evacuation ended");
            }
        }
    }

    /// Logs that all data centres with servers are evacuated: the operator's word counts, so that requests are
    /// refused.
    fn warn_if_all_evacuated(&self) {
        let data_centers: Set<Name> = self
            .lock_directory()
            .iter()
            .map(|server| server.data_center.clone())
            .collect();
        if self.lock_evacuations().covers(&data_centers) {
            log::error!(data_centers = data_centers.len(); "every data centre is evacuated: all requests are refused");
        }
    }

    /// Records the gauges of the evacuations in force.
    pub(super) fn record_evacuation_gauges(&self) {
        let evacuations = self.lock_evacuations();
        metrics::gauge!("lentilcart_data_centers_evacuated").set(evacuations.len() as f64);
        metrics::gauge!("lentilcart_evacuations_revision").set(evacuations.get_revision() as f64);
    }

    /// Returns what the log tells of the evacuations in force when a request is refused because of them:
    /// each with its revision, source and age.
    pub(super) fn describe_evacuations(&self) -> String {
        let now = self.clock.now();
        let describe = |evacuation: &Evacuation| {
            format!(
                "{} at revision {} by the {} for {:.0} ms",
                evacuation.data_center,
                evacuation.revision,
                evacuation.source.as_str(),
                (now - evacuation.learned).as_millis()
            )
        };
        let evacuations = self.lock_evacuations();
        let described: Vec<String> = evacuations.iter().map(describe).collect();
        described.join(", ")
    }

    /// Records from a registration whether an entry is of an earlier version, which mirrors the routes only.
    pub(super) fn record_registered_entry(&self, registration: &GatewayHeartbeat) {
        let mut earlier = self.lock_earlier_entries();
        if registration.mirrors_operator_keys {
            earlier.remove(&registration.name);
        } else if earlier.insert(registration.name.clone()) {
            log::info!(peer:% = registration.name; "entry of an earlier version: it does not pass on evacuations");
        }
    }

    /// Forgets an entry that is no longer registered.
    pub(super) fn forget_registered_entry(&self, name: &Name) {
        self.lock_earlier_entries().remove(name);
    }

    /// Records that the mirror of an entry did not bring this entry's up to date.
    pub(super) fn record_partial_mirror(&self, peer: &Name) {
        let now = self.clock.now();
        let mut fetches = self.lock_partial_fetches();
        fetches.retain(|_, fetched| now - *fetched < PARTIAL_FETCH_INTERVAL);
        fetches.insert(peer.clone(), now);
    }

    /// Returns whether the mirror of an entry was fetched lately and did not bring this entry's up to date.
    pub(super) fn is_partial_mirror(&self, peer: &Name, now: Micros) -> bool {
        let fetched = self.lock_partial_fetches().get(peer).copied();
        fetched.is_some_and(|fetched| now - fetched < PARTIAL_FETCH_INTERVAL)
    }

    fn lock_partial_fetches(&self) -> MutexGuard<'_, Map<Name, Micros>> {
        self.partial_fetches.lock().expect("no panic under lock")
    }
}

/// Returns why the pool of a service has no server for any request.
pub(super) fn get_no_server_reason(dispatcher: &Arc<Dispatcher>) -> ErrorReason {
    if dispatcher.read_pool(ServerPool::is_all_evacuated) {
        ErrorReason::Evacuated
    } else {
        ErrorReason::NoServer
    }
}

/// Counts a request that is refused while servers of its service are evacuated.
pub(super) fn count_evacuation_refusal(dispatcher: &Arc<Dispatcher>, reason: ErrorReason) {
    if dispatcher.read_pool(ServerPool::get_evacuated_count) > 0 {
        metrics::counter!(
            "lentilcart_requests_refused_evacuated_total",
            "service" => dispatcher.service.to_string(), "reason" => reason.as_str()
        )
        .increment(1);
    }
}
