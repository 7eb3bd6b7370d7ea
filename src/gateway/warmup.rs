//! Cold servers: the limit on their requests, and this entry's right to send them any.
//!
//! A server is cold while its registration or an answer says so, or for a time after it has started during
//! operation. The entry that [`MemberTable::get_pacer`](lentilcart_state::MemberTable::get_pacer) names paces
//! the requests to the cold servers of a data centre; all others send them none.

use std::sync::{Arc, MutexGuard};

use lentilcart_route::{ServerPool, WarmupRules, WarmupTerm};
use lentilcart_state::{PacerLease, RouteTable, ServerDirectory, ServerRegistration};
use lentilcart_util::{Map, Micros, Name};

use super::gateway::{Gateway, MirrorKind};
use super::on_demand_probe::preflight;
use super::permit_table::is_serving;
use crate::entry::{Dispatcher, Permit};

/// Ends of the warm-ups that registrations name, by server identifier. A registration holds the remaining time
/// when it was written, so that its end is computed only once.
#[derive(Debug, Default)]
pub(crate) struct WarmupEnds(Map<Name, WarmupEnd>);

#[derive(Debug)]
struct WarmupEnd {
    /// Start of the server and number of the write, which identify the registration.
    registration: (u64, Option<u64>),
    remaining: Micros,
    end: Micros,
}

impl WarmupEnds {
    /// Returns the end of the warm-up that a registration names; zero if it names none.
    fn get_or_record(&mut self, now: Micros, registration: &ServerRegistration) -> Micros {
        let remaining = registration.warmup_remaining;
        if remaining == Micros::ZERO {
            self.0.remove(&registration.id);
            return Micros::ZERO;
        }
        let written = (registration.started_ms, registration.sequence);
        match self.0.get(&registration.id) {
            Some(known) if known.registration == written && known.remaining == remaining => {
                known.end
            }
            _ => {
                let end = now + remaining;
                let warmup_end = WarmupEnd {
                    registration: written,
                    remaining,
                    end,
                };
                self.0.insert(registration.id.clone(), warmup_end);
                end
            }
        }
    }

    /// Forgets servers that the directory does not hold, where there are more of these ends than servers.
    fn fit(&mut self, directory: &ServerDirectory) {
        if self.0.len() > directory.len() {
            self.0.retain(|id, _| directory.get(id).is_some());
        }
    }
}

impl Gateway {
    pub(crate) fn lock_pacer_lease(&self) -> MutexGuard<'_, PacerLease> {
        self.pacer_lease.lock().expect("no panic under lock")
    }

    /// Returns the end of the warm-up of a server by its registration, as an instant of this entry's clock.
    pub(crate) fn get_warmup_end(&self, now: Micros, registration: &ServerRegistration) -> Micros {
        let routes = self.get_active_routes();
        let limits = routes.table.services.get(&registration.service);
        if limits.is_none_or(|limits| limits.warmup.is_none()) {
            return now + registration.warmup_remaining;
        }
        self.lock_warmup_ends().get_or_record(now, registration)
    }

    /// Forgets the ends of the warm-ups of removed servers.
    pub(super) fn fit_warmup_ends(&self) {
        let directory = self.lock_directory();
        self.lock_warmup_ends().fit(&directory);
    }

    fn lock_warmup_ends(&self) -> MutexGuard<'_, WarmupEnds> {
        self.warmup_ends.lock().expect("no panic under lock")
    }

    /// Puts the limit on the requests of cold servers in force that routes name for a service.
    pub(super) fn set_warmup_rules(&self, table: &RouteTable, dispatcher: &Dispatcher) {
        let settings = self.settings.load();
        let limits = table.services.get(&dispatcher.service);
        let rules = limits.and_then(|limits| limits.warmup).map(|limit| {
            let (overage, slack) = (settings.warmup.overage, settings.warmup.slack);
            WarmupRules::new(limit.duration, limit.rate, overage, slack)
        });
        if rules.is_some() || dispatcher.read_pool(ServerPool::limits_cold_servers) {
            dispatcher.update_pool(|pool, now| pool.set_warmup(now, rules));
        }
    }

    /// Updates which cold servers of a service this entry may send requests to, and logs which servers have
    /// become cold or warm.
    pub(super) fn update_warmup(&self, dispatcher: &Dispatcher) {
        if !dispatcher.read_pool(ServerPool::limits_cold_servers) {
            return;
        }
        let now = self.clock.now();
        let cold = dispatcher.read_pool(|pool| pool.get_cold_data_centers(now));
        let term = if cold.is_empty() {
            WarmupTerm::default()
        } else {
            let ttl = self.settings.load().store.lease_ttl;
            let listed = self.lock_mirror(MirrorKind::Hosts).get_revision();
            let until = self.lock_pacer_lease().get_term_end(now, ttl, listed);
            until.map_or_else(WarmupTerm::default, |until| {
                let members = self.lock_members();
                let data_centers = members.get_paced_data_centers(&dispatcher.service, cold);
                WarmupTerm {
                    data_centers,
                    until,
                }
            })
        };
        let changes = dispatcher.update_pool(|pool, now| {
            pool.set_warmup_term(now, term);
            pool.take_warmth_changes(now)
        });
        for change in changes {
            let (server, service) = (&change.server, &dispatcher.service);
            let source = change.source.as_str();
            if change.remaining > Micros::ZERO {
                let remaining_ms = change.remaining.as_millis();
                log::info!(server:% = server, service:% = service, source, remaining_ms; "server is cold");
            } else {
                log::info!(server:% = server, service:% = service, source; "server is warm");
            }
        }
    }

    /// Returns whether the server of a permit may get its request: it is not cold, as far as this entry knows,
    /// or the permit was granted within its pace and not too long ago.
    pub(crate) fn is_within_warmup(&self, dispatcher: &Dispatcher, permit: &Permit) -> bool {
        let now = self.clock.now();
        let is_cold = dispatcher.read_pool(|pool| pool.is_cold(now, permit.address));
        !is_cold || permit.get_send_limit().is_some_and(|limit| now < limit)
    }

    /// Checks the server of a hedge: the owner, which chooses the servers of all other attempts, probes them
    /// itself. Returns whether the hedge may be sent.
    pub(crate) async fn check_hedge(
        self: &Arc<Self>,
        dispatcher: &Arc<Dispatcher>,
        permit: &Permit,
    ) -> bool {
        if !dispatcher.read_pool(ServerPool::limits_cold_servers) {
            return true;
        }
        let is_answered = preflight(self, dispatcher, permit.address).await;
        let may_send = is_serving(self, &permit.server_id)
            && is_answered
            && self.is_within_warmup(dispatcher, permit);
        if !may_send {
            count_held_back(dispatcher);
        }
        may_send
    }
}

/// Counts a permit that is given back because its server is cold.
pub(crate) fn count_held_back(dispatcher: &Dispatcher) {
    let service = dispatcher.service.to_string();
    metrics::counter!("lentilcart_warmup_held_back_total", "service" => service).increment(1);
}
