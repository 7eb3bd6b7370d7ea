use lentilcart_util::{Map, Micros, Name};

use super::message::{CreditAsk, CreditAskItem, CreditReply, CreditReplyItem, OwnerStamp};
use super::rules::{CREDIT_TTL, CreditRules, DELEGATION_TTL, GROUP_COUNT, get_group, has_group};
use crate::routing::AccountLimit;

/// Length of a period over which the smallest share of a group is known. An account without state starts
/// with what has been earned since the start of the period before.
const FLOOR_PERIOD: Micros = Micros::from_millis(500);
/// Time without a message after which the state of an entry or an account is removed; longer than any
/// delegation or credit lasts.
const IDLE_TIMEOUT: Micros = Micros::from_millis(5000);

/// The owner's side of the limits of accounts: what is delegated to this entry, and what it has granted.
///
/// It starts without shares and with empty buckets, so that what an earlier owner granted is not granted
/// again. Accounts that are idle take no state.
#[derive(Debug)]
pub struct CreditOwner {
    name: Name,
    process: u64,
    /// The other entries, this one included where it delegates to itself.
    holders: Map<Name, HolderState>,
    groups: [GroupState; GROUP_COUNT],
    accounts: Map<Name, AccountState>,
    last_stamp: Micros,
}

/// What is known of an entry.
#[derive(Debug)]
struct HolderState {
    process: u64,
    /// [`CreditAsk::sent`] of the latest message.
    last_sent: Micros,
    last_ask: Micros,
    /// Share of each group that is delegated, and when the delegation ends by this entry's clock.
    delegations: [(f64, Micros); GROUP_COUNT],
}

/// The shares of a group that are delegated to this entry.
#[derive(Debug, Clone, Copy, Default)]
struct GroupState {
    share: f64,
    /// Integral of the share over time, in seconds.
    earned: f64,
    updated: Micros,
    /// Start of the period before the current one, and the smallest share since then.
    floor_start: Micros,
    floor: f64,
    /// The same of the current period.
    period_start: Micros,
    period_floor: f64,
}

/// Token bucket of an account, and the credit that may still be used.
#[derive(Debug, Default)]
struct AccountState {
    level: f64,
    /// [`GroupState::earned`] at the last refill.
    earned: f64,
    last_ask: Micros,
    grants: Map<Name, HeldCredit>,
}

/// Credit that one entry may still use.
#[derive(Debug, Default)]
struct HeldCredit {
    /// What it held by its latest message, and when that arrived.
    held: f64,
    reported: Micros,
    /// What was granted since, with the times.
    granted: Vec<(Micros, f64)>,
}

impl HeldCredit {
    /// Returns how much of it may still be used. It may be more than is, never less.
    fn get_amount(&self, now: Micros) -> f64 {
        let is_live = |time: Micros| now < time + CREDIT_TTL;
        let held = if is_live(self.reported) {
            self.held
        } else {
            0.0
        };
        let granted = self.granted.iter().filter(|(time, _)| is_live(*time));
        held + granted.map(|(_, amount)| amount).sum::<f64>()
    }
}

impl GroupState {
    /// Accounts for the time since the last update, and sets the share from now on.
    fn update(&mut self, now: Micros, share: f64) {
        self.earned += self.share * (now - self.updated).as_secs();
        self.updated = now;
        self.share = share;
        self.floor = self.floor.min(share);
        self.period_floor = self.period_floor.min(share);
        if now - self.period_start >= FLOOR_PERIOD {
            (self.floor_start, self.floor) = (self.period_start, self.period_floor);
            (self.period_start, self.period_floor) = (now, share);
        }
    }
}

impl CreditOwner {
    /// Creates an owner without shares. `process` is a number that no earlier process of the entry had.
    #[must_use]
    pub fn new(name: Name, process: u64) -> Self {
        Self {
            name,
            process,
            holders: Map::default(),
            groups: [GroupState::default(); GROUP_COUNT],
            accounts: Map::default(),
            last_stamp: Micros::ZERO,
        }
    }

