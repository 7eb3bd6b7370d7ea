//! Limits of client accounts that hold across all entries: exchanges messages with the owners of accounts,
//! and takes credit for requests. `docs/design/account-limits.md` has the rules.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use lentilcart_state::{
    Account, AccountLimit, CreditAsk, CreditExchange, CreditReply, CreditRules, CreditTake,
    GROUP_COUNT,
};
use lentilcart_util::{Map, Micros, Name};
use rand::RngExt;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

use super::datagram::{Datagram, GatewayHeartbeat};
use super::error_reply::{ErrorReason, ErrorReply};
use super::gateway::{Gateway, MirrorKind};

/// Interval of the exchange while no account has a limit.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of the exchange while accounts have limits, and while requests wait for credit.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(50);
const WAITING_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which idle state is removed and gauges are recorded.
const HOUSEKEEPING_INTERVAL: Micros = Micros::from_millis(500);
/// Longest time that a request waits for credit: an owner whose host has a quarter of a core may need as
/// long to reply as for a permit.
const CREDIT_TIMEOUT: Micros = Micros::from_millis(150);
/// Largest part of the remaining time of a request that it waits for credit.
const CREDIT_TIMEOUT_SHARE: f64 = 0.125;
/// Largest jitter of the time after which a caller may retry, as a share of it, and at least.
const RETRY_JITTER_SHARE: f64 = 0.1;
const MIN_RETRY_JITTER: Micros = Micros::from_millis(10);

/// What this entry knows of the limits of accounts.
#[derive(Debug)]
pub(crate) struct AccountLimits {
    state: Mutex<LimitState>,
    /// Notified when requests wait for credit that an owner has not been asked for.
    ask_due: Notify,
    /// Notified when an owner has replied.
    replied: Notify,
}

#[derive(Debug)]
struct LimitState {
    exchange: CreditExchange,
    /// Limits in force, by the name of the account, and the version of the routes that they are from.
    limits: Arc<Map<Name, AccountLimit>>,
    limits_version: u64,
    last_housekeeping: Micros,
}

/// The credit of a request; none is left once a server may have run the request under it.
pub(crate) struct RequestCredit {
    gateway: Arc<Gateway>,
    account: Name,
    /// End of the credit, if there is some.
    end: Option<Micros>,
    /// Whether an attempt is under way.
    is_sending: bool,
}

impl AccountLimits {
    /// Creates the state of an entry. `process` is a number that no earlier process of it had.
    pub(crate) fn new(name: Name, process: u64, now: Micros) -> Self {
        let state = LimitState {
            exchange: CreditExchange::new(name, process, now),
            limits: Arc::default(),
            limits_version: 0,
            last_housekeeping: Micros::ZERO,
        };
        Self {
            state: Mutex::new(state),
            ask_due: Notify::new(),
            replied: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().expect("no panic under lock")
    }

    /// Records that the store has registered this entry at a revision, under a lease that lasts until a time
    /// at least. `is_first` says that no earlier process of this entry was registered.
    pub(crate) fn record_registration(&self, revision: u64, until: Micros, is_first: bool) {
        let mut state = self.lock();
        let shares = &mut state.exchange.shares;
        if is_first {
            shares.record_first_registration();
        }
        shares.record_registration(revision, until);
    }

    /// Records that the lease of the registration was renewed, and until when it lasts at least.
    pub(crate) fn record_renewal(&self, until: Micros) {
        self.lock().exchange.shares.record_renewal(until);
    }

    /// Records that the lease of the registration has ended.
    pub(crate) fn record_lost_registration(&self) {
        self.lock().exchange.shares.record_lost_registration();
    }

    /// Returns whether this entry has been registered.
    pub(crate) fn is_registered(&self) -> bool {
        self.lock().exchange.shares.get_registration().is_some()
    }

    /// Returns when nothing that this entry has delegated is in use any more.
    pub(crate) fn get_delegation_end(&self) -> Micros {
        let state = self.lock();
        let end = state.exchange.shares.get_delegation_end();
        if end == Micros::ZERO {
            return end;
        }
        end + lentilcart_state::CREDIT_TTL
    }
}

impl LimitState {
    /// Takes over the limits of the routes in force.
    fn update_limits(&mut self, gateway: &Gateway) {
        let routes = gateway.get_active_routes();
        if routes.table.version == self.limits_version {
            return;
        }
        self.limits_version = routes.table.version;
        let limits = routes.table.accounts.iter().filter_map(|account| {
            let limit = account.limit?;
            Some((account.name.clone(), limit))
        });
        self.limits = Arc::new(limits.collect());
        if !self.limits.is_empty() && !gateway.settings.load().accounts.is_enforced() {
            log::warn!(number = self.limits_version, accounts = self.limits.len(); "limits of accounts are not enforced: settings have no section accounts");
        }
    }

