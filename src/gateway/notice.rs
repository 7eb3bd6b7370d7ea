//! Reads what servers say of themselves in the heads of their answers, and passes it on.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Response;
use lentilcart_platform::{
    HEADER_NAMES, decode_leaving, decode_rate_limit, decode_retry_after, decode_warmup_remaining,
};
use lentilcart_route::{NoticeSource, ServerNotice, ServerPool};
use lentilcart_util::Name;

use super::datagram::Datagram;
use super::gateway::Gateway;
use super::permit_table::get_owner;
use super::response::{ResponseVerdict, is_refusal};
use crate::entry::Dispatcher;

impl Gateway {
    /// Reads the notice in the head of a server's answer.
    fn read_notice<B>(&self, dispatcher: &Dispatcher, response: &Response<B>) -> ServerNotice {
        let get_values = |name| {
            let values = response.headers().get_all(name).iter();
            values.filter_map(|value| value.to_str().ok())
        };
        let retry_after = decode_retry_after(get_values(HEADER_NAMES.retry_after));
        let longest = self.settings.load().servers.max_hold_off;
        ServerNotice {
            rate_limit: decode_rate_limit(get_values(HEADER_NAMES.rate_limit)),
            leaving: decode_leaving(get_values(HEADER_NAMES.leaving)),
            retry_after: retry_after
                .filter(|_| is_refusal(response.status()))
                .map(|time| time.min(longest)),
            // Without a limit for cold servers, nothing depends on it.
            warmup: decode_warmup_remaining(get_values(HEADER_NAMES.warmup))
                .filter(|_| dispatcher.read_pool(ServerPool::limits_cold_servers)),
        }
    }

    /// Handles the notice in a server's response to a request and returns it.
    pub(crate) fn handle_response_notice<B>(
        &self,
        dispatcher: &Arc<Dispatcher>,
        server: SocketAddr,
        response: &Response<B>,
        verdict: ResponseVerdict,
    ) -> ServerNotice {
        let notice = self.read_notice(dispatcher, response);
        let is_of_server = match verdict {
            // Another server has answered, or the server has answered another request.
            ResponseVerdict::Misdirected | ResponseVerdict::Foreign(_) => false,
            // Its head may have lost the notice.
            ResponseVerdict::Unusable(_) => !notice.is_empty(),
            _ => true,
        };
        if is_of_server {
            self.handle_notice(dispatcher, server, notice, NoticeSource::Request);
        }
        notice
    }

    /// Handles the notice in a server's response to a probe or to a check of a connection, and returns it.
    pub(crate) fn handle_probe_notice<B>(
        &self,
        dispatcher: &Arc<Dispatcher>,
        server: SocketAddr,
        response: &Response<B>,
    ) -> ServerNotice {
        let notice = self.read_notice(dispatcher, response);
        if dispatcher.read_pool(ServerPool::limits_cold_servers) {
            dispatcher.update_pool(|pool, now| {
                if let Some(index) = pool.get_server_index(server) {
                    pool.record_probe_answer(now, index);
                }
            });
        }
        self.handle_notice(dispatcher, server, notice, NoticeSource::Probe);
        notice
    }

    /// Records the notice in an answer that this entry got from a server, and tells the owner of the
    /// service, which chooses servers for this entry. An empty notice is not sent: the owner learns from
    /// the outcome of the attempt that a notice has ended.
    fn handle_notice(
        &self,
        dispatcher: &Arc<Dispatcher>,
        server: SocketAddr,
        notice: ServerNotice,
        source: NoticeSource,
    ) {
        let now = self.clock.now();
        let is_restricted =
            |pool: &ServerPool| pool.has_rate_limits() || pool.has_cold_servers(now);
        if notice.is_empty() && !dispatcher.read_pool(is_restricted) {
            return;
        }
        let own_address = self.settings.load().listen.peer;
        self.record_notice(dispatcher, server, own_address, notice, source);
        let owner = get_owner(self, &dispatcher.service).filter(|_| !notice.is_empty());
        if let Some(owner) = owner {
            let service = dispatcher.service.clone();
            self.send_datagram(&Datagram::Notice(service, server, notice), owner);
        }
    }

    /// Returns the share of the rate limits of a service's servers that this entry may use. The entries
    /// that choose servers have equal shares: the owner in each data centre or, without owners, every
    /// entry. An entry that has an owner chooses none of these servers by itself.
    fn get_rate_share(&self, service: &Name) -> f64 {
        if get_owner(self, service).is_some() {
            return 0.0;
        }
        let has_owners = self.settings.load().servers.owner_dispatch;
        let members = self.lock_members();
        let sharers = if has_owners {
            members.get_data_center_count()
        } else {
            members.iter().count()
        };
        1.0 / sharers.max(1) as f64
    }

    /// Updates this entry's share of the rate limits that the servers of a service name.
    pub(crate) fn update_rate_share(&self, dispatcher: &Dispatcher) {
        if dispatcher.read_pool(ServerPool::has_rate_limits) {
            let share = self.get_rate_share(&dispatcher.service);
            dispatcher.update_pool(|pool, _| pool.set_rate_share(share));
        }
    }

    /// Records a notice that another entry got from a server and sent to this one as the owner.
    pub(crate) fn record_peer_notice(
        &self,
        peer: SocketAddr,
        service: &str,
        server: SocketAddr,
        notice: ServerNotice,
    ) {
        let routes = self.get_active_routes();
        if let Some(dispatcher) = routes.dispatchers.get(service) {
            self.record_notice(dispatcher, server, peer, notice, NoticeSource::Peer);
        }
    }

    /// Records a notice to the entry `sender` in the pool of the service and, if the server is leaving, in
    /// the directory.
    fn record_notice(
        &self,
        dispatcher: &Dispatcher,
        server: SocketAddr,
        sender: SocketAddr,
        notice: ServerNotice,
        source: NoticeSource,
    ) {
        let changed = dispatcher.update_pool(|pool, now| {
            let index = pool.get_server_index(server)?;
            let has_changed = pool.record_notice(now, index, Some(sender), notice, source);
            let state = pool.get_server_state(index).filter(|_| has_changed);
            state.map(|state| state.get_config().id.clone())
        });
        let Some(id) = changed else {
            return;
        };
        let per_second = notice.rate_limit.unwrap_or(-1.0);
        let (leaving, hold_off) = (notice.leaving, notice.retry_after.unwrap_or_default());
        let hold_off_ms = hold_off.as_millis();
        log::info!(server:% = id, per_second, leaving, hold_off_ms, source:? = source; "notice of server changed");
        if leaving {
            self.record_server_leaving(&id);
        }
    }
}
