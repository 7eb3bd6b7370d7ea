use std::collections::VecDeque;

use lentilcart_util::{Map, Micros, Name};

use super::OwnerPlan;
use super::message::{CreditAsk, CreditAskItem, CreditReply, OwnerStamp};
use super::rules::{ASK_INTERVAL, CREDIT_TTL, GroupSet, get_group, has_group};

/// Time for which credit is asked ahead by the demand: more than [`ASK_INTERVAL`], so that it lasts until
/// the next reply.
const DEMAND_TIME: Micros = Micros::from_millis(300);
/// Weight of the latest interval in the estimate of the demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Shortest time between two messages to an owner for requests that wait.
const MIN_ASK_INTERVAL: Micros = Micros::from_millis(20);
/// Credit that ends within this time is not counted on.
const END_MARGIN: Micros = Micros::from_millis(50);
/// Factor on the credit that the demand needs beyond which credit is returned.
const RETURN_FACTOR: f64 = 1.5;
/// Time without a request after which the state of an account is removed.
const IDLE_TIMEOUT: Micros = Micros::from_millis(3000);
/// Shortest time for which requests are refused without asking again, once an owner has granted too little
/// for those that waited.
const MIN_REFUSAL_TIME: Micros = Micros::from_millis(100);
/// Smallest rate, in requests a second, by which the time of a retry is spread.
const MIN_SPREAD_RATE: f64 = 0.1;

/// The holder's side of the limits of accounts: the credit that this entry has been granted.
#[derive(Debug, Default)]
pub struct CreditHolder {
    accounts: Map<Name, AccountCredit>,
    owners: Map<Name, OwnerLink>,
    last_sent: Micros,
}

/// What [`CreditHolder::take`] returns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CreditTake {
    /// There is credit; a request may be sent until this time.
    Taken(Micros),
    /// The owner said lately that there is none before this time.
    Refused(Micros),
    /// The owner said lately that no share is delegated to it.
    Unavailable,
    /// The owner has to be asked.
    Unknown,
}

/// The credit of an account.
#[derive(Debug, Default)]
struct AccountCredit {
    /// Credit of each reply, with its end and owner; that which ends first comes first.
    credits: VecDeque<Credit>,
    /// Ends and owners of the credit that requests have taken which may not have run.
    open: Vec<(Micros, Name)>,
    /// Requests since the last message.
    arrivals: f64,
    /// Estimate of the requests a second.
    demand: f64,
    /// Requests that wait for credit.
    waiting: f64,
    /// When the last message about the account was sent, and when the one that was answered last.
    last_ask: Micros,
    /// Requests without credit at the time of the last message.
    last_waiting: f64,
    answered_ask: Option<Micros>,
    /// Until when the owner has no credit by its last reply.
    refused_until: Micros,
    /// When the next request that is refused may be repeated.
    next_retry: Micros,
    last_use: Micros,
    /// Part of the limit that the owner grants by its last reply.
    share: f64,
}

#[derive(Debug)]
struct Credit {
    end: Micros,
    amount: f64,
    owner: Name,
}

/// What is known of an owner.
#[derive(Debug, Default)]
struct OwnerLink {
    stamp: Option<OwnerStamp>,
    last_ask: Micros,
    unanswered_since: Option<Micros>,
}

impl CreditHolder {
    /// Takes credit for a request if there is some.
    ///
    /// A request is counted by [`Self::record_arrival`] first.
    pub fn take(&mut self, now: Micros, account: &Name) -> CreditTake {
        let Some(state) = self.accounts.get_mut(account) else {
            return CreditTake::Unknown;
        };
        state.drop_ended(now);
        if let Some(credit) = state.credits.front_mut() {
            let end = credit.end;
            state.open.push((end, credit.owner.clone()));
            credit.amount -= 1.0;
            if credit.amount < 1.0 {
                state.credits.pop_front();
            }
            return CreditTake::Taken(end);
        }
        match state.refused_until {
            until if now >= until => CreditTake::Unknown,
            until if state.share > 0.0 => CreditTake::Refused(until),
            _ => CreditTake::Unavailable,
        }
    }

    /// Returns when a request that is refused may be repeated: each one of this entry at another time, by
    /// the rate of the account, so that there is credit for all of them then.
    /// No time is later than `max_wait` from now.
    pub fn take_retry_time(
        &mut self,
        now: Micros,
        account: &Name,
        rate: f64,
        max_wait: Micros,
    ) -> Micros {
        let state = self.accounts.entry(account.clone()).or_default();
        let first = state.refused_until.max(now);
        let step = Micros::from_secs(1.0 / rate.max(MIN_SPREAD_RATE));
        let retry = state.next_retry.max(first).min(now + max_wait);
        state.next_retry = retry + step;
        retry
    }