    /// Updates which entries are registered.
    fn update_members(&mut self, gateway: &Gateway, now: Micros) {
        let snapshot = {
            let mirror = gateway.lock_mirror(MirrorKind::Hosts);
            let revision = mirror.get_revision();
            if revision == 0 || self.exchange.shares.has_revision(revision) {
                return;
            }
            mirror.get_snapshot(0)
        };
        let members = snapshot.items.iter().filter_map(|item| {
            // An item that cannot be decoded has been logged when it came.
            let heartbeat = GatewayHeartbeat::decode(&item.value).ok()?;
            heartbeat
                .has_limits
                .then_some((heartbeat.name, item.revision))
        });
        let members: Map<Name, u64> = members.collect();
        let shares = &mut self.exchange.shares;
        shares.set_members(now, snapshot.revision, members);
    }

    /// Sends the messages that are due.
    fn send_asks(&mut self, gateway: &Gateway, now: Micros) -> bool {
        let rules = get_rules(gateway);
        let limits = self.limits.clone();
        let find_limit = |name: &str| limits.get(name).copied();
        let (asks, silent) = self.exchange.get_due_asks(now);
        for owner in silent {
            log::info!(owner:% = owner; "owner of accounts does not reply");
            metrics::counter!("lentilcart_limit_owner_silent_total").increment(1);
        }
        let mut has_own_reply = false;
        for (owner, ask) in asks {
            let returned: f64 = ask.items.iter().map(|item| item.returned).sum();
            metrics::counter!("lentilcart_credit_returned_total").increment(returned as u64);
            if owner == self.exchange.name {
                if let Some(reply) = self.exchange.handle_ask(now, &ask, &rules, find_limit) {
                    count_granted(&reply);
                    self.exchange.handle_reply(now, &reply);
                    has_own_reply = true;
                }
                continue;
            }
            let address = gateway
                .lock_members()
                .get(&owner)
                .map(|member| member.peer_address);
            if let Some(address) = address {
                gateway.send_datagram(&Datagram::CreditAsk(ask), address);
            }
        }
        has_own_reply
    }