    /// Returns the part of the limits of a group's accounts that is delegated to this entry now.
    pub fn get_share(&mut self, group: usize, now: Micros) -> f64 {
        self.update_shares(now);
        self.groups[group].share
    }

    /// Returns the number of accounts that have state.
    #[must_use]
    pub fn get_account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Takes a message of an entry, and returns the reply; `None` if a later message of the entry has come
    /// before. `limits` returns the limit of an account in force, by its name.
    pub fn handle_ask(
        &mut self,
        now: Micros,
        ask: &CreditAsk,
        rules: &CreditRules,
        limits: impl Fn(&str) -> Option<AccountLimit>,
    ) -> Option<CreditReply> {
        self.record_ask(now, ask)?;
        self.update_shares(now);
        // No two replies have the same stamp, so that the credit of a reply is either in the reports that
        // echo it, or was granted after them.
        let stamp = now.max(self.last_stamp + Micros(1));
        self.last_stamp = stamp;
        let is_wanted = |item: &&CreditAskItem| item.wanted > 0.0;
        for item in &ask.items {
            if let Some(limit) = limits(&item.account) {
                self.record_held(now, ask, item, rules, limit);
            }
        }
        let items = ask.items.iter().filter(is_wanted).filter_map(|item| {
            let limit = limits(&item.account)?;
            Some(self.grant(stamp, &ask.name, item, rules, limit))
        });
        let items = items.collect();
        Some(CreditReply {
            name: self.name.clone(),
            ask_sent: ask.sent,
            stamp: OwnerStamp {
                process: self.process,
                time: stamp,
            },
            counted: 0,
            leaving: false,
            items,
        })
    }

    /// Removes the state of entries and accounts that are idle.
    pub fn remove_idle(
        &mut self,
        now: Micros,
        rules: &CreditRules,
        limits: impl Fn(&str) -> Option<AccountLimit>,
    ) {
        self.update_shares(now);
        self.holders
            .retain(|_, holder| now - holder.last_ask < IDLE_TIMEOUT);
        let groups = self.groups;
        self.accounts.retain(|name, account| {
            account.grants.retain(|_, held| held.get_amount(now) > 0.0);
            let group = &groups[get_group(name)];
            let is_full = limits(name).is_none_or(|limit| {
                account.refill(now, group, rules, limit);
                account.level >= group.share * rules.get_level_cap(limit)
            });
            !is_full || now - account.last_ask < IDLE_TIMEOUT
        });
    }

    /// Records a message of an entry and the delegation in it; returns `None` if it is an old one.
    fn record_ask(&mut self, now: Micros, ask: &CreditAsk) -> Option<()> {
        let known = self.holders.get(&ask.name);
        if known.is_some_and(|known| known.process == ask.process && ask.sent <= known.last_sent) {
            return None;
        }
        let echo = ask.echo.filter(|echo| echo.process == self.process);
        // The entry sent the message after the echoed reply had been sent.
        let share_end = echo.map_or(Micros::ZERO, |echo| echo.time + DELEGATION_TTL);
        let share = ask.share.clamp(0.0, 1.0);
        let known = known.filter(|known| known.process == ask.process);
        let former = known.map(|known| known.delegations).unwrap_or_default();
        let mut delegations = [(0.0, Micros::ZERO); GROUP_COUNT];
        for (group, delegation) in delegations.iter_mut().enumerate() {
            *delegation = match former[group] {
                _ if has_group(ask.groups, group) => (share, share_end),
                (former, end) if has_group(ask.kept, group) => (former.min(share), end),
                _ => *delegation,
            };
        }
        let state = HolderState {
            process: ask.process,
            last_sent: ask.sent,
            last_ask: now,
            delegations,
        };
        self.holders.insert(ask.name.clone(), state);
        Some(())
    }