    /// Counts a request that has arrived.
    pub fn record_arrival(&mut self, now: Micros, account: &Name) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.arrivals += 1.0;
        state.last_use = now;
    }

    /// Returns whether requests wait for credit.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        self.accounts.values().any(|state| state.waiting > 0.0)
    }

    /// Counts a request that waits for credit, or no longer does.
    pub fn record_waiting(&mut self, account: &Name, change: f64) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.waiting = (state.waiting + change).max(0.0);
        }
    }

    /// Records that a request under credit that ends at `end` may have run.
    pub fn record_run(&mut self, account: &Name, end: Micros) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.remove_open(end);
        }
    }

    /// Gives back credit that ends at `end`, which is used for another request: no server has run one under
    /// it.
    pub fn give_back(&mut self, now: Micros, account: &Name, end: Micros) {
        let Some(state) = self.accounts.get_mut(account) else {
            return;
        };
        // Credit that has ended is not known any more.
        state.drop_ended(now);
        if let Some(owner) = state.remove_open(end) {
            state.add_credit(end, 1.0, owner);
        }
    }

    /// Returns whether an owner must be asked at once for an account of the groups: requests wait that it
    /// has not been asked for, or the credit does not last until the next message.
    #[must_use]
    pub fn has_to_ask(&self, now: Micros, owner: &Name, groups: GroupSet) -> bool {
        let link = self.owners.get(owner);
        if link.is_some_and(|link| now - link.last_ask < MIN_ASK_INTERVAL) {
            return false;
        }
        self.accounts.iter().any(|(name, state)| {
            let is_open = state.answered_ask.is_none_or(|sent| sent < state.last_ask)
                && now - state.last_ask < MIN_ASK_INTERVAL + MIN_ASK_INTERVAL;
            has_group(groups, get_group(name)) && state.waiting > 0.0 && !is_open
        })
    }

    /// Returns when the last message was sent to an owner.
    #[must_use]
    pub fn get_last_ask(&self, owner: &Name) -> Micros {
        self.owners
            .get(owner)
            .map_or(Micros::ZERO, |link| link.last_ask)
    }

    /// Returns since when the messages to an owner have not been answered; `None` if the last one was.
    #[must_use]
    pub fn get_unanswered_since(&self, owner: &Name) -> Option<Micros> {
        self.owners.get(owner)?.unanswered_since
    }

    /// Forgets what is known of an owner that is passed over.
    pub fn forget_owner(&mut self, owner: &Name) {
        self.owners.remove(owner);
    }

    /// Returns whether an owner has replied, so that a share can be delegated to it.
    #[must_use]
    pub fn has_stamp(&self, owner: &Name) -> bool {
        self.owners
            .get(owner)
            .is_some_and(|link| link.stamp.is_some())
    }

    /// Builds the next message to an owner, about the accounts of some groups.
    pub fn build_ask(
        &mut self,
        now: Micros,
        (name, process): (&Name, u64),
        owner: &Name,
        share: f64,
        plan: &OwnerPlan,
    ) -> CreditAsk {
        let sent = now.max(self.last_sent + Micros(1));
        self.last_sent = sent;
        let link = self.owners.entry(owner.clone()).or_default();
        link.last_ask = now;
        link.unanswered_since.get_or_insert(now);
        let echo = link.stamp;
        let items = self.accounts.iter_mut().filter_map(|(account, state)| {
            let is_asked = has_group(plan.asked, get_group(account));
            state.build_item(now, sent, account, owner, is_asked)
        });
        CreditAsk {
            name: name.clone(),
            sent,
            process,
            echo,
            share,
            groups: plan.delegated,
            kept: plan.kept,
            registered: 0,
            items: items.collect(),
        }
    }

    /// Takes the credit of an owner's reply, and returns how much it is. A reply that is older than one
    /// before it is ignored, since the owner takes its credit as lost.
    pub fn record_reply(&mut self, now: Micros, reply: &CreditReply) -> f64 {
        let Some(link) = self.owners.get_mut(&reply.name) else {
            return 0.0;
        };
        let is_old = link.stamp.is_some_and(|known| {
            known.process == reply.stamp.process && reply.stamp.time <= known.time
        });
        // A message that this process did not send is of an earlier one.
        if is_old || reply.ask_sent > self.last_sent {
            return 0.0;
        }
        link.stamp = Some(reply.stamp);
        if link.last_ask <= reply.ask_sent {
            link.unanswered_since = None;
        } else {
            link.unanswered_since = Some(link.last_ask);
        }
        let end = reply.ask_sent + CREDIT_TTL;
        let mut total = 0.0;
        for item in &reply.items {
            let Some(state) = self.accounts.get_mut(&item.account) else {
                continue;
            };
            state.answered_ask = state.answered_ask.max(Some(reply.ask_sent));
            state.share = item.share;
            if item.granted >= 1.0 && now < end {
                total += item.granted;
                state.add_credit(end, item.granted, reply.name.clone());
            }
            let is_short = item.granted + 1.0 <= state.last_waiting;
            let credit_after = item.credit_after.unwrap_or(ASK_INTERVAL);
            state.refused_until = if is_short {
                now + credit_after.max(MIN_REFUSAL_TIME)
            } else {
                now
            };
        }
        total
    }

    /// Returns the credit that is held, and the number of requests that have taken some and may not have run.
    pub fn get_held(&mut self, now: Micros) -> (f64, usize) {
        let mut held = (0.0, 0);
        for state in self.accounts.values_mut() {
            state.drop_ended(now);
            held.0 += state.get_available();
            held.1 += state.open.len();
        }
        held
    }

    /// Returns the part of an account's limit that its owner grants by its last reply; 0 without one.
    #[must_use]
    pub fn get_owner_share(&self, account: &Name) -> f64 {
        self.accounts.get(account).map_or(0.0, |state| state.share)
    }

    /// Returns the time since the last reply about an account; `None` if there is none.
    #[must_use]
    pub fn get_reply_age(&self, account: &Name, now: Micros) -> Option<Micros> {
        let answered = self.accounts.get(account)?.answered_ask?;
        Some(now - answered)
    }

    /// Returns the number of accounts that have state.
    #[must_use]
    pub fn get_account_count(&self) -> usize {
        self.accounts.len()
    }

    /// Removes the state of accounts that are idle.
    pub fn remove_idle(&mut self, now: Micros) {
        self.accounts.retain(|_, state| {
            now - state.last_use < IDLE_TIMEOUT || state.waiting > 0.0 || !state.open.is_empty()
        });
        self.owners
            .retain(|_, link| now - link.last_ask < IDLE_TIMEOUT);
    }
}