    /// Removes idle state, and records gauges.
    fn do_housekeeping(&mut self, gateway: &Gateway, now: Micros) {
        if now - self.last_housekeeping < HOUSEKEEPING_INTERVAL {
            return;
        }
        self.last_housekeeping = now;
        let rules = get_rules(gateway);
        let limits = self.limits.clone();
        let exchange = &mut self.exchange;
        exchange.remove_idle(now, &rules, |name| limits.get(name).copied());
        let (held, open) = exchange.holder.get_held(now);
        let owned: f64 = (0..GROUP_COUNT)
            .map(|group| exchange.owner.get_share(group, now))
            .sum();
        let silent = exchange.shares.get_suspected().count();
        let unconfirmed = exchange.shares.get_unconfirmed().count();
        let is_alone = exchange.shares.is_own_owner(now);
        metrics::gauge!("lentilcart_credit_held").set(held);
        metrics::gauge!("lentilcart_credit_in_use").set(open as f64);
        metrics::gauge!("lentilcart_limit_share").set(exchange.shares.get_share(now));
        metrics::gauge!("lentilcart_limit_share_owned").set(owned / GROUP_COUNT as f64);
        metrics::gauge!("lentilcart_limit_owners_passed_over").set(silent as f64);
        metrics::gauge!("lentilcart_limit_unconfirmed_entries").set(unconfirmed as f64);
        metrics::gauge!("lentilcart_limit_fallback").set(f64::from(u8::from(is_alone)));
        metrics::gauge!("lentilcart_limit_accounts", "side" => "holder")
            .set(exchange.holder.get_account_count() as f64);
        metrics::gauge!("lentilcart_limit_accounts", "side" => "owner")
            .set(exchange.owner.get_account_count() as f64);
    }
}

/// Returns the tolerance of the limits by the settings.
fn get_rules(gateway: &Gateway) -> CreditRules {
    let settings = &gateway.settings.load().accounts;
    CreditRules {
        window: settings.window,
        overage: settings.overage,
        slack: settings.slack,
    }
}

/// Counts the credit that this entry grants.
fn count_granted(reply: &CreditReply) {
    let granted: f64 = reply.items.iter().map(|item| item.granted).sum();
    metrics::counter!("lentilcart_credit_granted_total").increment(granted as u64);
}

/// Exchanges messages with the owners of accounts, while accounts have limits.
pub(crate) async fn exchange_credit(gateway: Arc<Gateway>) {
    let limits = &gateway.account_limits;
    loop {
        let (is_active, has_waiting) = {
            let state = limits.lock();
            (
                !state.limits.is_empty(),
                state.exchange.holder.has_waiting(),
            )
        };
        let interval = match (is_active, has_waiting) {
            (true, true) => WAITING_INTERVAL,
            (true, false) => EXCHANGE_INTERVAL,
            (false, _) => IDLE_INTERVAL,
        };
        tokio::select! {
            () = gateway.stop.cancelled() => return,
            () = limits.ask_due.notified() => {}
            () = tokio::time::sleep(interval) => {}
        }
        if !gateway.settings.load().accounts.is_enforced() {
            limits.lock().update_limits(&gateway);
            continue;
        }
        let now = gateway.clock.now();
        let mut state = limits.lock();
        state.update_limits(&gateway);
        if gateway.is_leaving() {
            state.exchange.record_leaving();
        }
        if state.limits.is_empty() {
            continue;
        }
        state.update_members(&gateway, now);
        // Again after a reply of this entry to itself, by which it learns what to delegate.
        for _ in 0..2 {
            if state.send_asks(&gateway, now) {
                limits.replied.notify_waiters();
            }
        }
        state.do_housekeeping(&gateway, now);
    }
}

/// Replies to another entry's message about credit.
pub(crate) fn handle_credit_ask(gateway: &Gateway, sender: SocketAddr, ask: &CreditAsk) {
    if !gateway.settings.load().accounts.is_enforced() {
        return;
    }
    let now = gateway.clock.now();
    let rules = get_rules(gateway);
    let mut state = gateway.account_limits.lock();
    state.update_limits(gateway);
    state.update_members(gateway, now);
    let limits = state.limits.clone();
    let find_limit = |name: &str| limits.get(name).copied();
    let exchange = &mut state.exchange;
    if let Some(reply) = exchange.handle_ask(now, ask, &rules, find_limit) {
        count_granted(&reply);
        gateway.send_datagram(&Datagram::CreditReply(reply), sender);
    }
}

/// Takes an owner's reply, and wakes the requests that wait for credit.
pub(crate) fn handle_credit_reply(gateway: &Gateway, reply: &CreditReply) {
    let now = gateway.clock.now();
    let limits = &gateway.account_limits;
    let received = limits.lock().exchange.handle_reply(now, reply);
    metrics::counter!("lentilcart_credit_received_total").increment(received as u64);
    limits.replied.notify_waiters();
    // The reply may be the one that allows to delegate the share.
    limits.ask_due.notify_one();
}

/// Counts a request that waits for credit, until it is dropped.
struct WaitingGuard<'a> {
    limits: &'a AccountLimits,
    account: &'a Name,
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.limits.lock();
        state.exchange.holder.record_waiting(self.account, -1.0);
    }
}

impl RequestCredit {
    /// Takes credit for a request of an account, and waits for the owner's reply if need be. Returns `None`
    /// if there is no account, or it has no limit.
    ///
    /// # Errors
    ///
    /// Returns the reply to a request that is beyond the limit, or for which no owner has replied.
    pub(crate) async fn acquire(
        gateway: &Arc<Gateway>,
        account: Option<&Account>,
        remaining: Micros,
    ) -> Result<Option<Self>, ErrorReply> {
        let Some((account, limit)) = account.and_then(|account| Some((account, account.limit?)))
        else {
            return Ok(None);
        };
        if !gateway.settings.load().accounts.is_enforced() {
            return Ok(None);
        }
        let limits = &gateway.account_limits;
        let (name, now) = (&account.name, gateway.clock.now());
        let longest = CREDIT_TIMEOUT.min(remaining.scaled(CREDIT_TIMEOUT_SHARE));
        let wait_end = Instant::from_std(gateway.clock.to_instant(now + longest));
        let mut waiting = None;
        limits.lock().exchange.holder.record_arrival(now, name);
        loop {
            // Registered before the state is read, so that no reply is missed.
            let mut replied = std::pin::pin!(limits.replied.notified());
            replied.as_mut().enable();
            let now = gateway.clock.now();
            // The lock is released before the reply to a refused request is built.
            let taken = limits.lock().exchange.holder.take(now, name);
            match taken {
                CreditTake::Taken(end) => {
                    return Ok(Some(Self {
                        gateway: gateway.clone(),
                        account: name.clone(),
                        end: Some(end),
                        is_sending: false,
                    }));
                }
                CreditTake::Refused(_) => return Err(refuse(gateway, name, limit, now)),
                CreditTake::Unavailable => return Err(report_unavailable(gateway, name, now)),
                CreditTake::Unknown => {}
            }
            if waiting.is_none() {
                let mut state = limits.lock();
                state.exchange.holder.record_waiting(name, 1.0);
                waiting = Some(WaitingGuard {
                    limits,
                    account: name,
                });
                limits.ask_due.notify_one();
            }
            if timeout_at(wait_end, replied).await.is_err() {
                return Err(report_unavailable(gateway, name, gateway.clock.now()));
            }
        }
    }