    /// Updates the shares of all groups by the delegations that have not ended.
    fn update_shares(&mut self, now: Micros) {
        let mut shares = [0.0; GROUP_COUNT];
        for holder in self.holders.values() {
            for (sum, (share, end)) in shares.iter_mut().zip(holder.delegations) {
                if now < end {
                    *sum += share;
                }
            }
        }
        for (group, share) in self.groups.iter_mut().zip(shares) {
            // A delegation that has ended since the last update counts as lost since then.
            group.share = group.share.min(share);
            group.update(now, share);
        }
    }

    /// Records what an entry holds, and takes back what it returns.
    fn record_held(
        &mut self,
        now: Micros,
        ask: &CreditAsk,
        item: &CreditAskItem,
        rules: &CreditRules,
        limit: AccountLimit,
    ) {
        let process = self.process;
        let group = &self.groups[get_group(&item.account)];
        let account = self
            .accounts
            .entry(item.account.clone())
            .or_insert_with(|| AccountState::new(now, group, rules, limit));
        account.last_ask = now;
        let credit = account.grants.entry(ask.name.clone()).or_default();
        let before = credit.get_amount(now);
        if let Some(echo) = ask.echo.filter(|echo| echo.process == process) {
            credit.granted.retain(|(time, _)| *time > echo.time);
        }
        credit.granted.retain(|(time, _)| now < *time + CREDIT_TTL);
        credit.held = item.held.max(0.0);
        credit.reported = now;
        // Only what counted as usable comes back.
        let freed = (before - credit.get_amount(now)).max(0.0);
        account.level += item.returned.clamp(0.0, freed);
        account.refill(now, group, rules, limit);
    }

    /// Grants credit for an account as far as there is some.
    fn grant(
        &mut self,
        now: Micros,
        holder: &Name,
        item: &CreditAskItem,
        rules: &CreditRules,
        limit: AccountLimit,
    ) -> CreditReplyItem {
        let group = &self.groups[get_group(&item.account)];
        let account = self.accounts.entry(item.account.clone()).or_default();
        let granted = item.wanted.min(account.level).max(0.0).floor();
        account.level -= granted;
        if granted > 0.0 {
            let credit = account.grants.entry(holder.clone()).or_default();
            credit.granted.push((now, granted));
        }
        let rate = limit.rate * group.share;
        let is_fillable = group.share * rules.get_level_cap(limit) >= 1.0;
        let credit_after = (rate > 0.0 && is_fillable)
            .then(|| Micros::from_secs((1.0 - account.level).max(0.0) / rate));
        CreditReplyItem {
            account: item.account.clone(),
            granted,
            credit_after,
            share: group.share,
        }
    }
}

impl AccountState {
    /// Creates the state of an account that was idle: its bucket has what the smallest share of the last
    /// periods has earned.
    fn new(now: Micros, group: &GroupState, rules: &CreditRules, limit: AccountLimit) -> Self {
        let floor = group.floor.min(group.share);
        let earned = limit.rate * floor * (now - group.floor_start).as_secs();
        Self {
            level: earned.min(floor * rules.get_level_cap(limit)),
            earned: group.earned,
            last_ask: now,
            grants: Map::default(),
        }
    }

    /// Adds what the shares have earned since the last refill, as far as the caps allow.
    fn refill(
        &mut self,
        now: Micros,
        group: &GroupState,
        rules: &CreditRules,
        limit: AccountLimit,
    ) {
        let granted: f64 = self
            .grants
            .values()
            .map(|credit| credit.get_amount(now))
            .sum();
        let earned = (group.earned - self.earned).max(0.0) * limit.rate;
        self.earned = group.earned;
        let level_cap = group.share * rules.get_level_cap(limit);
        let total_cap = group.share * rules.get_total_cap(limit);
        let cap = level_cap.min(total_cap - granted).max(0.0);
        self.level = (self.level + earned).min(cap);
    }
}