impl AccountCredit {
    /// Drops the credit that has ended.
    fn drop_ended(&mut self, now: Micros) {
        self.credits.retain(|credit| now < credit.end);
        self.open.retain(|(end, _)| now < *end);
    }

    fn add_credit(&mut self, end: Micros, amount: f64, owner: Name) {
        let place = self.credits.partition_point(|other| other.end <= end);
        let credit = Credit { end, amount, owner };
        self.credits.insert(place, credit);
    }

    fn get_available(&self) -> f64 {
        self.credits.iter().map(|credit| credit.amount).sum()
    }

    /// Removes a request that has taken credit, and returns the owner of its credit.
    fn remove_open(&mut self, end: Micros) -> Option<Name> {
        let place = self.open.iter().position(|(other, _)| *other == end)?;
        Some(self.open.swap_remove(place).1)
    }

    /// Builds what a message to an owner says of the account; `None` if there is nothing to say.
    fn build_item(
        &mut self,
        now: Micros,
        sent: Micros,
        account: &Name,
        owner: &Name,
        is_asked: bool,
    ) -> Option<CreditAskItem> {
        self.drop_ended(now);
        let mut wanted = 0.0;
        let mut returned = 0.0;
        if is_asked {
            let interval = (now - self.last_ask).as_secs();
            if self.last_ask == Micros::ZERO {
                self.demand = 0.0;
            } else if interval >= ASK_INTERVAL.as_secs() / 2.0 {
                let latest = self.arrivals / interval;
                self.demand += (latest - self.demand) * DEMAND_WEIGHT;
            } else {
                // Too short for an estimate: a single request says nothing of the next ones.
                let latest =
                    (self.arrivals - 1.0).max(0.0) / interval.max(MIN_ASK_INTERVAL.as_secs());
                self.demand = self.demand.max(latest * DEMAND_WEIGHT);
            }
            let reliable = self
                .credits
                .iter()
                .filter(|credit| credit.end > now + END_MARGIN);
            let available: f64 = reliable.map(|credit| credit.amount).sum();
            let ahead = (self.demand * DEMAND_TIME.as_secs()).floor();
            wanted = (self.waiting + ahead - available).max(0.0).floor();
            self.last_waiting = (self.waiting - available).max(0.0);
            let surplus = (available - (ahead + self.waiting) * RETURN_FACTOR - 1.0).floor();
            returned = self.take_surplus(surplus, owner);
            self.arrivals = 0.0;
            self.last_ask = sent;
        }
        let held: f64 = (self.credits.iter())
            .filter(|credit| credit.owner == *owner)
            .map(|credit| credit.amount)
            .sum();
        let unsent = self.open.iter().filter(|(_, other)| other == owner);
        let held = held + unsent.count() as f64;
        let is_empty = wanted <= 0.0 && held <= 0.0 && returned <= 0.0;
        (!is_empty).then(|| CreditAskItem {
            account: account.clone(),
            wanted,
            held,
            returned,
        })
    }

    /// Takes surplus credit of an owner out, and returns how much it was.
    fn take_surplus(&mut self, surplus: f64, owner: &Name) -> f64 {
        let mut left = surplus.max(0.0);
        for credit in self
            .credits
            .iter_mut()
            .filter(|credit| credit.owner == *owner)
        {
            let part = credit.amount.min(left).floor();
            credit.amount -= part;
            left -= part;
        }
        self.credits.retain(|credit| credit.amount >= 1.0);
        surplus.max(0.0) - left
    }
}