    /// Returns whether an attempt may be sent now: the credit has not ended, or there is other credit.
    pub(crate) fn begin_attempt(&mut self) -> bool {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.account_limits.lock();
        if self.end.is_none_or(|end| now >= end) {
            let taken = state.exchange.holder.take(now, &self.account);
            self.end = match taken {
                CreditTake::Taken(end) => Some(end),
                _ => None,
            };
        }
        self.is_sending = self.end.is_some();
        self.is_sending
    }

    /// Records the end of an attempt; `has_run` is false if no server has run the request in it, so that its
    /// credit remains.
    pub(crate) fn end_attempt(&mut self, has_run: bool) {
        self.is_sending = false;
        if has_run && let Some(end) = self.end.take() {
            let mut state = self.gateway.account_limits.lock();
            state.exchange.holder.record_run(&self.account, end);
        }
    }

    /// Uses further credit for a hedge, and returns whether there is some.
    pub(crate) fn begin_hedge(&self) -> bool {
        let now = self.gateway.clock.now();
        let mut state = self.gateway.account_limits.lock();
        let holder = &mut state.exchange.holder;
        let CreditTake::Taken(end) = holder.take(now, &self.account) else {
            return false;
        };
        holder.record_run(&self.account, end);
        true
    }
}

impl Drop for RequestCredit {
    fn drop(&mut self) {
        let Some(end) = self.end.take() else {
            return;
        };
        let now = self.gateway.clock.now();
        let mut state = self.gateway.account_limits.lock();
        let holder = &mut state.exchange.holder;
        if self.is_sending {
            // Dropped while it was sent, so that a server may run it.
            holder.record_run(&self.account, end);
        } else {
            holder.give_back(now, &self.account, end);
        }
    }
}

/// Returns the reply to a request beyond the limit, with the time at which there is credit.
fn refuse(gateway: &Gateway, account: &Name, limit: AccountLimit, now: Micros) -> ErrorReply {
    let window = gateway.settings.load().accounts.window;
    let mut state = gateway.account_limits.lock();
    let holder = &mut state.exchange.holder;
    let wait = holder.take_retry_time(now, account, limit.rate, window) - now;
    let jitter = wait.scaled(RETRY_JITTER_SHARE).max(MIN_RETRY_JITTER);
    let jitter = jitter.scaled(rand::rng().random_range(0.0..1.0));
    let detail = format!(
        "limit {}/s, burst {}; {}",
        limit.rate,
        limit.burst,
        describe_owner(&state, account, now)
    );
    ErrorReply {
        reason: ErrorReason::OverLimit,
        detail,
        retry_after: Some(wait + jitter),
    }
}

/// Returns the reply to a request for which no owner with a share has replied.
fn report_unavailable(gateway: &Gateway, account: &Name, now: Micros) -> ErrorReply {
    let state = gateway.account_limits.lock();
    let detail = describe_owner(&state, account, now);
    ErrorReply::new(ErrorReason::NoCredit, detail)
}

/// Describes by what a request was refused: the owner's share and the age of its reply.
fn describe_owner(state: &LimitState, account: &Name, now: Micros) -> String {
    let holder = &state.exchange.holder;
    let share = holder.get_owner_share(account);
    match holder.get_reply_age(account, now) {
        Some(age) => format!(
            "the owner has {share:.3} of the limit, asked {:.0} ms ago",
            age.as_millis()
        ),
        None => "no reply of the owner".to_owned(),
    }
}
